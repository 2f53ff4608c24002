// The interface of request_router: settings and events go in, actions come out.
//
// The library does no I/O and owns no clock: the caller feeds it batches of events and carries out the
// actions that it returns. All decisions are made in src/request_router, one module for each rule; the
// mechanism and its exceptions are described in docs/design/decisions.md.
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

// Whether a request may be executed twice: without harm; with harm unless the members discard repeats by a
// key; not at all.
enum class Effect { kPure, kKeyed, kUnsafe };

// Among which members the repeats of a keyed request are discarded.
enum class KeyScope { kAll, kZone, kGroup };

// How current the data of a request must be: a write; the newest data; the session's own last write; data
// within the bound of its class; any data.
enum class ReadLevel { kWrite, kFresh, kSession, kBounded, kAny };

// What a member does with a read that it is too far behind for: answers it, turns it away, waits to catch up.
enum class LagCheck { kOff, kReject, kHold };

// What the member list says about roles: nothing, the role at the start, the role with a delay.
enum class ListRole { kOff, kInitial, kDelayed };

// Where load reports come from: nowhere, with each answer, with the answer to a probe.
enum class ReportMode { kOff, kInline, kOnProbe };

// The role of a member in its group.
enum class Role { kUnknown, kPrimary, kReplica };

// What the member list says of a member: removed, in service, to be given nothing new.
enum class Condition { kGone, kReady, kDraining };

// What a member list contains: changes only; all members; all members, from a cache; nothing, as the call
// failed.
enum class ListKind { kDelta, kFull, kCached, kFailed };

// How an attempt ended.
enum class Status {
  kSuccess,      // answered as asked
  kFailure,      // answered with an error
  kOverloaded,   // turned away untouched, the member's queue being full
  kTimedOut,     // not answered in its time
  kUnreachable,  // no connection came up; it has not run
  kBroken,       // the connection broke; it may have run
  kCancelled,    // cancelled by this router; it may have run
  kNotStarted,   // never sent
  kDeclined      // turned away untouched: a write by a replica, a read by a member that is behind
};

// A kind of request, with what its clients expect.
struct RequestClass {
  std::string name;
  ReadLevel level = ReadLevel::kAny;
  Effect effect = Effect::kPure;
  KeyScope scope = KeyScope::kAll;
  Micros latency_objective{0};  // an answer within this earns the full priority weight
  Micros deadline{0};           // the client's timeout over all its attempts
  Micros bound{0};              // ReadLevel::kBounded: how old the data may be when the request is sent
  Micros key_window{0};         // Effect::kKeyed: how long repeats are discarded
  double priority_weight = 1;
  double late_weight_share = 0;  // part of the weight that is left after the latency objective
};

// One of the parties that share the fleet.
struct Tenant {
  std::string name;
  double requests_per_second = 0;  // requests a second within its share, over all routers
  double share = 0;
};

// Everything that a router is told once, when it is made.
struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  std::string zone;
  int routers = 1;
  int ordinal = 0;
  Micros step{1000};  // shortest time between batches
  // the family of servers
  LagCheck lag_check = LagCheck::kOff;
  Micros catch_up_timeout{0};             // LagCheck::kHold: how long a member waits to catch up
  bool answers_carry_position = false;    // every answer carries a position
  bool client_carries_write_age = false;  // a session read says how old its last write is
  bool report_position = false;
  bool report_role = false;
  bool report_in_flight = false;  // how many requests a member holds
  ReportMode report_mode = ReportMode::kOff;
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

// A load report: what a member says of itself; fields that it does not report are empty.
struct Report {
  std::optional<Micros> position;  // absolute, on the caller's clock
  std::optional<bool> primary;
  std::optional<double> busy;
  std::optional<double> in_flight;  // requests that it is working on or has in its queue
};

// Events.

// A member, as the member list describes it.
struct MemberEntry {
  MemberId member = 0;
  GroupId group = 0;
  std::string zone;
  Condition condition = Condition::kReady;
  bool primary = false;
  double weight = 1;
  Micros started_at{0};  // 0: long past
  // Draining or gone: when this was first notified, to whatever process of the proxy; empty: with this list.
  std::optional<Micros> notified_at = {};
};
// A member list has come, or the call for it failed.
struct MemberList {
  ListKind kind = ListKind::kFull;
  std::vector<MemberEntry> entries;
};
// A request has come.
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
// An attempt has ended.
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
// A probe was answered, or has failed.
struct ProbeResult {
  MemberId member = 0;
  bool ok = false;
  Micros taken{0};
  Report report;
};
// The first byte of an answer has come.
struct StreamStarted {
  RequestId id = 0;
  int attempt = 0;
};
// A timer that the router set is due.
struct TimerFired {
  std::uint64_t key = 0;
};
// Another router has sent something.
struct PeerMessage {
  int from = 0;
  std::string bytes;
};
// The client no longer waits for its request.
struct ClientGone {
  RequestId id = 0;
};
// The share of one zone in the reads of a group.
struct ZoneShare {
  std::string zone;
  double share = 0;  // of the reads: this zone is theirs
  double spare = 0;  // of the reads: this zone is open to them as well, where it costs less or theirs fails
};
// Where the reads of this router's clients go, agreed on by the fleet. A plan replaces the last one whole.
// Groups that it does not name are decided without it. What a group's shares lack to 1 is rejected at once,
// the reads of least value for their work first.
struct Plan {
  std::vector<std::pair<GroupId, std::vector<ZoneShare>>> groups;
};
using Event = std::variant<MemberList, Request, Outcome, ProbeResult, StreamStarted, TimerFired, PeerMessage,
                           ClientGone, Plan>;

// Actions.

// Why a member was chosen for an attempt.
enum class SendReason {
  kKnownPrimary,     // the request needs the primary, and this member is known to be it
  kDrainingPrimary,  // the same, within the grace after the first notice of its drain
  kPrimaryTrial,     // the request needs the primary, and none is known
  kReplica,          // a read, at the member of least cost that is fresh enough
  kReadAtPrimary     // a read that no replica can serve in time
};

// Why a request was given up.
enum class GiveUpReason {
  kUnknownGroup,       // no member list has named its group
  kBeyondPlan,         // beyond the shares of the plan of zones
  kCannotMeetDeadline  // it can no longer be answered in time, or may not be sent again
};

// Send the request to the member.
struct Send {
  RequestId id;
  MemberId member;
  Micros timeout;
  // How long from now the attempt may begin, where its connection has to come up first. One that has not
  // begun by then is not to be made, and its outcome is Status::kNotStarted.
  Micros start_within = Micros::max();
  SendReason reason = SendReason::kReplica;
};
// Cancel an attempt that is in flight; its outcome is awaited all the same.
struct Cancel {
  RequestId id;
  int attempt;
};
// Answer the request with a rejection: its client may send it again.
struct Reject {
  RequestId id;
  Micros retry_after;  // 0: no guidance
  GiveUpReason reason = GiveUpReason::kCannotMeetDeadline;
};
// Answer the request with a failure: it may have run.
struct Fail {
  RequestId id;
  GiveUpReason reason = GiveUpReason::kCannotMeetDeadline;
};
// Probe the member.
struct Probe {
  MemberId member;
};
// Feed back TimerFired with this key after this time.
struct SetTimer {
  std::uint64_t key;
  Micros after;
};
// Ask for member lists.
struct Subscribe {};
// Write a line to the log.
struct Log {
  std::string text;
};
using Action = std::variant<Send, Cancel, Reject, Fail, Probe, SetTimer, Subscribe, Log>;

// Decides where requests go: one router, for all groups that its member lists name.
class Router {
 public:
  // Throws std::invalid_argument, naming the setting, when the settings are impossible.
  Router(Settings settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  // `now` never falls from one call to the next. Every action takes effect at `now`, in order.
  std::vector<Action> handle(Micros now, const std::vector<Event>& events);

  // Another process of the same proxy takes requests of the same sessions from now on, or did so until now. A
  // session may have written through it at any moment of that time, and its reads must show that.
  void share_sessions(Micros now, bool is_shared);

  std::size_t member_count() const;  // how many it knows, those that have gone a short time ago included
  double surplus_capacity(MemberId member)
      const;  // requests a second that it would send there beside those in flight (surplus capacity)

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace request_router
