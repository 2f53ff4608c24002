#include "slow_start.h"

#include <algorithm>
#include <cmath>

#include "router_state.h"

namespace request_router::internal {
namespace {

// The ratio of the usual latency of a request's class to that of the fastest class, above which a member that
// is warming up does not receive the request: a few such requests would use up its share at once.
constexpr double kHeavyRatio = 3;

// The maximum load of a replica that is warming up, as a multiple of its proportional load. Applies where the
// guaranteed overload multiple is so high that kReplicaGuaranteeFraction of it would allow more.
constexpr double kReplicaLoadMultiple = 2.2;

// The same maximum as a fraction of the guaranteed overload multiple. The rest of the guarantee absorbs
// random variation, because requests do not arrive evenly.
constexpr double kReplicaGuaranteeFraction = 0.733;

// The load of a primary that is warming up, as a fraction of the guaranteed overload multiple. Less than at a
// replica, because no other member can serve writes and they are retried after each rejection.
constexpr double kPrimaryGuaranteeFraction = 0.6;

// The factor by which a primary's fraction is reduced for a member that is tried for writes although it is
// not known to be the primary.
constexpr double kUnconfirmedPrimaryFraction = 0.5;

// The time over which requests that waited for the primary are admitted, as a multiple of their wait. They
// arrived over a time as long as that wait; admitting them over twice that time leaves capacity for requests
// that arrive in the meantime.
constexpr double kBacklogDrainRatio = 2;

// The span over which the usual work is measured, in overload windows: long enough that a burst of one window
// hardly changes it.
constexpr int kUsualWindows = 8;

// Used instead of 1 in the divisor that corrects a level for a short observed time, because that divisor
// would be 0 at the first addition.
constexpr double kLevelOffset = 1.01;

// The ratio of a level to the work of one span: a decaying sum that receives 1 in each span approaches
// 1 / ln 2.
constexpr double kLevelPerSpanWork = 1.44;

bool has_tried(const PendingRequest& pending, const Member& member) {
  return std::any_of(pending.attempts.begin(), pending.attempts.end(),
                     [&](const Attempt& attempt) { return attempt.member == member.id; });
}

// Whether the request is delayed to spread a backlog: requests that waited until the member became primary
// would otherwise all be sent at once, so each draws a point in a time span. The member's id is inverted so
// that this draw differs from the draws for members.
bool waits_for_backlog(const RouterState& state, const Member& member, const PendingRequest& pending) {
  if (!pending.needs_primary()) return false;
  double draw = state.deterministic_fraction(pending.request.id, ~member.id);
  Micros drain_time = scale(member.role.primary_since - pending.arrived_at, kBacklogDrainRatio * draw);
  return state.now - member.role.primary_since < drain_time;
}

double primary_fraction(const RouterState& state, const Member& member, double share) {
  double confirmed = member.role.role == Role::kPrimary ? 1 : kUnconfirmedPrimaryFraction;
  return share * kPrimaryGuaranteeFraction * state.settings.overload_multiple * confirmed;
}

double replica_fraction(const RouterState& state, const Group& group, double share) {
  auto listed = std::count_if(group.members.begin(), group.members.end(),
                              [](const Member* member) { return member->condition != Condition::kGone; });
  double multiple =
      std::min(kReplicaLoadMultiple, kReplicaGuaranteeFraction * state.settings.overload_multiple);
  return share * multiple / std::max(1.0, static_cast<double>(listed) - 1);
}

// The ratio of the usual work to the recent work without this request; at most 1.
double burst_reduction(const RouterState& state, double own_work) {
  const WorkRate& recent = state.work_rates.recent;
  double own_level = own_work / (kLevelPerSpanWork * to_double(recent.span()));
  double other_level = std::max(0.0, recent.level(state.now) - own_level);
  if (other_level <= 0) return 1;
  return std::min(1.0, state.work_rates.usual.level(state.now) / other_level);
}

}  // namespace

void WorkRate::add(Micros now, double work) {
  if (since_ == kNever) since_ = sum_at_ = now;
  sum_ = sum_ * weight(sum_at_, now) + work;
  sum_at_ = now;
}

double WorkRate::level(Micros now) const {
  if (since_ == kNever) return 0;
  return sum_ * weight(sum_at_, now) / (kLevelOffset - weight(since_, now));
}

double WorkRate::weight(Micros from, Micros to) const {
  return std::exp2(-to_double(to - from) / to_double(span_));
}

WorkRates::WorkRates(const Settings& settings)
    : recent(std::max(settings.overload_window, settings.step)), usual(recent.span() * kUsualWindows) {}

void WorkRates::add(Micros now, double work) {
  recent.add(now, work);
  usual.add(now, work);
}

double capacity_share(const RouterState& state, const Member& member) {
  Micros warm_up = state.settings.warm_up;
  if (member.started_at.count() <= 0 || warm_up.count() <= 0) return 1;
  double age = to_double(state.now - member.started_at) / to_double(warm_up);
  if (age >= 1) return 1;
  double initial = state.settings.initial_capacity_share;
  return initial + (1 - initial) * std::max(0.0, age);
}

bool slow_start_admits(const RouterState& state, const Group& group, const Member& member,
                       const PendingRequest& pending) {
  double share = capacity_share(state, member);
  if (share >= 1) return true;
  if (has_tried(pending, member)) return false;
  double own_work = state.latency.typical(pending.request.request_class);
  if (state.latency.relative_latency(pending.request.request_class) > kHeavyRatio) return false;
  if (waits_for_backlog(state, member, pending)) return false;
  double fraction = pending.needs_primary() ? primary_fraction(state, member, share)
                                            : replica_fraction(state, group, share);
  fraction *= burst_reduction(state, own_work);
  return state.deterministic_fraction(pending.request.id, member.id) < fraction;
}

}  // namespace request_router::internal
