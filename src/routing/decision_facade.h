// The decision module in blocking style: pick, report, tick. Nothing above this sees the module's events and
// actions, and nothing here knows a protocol. Used by one thread; times are microseconds on the caller's
// monotonic clock.
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

// What a protocol must know of a request class to take a request.
struct RequestClassInfo {
  std::size_t index = 0;  // in the settings
  bool is_write = false;
  bool needs_key = false;     // its requests carry an idempotency key
  bool is_repeatable = true;  // where it may have run
  bool has_session = false;   // its requests belong to a session, which reads its own writes
};

// A request as a client has sent it.
struct Request {
  RequestId id = 0;
  std::size_t request_class = 0;
  std::int64_t shard_group = 0;
  std::optional<std::uint64_t> session;
  std::optional<std::int64_t> after_unix_ms;  // the commit position that a session read must see
  Micros expires{0};                          // the final answer must be on its way by then
  bool is_retry = false;
  bool is_repeatable = true;  // its class allows a repeat where it may have run
};

// How an attempt ended, and whether it may have had its effect.
enum class AttemptOutcome {
  kServed,
  kDeclined,      // no primary, or too far behind: no effect
  kError,         // it may have run
  kRejected,      // it never ran
  kNoConnection,  // it never ran
  kReset,         // it may have run
  kTimedOut,      // it may have run, or may yet
  kCancelled,     // it may have run
  kNotSent,       // given up before its last byte was written
};
// The role that a server's answer reports.
enum class ServerRole { kUnknown, kPrimary, kReplica };

// The end of one attempt.
struct AttemptResult {
  RequestId request = 0;
  int attempt = 0;
  std::string server;
  AttemptOutcome outcome = AttemptOutcome::kServed;
  Micros duration{0};
  bool closed = false;  // the request has its final answer
  ServerRole role = ServerRole::kUnknown;
  std::optional<std::int64_t> position_unix_ms;
  std::string load_report;  // its text, where answers hold one
};

// The end of one health check.
struct ProbeResult {
  std::string server;
  bool ok = false;
  Micros duration{0};
  std::string load_report;
};

// What is to be done now, for one request or (kProbe) one server.
struct Decision {
  enum class Kind { kSend, kPostpone, kReject, kFail, kCancel, kProbe };
  Kind kind = Kind::kPostpone;
  RequestId request = 0;
  int attempt = 0;                      // kSend, kCancel
  std::string server;                   // kSend, kProbe
  Micros timeout{0};                    // kSend: how long this attempt may take
  Micros start_within = Micros::max();  // kSend: the attempt is not made where it cannot begin by then
  Micros retry_after{0};                // kReject; 0: no guidance
  std::string_view reason = "";         // kSend, kReject, kFail: in words, for the log; a literal
  // Where it was made in another thread: when, and after how many changes of the list; and whether it comes
  // too late to be carried out, so that it goes back as never sent.
  Micros decided_at{0};
  std::uint64_t endpoint_list_version = 0;
  bool stale = false;
};

// What was decided since the last call, in order.
struct TickResult {
  std::vector<Decision> decisions;
  std::optional<Micros> next_due;  // call again by then
};

class DecisionFacade {
 public:
  // `log` receives the module's notes. Throws std::invalid_argument, naming the setting, where one is
  // impossible.
  DecisionFacade(request_router::Settings settings, std::uint64_t seed, UnixClock clock,
                 std::function<void(const std::string&)> log);

  // nullptr: the settings know no such class.
  const RequestClassInfo* find_class(std::string_view name) const;
  const std::unordered_map<std::string, RequestClassInfo>& classes() const { return classes_; }
  // Whether it knows of a server that is up.
  bool ready() const { return usable_servers_ > 0; }

  // `cached`: the list was known before this process started and may be old.
  void update(Micros now, const discovery::EndpointListUpdate& list, bool cached = false);
  void report(Micros now, const AttemptResult& result);
  void report(Micros now, const ProbeResult& result);
  // The client of a request has left, or has had an answer that was not decided here.
  void on_client_disconnected(Micros now, RequestId request);
  // Which zones the reads go to from now on; replaces the last plan.
  void plan(Micros now, request_router::Plan plan);
  // Another process of the proxy takes requests of the same sessions from now on, or none does any more.
  void share_sessions(Micros now, bool is_shared);
  // Requests a second that would go to a server beside those in flight; 0: the server is not known.
  double spare_capacity(const std::string& server) const;
  // Takes a request and returns its first decision, kPostpone where there is none yet.
  Decision pick(Micros now, const Request& request);
  // Takes a request whose first decision comes with the next tick().
  void submit(Micros now, const Request& request);
  // Decides on all that has come since the last call.
  TickResult tick(Micros now);

  // How much is remembered: bounded by the servers that are listed or left the list lately.
  std::size_t servers_known() const { return servers_.size(); }
  std::size_t members_known() const { return router_.members(); }

 private:
  struct Server {
    std::string name;
    bool is_up = false;
    bool is_listed = false;
    Micros last_seen{0};                           // by a list or a result
    std::optional<discovery::Endpoint> listed_as;  // as the last list has it
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
  std::uint64_t clock_version_ = 0;  // that start times were converted with
  std::function<void(const std::string&)> log_;
  std::unordered_map<std::string, RequestClassInfo> classes_;
  std::unordered_map<std::string, request_router::MemberId> member_ids_;  // by the server's name
  std::unordered_map<request_router::MemberId, Server> servers_;
  request_router::MemberId next_member_ = 0;  // an id is never given twice
  std::size_t usable_servers_ = 0;
  std::unordered_map<RequestId, int> attempts_;        // of the open requests: how many were sent
  std::vector<Decision> decisions_;                    // not fetched yet
  std::vector<request_router::Event> pending_events_;  // in order; the module is given all of them at once
  std::vector<Timer> timers_;
};

}  // namespace database_proxy::routing
