// Checks whether the zones can serve the demand when one of them serves less of it. Pure functions.
#pragma once

#include "placement/placement_plan.h"
#include "placement/planner_input.h"
#include "placement/zone_observation.h"

namespace database_proxy::placement {

// Returns whether, for every shard group that `zone` serves, the other zones have the capacity for the whole
// demand.
bool others_have_capacity(const Plan& plan, const Zone& zone, const Input& input);

// Returns whether, for every shard group, all zones together have the capacity for the whole demand if only
// `fraction` of the capacity of `zone` may be used.
bool has_capacity_with_fraction(const Plan& plan, const Zone& zone, double fraction, const Input& input);

}  // namespace database_proxy::placement
