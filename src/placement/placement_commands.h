// What operators change in a plan by command. Pure.
#pragma once

#include <string>

#include "placement/placement_plan.h"
#include "placement/planner_input.h"
#include "placement/zone_observation.h"

namespace database_proxy::placement {

// Begins to evacuate the zone; the planner goes on in steps. `force`: also if the others have no capacity for
// it. Returns a sentence that says why it cannot; empty: it was done.
std::string evacuate_zone(const Options& options, const Zone& zone, bool force, const Input& input,
                          Plan* plan);

// Opens a zone again that was evacuated, or is being evacuated, in steps. Returns the same.
std::string restore_zone(const Options& options, const Zone& zone, const Input& input, Plan* plan);

// How long an evacuation, or an opening, takes from its first step if nothing delays it.
Millis evacuation_duration(const Options& options);
Millis opening_duration(const Options& options);

}  // namespace database_proxy::placement
