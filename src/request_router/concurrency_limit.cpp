#include "concurrency_limit.h"

#include <algorithm>

#include "router_state.h"

namespace request_router::internal {
namespace {

// Attempts in flight at a new member, over all routers; at least one for each router. The total does not
// depend on the number of routers, or hundreds of routers would flood a new member.
constexpr double kInitialTotal = 16;

// Attempts in flight that a primary always serves without congestion, over all routers. With so few in
// flight, congestion is not the cause of high latency (a write may wait for a replica), and no other member
// can serve writes: a lower limit would only make them wait in the router.
constexpr double kPrimaryFloorTotal = 8;

// The floor of any member's limit: one attempt followed by a pause of four times its usual latency.
constexpr double kMinLimit = 0.25;

// The ceiling of any member's limit: far above the concurrency that a member can serve, it only bounds the
// growth.
constexpr double kMaxLimit = 256;

// The largest change of a limit by one answer, as a fraction of the limit: a single answer is weak evidence.
constexpr double kLimitStep = 0.1;

// The smoothed latency that the limit is controlled towards, as a fraction of the latency objective. The
// margin allows for the variation of single requests below the objective.
constexpr double kTargetLatencyFraction = 0.35;

// Weight of a new latency in that smoothed latency: about the last three answers count, so that a growing
// queue is detected before it is long.
constexpr double kLatencyRatioSmoothing = 0.3;

// Upper bound on a single latency, in latency objectives, so that one extreme does not dominate the average.
constexpr double kMaxLatencyRatio = 2;

// Bounds on the change of the limit, in steps. It rises at most half as fast as it falls: a limit that is too
// low costs a little waiting, one that is too high costs a queue at the member.
constexpr double kMaxDecrease = -1;
constexpr double kMaxIncrease = 0.5;

// The number of requests that a member holds, from all routers, above which it counts as overloaded. A count
// at the member, so it does not scale with the number of routers; each router has too few attempts in flight
// to detect congestion from its own.
constexpr double kMaxRequestsAtMember = 32;

// Minimum time between probes of an overloaded member, in silence limits: half of the smallest latency
// objective.
constexpr int kOverloadProbeSilences = 4;

double min_limit(const RouterState& state, const Member& member) {
  if (member.role.role != Role::kPrimary) return kMinLimit;
  return std::max(kMinLimit, kPrimaryFloorTotal / std::max(1, state.settings.routers));
}

double latency_in_objectives(const Outcome& outcome, double duration, const RequestClass& request_class) {
  if (outcome.status == Status::kOverloaded) return 1;
  return std::min(kMaxLatencyRatio, duration / to_double(request_class.latency_objective));
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
  concurrency.latency_ratio += kLatencyRatioSmoothing * (observed - concurrency.latency_ratio);
  double change =
      std::clamp(1 - concurrency.latency_ratio / kTargetLatencyFraction, kMaxDecrease, kMaxIncrease);
  // Latency under a limit that is mostly unused is no evidence that a higher limit would work.
  bool is_used = static_cast<double>(member.in_flight.size()) + 1 > concurrency.limit / 2;
  if (change >= 0 && !is_used) return;
  concurrency.limit =
      std::clamp(concurrency.limit * (1 + kLimitStep * change), min_limit(state, member), kMaxLimit);
}

bool has_capacity(RouterState& state, const Group& group, Member& member, const PendingRequest& pending) {
  const MemberConcurrency& concurrency = member.concurrency;
  if (state.now < member.ejection.ejected_until) return false;
  if (static_cast<double>(member.in_flight.size()) >= concurrency.limit) return false;
  // This router's own attempts in flight, one of hundreds of routers, do not show how many the member holds.
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
  return std::max(0.0, unused) * 1e6 / state.latency.min_typical();
}

}  // namespace request_router::internal
