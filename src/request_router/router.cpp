// All decisions of request_router. The interface (settings, events, actions, Router) is
// include/request_router/router.h; the mechanism and its exceptions are told in docs/design/decisions.md.
// A batch is absorbed whole first; then new and held requests are decided group by group.
#include "request_router/router.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "validate.h"

namespace request_router {
namespace {

// Tuned values. Each is a plain ratio; what it scales from is named, so nothing here knows a deployment.
constexpr double kSmooth = 0.1;       // weight of a new latency in a class's average at a member
constexpr double kStep = 0.1;         // of a limit: its largest change with one answer
constexpr double kTie = 1.25;         // costs that differ by less are equal
constexpr int kMostAttempts = 8;      // a request: no settings allow more
constexpr int kSameErrors = 2;        // members: a read that failed at so many is not sent again
constexpr int kForget = 32;           // smallest aims: half of what a latency said has faded after so long
constexpr double kRecent = 0.3;       // the same in the recent latency that load(N) is made of
constexpr double kCalmAim = 0.35;     // of the aim: smoothed latency that a member's limit steers for
constexpr double kFirstTotal = 16;    // over all routers: attempts in flight at an unknown member
constexpr double kLeastLimit = 0.25;  // a limit under 1 is one attempt, and a pause after it
constexpr double kLeastTotal = 8;     // over all routers: attempts a primary always takes without crowding
constexpr double kSurely = 2;         // so many times those ahead of a write must fit in the time it has left
constexpr double kFit = 0.5;          // of a class's latency: less time left than this cannot be in time
constexpr double kCrowd = 32;         // requests, of all routers, that a member holds: with more it gets slow
constexpr double kEase = 3;  // of a class's latency: where times are exponential, 95 of 100 take no longer
constexpr double kFitAtOnce = 0.15;   // the same for one that has come just now: a quick answer may still do
constexpr double kRescueWait = 0.35;  // of the aim: a read held longer may ask the primary for spare room
constexpr double kRescueRoom = 0.5;   // of the primary's limit: rescued reads use no more
constexpr double kLastCall = 1.5;     // of its latency at the primary: so late a postponed read goes there
constexpr double kQuiet = 0.125;      // of the smallest aim: silence that raises a question
constexpr double kHeavy = 3;  // times the lightest class's latency: requests too heavy for a cold member
constexpr double kColdReplica = 2.2;   // of the proportional load: what a cold replica is given at most
constexpr double kColdPart = 0.733;    // of the guaranteed multiple: the same; the rest is for chance
constexpr double kBacklog = 2;         // of the time held: what waited for a cold primary is let go over this
constexpr double kColdPrimary = 0.6;   // of the guaranteed multiple: what a cold primary is given
constexpr int kCalmTime = 8;           // fall windows: over so long it is measured what used to be done
constexpr double kCatchUp = 2;         // seconds of log a second: a replica catches up no faster
constexpr double kProbeSpend = 0.005;  // points of the result a request: what all probes may cost
constexpr double kProbesPerRequest = 0.5, kProbeBurst = 72;  // at most; the burst is that of all routers
constexpr double kBadErrors = 0.25;  // share of errors above its peers' at which a member is set aside
constexpr double kOverdue = 2;       // of a class's latency: an attempt out for longer raises a question
constexpr double kVanished = 0.01;   // share of attempts lost in silence from which late ones are called back
constexpr double kVanishedStep = 0.005;  // weight of one attempt in that share
constexpr double kCallBack = 2;          // of a class's latency: a sound member answers within it, mostly
constexpr double kSurelyLate = 5;        // of a class's latency: hardly any request is so long by itself
constexpr int kLong = 4;                 // times the smallest aim: reads that are long against the others
constexpr std::size_t kMarks = 20000;    // sessions remembered
constexpr double kAll = 0.999;           // shares of a plan that add up to more leave nothing out
constexpr double kMixStep = 0.01;        // weight of one read in the shares of classes
constexpr std::uint64_t kTick = 1, kWake = 2;  // timers
constexpr Micros kUnit{1000};                  // the least remaining time of a running read in cost1
constexpr Micros kNone{INT64_MIN / 4};  // never, or unknown: far back, so that differences stay in range

double us(Micros t) { return static_cast<double>(t.count()); }
Micros micros(double us) { return Micros(static_cast<std::int64_t>(us)); }
Micros part(Micros t, double share) { return micros(us(t) * share); }

struct InFlightAttempt {
  RequestId id;
  int attempt;
  std::size_t request_class;
  Micros sent_at;
  bool called_back = false;
};

struct Member {
  MemberId id = 0;
  GroupId group = 0;
  std::string zone;
  bool same_zone = true, saw_draining = false, active = false;
  Condition condition = Condition::kReady;
  Micros told_at = kNone;                    // when the list first said draining or gone
  Micros started_at{0};                      // from the list
  Micros position = kNone;                   // it only rises
  Micros lag{0};                             // now - position when that was heard
  Micros reported = kNone, gap{0}, late{0};  // its reports: last position, spacing, age on arrival
  Role role = Role::kUnknown;
  Micros leads_since = kNone;  // when this router learned that it is the primary
  Micros role_as_of = kNone;   // the time the newest role claim speaks of
  Micros avg_at{0};
  std::vector<double> avg;  // smoothed latency by class, microseconds; 0: none yet
  double strain = 1;        // recent latency over avg: load(N) before its floor
  Micros strain_at{0};
  std::vector<InFlightAttempt> flying;
  double limit = 1;                 // own attempts in flight, from kFirstTotal on
  double pressure = 0, errors = 0;  // smoothed: latency of all classes, in aims; share of errors
  Micros aside_until = kNone, aside_for{0};
  Micros sent_at = kNone, heard_at = kNone;  // heard: any answer at all
  Micros crowded_at = kNone;                 // when it was last known to hold more than it does well with
  Micros mute_at = kNone;                    // since when it is taken to be silent
  Micros probe_at = kNone, probe_gap{0}, last_probe = kNone;
  double probe_took = 0, order = 0;  // order: this router's own of equal members
  Micros miss_at = kNone;            // it turned a read away, being behind
  Micros tried_at = kNone;           // a write was tried there without knowing the primary
};

// Work a time, over about the last `span`.
struct Rate {
  Micros span{1}, since = kNone, at{0};
  double sum = 0;
  double weight(Micros from, Micros to) const { return std::exp2(-us(to - from) / us(span)); }
  void add(Micros now, double work) {
    if (since == kNone) since = at = now;
    sum = sum * weight(at, now) + work;
    at = now;
  }
  double level(Micros now) const {  // corrected for a short past
    return since == kNone ? 0 : sum * weight(at, now) / (1.01 - weight(since, now));
  }
};

struct Attempt {
  MemberId member;
  Micros sent_at;
  bool out, may_have_run, failed = false, called_back = false;
  bool reached = true;  // its member has had it whole
};

struct PendingRequest {
  Request r;
  Micros arrived{0}, useful{0};  // useful: until when an answer earns the full worth
  Micros need = kNone;           // session reads: the position that shows its last write
  std::vector<Attempt> attempts;
  int outs = 0;
  bool planned = false;                             // its group has a plan
  const ZoneShare *own = nullptr, *also = nullptr;  // by the plan: its zone, and one that is open to it too
};

struct Group {
  std::vector<Member*> members;
  std::vector<RequestId> held;
  bool dirty = false, waits = false;
  Micros sought_at = kNone, seek_gap{0};
};

}  // namespace

struct Router::State {
  Settings set;

  std::map<MemberId, Member> members;
  std::map<GroupId, Group> groups;
  std::unordered_map<RequestId, PendingRequest> open;  // looked up, never iterated
  std::unordered_map<std::uint64_t, Micros> marks;     // session -> commit of its last write answered here
  Micros newest_mark = kNone, forgotten = kNone;       // forgotten: the newest mark when all were dropped
  std::vector<Micros> tries;                           // by class: the longest time that a client gave a try
  std::vector<bool> seen;                              // classes of which any answer has come
  std::vector<double> work;                            // smoothed latency by class over all members
  std::map<GroupId, std::vector<ZoneShare>> plans;     // of the fleet; none where there is no such plan
  std::vector<double> mix;  // under a plan: smoothed share of each class in all reads
  std::vector<Action> out;
  Micros wake_at{0}, wake_set = kNone, smallest_aim{0}, now{0}, quiet{0}, tick{0}, half_bound{0}, forget{0};
  Micros tick_at{0}, paused{0};        // when the tick is due; how long this router has just stood still
  std::vector<Group*> dirty, waiting;  // to be decided in this batch; with requests held after the last one
  std::vector<Member*> active;         // with attempts or a probe out: those that are watched
  bool timer_set = false, subscribed = false, ticked = false;
  double probe_tokens = 0, probe_burst = 0, probes_per_request = kProbesPerRequest;
  double vanished = 0;  // share of attempts that no answer came to, though their member was well

  Rate arriving, usual;  // work asked of this router of late, and over a longer time
  std::uint64_t seed = 0;

  State(Settings s, std::uint64_t seed) : set(std::move(s)), seed(seed) {
    set.max_attempts = std::min(set.max_attempts, kMostAttempts);
    Micros latency_objective = Micros::max(), bound = Micros::max();
    for (auto& c : set.classes) {
      latency_objective = std::min(latency_objective, c.latency_objective);
      if (c.level == ReadLevel::kBounded && c.bound.count() > 0) bound = std::min(bound, c.bound);
      work.push_back(us(c.latency_objective) / 5);
      seen.push_back(false);
      tries.push_back(Micros(0));
    }
    smallest_aim = latency_objective;
    quiet = std::max(part(latency_objective, kQuiet), set.step * 3);
    forget = latency_objective * kForget;
    tick = std::max(part(latency_objective, 1.0 / 16), set.step);
    arriving.span = std::max(set.overload_window, set.step);
    usual.span = arriving.span * kCalmTime;
    half_bound = bound == Micros::max() ? latency_objective * 4 : bound / 2;
    // Hundreds that start together must not probe everything at once: each draws its part of one burst.
    probe_burst = std::min(kProbeBurst / 3, kProbeBurst / std::max(1, set.routers));
    probe_tokens = set.routers > 3 ? probe_burst * (1 - 2 * deterministic_fraction(0, ~0u)) : probe_burst;
    if (set.probe_fee > 0) probes_per_request = std::min(probes_per_request, kProbeSpend / set.probe_fee);
  }

  const RequestClass& request_class(const PendingRequest& o) const { return set.classes[o.r.request_class]; }
  bool needs_primary(const PendingRequest& o) const {
    return request_class(o).level == ReadLevel::kWrite || request_class(o).level == ReadLevel::kFresh;
  }

  double first_limit() const { return std::max(1.0, kFirstTotal / std::max(1, set.routers)); }

  void touch(Group& g) {
    if (!std::exchange(g.dirty, true)) dirty.push_back(&g);
  }

  void activate(Member& m) {
    if (!std::exchange(m.active, true)) active.push_back(&m);
  }

  // ---- facts -------------------------------------------------------------------------------------------

  // A role claim counts by the time it speaks of; reports may be late or frozen, answers speak of now.
  void record_role(Member& m, Role role, Micros as_of) {
    if (role == Role::kUnknown || as_of < m.role_as_of) return;
    if (role == Role::kPrimary && m.role != role) m.leads_since = now;
    m.role = role;
    m.role_as_of = as_of;
    touch(groups[m.group]);
  }

  void record_position(Member& m, Micros position) {
    if (position <= m.position) return;
    m.position = position;
    m.lag = now - position;
    touch(groups[m.group]);
  }

  // Reports are renewed now and then and come late: how, is learned while a member keeps up. A probe before
  // the next one is due brings nothing new.
  void cadence(Member& m, Micros position) {
    if (position == m.reported) return;
    if (m.reported != kNone && position > m.reported && now - position < half_bound * 4) {
      Micros gap = position - m.reported, late = now - position;
      m.gap = m.gap.count() == 0 ? gap : std::min(part(m.gap, 1.05), gap);
      m.late = m.late.count() == 0 ? late : std::min(part(m.late, 1.05), late);
    }
    m.reported = position;
  }
  Micros report_due(const Member& m) const {
    return m.gap.count() == 0 || m.reported == kNone ? m.last_probe : m.reported + m.gap + m.late;
  }

  void on_event(Member& m, const Report& report) {
    if (report.held) m.crowded_at = *report.held > kCrowd ? now : kNone;
    if (report.position) {
      cadence(m, *report.position);
      record_position(m, std::min(*report.position - kUnit, now));  // rounded figures: be strict
    }
    if (report.primary)
      record_role(m, *report.primary ? Role::kPrimary : Role::kReplica,
                  report.position.value_or(m.role_as_of));
  }

  // Any answer proves life, whatever the list says.
  void record_response(Member& m) {
    m.heard_at = now;
    if (std::exchange(m.mute_at, kNone) == kNone) return;
    m.probe_gap = quiet;
    touch(groups[m.group]);
  }

  void mark_unresponsive(Member& m) {
    if (m.mute_at != kNone) return;
    m.mute_at = now;
    m.probe_gap = quiet;
    touch(groups[m.group]);
    // Reads out at a silent member are called back for another; between zones a slow way looks the same.
    for (auto& f : m.flying)
      if (set.cancel && m.same_zone && set.classes[f.request_class].effect == Effect::kPure &&
          open.count(f.id) && us(now - f.sent_at) > kOverdue * average(m, f.request_class))
        out.push_back(Cancel{f.id, f.attempt});
  }

  void on_event(const MemberList& list) {
    if (list.kind == ListKind::kFailed) return void(subscribed = false);
    std::map<MemberId, bool> named;
    for (auto& e : list.entries) {
      named[e.member] = true;
      auto [it, fresh] = members.try_emplace(e.member);
      Member& m = it->second;
      if (fresh) {
        m.id = e.member;
        m.group = e.group;
        m.order = deterministic_fraction(0, m.id);
        m.avg.assign(set.classes.size(), 0.0);
        m.probe_gap = quiet;
        m.limit = first_limit();
        groups[e.group].members.push_back(&m);
        if (set.list_role != ListRole::kOff && e.primary)
          m.role = Role::kPrimary;  // a hint, older than any claim
      }
      m.zone = e.zone;
      m.same_zone = e.zone == set.zone;
      if (e.started_at > m.started_at) {
        if (m.role_as_of < e.started_at) m.role = m.role_as_of == kNone ? m.role : Role::kUnknown;
        m.started_at = e.started_at;
      }
      condition(m, e.condition);
    }
    if (list.kind != ListKind::kDelta)
      for (auto& [id, m] : members)
        if (!named.count(id)) condition(m, Condition::kGone);
    prune();
  }

  // Those that have long gone are forgotten, or every choice looks through all there ever were.
  void prune() {
    std::erase_if(members, [&](auto& entry) {
      const Member& m = entry.second;
      bool keep = m.condition != Condition::kGone || now - m.told_at < forget || m.active ||
                  !m.flying.empty() || m.probe_at != kNone || set.removal_not_binding;
      if (!keep) std::erase(groups[m.group].members, &m);
      return !keep;
    });
  }

  void condition(Member& m, Condition c) {
    m.saw_draining = c == Condition::kDraining || (c != Condition::kReady && m.saw_draining);
    m.told_at = c == Condition::kReady ? kNone : m.told_at == kNone ? now : m.told_at;
    m.condition = c;
    touch(groups[m.group]);
  }

  Member* primary(Group& g) {
    Member* best = nullptr;
    for (auto* m : g.members)
      if (m->role == Role::kPrimary && (!best || m->role_as_of > best->role_as_of)) best = m;
    if (!best || best->mute_at != kNone || !may_use(*best, true)) return nullptr;
    return best;
  }

  // ---- candidates --------------------------------------------------------------------------------------

  // The drain rule, kept in this one place. A draining primary may finish its hand-over: half the grace.
  bool may_use(const Member& m, bool as_primary) const {
    if (m.condition == Condition::kReady) return true;
    if (m.condition == Condition::kGone) return set.removal_not_binding && !m.saw_draining;
    return as_primary && now - m.told_at < set.drain_grace / 2;
  }

  double cold_part(const Member& m) const {
    if (m.started_at.count() <= 0 || set.warm_up.count() <= 0) return 1;
    double age = us(now - m.started_at) / us(set.warm_up);
    return age >= 1 ? 1 : set.initial_capacity_share + (1 - set.initial_capacity_share) * std::max(0.0, age);
  }

  // A number from 0 to 1 that is fixed for this router, request and member: fractions are admitted by it.
  double deterministic_fraction(std::uint64_t request, MemberId member) const {
    std::uint64_t x = seed ^ (request * 0x9e3779b97f4a7c15) ^ (std::uint64_t{member} << 32);
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
    x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
    return static_cast<double>((x ^ (x >> 31)) >> 11) * 0x1p-53;
  }

  // The cold-host budget, kept in this one place. A cold member is open to a fraction of all requests: its
  // part of them were it warm, times its share of its capacity. Fractions add up over any number of routers;
  // they fall as more comes in than used to be done. Each request tries a cold member once, a heavy one none.
  bool slow_start_admits(Group& g, const Member& m, const PendingRequest& o) {
    double share = cold_part(m), mine = work[o.r.request_class];
    if (share >= 1) return true;
    for (auto& a : o.attempts)
      if (a.member == m.id) return false;
    if (mine > kHeavy * *std::min_element(work.begin(), work.end())) return false;
    // What was held until the member led would all come at once: it is let go over as long as it was held.
    Micros held = part(m.leads_since - o.arrived, kBacklog * deterministic_fraction(o.r.id, ~m.id));
    if (needs_primary(o) && now - m.leads_since < held) return false;
    double most = share * kColdPrimary * set.overload_multiple * (m.role == Role::kPrimary ? 1 : 0.5);
    if (!needs_primary(o)) {
      auto readers = std::count_if(g.members.begin(), g.members.end(),
                                   [](auto* x) { return x->condition != Condition::kGone; });
      most = share * std::min(kColdReplica, kColdPart * set.overload_multiple) /
             std::max(1.0, static_cast<double>(readers) - 1);
    }
    double others = std::max(0.0, arriving.level(now) - mine / (1.44 * us(arriving.span)));
    if (others > 0) most *= std::min(1.0, usual.level(now) / others);
    return deterministic_fraction(o.r.id, m.id) < most;
  }

  // The limit follows the member's latency. Under one attempt, the next waits a while after the last.
  bool room(Group& g, Member& m, const PendingRequest& o) {
    if (now < m.aside_until || static_cast<double>(m.flying.size()) >= m.limit) return false;
    // What one of hundreds of routers has out there says nothing of what it holds: asked, it tells.
    if (now - m.crowded_at < forget) {
      if (now - m.last_probe > quiet * 4) probe(m);
      return false;
    }
    if (m.limit < 1 && us(now - m.sent_at) < average(m, o.r.request_class) / m.limit) return false;
    return slow_start_admits(g, m, o);
  }

  // What the member must have applied for this read; kNone: anything will do.
  Micros needed(const PendingRequest& o) const {
    if (request_class(o).level == ReadLevel::kBounded) return now - request_class(o).bound;
    return o.need;
  }

  // The lag filter, kept in this one place: only a known position counts.
  static bool fresh(const Member& m, Micros need) { return need == kNone || m.position >= need; }

  // Where members check reads, one slightly behind may be tried: it answers, or turns it away untouched.
  bool may_try(const Member& m, Micros need) const {
    if (set.checks == Checks::kOff) return false;
    if (m.miss_at != kNone && now - m.miss_at < quiet) return false;
    return m.position == kNone || now - m.lag + set.catch_up_timeout >= need ||
           now - std::max(m.miss_at, m.sent_at) > quiet * 4;
  }

  // The fleet's plan, kept in this one place: each read draws its zone and, as far as there is spare room, a
  // second one, the same ones each time. False: no zone is left for it.
  bool assign(PendingRequest& o) {
    auto plan = plans.find(o.r.group);
    o.planned = plan != plans.end() && !needs_primary(o);
    o.own = o.also = nullptr;
    if (!o.planned) return true;
    double all = 0, own = deterministic_fraction(o.r.id, ~2u), also = deterministic_fraction(o.r.id, ~3u);
    for (auto& s : plan->second) all += s.share;
    if (all < kAll && o.attempts.empty() && rank(o) >= all) return false;
    own *= all;
    for (auto& s : plan->second) {
      if (!o.own && (own -= s.share) < 0) o.own = &s;
      if (!o.also && (also -= s.spare) < 0) o.also = &s;
    }
    return true;
  }
  bool allowed(const PendingRequest& o, const Member& m) const {
    return !o.planned || (o.own && o.own->zone == m.zone) || (o.also && o.also->zone == m.zone);
  }
  // From 0, the most worth for its work, to 1: where this read stands among all that come.
  double rank(const PendingRequest& o) const {
    auto value = [&](std::size_t k) { return std::pair(-set.classes[k].priority_weight / work[k], k); };
    double before = deterministic_fraction(o.r.id, ~4u) * mix[o.r.request_class];
    for (std::size_t k = 0; k < mix.size(); ++k)
      if (value(k) < value(o.r.request_class)) before += mix[k];
    return before / std::max(std::accumulate(mix.begin(), mix.end(), 0.0), 1e-9);
  }

  void on_event(const Plan& e) {
    plans = {e.groups.begin(), e.groups.end()};
    mix.resize(set.classes.size(), 0.0);
    for (auto& [id, g] : groups) touch(g);
  }

  // ---- cost --------------------------------------------------------------------------------------------

  double average(const Member& m, std::size_t c) const {
    if (m.avg[c] > 0) return work[c] + (m.avg[c] - work[c]) * std::exp2(-us(now - m.avg_at) / us(forget));
    return work[c];  // nothing seen of this class here: what it takes elsewhere, at first a share of its aim
  }

  double load(const Member& m) const {
    double faded = 1 + (m.strain - 1) * std::exp2(-us(now - m.strain_at) / us(quiet * 16));
    return std::max(1.0, faded);
  }

  // cost1 of the design page over own attempts in flight; a class never seen there is seeded with its aim.
  mutable std::vector<double> seeds;
  double cost1(const Member& m, std::size_t c) const {
    auto seeded = [&](std::size_t k) {
      return seen[k] ? average(m, k) : us(set.classes[k].latency_objective);
    };
    double l = load(m), mine = seeded(c), sum = mine;
    seeds.assign(set.classes.size(), 0.0);  // one a class: a member may have hundreds in flight
    for (auto& f : m.flying) {
      double& seed = seeds[f.request_class];
      if (seed == 0) seed = seeded(f.request_class);
      sum += std::min(mine, std::max(us(kUnit), seed - us(now - f.sent_at) / l));
    }
    return l * sum;
  }

  // ---- send, postpone, refuse --------------------------------------------------------------------------

  void send(PendingRequest& o, Member& m) {
    // The client's own time: a shorter one would not free the member, but hide its work from the count here.
    Micros timeout = std::max(o.r.expires - now, Micros(1));
    o.attempts.push_back({m.id, now, true, false});
    ++o.outs;
    activate(m);
    m.flying.push_back({o.r.id, static_cast<int>(o.attempts.size()) - 1, o.r.request_class, now});
    m.sent_at = now;
    out.push_back(Send{o.r.id, m.id, timeout, start_within(o, m)});
  }

  // A connection may come up when a repeat's window, or the grace of a drain told meanwhile, is over.
  Micros start_within(const PendingRequest& o, const Member& m) const {
    Micros told = m.told_at == kNone ? now : m.told_at;
    Micros within = set.drain_grace.count() > 0 ? told + set.drain_grace - now : Micros::max();
    for (auto& a : o.attempts)
      if (a.may_have_run && request_class(o).effect == Effect::kKeyed)
        within = std::min(within, a.sent_at + request_class(o).key_window - set.step * 2 - now);
    return within;
  }

  static bool failed_at(const PendingRequest& o, const Member& m) {
    return std::any_of(o.attempts.begin(), o.attempts.end(),
                       [&](auto& a) { return a.failed && a.member == m.id; });
  }

  bool ran_maybe(const PendingRequest& o) const {
    return std::any_of(o.attempts.begin(), o.attempts.end(), [](auto& a) { return a.out || a.may_have_run; });
  }

  // Whether the request may be sent (again): the rule on effects, kept here and in may_refuse.
  bool may_send(const PendingRequest& o) const {
    if (o.outs > 0 || static_cast<int>(o.attempts.size()) >= set.max_attempts) return false;
    const auto& c = request_class(o);
    // An error that follows the request from member to member is the request's own.
    auto failures = std::count_if(o.attempts.begin(), o.attempts.end(), [](auto& a) { return a.failed; });
    if (failures >= kSameErrors + needs_primary(o)) return false;
    if (c.effect == Effect::kPure || !ran_maybe(o)) return true;
    if (c.effect == Effect::kUnsafe || c.scope == KeyScope::kZone) return false;
    for (auto& a : o.attempts)
      if (a.may_have_run) return now - a.sent_at < c.key_window - set.step * 2;
    return true;
  }

  bool may_refuse(const PendingRequest& o) const {
    const auto& c = request_class(o);
    return c.effect == Effect::kPure || !ran_maybe(o) ||
           (c.effect == Effect::kKeyed && c.scope == KeyScope::kAll);
  }

  void finish(PendingRequest& o) {
    RequestId id = o.r.id;
    // Spread, lest all that were refused in one trouble come back as one.
    Micros most = set.retry_after ? set.max_retry_after : Micros(0);
    Micros after = std::min(
        most, part(request_class(o).latency_objective, 0.25 + 0.5 * deterministic_fraction(id, ~1u)));
    out.push_back(may_refuse(o) ? Action(Reject{id, after}) : Action(Fail{id}));
    open.erase(id);
  }

  // True where the request can no longer be worth anything, or where waiting would cost more than it brings:
  // a client kept for over half its time, while no member has had its request, can hardly ask again. A write
  // that waits for a known primary is worth something late: it waits where the `ahead` leave room for it.
  bool cannot_meet_deadline(Group& g, const PendingRequest& o, double ahead) {
    const auto& c = request_class(o);
    bool reached = std::any_of(o.attempts.begin(), o.attempts.end(), [](auto& a) { return a.reached; });
    Member* lead = c.late_weight_share > 0 && needs_primary(o) ? primary(g) : nullptr;
    double turns = lead ? us(o.r.expires - now) * lead->limit / average(*lead, o.r.request_class) : 0;
    bool soon = reached || turns > kSurely * (ahead + 1);
    if (!soon && now + tick >= o.arrived + (o.r.expires - o.arrived) / 2) return true;
    Micros until = c.late_weight_share > 0 ? o.r.expires : o.useful;
    double fit = now == o.arrived ? kFitAtOnce : kFit;
    return now + micros(fit * work[o.r.request_class]) >= until || !may_send(o);
  }

  // The least cost1. Costs that differ by no more than chance are equal: then the same zone goes first, then
  // each router's own order, lest hundreds with the same knowledge choose alike.
  Member* cheapest(const std::vector<std::pair<double, Member*>>& ranked) const {
    Member* best = nullptr;
    double least = 1e300;
    for (auto& [cost, m] : ranked) least = std::min(least, cost);
    for (auto& [cost, m] : ranked) {
      if (cost > least * kTie) continue;
      if (!best || (m->same_zone != best->same_zone ? m->same_zone : m->order < best->order)) best = m;
    }
    return best;
  }

  Member* choose(Group& g, PendingRequest& o) {
    Member* lead = primary(g);
    std::size_t c = o.r.request_class;
    if (needs_primary(o)) {
      if (lead) return room(g, *lead, o) ? lead : nullptr;
      return probe_for_primary(g, o);
    }
    Micros need = needed(o);
    Member* best = nullptr;
    std::vector<std::pair<double, Member*>> ranked;
    bool replicas = false, kept_up = request_class(o).level != ReadLevel::kBounded;
    auto look = [&](bool behind) {
      for (auto* m : g.members) {
        if (m == lead || m->mute_at != kNone || !may_use(*m, false) || failed_at(o, *m)) continue;
        replicas = true;
        kept_up = kept_up || (m->position != kNone && m->lag - m->late <= request_class(o).bound);
        if (!allowed(o, *m)) continue;
        if (fresh(*m, need) == behind || (behind && !may_try(*m, need)) || !room(g, *m, o)) continue;
        ranked.emplace_back(cost1(*m, c), m);
      }
    };
    // Exception: a long read that any member may serve goes where freshness is spent already, or to the same
    // replica each time: a member may apply nothing while it holds one, and spread they make all lag.
    if (request_class(o).level == ReadLevel::kAny &&
        request_class(o).latency_objective >= smallest_aim * kLong)
      for (auto* m : g.members) {
        if (m == lead || m->mute_at != kNone || !may_use(*m, false) || failed_at(o, *m)) continue;
        if (!allowed(o, *m) || cold_part(*m) < 1 || !room(g, *m, o)) continue;
        replicas = true;
        if (cost1(*m, c) > us(request_class(o).latency_objective)) continue;
        bool stale = m->position < now - half_bound * 4;
        bool best_stale = best && best->position < now - half_bound * 4;
        if (!best || (stale != best_stale ? stale : m->order < best->order)) best = m;
      }
    if (best) return best;
    look(false);
    if (ranked.empty() && need != kNone && static_cast<int>(o.attempts.size()) < set.max_attempts - 2)
      look(true);
    if (!ranked.empty()) return cheapest(ranked);
    // Exception to postponing: no replica is left, or the read waited long and the primary has spare room.
    if (!lead || !room(g, *lead, o)) return nullptr;
    // Where limits are too small to speak of half of one, it takes twice a member's part of the reads.
    if (lead->limit * kRescueRoom < 1 &&
        deterministic_fraction(o.r.id, ~lead->id) * static_cast<double>(g.members.size()) > 2)
      return nullptr;
    if (!replicas) return lead;
    // A bounded read stays postponed while every replica truly lags, until the last moment at which the
    // primary can answer in time; where one kept up when last heard of, it need not wait so long.
    if (static_cast<double>(lead->flying.size()) >= lead->limit * kRescueRoom) return nullptr;
    Micros wait = part(o.useful - o.arrived, kRescueWait);
    Micros last_call = o.useful - micros(kLastCall * load(*lead) * average(*lead, c));
    Micros from = kept_up ? o.arrived + wait : std::max(o.arrived + wait, last_call);
    if (now < from) wake_at = std::min(wake_at, from);
    return now >= from ? lead : nullptr;
  }

  // No primary is known: a write that replicas turn away untouched is tried, one a while, at each member in
  // turn, first where the role is unknown, then the one furthest on; at a cold one within its budget.
  // A read is tried only where members check it: elsewhere a replica answers it from what it has.
  Member* probe_for_primary(Group& g, PendingRequest& o) {
    if (request_class(o).level == ReadLevel::kFresh && set.checks == Checks::kOff) return nullptr;
    if (static_cast<int>(o.attempts.size()) >= set.max_attempts - 2) return nullptr;
    if (g.members.empty()) return nullptr;  // all have gone and are forgotten
    Member* best = nullptr;
    // Known replicas are tried ever more seldom, so that the attempts last as long as an election may take.
    Micros again = o.attempts.size() < g.members.size()
                       ? now
                       : o.attempts.back().sent_at + quiet * (1 << o.attempts.size());
    for (auto* m : g.members) {
      if (m->mute_at != kNone || !may_use(*m, true)) continue;
      if (probe_tokens > 1 && now - m->heard_at > quiet * 4) continue;  // a probe asks it first
      if ((m->tried_at != kNone && now - m->tried_at < quiet * 2) || !room(g, *m, o)) continue;
      if (m->role != Role::kUnknown && now < again) continue;
      auto rank = [&](Member& x) {
        auto tries =
            std::count_if(o.attempts.begin(), o.attempts.end(), [&](auto& a) { return a.member == x.id; });
        return std::tuple(-tries, x.role == Role::kUnknown, cold_part(x) >= 1, x.position);
      };
      if (!best || rank(*m) > rank(*best)) best = m;
    }
    if (best) best->tried_at = now;
    return best;
  }

  // Worth for its work: less where so little time is left that it may well come late.
  double value_per_work(const PendingRequest& o) const {
    double ease = us(o.useful - now) / (kEase * work[o.r.request_class]);
    return request_class(o).priority_weight * std::clamp(ease, 0.0, 1.0) / work[o.r.request_class];
  }

  void decide(Group& g) {
    g.dirty = false;
    auto held = std::move(g.held);
    g.held.clear();
    std::vector<PendingRequest*> wait;
    double writes = 0;
    for (auto id : held) {
      auto it = open.find(id);
      if (it == open.end()) continue;
      if (!assign(it->second) || cannot_meet_deadline(g, it->second, writes)) {
        finish(it->second);
      } else {
        wait.push_back(&it->second);
        writes += needs_primary(it->second);
      }
    }
    // What is worth more for its work goes first, then the older; what is late goes last.
    std::stable_sort(wait.begin(), wait.end(), [&](PendingRequest* a, PendingRequest* b) {
      return std::pair(-value_per_work(*a), a->arrived) < std::pair(-value_per_work(*b), b->arrived);
    });
    bool seek_role = false, seek_position = false;
    for (auto* o : wait) {
      if (Member* m = choose(g, *o)) {
        send(*o, *m);
        continue;
      }
      (needs_primary(*o) ? seek_role : seek_position) = true;
      g.held.push_back(o->r.id);
    }
    if (primary(g)) g.seek_gap = quiet;
    if (seek_role && !primary(g)) seek(g);
    if (seek_position) refresh(g);
    if (!wait.empty()) ask_silent(g);
    if (!g.held.empty() && !std::exchange(g.waits, true)) waiting.push_back(&g);
  }

  void probe(Member& m) {
    if (!set.probes || m.probe_at != kNone || probe_tokens <= -probe_burst) return;
    m.probe_at = m.last_probe = now;
    activate(m);
    probe_tokens -= 1;
    out.push_back(Probe{m.id});
  }

  void seek(Group& g) {
    if (g.sought_at != kNone && now - g.sought_at < g.seek_gap) return;
    // Nothing is tried out where members check nothing, so there a first search goes beyond the budget.
    if (set.checks == Checks::kOff && g.sought_at == kNone) probe_tokens += 1.0 * g.members.size();
    g.sought_at = now;
    g.seek_gap = std::min(g.seek_gap * 2, quiet * 8);
    for (auto* m : g.members)
      if (may_use(*m, true) && (m->mute_at == kNone || now - m->last_probe > m->probe_gap)) probe(*m);
  }

  // Held reads wait for positions: ask replicas that are too old for one, cheapest first, each when due.
  void refresh(Group& g) {
    Member* lead = primary(g);
    Member* best = nullptr;
    Micros soonest = wake_at, easiest = now, hardest = kNone;  // positions that would free one read, and all
    for (auto id : g.held) {
      Micros need = needs_primary(open.at(id)) ? kNone : needed(open.at(id));
      if (need != kNone) easiest = std::min(easiest, need), hardest = std::max(hardest, need);
    }
    for (auto* m : g.members) {
      if (m == lead || m->mute_at != kNone || !may_use(*m, false) || fresh(*m, hardest)) continue;
      if (m->probe_at != kNone) return;
      Micros due = std::max(report_due(*m), m->last_probe + std::min(quiet, half_bound / 2) / 2);
      if (m->position != kNone)
        due = std::max(due, m->last_probe + part(easiest - m->position, 1 / kCatchUp));
      if (due > now)
        soonest = std::min(soonest, due);
      else if (!best || cost1(*m, 0) < cost1(*best, 0))
        best = m;
    }
    if (best) return probe(*best);
    wake_at = soonest;
  }

  // ---- outcomes ----------------------------------------------------------------------------------------

  void on_event(const Outcome& e) {
    auto found = members.find(e.member);
    if (found == members.end()) return;
    Member& m = found->second;
    Group& g = groups[m.group];
    touch(g);
    std::optional<InFlightAttempt> flight;
    for (std::size_t i = 0; i < m.flying.size(); ++i)
      if (m.flying[i].id == e.id && m.flying[i].attempt == e.attempt) {
        flight = m.flying[i];
        m.flying.erase(m.flying.begin() + static_cast<std::ptrdiff_t>(i));
        break;
      }
    bool answered = e.status == Status::kSuccess || e.status == Status::kFailure ||
                    e.status == Status::kOverloaded || e.status == Status::kDeclined;
    if (answered || e.status == Status::kBroken) record_response(m);
    record_role(m, e.role, now);
    if (e.position) record_position(m, std::min(*e.position - kUnit, now));
    on_event(m, e.report);
    if (e.status == Status::kUnreachable)
      mark_unresponsive(m);  // down, or full of connections: probes do not tell
    if (e.status == Status::kUnreachable && m.role != Role::kPrimary) back_off(m);
    auto it = open.find(e.id);
    if (flight) {
      const auto& c = set.classes[flight->request_class];
      if (e.status == Status::kDeclined) {
        if (c.level == ReadLevel::kWrite)
          record_role(m, Role::kReplica, m.tried_at = now);
        else
          m.miss_at = now;
      }
      bool hurried = it != open.end() && out_of_time(m, it->second, *flight, e);
      if (!hurried && !lost_in_silence(m, *flight, e)) judge(m, *flight, e);
      if (it != open.end() && !hurried && (e.status == Status::kSuccess || lost_in_silence(m, *flight, e)))
        count_vanished(it->second, e);
      if (it != open.end()) blame(m, it->second, e);
      if (it != open.end() && e.status == Status::kSuccess) learn(m, it->second, *flight, e);
    }
    if (it == open.end()) return;
    PendingRequest& o = it->second;
    if (e.attempt >= 0 && e.attempt < static_cast<int>(o.attempts.size()) && o.attempts[e.attempt].out) {
      auto& a = o.attempts[e.attempt];
      a.out = false;
      a.failed = e.status == Status::kFailure;
      --o.outs;
      a.reached = e.status != Status::kUnreachable && e.status != Status::kNotStarted;
      a.may_have_run = !(e.status == Status::kOverloaded || e.status == Status::kUnreachable ||
                         e.status == Status::kNotStarted || e.status == Status::kDeclined);
    }
    if (e.closed || e.status == Status::kSuccess)
      open.erase(it);
    else if (o.outs == 0)
      g.held.push_back(o.r.id);
  }

  // A success shows more than its note: a write's commit, and where members check reads, how far this one is.
  void learn(Member& m, const PendingRequest& o, const InFlightAttempt& f, const Outcome& e) {
    const auto& c = request_class(o);
    if (c.level == ReadLevel::kWrite && o.r.key) {
      if (marks.size() >= kMarks) marks.clear(), forgotten = newest_mark;  // for every session: the strictest
      auto& mark = marks.try_emplace(*o.r.key, kNone).first->second;
      mark = std::max(mark, e.position.value_or(now));
      newest_mark = std::max(newest_mark, mark);
    }
    if (set.checks == Checks::kOff || m.role == Role::kPrimary) return;
    if (c.level == ReadLevel::kBounded) record_position(m, f.sent_at - c.bound);
    if (o.need != kNone) record_position(m, o.need);
  }

  // Latency that stays high with hardly anything in flight is no crowding (a write may wait for a replica): a
  // limit that fell further would make requests wait here. Reads have other members to go to.
  double least_limit(const Member& m) const {
    double share = m.role == Role::kPrimary ? kLeastTotal / std::max(1, set.routers) : 0;
    return std::max(kLeastLimit, share);
  }

  void judge(Member& m, const InFlightAttempt& f, const Outcome& e) {
    const auto& c = set.classes[f.request_class];
    double took = us(e.taken.count() > 0 ? e.taken : now - f.sent_at);  // this router may have stood still
    bool slow = e.status == Status::kTimedOut || e.status == Status::kOverloaded;
    if (set.probes && set.report_in_flight && (slow || took > us(c.latency_objective))) m.crowded_at = now;
    if (e.status == Status::kSuccess || e.status == Status::kTimedOut) {
      double& avg = m.avg[f.request_class];
      if (e.status == Status::kSuccess) {
        work[f.request_class] += kSmooth / 4 * (took - work[f.request_class]);
        for (std::size_t k = 0; k < m.avg.size(); ++k) m.avg[k] = average(m, k);
        m.avg_at = now;
        avg += kSmooth * (took - avg);
        seen[f.request_class] = true;
        m.aside_for = Micros(0);
      }
      m.strain = load(m);
      m.strain += kRecent * (took / std::max(1.0, average(m, f.request_class)) - m.strain);
      m.strain_at = now;
    }
    // The limit follows the smoothed latency, in aims: single long requests do not shake it, crowding does.
    if (e.status == Status::kSuccess || slow) {
      m.pressure +=
          kRecent * ((e.status == Status::kOverloaded ? 1 : std::min(2.0, took / us(c.latency_objective))) -
                     m.pressure);
      double off = std::clamp(1 - m.pressure / kCalmAim, -1.0, 0.5);
      if (off < 0 || static_cast<double>(m.flying.size()) + 1 > m.limit / 2)
        m.limit = std::clamp(m.limit * (1 + kStep * off), least_limit(m), 256.0);
    }
  }

  // An error counts once the same request has gone well elsewhere; a broken connection is the member's own.
  void blame(Member& m, const PendingRequest& o, const Outcome& e) {
    if (e.status == Status::kBroken) charge(m);
    if (e.status != Status::kSuccess) return;
    m.errors -= kSmooth * m.errors;
    for (auto& a : o.attempts)
      if (a.failed && a.member != m.id && members.count(a.member)) charge(members.at(a.member));
  }
  void charge(Member& m) {
    m.errors += kSmooth * (1 - m.errors);
    if (m.role != Role::kPrimary) eject_if_outlier(m);
  }

  // Left alone for a while, ever longer until it has served; each router for a time of its own.
  void back_off(Member& m) {
    m.aside_for = std::clamp(m.aside_for * 2, quiet * 4, quiet * 32);
    m.aside_until = now + part(m.aside_for, 0.5 + m.order);
  }

  // Outlier ejection: a member that errs far more than its peers is left alone for a while, then tried again.
  void eject_if_outlier(Member& m) {
    double peers = 0;
    int n = 0;
    for (auto* other : groups[m.group].members)
      if (other != &m && other->mute_at == kNone && other->condition == Condition::kReady)
        peers += other->errors, ++n;
    if (n == 0 || m.errors < peers / n + kBadErrors) return;
    back_off(m);
    m.errors = kBadErrors / 2;
  }

  // ---- timers ------------------------------------------------------------------------------------------

  // Silence is judged by probes: a member whose answer is overdue is asked, and one that is silent even then
  // gets nothing new until it is heard of. How long a probe may take is learned: a slow way slows them all.
  void watch(Member& m) {
    if (m.probe_at != kNone) {
      if (now - m.probe_at > std::max(quiet, micros(4 * m.probe_took))) mark_unresponsive(m);
      return;
    }
    if (m.mute_at != kNone || m.flying.empty()) return;
    Micros waited = now - std::max(m.flying.front().sent_at, m.heard_at);
    double usual = 1e18;
    for (auto& f : m.flying) usual = std::min(usual, average(m, f.request_class));
    if (waited <= quiet || us(waited) <= usual * kOverdue) return;
    if (set.probes)
      probe(m);
    else if (us(waited) > usual * 4)
      mark_unresponsive(m);
  }

  void watch_active() {
    auto old = std::move(active);
    active.clear();
    for (auto* m : old) {
      m->active = false;
      cancel_and_retry(*m);
      watch(*m);
      if (m->probe_at != kNone || !m->flying.empty()) activate(*m);
    }
  }

  // A member may be well and one connection to it silent: no probe tells. Once such losses are seen, an
  // attempt is called back when another can just be in time; else what takes long would take long again.
  void cancel_and_retry(Member& m) {
    if (!set.cancel || vanished < kVanished) return;
    for (auto& f : m.flying) {
      auto it = open.find(f.id);
      if (it == open.end() || f.called_back) continue;
      PendingRequest& o = it->second;
      const auto& c = request_class(o);
      bool again = c.effect == Effect::kPure || (c.effect == Effect::kKeyed && c.scope != KeyScope::kZone &&
                                                 now - o.attempts[0].sent_at < c.key_window / 2);
      if (!again || static_cast<int>(o.attempts.size()) + 1 >= set.max_attempts) continue;
      Micros usual = micros(average(m, f.request_class)), until = o.useful;
      if (c.late_weight_share > 0 && now >= until) until = o.r.expires;
      Micros from = std::max(until - part(usual, kCallBack), f.sent_at + part(usual, kSurelyLate));
      if (now < from || now > until - usual) continue;
      f.called_back = o.attempts[f.attempt].called_back = true;
      out.push_back(Cancel{f.id, f.attempt});
    }
  }

  // Timed out because its client waits less than such a request takes: that says nothing of load.
  bool out_of_time(const Member& m, const PendingRequest& o, const InFlightAttempt& f,
                   const Outcome& e) const {
    return e.status == Status::kTimedOut &&
           us(o.r.expires - o.arrived) < kOverdue * average(m, f.request_class);
  }

  // Timed out at a member that was quick for others meanwhile: the connection's loss, not the member's.
  bool lost_in_silence(const Member& m, const InFlightAttempt& f, const Outcome& e) const {
    return e.status == Status::kTimedOut && us(now - f.sent_at) > kSurelyLate * average(m, f.request_class) &&
           load(m) < kOverdue && m.heard_at > f.sent_at + (now - f.sent_at) / 2;
  }

  // An attempt came to its end. One that was called back had vanished if the next was answered far sooner.
  void count_vanished(const PendingRequest& o, const Outcome& e) {
    double lost = e.status == Status::kTimedOut;
    if (e.attempt > 0 && e.attempt < static_cast<int>(o.attempts.size())) {
      auto &last = o.attempts[e.attempt - 1], &a = o.attempts[e.attempt];
      if (last.called_back && e.taken * 2 < a.sent_at - last.sent_at) lost = 1;
    }
    vanished += kVanishedStep * (lost - vanished);
  }

  // Silent members are asked again when a request comes that they might have served, ever more seldom.
  void ask_silent(Group& g) {
    for (auto* m : g.members) {
      if (m->mute_at == kNone || !may_use(*m, true) || now - m->last_probe < m->probe_gap) continue;
      m->probe_gap = std::min(m->probe_gap * 2, quiet * 16);
      if (set.probes)
        probe(*m);
      else if (now - m->mute_at > quiet * 32)
        record_response(*m);
    }
  }

  void on_event(const ProbeResult& e) {
    auto it = members.find(e.member);
    if (it == members.end()) return;
    Member& m = it->second;
    m.probe_at = kNone;
    if (!e.ok) return mark_unresponsive(m);
    m.probe_took = std::max(us(e.taken), m.probe_took + 0.2 * (us(e.taken) - m.probe_took));
    record_response(m);
    if (!e.report.held) m.crowded_at = kNone;  // its report does not say
    on_event(m, e.report);
  }

  void on_event(const Request& r) {
    PendingRequest o;
    o.r = r;
    const auto& c = set.classes.at(r.request_class);
    // After a pause of this router's own, requests are older than they look: a try lasts as long as it did
    // before, so its end tells when it began. What cannot be in time any more is then refused at once.
    Micros lasts = std::max(tries[r.request_class], r.expires - now);
    o.arrived = std::clamp(r.expires - lasts, now - paused, now);
    tries[r.request_class] = lasts;
    for (auto* rate : {&arriving, &usual}) rate->add(now, work[r.request_class]);
    if (!plans.empty() && c.level != ReadLevel::kWrite && c.level != ReadLevel::kFresh)
      for (std::size_t k = 0; k < mix.size(); ++k) mix[k] += kMixStep * ((k == r.request_class) - mix[k]);
    o.useful = std::min(r.expires, o.arrived + c.latency_objective);
    if (c.level == ReadLevel::kSession) {
      if (set.client_carries_write_age) {
        if (r.write_age && r.write_age->count() > 0) o.need = now - *r.write_age;
      } else if (r.key) {
        auto mark = marks.find(*r.key);
        o.need = mark != marks.end() ? mark->second : forgotten;
      }
    }
    probe_tokens = std::min(probe_burst, probe_tokens + probes_per_request);
    PendingRequest& kept = open.emplace(r.id, std::move(o)).first->second;
    auto group = groups.find(r.group);
    if (group == groups.end()) return finish(kept);  // clients may name any number: nothing is kept for it
    group->second.held.push_back(r.id);
    touch(group->second);
  }

  void on_event(const ClientGone& e) { open.erase(e.id); }
  template <class Ignored>
  void on_event(const Ignored&) {}
  void on_event(const TimerFired& e) {
    for (auto* g : std::exchange(waiting, {})) {
      g->waits = false;
      touch(*g);
    }
    if (e.key == kTick) ticked = true, timer_set = false;
  }

  std::vector<Action> handle(Micros at, const std::vector<Event>& events) {
    // What is fed at one moment may come in several calls: the pause before it is the same for all of them.
    if (at > now) paused = timer_set && at - tick_at > quiet ? at - now : Micros(0);
    now = std::max(now, at);
    out.clear();
    ticked = false;
    for (auto& event : events) std::visit([this](auto& e) { on_event(e); }, event);
    if (ticked) watch_active();
    wake_at = now + tick;
    for (std::size_t i = 0; i < dirty.size(); ++i) decide(*dirty[i]);
    dirty.clear();
    if (set.poll_discovery && !std::exchange(subscribed, true)) out.push_back(Subscribe{});
    if ((!open.empty() || !active.empty()) && !std::exchange(timer_set, true))
      out.push_back(SetTimer{kTick, tick}), tick_at = now + tick;
    if (wake_at < now + tick && (wake_set <= now || wake_at < wake_set)) {
      out.push_back(SetTimer{kWake, std::max(wake_at - now, set.step)});
      wake_set = wake_at;
    }
    return std::move(out);
  }
};

Router::Router(Settings settings, std::uint64_t seed)
    : state_((validate(settings), std::make_unique<State>(std::move(settings), seed))) {}
std::size_t Router::members() const { return state_->members.size(); }
double Router::room(MemberId member) const {
  auto it = state_->members.find(member);
  if (it == state_->members.end() || it->second.mute_at != kNone || it->second.condition != Condition::kReady)
    return 0;
  auto& work = state_->work;
  double free = it->second.limit - static_cast<double>(it->second.flying.size());
  return std::max(0.0, free) * 1e6 / *std::min_element(work.begin(), work.end());
}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;
std::vector<Action> Router::handle(Micros now, const std::vector<Event>& events) {
  return state_->handle(now, events);
}

}  // namespace request_router
