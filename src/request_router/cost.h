// What a request would cost at a member: cost1 of the paper that docs/design/decisions.md names.
//
// Rule: load(N) x (average time of the request + sum over the attempts in flight of the lesser of that time
// and their remaining time). Only this router's own attempts count. The result is in microseconds.
#pragma once

#include <cstddef>
#include <vector>

namespace request_router::internal {

struct Member;
struct RouterState;

// Working memory of `expected_cost`, kept so that no estimate allocates.
struct CostScratch {
  std::vector<double> average;  // by class; 0: not looked up yet
};

// The cost of a request of this class at this member.
double expected_cost(RouterState& state, const Member& member, std::size_t request_class);

}  // namespace request_router::internal
