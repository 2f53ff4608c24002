// The planner's input and its options.
#pragma once

#include <map>
#include <utility>

#include "placement/placement_plan.h"
#include "placement/zone_observation.h"

namespace database_proxy::placement {

// The capacity of the servers of one shard group in one zone.
struct Supply {
  double current_capacity = 0;  // requests per second that they can serve now; lower while they warm up
  bool warming_up = false;      // some of the servers are warming up
};

// The input of one planning round, gathered by the lease holder of the placement job.
struct Input {
  Millis now = 0;
  Observation observation;        // sum over all proxies, from the last seconds
  double seconds = 1;             // length of the interval that `observation` covers
  Demand::Rates smoothed_demand;  // requests per second; empty: that of `observation` is used
  std::map<std::pair<ShardGroupId, Zone>, Supply> supply;  // of the servers that are up in the endpoint list
};

// Returns the demand in requests per second, by clients' zone and shard group.
Demand::Rates current_demand(const Input& input);

// Thresholds and durations. The simulator checks the default values in combination; src/group sets the values
// that are configurable.
struct Options {
  // Fraction of the proxies of one zone that must agree that a zone is unhealthy, or healthy. Only proxies
  // that have an opinion on it count.
  double unhealthy_fraction = 0.6, healthy_fraction = 0.8;
  // Number of proxies of one zone that must have an opinion, because a single proxy may itself be faulty.
  std::uint64_t min_reporters = 2;
  // Number of zones whose proxies must agree that a zone is unhealthy. If fewer zones have proxies, all of
  // those must agree.
  int min_zones = 2;
  // Time that a zone must be unhealthy before it is closed. A stall of one second is no outage.
  Millis close_after = 1000;
  // The same for a link. Longer, because only one zone's proxies judge a link, and they may be wrong.
  Millis link_close_after = 3000;
  // Time that a zone must be healthy before it is opened. Longer than most outages that recur.
  Millis open_after = 5000;
  Millis minimum_phase_duration = 10'000;  // minimum time in a phase before the opposite one
  // Time between two steps of opening or evacuating a zone. The effect of a step is observed by then.
  Millis step_interval = 2000;
  double initial_fraction = 0.1;   // usable fraction when a zone begins to open; each step doubles it
  int max_changes_per_minute = 4;  // limit for each zone or link separately
  // Fraction of a zone's capacity that is used before the next zone is; the rest absorbs bursts.
  double target_utilization = 0.8;
  // Upper limit of the used fraction of a zone's capacity. The rest covers the demand's fluctuation of a few
  // percent per second.
  double hard_utilization_limit = 0.95;
  // Each flag disables one safeguard. Only the simulator sets them, to prove that it detects the fault.
  bool flaw_single_reporter = false, flaw_no_capacity_check = false, flaw_no_minimum_duration = false,
       flaw_no_budget = false, flaw_no_overlap = false, flaw_open_at_once = false;
};

}  // namespace database_proxy::placement
