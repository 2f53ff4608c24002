// Splits the demand of each zone of clients among the zones of servers. Pure function.
#pragma once

#include "placement/placement_plan.h"
#include "placement/planner_input.h"
#include "placement/zone_topology.h"

namespace database_proxy::placement {

// Replaces the shares and the surplus capacity of `*plan` by those for the present demand. Near zones are
// used first. Half of the proxies may still follow `last`, so a zone gets additional traffic only up to the
// capacity that remains after all traffic that `last` sends there. Shares that would hardly change are kept.
void split_traffic(const ZoneTopology& topology, const Options& options, const Input& input, const Plan& last,
                   Plan* plan);

}  // namespace database_proxy::placement
