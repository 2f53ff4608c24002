// The interface of request_router: what a router is told (settings and events) and what it answers (actions).
// The library does no I/O and owns no clock: feed it batches of events, carry out the actions it returns.
// All decisions are made in src/module/decide.cpp.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace request_router {

using Micros = std::chrono::microseconds;  // a point on the caller's clock, or a span of it
using RequestId = std::uint64_t;           // never reused while the router lives
using MemberId = std::uint32_t;            // one database host; the same after its process restarts
using GroupId = std::int64_t;              // a primary and its replicas

enum class Effect { kPure, kKeyed, kUnsafe };  // may repeat; repeats are discarded; never twice
enum class KeyScope { kAll, kZone, kGroup };   // who discards the repeats of a keyed class
enum class ReadLevel { kWrite, kFresh, kSession, kBounded, kAny };  // how current the data must be
enum class Checks { kOff, kReject, kHold };         // what a member does with a read it is too far behind for
enum class ListRole { kOff, kInitial, kDelayed };   // what the member list says about roles
enum class ReportMode { kOff, kInline, kOnProbe };  // where load reports come from
enum class Role { kUnknown, kPrimary, kReplica };
enum class Condition { kGone, kReady, kDraining };
enum class ListKind { kDelta, kFull, kCached, kFailed };
enum class Status {
  kSuccess,
  kFailure,
  kOverloaded,
  kTimedOut,
  kUnreachable,
  kBroken,
  kCancelled,
  kNotStarted,
  kDeclined
};

struct RequestClass {
  std::string name;
  ReadLevel level = ReadLevel::kAny;
  Effect effect = Effect::kPure;
  KeyScope scope = KeyScope::kAll;
  Micros latency_objective{0};  // an answer within this earns the full worth
  Micros deadline{0};           // the client's patience over all its tries
  Micros bound{0};              // ReadLevel::kBounded: how old the data may be when the request is sent
  Micros key_window{0};         // Effect::kKeyed: how long repeats are discarded
  double priority_weight = 1;
  double late_weight_share = 0;  // part of the worth that is left after the aim
};

struct Tenant {
  std::string name;
  double requests_per_second = 0;  // requests a second within its share, over all routers
  double share = 0;
};

struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  std::string zone;
  int routers = 1;
  int ordinal = 0;
  Micros step{1000};  // shortest time between batches
  // the family of servers
  Checks checks = Checks::kOff;
  Micros catch_up_timeout{0};             // Checks::kHold: how long a member waits to catch up
  bool positions = false;                 // every answer carries a position
  bool client_carries_write_age = false;  // a session read says how old its last write is
  bool report_position = false;
  bool report_role = false;
  bool report_in_flight = false;  // how many requests a member holds
  ReportMode reports = ReportMode::kOff;
  ListRole list_role = ListRole::kOff;
  // limits
  bool probes = false, peers = false, cancel = false, hedged_requests = false, retry_after = false;
  int max_attempts = 1;
  Micros max_retry_after{0};
  bool poll_discovery = false;  // the list must be asked for
  // guarantees
  Micros answer_slack{0}, drain_grace{0}, overload_window{0}, warm_up{0}, poll_deadline{0};
  double initial_capacity_share = 1, overload_multiple = 1;
  bool removal_not_binding = false;
  // prices, points a unit
  double over_quota_weight = 1, cross_zone_fee = 0, probe_fee = 0;
};

struct Report {
  std::optional<Micros> position;  // absolute, on the caller's clock
  std::optional<bool> primary;
  std::optional<double> busy;
  std::optional<double> held;  // requests that it holds
};

// events
struct MemberEntry {
  MemberId member = 0;
  GroupId group = 0;
  std::string zone;
  Condition condition = Condition::kReady;
  bool primary = false;
  double weight = 1;
  Micros started_at{0};  // 0: long past
};
struct MemberList {
  ListKind kind = ListKind::kFull;
  std::vector<MemberEntry> entries;
};
struct Request {
  RequestId id = 0;
  std::size_t request_class = 0;
  GroupId group = 0;
  std::optional<std::uint64_t> key;  // the session
  std::optional<Micros> write_age;   // carried: age of the session's last write; 0: none
  Micros expires{0};
  bool retry = false;
  int tenant = -1;
};
struct Outcome {
  RequestId id = 0;
  int attempt = 0;
  MemberId member = 0;
  Status status = Status::kSuccess;
  Micros taken{0};
  bool closed = false;  // the request has had its final answer
  Role role = Role::kUnknown;
  std::optional<Micros> position;  // absolute; a write's commit
  Report report;
};
struct ProbeResult {
  MemberId member = 0;
  bool ok = false;
  Micros taken{0};
  Report report;
};
struct StreamStarted {
  RequestId id = 0;
  int attempt = 0;
};
struct TimerFired {
  std::uint64_t key = 0;
};
struct PeerMessage {
  int from = 0;
  std::string bytes;
};
struct ClientGone {
  RequestId id = 0;
};
// Where the reads of this router's clients go, agreed on by the fleet; it replaces the last one whole. Groups
// that it does not name, and all of them where it names none, are decided without it. What a group's shares
// lack to 1 is refused at once, the least worth first.
struct ZoneShare {
  std::string zone;
  double share = 0;  // of the reads: this zone is theirs
  double spare = 0;  // of the reads: this zone is open to them as well, where it costs less or theirs fails
};
struct Plan {
  std::vector<std::pair<GroupId, std::vector<ZoneShare>>> groups;
};
using Event = std::variant<MemberList, Request, Outcome, ProbeResult, StreamStarted, TimerFired, PeerMessage,
                           ClientGone, Plan>;

// actions
struct Send {
  RequestId id;
  MemberId member;
  Micros timeout;
  // How long from now the attempt may begin, where its connection has to come up first. One that has not
  // begun by then is not to be made, and its outcome is Void.
  Micros start_within = Micros::max();
};
struct Cancel {
  RequestId id;
  int attempt;
};
struct Reject {
  RequestId id;
  Micros retry_after;  // 0: no guidance
};
struct Fail {
  RequestId id;
};
struct Probe {
  MemberId member;
};
struct SetTimer {
  std::uint64_t key;
  Micros after;
};
struct Subscribe {};
struct Log {
  std::string text;
};
using Action = std::variant<Send, Cancel, Reject, Fail, Probe, SetTimer, Subscribe, Log>;

class Router {
 public:
  // Throws std::invalid_argument, naming the setting, when the settings are impossible.
  Router(Settings settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  // `now` never falls from one call to the next. Every action takes effect at `now`, in order.
  std::vector<Action> handle(Micros now, const std::vector<Event>& events);

  std::size_t members() const;         // how many it keeps in mind, those that have gone just now included
  double room(MemberId member) const;  // requests a second that it would send there beside those in flight

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace request_router
