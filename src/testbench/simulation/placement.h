// The plan of zones in simulated time, from one seed: zones of servers that die, go grey, flap, are cut from
// one another and come back cold; observers, one of whom may see all as dead; observations that come late;
// owners that change; plans that reach half of the proxies late; evacuations by hand. What must always hold
// is checked at every plan; at the end, with no fault for a while, the plan must have settled near.
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
  std::string violation;  // empty: all held
  std::vector<std::string> history;
  std::uint64_t plans = 0, changes = 0, faults = 0;
  double served_worst_10s = 1, served = 1, cross_zone_share_calm = 0;  // shares, as the plan's mixture sends
  std::uint64_t max_move_ms = 0;  // from a zone's loss to the plan that sends nobody there
};

// What planning costs, modelled: so many proxies, servers, sets and zones, all observations made up and at
// hand.
struct PlanCost {
  std::size_t observation_bytes = 0, sum_bytes = 0, plan_bytes = 0;  // as sent; a plan as published
  double sum_us = 0, plan_us = 0;  // adding all observations once; one plan from their sum
};
PlanCost plan_cost(int proxies, int servers, int shard_groups, int zones);

PlacementResult run_placement(std::uint64_t seed, PlanMutant mutant);

}  // namespace database_proxy::testbench::simulation
