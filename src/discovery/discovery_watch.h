// Long-polls the discovery service, and reports each update of the endpoint list.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "discovery/discovery_call.h"
#include "discovery/endpoint_list_codec.h"
#include "discovery/http.h"
#include "discovery/polling_schedule.h"
#include "net/log.h"
#include "net/loop.h"
#include "net/socket.h"

namespace database_proxy::discovery {

// The watch of one address of the discovery service. Normally it has one call at a time, on one connection.
// When an answer is overdue, the service may be slow, or silent for good: another call is made on a second
// connection, and the first answer counts. After any failure it waits for the schedule's delay and calls
// again, indefinitely; it logs the first failure and the recovery. All member functions and the update
// handler run in the loop's thread.
class DiscoveryWatch {
 public:
  using UpdateHandler = std::function<void(EndpointListUpdate)>;

  // `host` is the value of the HTTP field Host. `generation` is the generation of the list that is already
  // known; without one, the full list is requested first, because the generations of two discovery services
  // are not comparable.
  DiscoveryWatch(net::Loop& loop, net::Address address, std::string host,
                 std::optional<std::int64_t> generation, const PollingSchedule& schedule,
                 UpdateHandler on_update, net::Log log);
  ~DiscoveryWatch();
  DiscoveryWatch(const DiscoveryWatch&) = delete;
  DiscoveryWatch& operator=(const DiscoveryWatch&) = delete;

  // Calls after the schedule's delay for the first call.
  void start() { start_call_after(schedule_.first_call_delay()); }
  // Calls without a delay.
  void start_now() { start_call(); }

 private:
  // A connection with the properties of the request that it carries.
  struct Call {
    Call(net::Loop& loop, net::Address address, DiscoveryCall::Handlers handlers)
        : connection(loop, address, std::move(handlers)) {}
    DiscoveryCall connection;
    bool is_full_list = false;  // requests the full list
    bool is_continued = false;  // was sent right after the last answer
    net::Micros wait{0};        // for which the service may wait for a change
  };

  DiscoveryCall::Handlers handlers_of(std::size_t index);
  Call& other_than(const Call& call) { return &call == calls_.data() ? calls_[1] : calls_[0]; }
  void start_call();
  void start_call_after(net::Micros delay);
  Call& call_to_start();
  void send_request(Call& call);
  net::Micros overdue_at(const Call& call) const;
  void await_answer();
  void on_overdue();
  void on_response(Call& call, const HttpResponse& response);
  void on_error_status(Call& call, int status);
  bool apply_update(Call& call, const std::string& body);
  void on_failure(const Call& call, const std::string& reason, CallFailure failure);
  void log_first_failure(const std::string& text);

  net::Loop& loop_;
  std::string host_;
  std::int64_t generation_;
  UpdateHandler on_update_;
  net::Log log_;
  std::array<Call, 2> calls_;
  Call* newest_ = nullptr;                          // the call that was started last; never null
  net::Loop::TimerId timer_ = net::Loop::kNoTimer;  // the start of a call, or the newest one's overdue time
  PollingSchedule schedule_;
  bool needs_full_list_;                    // the next call requests the full list
  std::optional<net::Micros> answered_at_;  // time of the last answer
  bool failing_ = false;                    // a call failed or is overdue, and that was logged
};

// Earlier name of DiscoveryWatch; new code uses DiscoveryWatch.
using Watch = DiscoveryWatch;

}  // namespace database_proxy::discovery
