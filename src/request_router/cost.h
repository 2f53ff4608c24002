// The expected cost of a request at a member: cost1 of the paper that docs/design/decisions.md names.
//
// Rule: load(member) x (average time of the request + sum over the attempts in flight of the smaller of that
// time and their remaining time). Only this router's own attempts count. The result is in microseconds.
#pragma once

#include <cstddef>
#include <vector>

namespace request_router::internal {

struct Member;
struct RouterState;

// Reusable working memory of `expected_cost`, so that an estimate does not allocate.
struct CostScratch {
  std::vector<double> average;  // expected time by class; 0: not looked up yet
};

// Returns the cost of a request of this class at this member, in microseconds.
double expected_cost(RouterState& state, const Member& member, std::size_t request_class);

}  // namespace request_router::internal
