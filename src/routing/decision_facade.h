// A facade over the decision module with a call interface: pick, report, tick. It hides the module's events
// and actions from its callers and is independent of any protocol. Used by one thread; times are microseconds
// on the caller's monotonic clock.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "discovery/endpoint_list_codec.h"
#include "request_router/router.h"
#include "routing/server_clock.h"
#include "routing/unix_clock.h"

namespace database_proxy::routing {

using RequestId = std::uint64_t;

// The properties of a request class that a protocol needs to accept a request.
struct RequestClassInfo {
  std::size_t index = 0;  // position in the settings
  bool is_write = false;
  bool needs_key = false;     // its requests carry an idempotency key
  bool is_repeatable = true;  // may be sent again after an attempt that may have run
  request_router::Effect effect = request_router::Effect::kPure;
  bool has_session = false;  // its requests belong to a session that reads its own writes
};

// A request received from a client.
struct Request {
  RequestId id = 0;
  std::size_t request_class = 0;
  std::int64_t shard_group = 0;
  std::optional<std::uint64_t> session;
  std::optional<std::int64_t> after_unix_ms;  // the commit position that a session read must include
  Micros expires{0};                          // the deadline for sending the final answer
  bool is_retry = false;
  bool is_repeatable = true;  // its class allows another attempt after one that may have run
  request_router::Effect effect = request_router::Effect::kPure;  // of its class
};

// How an attempt ended, and whether the request may have taken effect.
enum class AttemptOutcome {
  kServed,
  kDeclined,      // the server is not the primary, or lags too far behind: no effect
  kError,         // it may have run
  kRejected,      // it did not run
  kNoConnection,  // it did not run
  kReset,         // it may have run
  kTimedOut,      // it may have run, or may still run
  kCancelled,     // it may have run
  kNotSent,       // abandoned before its last byte was written
};
// The role that a server's answer reports.
enum class ServerRole { kUnknown, kPrimary, kReplica };

// The result of one attempt.
struct AttemptResult {
  RequestId request = 0;
  int attempt = 0;
  std::string server;
  AttemptOutcome outcome = AttemptOutcome::kServed;
  Micros duration{0};
  bool closed = false;  // the request has its final answer
  ServerRole role = ServerRole::kUnknown;
  std::optional<std::int64_t> position_unix_ms;
  std::string load_report;  // the text of the load report in the answer; empty: none
};

// The result of one health check.
struct ProbeResult {
  std::string server;
  bool ok = false;
  Micros duration{0};
  std::string load_report;
};

// An action to carry out now for one request or, with kProbe, for one server.
struct Decision {
  enum class Kind { kSend, kPostpone, kReject, kFail, kCancel, kProbe };
  Kind kind = Kind::kPostpone;
  RequestId request = 0;
  int attempt = 0;                       // kSend, kCancel
  std::string server;                    // kSend, kProbe
  Micros timeout{0};                     // kSend: the time limit of this attempt
  Micros start_within = Micros::max();   // kSend: the attempt is dropped if it cannot begin within this time
  Micros arrive_within = Micros::max();  // kSend: the attempt is given up if it has not arrived within this
  Micros fresh_within = Micros::max();   // kSend: the attempt is dropped if not sent completely within this
  Micros retry_after{0};                 // kReject; 0: no Retry-After
  std::string_view reason = "";          // kSend, kReject, kFail: text for the log; a string literal
  // For a decision made in another thread: the time of the decision, the version of the endpoint list that it
  // was based on, and whether it arrived too late to be carried out and is reported back as not sent.
  Micros decided_at{0};
  std::uint64_t endpoint_list_version = 0;
  bool stale = false;
};

// The decisions made since the last call, in order.
struct TickResult {
  std::vector<Decision> decisions;
  std::optional<Micros> next_due;  // when tick() must be called again at the latest
};

class DecisionFacade {
 public:
  // `log` receives the module's log messages. Throws std::invalid_argument, naming the setting, if a setting
  // is invalid.
  DecisionFacade(request_router::Settings settings, std::uint64_t seed, UnixClock clock,
                 std::function<void(const std::string&)> log);

  // Returns nullptr if the settings define no such class.
  const RequestClassInfo* find_class(std::string_view name) const;
  const std::unordered_map<std::string, RequestClassInfo>& classes() const { return classes_; }
  // Whether at least one server is known to be up.
  bool ready() const { return usable_servers_ > 0; }

  // Applies an endpoint list. `cached`: the list was known before this process started and may be outdated.
  void update(Micros now, const discovery::EndpointListUpdate& list, bool cached = false);
  void report(Micros now, const AttemptResult& result);
  void report(Micros now, const ProbeResult& result);
  // The client of a request has disconnected, or has received an answer that was not decided here.
  void on_client_disconnected(Micros now, RequestId request);
  // Sets the plan that distributes reads over the zones, replacing the previous one.
  void plan(Micros now, request_router::Plan plan);
  // Sets whether another process of the proxy accepts requests of the same sessions.
  void share_sessions(Micros now, bool is_shared);
  // The number of requests per second that the module would send to a server in addition to those in flight;
  // 0: the server is not known.
  double spare_capacity(const std::string& server) const;
  // Accepts a request and returns its first decision, or kPostpone if there is none yet.
  Decision pick(Micros now, const Request& request);
  // Accepts a request; the next tick() returns its first decision.
  void submit(Micros now, const Request& request);
  // Processes everything received since the last call, and the timers that are due.
  TickResult tick(Micros now);

  // The number of servers held in memory: limited to those that are listed or have recently left the list.
  std::size_t servers_known() const { return servers_.size(); }
  std::size_t members_known() const { return router_.member_count(); }

 private:
  struct Server {
    std::string name;
    bool is_up = false;
    bool is_listed = false;
    Micros last_seen{0};                           // when a list or a result last named it
    std::optional<discovery::Endpoint> listed_as;  // its entry in the last list
  };
  struct Timer {
    Micros due{0};
    std::uint64_t key = 0;
  };

  request_router::MemberId find_or_add_member(Micros now, const std::string& server);
  request_router::MemberEntry to_entry(Micros now, const discovery::Endpoint& endpoint);
  void forget_old_servers(Micros now);
  request_router::Report parse_load_report(Micros now, std::string_view text, Micros duration);
  void read_clock(Micros now);
  void withdraw_decision(Micros now, const Decision& decision);
  void flush(Micros now);
  void carry_out(Micros now, const request_router::Action& action);

  request_router::Settings settings_;
  request_router::Router router_;
  ServerClock clock_;
  std::uint64_t clock_version_ = 0;  // the version of the clock that start times were converted with
  std::function<void(const std::string&)> log_;
  std::unordered_map<std::string, RequestClassInfo> classes_;
  std::unordered_map<std::string, request_router::MemberId> member_ids_;  // by server name
  std::unordered_map<request_router::MemberId, Server> servers_;
  request_router::MemberId next_member_ = 0;  // ids are never reused
  std::size_t usable_servers_ = 0;
  std::unordered_map<RequestId, int> attempts_;        // the number of attempts sent for each open request
  std::vector<Decision> decisions_;                    // not yet returned by pick() or tick()
  std::vector<request_router::Event> pending_events_;  // in order; passed to the module in one call
  std::vector<Timer> timers_;
};

}  // namespace database_proxy::routing
