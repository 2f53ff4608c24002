// Operators' commands that change a plan. Pure functions.
#pragma once

#include <string>

#include "placement/placement_plan.h"
#include "placement/planner_input.h"
#include "placement/zone_observation.h"

namespace database_proxy::placement {

// Starts the evacuation of a zone, which the planner continues in steps. With `force`, the zone is evacuated
// even if the other zones lack the capacity for its requests. Returns an error message, or an empty string on
// success.
std::string evacuate_zone(const Options& options, const Zone& zone, bool force, const Input& input,
                          Plan* plan);

// Starts to reopen, in steps, a zone that is evacuated or being evacuated. Returns an error message, or an
// empty string on success.
std::string restore_zone(const Options& options, const Zone& zone, const Input& input, Plan* plan);

// Returns the duration of an evacuation, or of an opening, from its first step if nothing delays it.
Millis evacuation_duration(const Options& options);
Millis opening_duration(const Options& options);

}  // namespace database_proxy::placement
