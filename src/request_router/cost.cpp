#include "cost.h"

#include <algorithm>

#include "router_state.h"

namespace request_router::internal {
namespace {

// Minimum remaining time of an attempt in flight: one that has taken longer than is usual for its class still
// occupies the member. One millisecond is the resolution of the figures that members report.
constexpr Micros kMinRemainingTime{1000};

// The average time of the class at the member. Without any answer of the class yet, its latency objective is
// the only known estimate.
double expected_time(const RouterState& state, const Member& member, std::size_t request_class) {
  if (state.latency.is_observed(request_class)) return state.average_latency(member, request_class);
  return to_double(state.settings.classes[request_class].latency_objective);
}

}  // namespace

double expected_cost(RouterState& state, const Member& member, std::size_t request_class) {
  double load = state.load(member);
  double own = expected_time(state, member, request_class);
  double sum = own;
  // Each class is looked up only once, because a member may have hundreds of attempts in flight.
  std::vector<double>& averages = state.cost_scratch.average;
  averages.assign(state.settings.classes.size(), 0.0);
  for (const auto& attempt : member.in_flight) {
    double& average = averages[attempt.request_class];
    if (average == 0) average = expected_time(state, member, attempt.request_class);
    double remaining = average - to_double(state.now - attempt.sent_at) / load;
    sum += std::min(own, std::max(to_double(kMinRemainingTime), remaining));
  }
  return load * sum;
}

}  // namespace request_router::internal
