#include "concurrency_limit.h"

#include <algorithm>

#include "router_state.h"

namespace request_router::internal {
namespace {

// Attempts in flight at a member of which nothing is known, over all routers; one each at least. The total
// does not depend on their number, or a new member would be flooded by hundreds of routers.
constexpr double kInitialTotal = 16;

// Attempts in flight that a primary always takes without crowding, over all routers. With so few in flight,
// high latency does not come from crowding (a write may wait for a replica), and writes have nowhere else to
// go: a limit that fell further would only make them wait here.
constexpr double kPrimaryFloorTotal = 8;

// The floor of any member's limit: one attempt, and a pause of four times its usual latency.
constexpr double kLeastLimit = 0.25;

// The ceiling of any member's limit: far above what a member takes, it only bounds the growth.
constexpr double kMostLimit = 256;

// The largest change of a limit with one answer, as a fraction of the limit: one answer says little.
constexpr double kLimitStep = 0.1;

// The smoothed latency that a limit steers for, as a fraction of the latency objective. It leaves room for
// the scatter of single requests below the objective.
constexpr double kTargetLatencyFraction = 0.35;

// Weight of a new latency in that smoothed latency. A plain ratio: about the last three answers count, so
// that a queue that builds up is noticed before it is long.
constexpr double kPressureSmoothing = 0.3;

// One latency counts as no more than so many objectives, so that one extreme does not rule the average.
constexpr double kMostPressure = 2;

// The limit rises at most half as fast as it falls: too low costs a little waiting, too high costs a queue.
constexpr double kMostDecrease = -1;
constexpr double kMostIncrease = 0.5;

// Requests of all routers that a member holds: with more it is taken to be slow. A count at the member, so it
// does not scale with the number of routers; each of them has too few in flight to see crowding in its own.
constexpr double kMaxRequestsAtMember = 32;

// An overloaded member is asked again after so many silences, half of the smallest latency objective.
constexpr int kOverloadProbeSilences = 4;

double least_limit(const RouterState& state, const Member& member) {
  if (member.role.role != Role::kPrimary) return kLeastLimit;
  return std::max(kLeastLimit, kPrimaryFloorTotal / std::max(1, state.settings.routers));
}

double latency_in_objectives(const Outcome& outcome, double duration, const RequestClass& request_class) {
  if (outcome.status == Status::kOverloaded) return 1;
  return std::min(kMostPressure, duration / to_double(request_class.latency_objective));
}

}  // namespace

double initial_concurrency_limit(const Settings& settings) {
  return std::max(1.0, kInitialTotal / std::max(1, settings.routers));
}

void record_request_count(Member& member, double requests, Micros now) {
  member.concurrency.overloaded_at = requests > kMaxRequestsAtMember ? now : kNever;
}

void update_concurrency_limit(const RouterState& state, Member& member, const InFlightAttempt& attempt,
                              const Outcome& outcome) {
  MemberConcurrency& concurrency = member.concurrency;
  const RequestClass& request_class = state.settings.classes[attempt.request_class];
  double duration = attempt_duration(state, attempt, outcome);
  bool is_slow = outcome.status == Status::kTimedOut || outcome.status == Status::kOverloaded;
  bool is_late = is_slow || duration > to_double(request_class.latency_objective);
  if (state.settings.probes && state.settings.report_in_flight && is_late)
    concurrency.overloaded_at = state.now;
  if (outcome.status != Status::kSuccess && !is_slow) return;
  double observed = latency_in_objectives(outcome, duration, request_class);
  concurrency.pressure += kPressureSmoothing * (observed - concurrency.pressure);
  double change = std::clamp(1 - concurrency.pressure / kTargetLatencyFraction, kMostDecrease, kMostIncrease);
  // A limit that is hardly used says nothing about a higher one.
  bool is_used = static_cast<double>(member.in_flight.size()) + 1 > concurrency.limit / 2;
  if (change >= 0 && !is_used) return;
  concurrency.limit =
      std::clamp(concurrency.limit * (1 + kLimitStep * change), least_limit(state, member), kMostLimit);
}

bool has_capacity(RouterState& state, const Group& group, Member& member, const PendingRequest& pending) {
  const MemberConcurrency& concurrency = member.concurrency;
  if (state.now < member.ejection.ejected_until) return false;
  if (static_cast<double>(member.in_flight.size()) >= concurrency.limit) return false;
  // What one of hundreds of routers has in flight there says nothing of what the member holds.
  if (state.now - concurrency.overloaded_at < state.spans.observation_half_life) {
    if (state.now - member.probing.last_sent_at > state.spans.silence_limit * kOverloadProbeSilences)
      send_probe(state, member);
    return false;
  }
  if (concurrency.limit < 1) {
    double pause = state.average_latency(member, pending.request.request_class) / concurrency.limit;
    if (to_double(state.now - member.last_sent_at) < pause) return false;
  }
  return slow_start_admits(state, group, member, pending);
}

double surplus_capacity(const RouterState& state, MemberId member) {
  auto known = state.members.find(member);
  if (known == state.members.end()) return 0;
  const Member& found = known->second;
  if (found.liveness.is_unresponsive() || found.condition != Condition::kReady) return 0;
  double unused = found.concurrency.limit - static_cast<double>(found.in_flight.size());
  return std::max(0.0, unused) * 1e6 / state.latency.least_typical();
}

}  // namespace request_router::internal
