// The interface of badgercourse: what a router is told (settings and events) and what it answers (actions).
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

namespace badgercourse {

using Micros = std::chrono::microseconds;  // a point on the caller's clock, or a span of it
using RequestId = std::uint64_t;           // never reused while the router lives
using MemberId = std::uint32_t;            // one database host; the same after its process restarts
using GroupId = std::int64_t;              // a primary and its replicas

enum class Effect { Pure, Keyed, Unsafe };  // may repeat; repeats are discarded; never twice
enum class KeyScope { All, Zone, Group };   // who discards the repeats of a keyed class
enum class ReadLevel { Write, Fresh, Session, Bounded, Any };  // how current the data must be
enum class Checks { Off, Reject, Hold };         // what a member does with a read it is too far behind for
enum class ListRole { Off, Start, Late };        // what the member list says about roles
enum class ReportMode { Off, Inline, OnProbe };  // where load reports come from
enum class Role { Unknown, Primary, Replica };
enum class Condition { Gone, Ready, Draining };
enum class ListKind { Delta, Full, Cached, Failed };
enum class Status { Success, Failure, Overloaded, TimedOut, Unreachable, Broken, Withdrawn, Void, Absent };

struct RequestClass {
  std::string name;
  ReadLevel level = ReadLevel::Any;
  Effect effect = Effect::Pure;
  KeyScope scope = KeyScope::All;
  Micros aim{0};        // an answer within this earns the full worth
  Micros deadline{0};   // the client's patience over all its tries
  Micros bound{0};      // ReadLevel::Bounded: how old the data may be when the request is sent
  Micros keyWindow{0};  // Effect::Keyed: how long repeats are discarded
  double worth = 1;
  double lateShare = 0;  // part of the worth that is left after the aim
};

struct Tenant {
  std::string name;
  double perSecond = 0;  // requests a second within its share, over all routers
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
  Checks checks = Checks::Off;
  Micros patience{0};         // Checks::Hold: how long a member waits to catch up
  bool positions = false;     // every answer carries a position
  bool carriedMarks = false;  // a session read says how old its last write is
  bool reportPosition = false;
  bool reportRole = false;
  bool reportHeld = false;  // how many requests a member holds
  ReportMode reports = ReportMode::Off;
  ListRole listRole = ListRole::Off;
  // limits
  bool probes = false, peers = false, cancel = false, secondCopies = false, retryAfter = false;
  int maxAttempts = 1;
  Micros maxRetryAfter{0};
  bool askDiscovery = false;  // the list must be asked for
  // guarantees
  Micros answerSlack{0}, drainGrace{0}, fallTime{0}, warmUp{0}, mustAskIn{0};
  double coldShare = 1, tipMultiple = 1;
  bool removalNotBinding = false;
  // prices, points a unit
  double overShareWorth = 1, crossZoneFee = 0, probeFee = 0;
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
  Condition condition = Condition::Ready;
  bool primary = false;
  double weight = 1;
  Micros startedAt{0};  // 0: long past
};
struct MemberList {
  ListKind kind = ListKind::Full;
  std::vector<MemberEntry> entries;
};
struct Request {
  RequestId id = 0;
  std::size_t cls = 0;
  GroupId group = 0;
  std::optional<std::uint64_t> key;  // the session
  std::optional<Micros> writeAge;    // carried: age of the session's last write; 0: none
  Micros expires{0};
  bool retry = false;
  int tenant = -1;
};
struct Outcome {
  RequestId id = 0;
  int attempt = 0;
  MemberId member = 0;
  Status status = Status::Success;
  Micros taken{0};
  bool closed = false;  // the request has had its final answer
  Role role = Role::Unknown;
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
  Micros startWithin = Micros::max();
};
struct Cancel {
  RequestId id;
  int attempt;
};
struct Refuse {
  RequestId id;
  Micros retryAfter;  // 0: no guidance
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
using Action = std::variant<Send, Cancel, Refuse, Fail, Probe, SetTimer, Subscribe, Log>;

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

}  // namespace badgercourse
