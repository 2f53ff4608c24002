// What the planner makes a plan from, and its thresholds.
#pragma once

#include <map>
#include <utility>

#include "placement/placement_plan.h"
#include "placement/zone_observation.h"

namespace database_proxy::placement {

// What the servers of one set in one zone can take.
struct Supply {
  double current_capacity = 0;  // requests a second, in their present state of warming up
  bool warming_up = false;      // some of them are
};

// One round's input, gathered by the owner of the placement job.
struct Input {
  Millis now = 0;
  Observation observation;        // of the last seconds, all proxies together
  double seconds = 1;             // the length of that span
  Demand::Rates smoothed_demand;  // requests a second, smoothed; empty: those in `seen`
  std::map<std::pair<ShardGroupId, Zone>, Supply> supply;  // of the servers in the endpoint list that are up
};

// Returns the demand: requests a second by clients' zone and set.
Demand::Rates current_demand(const Input& input);

// Thresholds and durations. The simulator checks the defaults together; src/group sets the configured ones.
struct Options {
  // Of the proxies of a zone that have an opinion: so many must agree.
  double unhealthy_fraction = 0.6, healthy_fraction = 0.8;
  // Proxies of one zone that must have an opinion: one alone may have a fault of its own.
  std::uint64_t min_reporters = 2;
  // Zones of proxies that must agree; where fewer zones have proxies, all of them.
  int min_zones = 2;
  Millis close_after = 1000;               // unhealthy for so long: a pause of one second is none
  Millis link_close_after = 3000;          // a link: only one zone's proxies judge it, and they may be wrong
  Millis open_after = 5000;                // healthy for so long: longer than most outages that repeat
  Millis minimum_phase_duration = 10'000;  // in a phase, before the opposite one
  Millis step_interval = 2000;             // of opening and evacuating: a step's effect is observed by then
  double initial_fraction = 0.1;           // of its capacity when it opens; each step doubles it
  int max_changes_per_minute = 4;          // of each zone or link by itself
  // Of a zone's capacity before the next zone is used: bursts fit into the rest.
  double target_utilization = 0.8;
  // Of a zone's capacity at most: demand changes by some hundredths each second.
  double hard_utilization_limit = 0.95;
  // Take a guard away. Only the simulator sets them, to prove that it would notice.
  bool flaw_single_reporter = false, flaw_no_capacity_check = false, flaw_no_minimum_duration = false,
       flaw_no_budget = false, flaw_no_overlap = false, flaw_open_at_once = false;
};

}  // namespace database_proxy::placement
