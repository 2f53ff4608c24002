// Splits the surplus capacity of the zones, for proxies whose own zone fails before the next plan. Pure
// function.
#pragma once

#include <map>
#include <set>

#include "placement/placement_plan.h"
#include "placement/planner_input.h"
#include "placement/zone_observation.h"
#include "placement/zone_topology.h"

namespace database_proxy::placement {

// The demand and capacity of one shard group, in requests per second.
struct ShardGroupDemand {
  ShardGroupId id = 0;
  std::map<Zone, double> demand;    // by clients' zone
  std::map<Zone, double> capacity;  // usable capacity, by servers' zone
  std::set<Zone> warming_up;        // servers' zones that are warming up
};

// Adds the surplus capacity of the shard group to `*plan`, whose shares for the shard group must be complete.
// The surplus of a zone is the capacity that neither this plan nor the last one uses; it covers the loss of
// any one other zone. A zone that is warming up or not fully open has none.
void split_surplus_capacity(const ShardGroupDemand& shard_group, const ZoneTopology& topology,
                            const Options& options, const Plan& last, Plan* plan);

}  // namespace database_proxy::placement
