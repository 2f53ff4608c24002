// JSON encoding of observations and plans, for messages between processes and for the consensus log. Unknown
// keys are ignored and absent keys have their defaults, so that nodes of different versions can exchange
// them. Does no I/O.
#pragma once

#include <nlohmann/json.hpp>

#include "placement/placement_plan.h"
#include "placement/zone_observation.h"

namespace database_proxy::placement {

nlohmann::json to_json(const Observation& observation);
// Throws nlohmann::json::exception if `encoded` is malformed.
Observation observation_from_json(const nlohmann::json& encoded);

nlohmann::json to_json(const Plan& plan);
// Throws nlohmann::json::exception if `encoded` is malformed.
Plan plan_from_json(const nlohmann::json& encoded);

}  // namespace database_proxy::placement
