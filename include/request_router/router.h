// The interface of request_router: settings and events go in, actions come out.
//
// The library does no I/O and reads no clock: the caller passes it batches of events and carries out the
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

using Micros = std::chrono::microseconds;  // a point in time on the caller's clock, or a duration
using RequestId = std::uint64_t;           // never reused while the router exists
using MemberId = std::uint32_t;            // one database host; unchanged when its process restarts
using GroupId = std::int64_t;              // a primary and its replicas

// Whether a request may be executed twice: always (pure); only where the members discard repeats by an
// idempotency key (keyed); never (unsafe).
enum class Effect { kPure, kKeyed, kUnsafe };

// The members among which repeats of a keyed request are discarded.
enum class KeyScope { kAll, kZone, kGroup };

// How current the data that a request needs must be: the primary's, as the request is a write; the newest
// data; data that includes the session's own last write; data no older than the bound of its class; any data.
enum class ReadLevel { kWrite, kFresh, kSession, kBounded, kAny };

// How a member treats a read for which its replication lag is too large: it answers the read without a check,
// rejects it, or holds it until the member has caught up.
enum class LagCheck { kOff, kReject, kHold };

// Which roles the member list contains: none, the roles at the start, or the current roles with a delay.
enum class ListRole { kOff, kInitial, kDelayed };

// How load reports arrive: not at all, with each answer, or with the answer to a probe.
enum class ReportMode { kOff, kInline, kOnProbe };

// The role of a member in its group.
enum class Role { kUnknown, kPrimary, kReplica };

// The condition of a member in the member list: removed, in service, or draining (it gets no new requests).
enum class Condition { kGone, kReady, kDraining };

// The content of a member list: changes only; all members; all members, from a cache; nothing, because the
// call failed.
enum class ListKind { kDelta, kFull, kCached, kFailed };

// How an attempt ended.
enum class Status {
  kSuccess,      // answered with a result
  kFailure,      // answered with an error
  kOverloaded,   // rejected before execution because the member's queue is full
  kTimedOut,     // not answered within its timeout
  kUnreachable,  // no connection was established; it has not run
  kBroken,       // the connection broke; it may have run
  kCancelled,    // cancelled by this router; it may have run
  kNotStarted,   // not sent
  kDeclined      // rejected before execution: a write by a replica, a read by a member that lags
};

// A class of requests, with the service that its clients expect.
struct RequestClass {
  std::string name;
  ReadLevel level = ReadLevel::kAny;
  Effect effect = Effect::kPure;
  KeyScope scope = KeyScope::kAll;
  Micros latency_objective{0};  // an answer within this time has the full priority weight
  Micros deadline{0};           // the client's timeout for the request, over all attempts
  Micros bound{0};              // ReadLevel::kBounded: maximum age of the data when the request is sent
  Micros key_window{0};         // Effect::kKeyed: time during which repeats are discarded
  double priority_weight = 1;
  double late_weight_share = 0;  // fraction of the weight that an answer after the latency objective has
};

// One of the tenants that share the fleet.
struct Tenant {
  std::string name;
  double requests_per_second = 0;  // requests per second within its quota, over all routers
  double share = 0;
};

// The settings of a router, fixed at its construction.
struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  std::string zone;
  int routers = 1;
  int ordinal = 0;
  Micros step{1000};  // minimum time between batches
  // properties of the kind of servers
  LagCheck lag_check = LagCheck::kOff;
  Micros catch_up_timeout{0};             // LagCheck::kHold: time for which a member holds a read to catch up
  bool answers_carry_position = false;    // every answer carries a position
  bool client_carries_write_age = false;  // a session read carries the age of the session's last write
  bool report_position = false;
  bool report_role = false;
  bool report_in_flight = false;  // reports contain the number of requests in flight at the member
  ReportMode report_mode = ReportMode::kOff;
  ListRole list_role = ListRole::kOff;
  // limits
  bool probes = false, peers = false, cancel = false, hedged_requests = false, retry_after = false;
  int max_attempts = 1;
  Micros max_retry_after{0};
  bool poll_discovery = false;  // the member list has to be requested
  // guarantees
  Micros answer_slack{0}, drain_grace{0}, overload_window{0}, warm_up{0}, poll_deadline{0};
  double initial_capacity_share = 1, overload_multiple = 1;
  bool removal_not_binding = false;
  // fees and weights, in points for each unit
  double over_quota_weight = 1, cross_zone_fee = 0, probe_fee = 0;
};

// A load report of a member about itself; fields that it does not report are empty.
struct Report {
  std::optional<Micros> position;  // absolute, on the caller's clock
  std::optional<bool> primary;
  std::optional<double> busy;
  std::optional<double> in_flight;  // requests that it is executing or has in its queue
};

// Events.

// One member in a member list.
struct MemberEntry {
  MemberId member = 0;
  GroupId group = 0;
  std::string zone;
  Condition condition = Condition::kReady;
  bool primary = false;
  double weight = 1;
  Micros started_at{0};  // 0: a long time ago
  // Draining or removed: when any process of the proxy was first notified of it; empty: with this list.
  std::optional<Micros> notified_at = {};
};
// A member list was received, or the call for it failed.
struct MemberList {
  ListKind kind = ListKind::kFull;
  std::vector<MemberEntry> entries;
};
// A request was received.
struct Request {
  RequestId id = 0;
  std::size_t request_class = 0;
  GroupId group = 0;
  std::optional<std::uint64_t> key;  // the session
  std::optional<Micros> write_age;   // age of the session's last write, where the client carries it; 0: none
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
  bool closed = false;  // the request has received its final answer
  Role role = Role::kUnknown;
  std::optional<Micros> position;  // absolute; for a write, its commit position
  Report report;
};
// A probe was answered or failed.
struct ProbeResult {
  MemberId member = 0;
  bool ok = false;
  Micros taken{0};
  Report report;
};
// The first byte of an answer was received.
struct StreamStarted {
  RequestId id = 0;
  int attempt = 0;
};
// A timer that the router has set is due.
struct TimerFired {
  std::uint64_t key = 0;
};
// Another router has sent a message.
struct PeerMessage {
  int from = 0;
  std::string bytes;
};
// The client no longer waits for the answer to its request.
struct ClientGone {
  RequestId id = 0;
};
// The shares of one zone in the reads of a group.
struct ZoneShare {
  std::string zone;
  double share = 0;  // fraction of the reads that are assigned to this zone
  // Fraction of the reads that may use this zone as well, where it costs less or their own zone fails.
  double surplus_share = 0;
};
// The zones to which the reads of this router's clients go, agreed on by the fleet. A plan replaces the
// previous one completely. Groups that it does not name are decided without it. Where the shares of a group
// add up to less than 1, the remaining fraction of its reads is rejected at once, the reads of least value
// per work first.
struct Plan {
  std::vector<std::pair<GroupId, std::vector<ZoneShare>>> groups;
};
using Event = std::variant<MemberList, Request, Outcome, ProbeResult, StreamStarted, TimerFired, PeerMessage,
                           ClientGone, Plan>;

// Actions.

// The reason why a member was selected for an attempt.
enum class SendReason {
  kKnownPrimary,     // the request needs the primary, and this member is the known primary
  kDrainingPrimary,  // as kKnownPrimary, within the grace period after the first notification of its drain
  kPrimaryTrial,     // the request needs the primary, and no primary is known
  kReplica,          // a read, sent to the sufficiently fresh member of least cost
  kReadAtPrimary     // a read that no replica can serve in time
};

// The reason why a request was given up.
enum class GiveUpReason {
  kUnknownGroup,       // its group has been in no member list
  kBeyondPlan,         // beyond the shares of the zone plan
  kCannotMeetDeadline  // it can no longer be answered in time, or may not be sent again
};

// Send the request to the member.
struct Send {
  RequestId id;
  MemberId member;
  Micros timeout;
  // The time from now within which the attempt has to begin, where its connection has to be established
  // first. An attempt that has not begun by then is not made, and its outcome is Status::kNotStarted.
  Micros start_within = Micros::max();
  SendReason reason = SendReason::kReplica;
  // The time from now within which the last byte of the attempt has to arrive. An attempt that has not
  // arrived by then is given up such that it cannot arrive later.
  Micros arrive_within = Micros::max();
  // The time from now within which the last byte of the attempt has to be sent: until then the member's data
  // is known to be recent enough for the read. An attempt whose last byte was not sent by then is not
  // completed, its outcome is Status::kNotStarted, and the request is decided again.
  Micros fresh_within = Micros::max();
};
// Cancel an attempt that is in flight; the caller still has to report its outcome.
struct Cancel {
  RequestId id;
  int attempt;
};
// Answer the request with a rejection; its client may send it again.
struct Reject {
  RequestId id;
  Micros retry_after;  // 0: none is given
  GiveUpReason reason = GiveUpReason::kCannotMeetDeadline;
};
// Answer the request with a failure; it may have run.
struct Fail {
  RequestId id;
  GiveUpReason reason = GiveUpReason::kCannotMeetDeadline;
};
// Probe the member.
struct Probe {
  MemberId member;
};
// Pass TimerFired with this key to the router after this time.
struct SetTimer {
  std::uint64_t key;
  Micros after;
};
// Subscribe to member lists.
struct Subscribe {};
// Write a line to the log.
struct Log {
  std::string text;
};
using Action = std::variant<Send, Cancel, Reject, Fail, Probe, SetTimer, Subscribe, Log>;

// Whether a request that is given up because its process ends may be rejected, so that its client repeats it.
// Otherwise it is failed: it may have run.
bool may_reject_at_shutdown(Effect effect, bool may_have_run);
// Whether a request may be rejected although it has run, since its answer could not be kept for the client.
bool may_reject_after_answer(Effect effect);

// Decides where requests are sent, for all groups that its member lists name.
class Router {
 public:
  // Throws std::invalid_argument, which names the setting, if a setting is invalid.
  Router(Settings settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  // Processes a batch of events and returns the actions, which take effect at `now`, in their order. `now`
  // never decreases from one call to the next.
  std::vector<Action> handle(Micros now, const std::vector<Event>& events);

  // Records that another process of the same proxy serves requests of the same sessions from now on
  // (`is_shared`), or has done so until now. A session may have written through it at any moment of that
  // time, and the session's reads must include such a write.
  void share_sessions(Micros now, bool is_shared);

  std::size_t member_count() const;  // number of known members, including recently removed ones
  // Requests per second that it would send to the member in addition to those in flight.
  double surplus_capacity(MemberId member) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace request_router
