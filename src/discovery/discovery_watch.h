// Keeps one long-polling call to the discovery service open, and reports each update of the endpoint list.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "discovery/endpoint_list_codec.h"
#include "discovery/polling_schedule.h"
#include "net/buffer.h"
#include "net/log.h"
#include "net/loop.h"
#include "net/socket.h"

namespace database_proxy::discovery {

// One address of the discovery service. After any failure it connects anew, as the schedule says, without
// end; it logs the first failure and the recovery. All calls, and the handler, are on the loop's thread.
class DiscoveryWatch : public net::Handler {
 public:
  using UpdateHandler = std::function<void(EndpointListUpdate)>;

  // `host` is the value of the Host field. `generation` is the generation that is known already; without one,
  // the full list is requested first, since the counts of two discovery services are not comparable.
  DiscoveryWatch(net::Loop& loop, net::Address address, std::string host,
                 std::optional<std::int64_t> generation, const PollingSchedule& schedule,
                 UpdateHandler on_update, net::Log log);
  ~DiscoveryWatch() override;
  DiscoveryWatch(const DiscoveryWatch&) = delete;
  DiscoveryWatch& operator=(const DiscoveryWatch&) = delete;

  // Connects after the schedule's delay for a first call.
  void start() { connect_after(schedule_.first_call_delay()); }
  void start_now() { connect(); }
  void on_ready(std::uint32_t events) override;

 private:
  // kRejected: the service answered that it cannot serve now. kBroken: any other failure.
  enum class Failure { kBroken, kRejected };

  void connect();
  void connect_after(net::Micros delay);
  void disconnect();
  void send_request();
  void read_responses(bool ended);
  void on_error_status(int status);
  bool apply_update(const std::string& body);
  void on_failure(const std::string& reason, Failure failure = Failure::kBroken);

  net::Loop& loop_;
  net::Address address_;
  std::string host_;
  std::int64_t generation_;
  UpdateHandler on_update_;
  net::Log log_;
  net::Fd fd_;
  net::InBuffer in_;
  net::OutBuffer out_;
  net::Loop::TimerId timer_ = net::Loop::kNoTimer;  // the timeout of the call, or the next attempt
  PollingSchedule schedule_;
  bool needs_full_list_;                    // the next call requests it
  bool connected_ = false;                  // the connection is established
  std::optional<net::Micros> answered_at_;  // the last call
  bool is_continued_ = false;               // the call that is out followed the last answer at once
  bool failing_ = false;                    // the last call failed, which was logged
};

// The class's earlier name: src/group still uses it.
using Watch = DiscoveryWatch;

}  // namespace database_proxy::discovery
