// Simulates zone placement in simulated time, driven by one seed: zones whose servers die, fail partially
// (grey failure), flap, are cut off from one another and come back cold; observers, one of which may report
// all zones as dead; delayed observations; changes of the lease holder; plans that reach half of the proxies
// late; evacuations by an operator. The invariants are checked at every plan; at the end, after a time
// without faults, all zones must be open, each must serve its own demand where it has the capacity, and the
// plan must be stable.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "placement/planner.h"

namespace database_proxy::testbench::simulation {

enum class PlanMutant {
  kNone,
  kSingleReporter,
  kInsufficientCapacity,
  kNoMinimumDuration,
  kNoBudget,
  kNoOverlap,
  kOpenAtOnce
};
const std::vector<std::pair<PlanMutant, std::string>>& plan_mutants();

struct PlacementResult {
  std::string violation;  // empty if all invariants held
  std::vector<std::string> history;
  std::uint64_t plans = 0, changes = 0, faults = 0;
  // Shares of requests, with half of the proxies on each of the last two plans.
  double served_worst_10s = 1, served = 1, cross_zone_share_calm = 0;
  // The longest time from the loss of a zone to the plan that sends it no requests.
  std::uint64_t max_move_ms = 0;
};

// The modelled cost of planning for a given number of proxies, servers, shard groups and zones, with
// synthetic observations that are already in memory.
struct PlanCost {
  // Encoded sizes: observations as sent between processes, the plan as published.
  std::size_t observation_bytes = 0, sum_bytes = 0, plan_bytes = 0;
  // Time to add up all observations once, and to compute one plan from the sum.
  double sum_us = 0, plan_us = 0;
};
PlanCost plan_cost(int proxies, int servers, int shard_groups, int zones);

// Runs one simulation of zone placement and returns its counters, its history and the first violated
// invariant, if any.
PlacementResult run_placement(std::uint64_t seed, PlanMutant mutant);

}  // namespace database_proxy::testbench::simulation
