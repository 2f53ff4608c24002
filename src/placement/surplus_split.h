// Splits the capacity that zones have left, for proxies whose own zone fails before the next plan. Pure.
#pragma once

#include <map>
#include <set>

#include "placement/placement_plan.h"
#include "placement/planner_input.h"
#include "placement/zone_observation.h"
#include "placement/zone_topology.h"

namespace database_proxy::placement {

// One set's side of a plan; rates are requests a second.
struct ShardGroupDemand {
  ShardGroupId id = 0;
  std::map<Zone, double> demand;    // by clients' zone
  std::map<Zone, double> capacity;  // by servers' zone: what may be used of it
  std::set<Zone> warming_up;        // of the servers' zones
};

// Adds the set's surplus capacity to `*plan`, whose shares of the set are complete. It is what each zone has
// left beside this plan and the last one, for the loss of any one other zone. A zone that is warming up or is
// not fully open has none.
void split_surplus_capacity(const ShardGroupDemand& shard_group, const ZoneTopology& topology,
                            const Options& options, const Plan& last, Plan* plan);

}  // namespace database_proxy::placement
