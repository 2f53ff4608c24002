// The decision module in blocking style. Nothing above this sees the module's events and actions, and nothing
// here knows a protocol.
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
#include "routing/unix_clock.h"

namespace database_proxy::routing {

using RequestId = std::uint64_t;

struct RequestClassInfo {
  std::size_t index = 0;
  bool write = false, keyed = false, session = false;
};

struct Request {
  RequestId id = 0;
  std::size_t request_class = 0;
  std::int64_t shard_group = 0;
  std::optional<std::uint64_t> session;
  std::optional<std::int64_t> after_unix_ms;
  Micros expires{0};  // the final answer must be on its way by then
  bool is_retry = false;
};

// How an attempt ended, in the words of the protocol page's table.
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
enum class ServerRole { kUnknown, kPrimary, kReplica };

struct AttemptResult {
  RequestId request = 0;
  int attempt = 0;
  std::string server;
  AttemptOutcome outcome = AttemptOutcome::kServed;
  Micros taken{0};
  bool closed = false;  // the request has its final answer
  ServerRole role = ServerRole::kUnknown;
  std::optional<std::int64_t> position_unix_ms;
  std::string load;  // the report's text, where answers hold one
};

struct ProbeResult {
  std::string server;
  bool ok = false;
  Micros taken{0};
  std::string load;
};

struct Decision {
  enum class Kind { kSend, kPostpone, kReject, kFail, kCancel, kProbe };
  Kind kind = Kind::kPostpone;
  RequestId request = 0;
  int attempt = 0;                      // kSend, kCancel
  std::string server;                   // kSend, kProbe
  Micros timeout{0};                    // kSend: how long this attempt may take
  Micros start_within = Micros::max();  // kSend: the attempt is not made where it cannot begin by then
  Micros retry_after{0};                // kRefuse; 0: no guidance
  // Where it was made in another thread: when, and after how many changes of the list; and whether it comes
  // too late to be carried out, so that it goes back as never sent.
  Micros decided_at{0};
  std::uint64_t endpoint_list_version = 0;
  bool stale = false;
};

struct TickResult {
  std::vector<Decision> decisions;
  std::optional<Micros> next_due;
};

class DecisionFacade {
 public:
  DecisionFacade(request_router::Settings settings, std::uint64_t seed, UnixClock clock,
                 std::function<void(const std::string&)> log);

  const RequestClassInfo* find_class(std::string_view name) const;
  const std::unordered_map<std::string, RequestClassInfo>& classes() const { return classes_; }
  bool ready() const { return usable_ > 0; }  // it knows of a server that is up

  void update(Micros now, const discovery::EndpointListUpdate& list, bool cached = false);
  void report(Micros now, const AttemptResult& result);
  void report(Micros now, const ProbeResult& result);
  void on_client_disconnected(
      Micros now, RequestId request);  // its client has left, or it has had an answer not decided here
  void plan(Micros now, request_router::Plan plan);        // replaces the last one whole
  double spare_capacity(const std::string& server) const;  // as Router::room; 0: not known
  Decision pick(Micros now, const Request& request);
  void submit(Micros now, const Request& request);  // the same; its decision comes with the next tick()
  TickResult tick(Micros now);

  // What is kept of servers: bounded by those that are listed or have gone just now.
  std::size_t servers_known() const { return servers_.size(); }
  std::size_t members_known() const { return router_.members(); }

 private:
  request_router::MemberId member(Micros now, const std::string& server);
  request_router::Report load_report(std::string_view text) const;
  void flush(Micros now);
  void take(Micros now, std::vector<request_router::Action> actions);

  request_router::Settings settings_;
  request_router::Router router_;
  UnixClock clock_;
  std::function<void(const std::string&)> log_;
  std::unordered_map<std::string, RequestClassInfo> classes_;
  std::unordered_map<std::string, request_router::MemberId> numbers_;
  struct Server {
    std::string name;
    bool up = false, on_endpoint_list = false;
    Micros since{0};  // when it was last listed, or named by a result
  };
  std::unordered_map<request_router::MemberId, Server> servers_;
  request_router::MemberId next_member_ = 0;  // a number is never given twice
  std::size_t usable_ = 0;
  std::unordered_map<RequestId, int> attempts_;  // of the requests that are open: how many were sent
  std::vector<Decision> decided_;                // not yet fetched
  std::vector<request_router::Event>
      pending_;  // of this turn, in order; the module is fed all of them at once
  std::vector<std::pair<Micros, std::uint64_t>> timers_;
};

}  // namespace database_proxy::routing
