// Long-polls the discovery service over one connection, and reports each update of the endpoint list.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "discovery/endpoint_list_codec.h"
#include "discovery/http.h"
#include "discovery/polling_schedule.h"
#include "net/buffer.h"
#include "net/log.h"
#include "net/loop.h"
#include "net/socket.h"

namespace database_proxy::discovery {

// The watch of one address of the discovery service. After any failure it waits for the schedule's delay and
// reconnects, indefinitely; it logs the first failure and the recovery. All member functions and the update
// handler run in the loop's thread.
class DiscoveryWatch : public net::Handler {
 public:
  using UpdateHandler = std::function<void(EndpointListUpdate)>;

  // `host` is the value of the HTTP field Host. `generation` is the generation of the list that is already
  // known; without one, the full list is requested first, because the generations of two discovery services
  // are not comparable.
  DiscoveryWatch(net::Loop& loop, net::Address address, std::string host,
                 std::optional<std::int64_t> generation, const PollingSchedule& schedule,
                 UpdateHandler on_update, net::Log log);
  ~DiscoveryWatch() override;
  DiscoveryWatch(const DiscoveryWatch&) = delete;
  DiscoveryWatch& operator=(const DiscoveryWatch&) = delete;

  // Connects after the schedule's delay for the first call.
  void start() { connect_after(schedule_.first_call_delay()); }
  // Connects without a delay.
  void start_now() { connect(); }
  void on_ready(std::uint32_t events) override;

 private:
  // kRejected: the service answered that it is overloaded or unavailable. kTooLarge: its list is larger than
  // this process reads. kBroken: any other failure.
  enum class Failure { kBroken, kRejected, kTooLarge };

  void connect();
  void connect_after(net::Micros delay);
  void disconnect();
  void send_request();
  void read_responses(bool ended);
  void on_unusable_response();
  net::Micros delay_after(Failure failure);
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
  HttpResponseReader response_;
  net::OutBuffer out_;
  net::Loop::TimerId timer_ = net::Loop::kNoTimer;  // the timeout of the call, or the start of the next one
  PollingSchedule schedule_;
  bool needs_full_list_;                    // the next call requests the full list
  bool connected_ = false;                  // the connection is established
  std::optional<net::Micros> answered_at_;  // time of the last answer
  bool is_continued_ = false;               // the current call was sent right after the last answer
  bool failing_ = false;                    // the last call failed, and the failure was logged
};

// Earlier name of DiscoveryWatch; new code uses DiscoveryWatch.
using Watch = DiscoveryWatch;

}  // namespace database_proxy::discovery
