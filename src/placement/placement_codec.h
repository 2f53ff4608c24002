// Observations and plans between processes and in the group's log. Keys that are not known are passed over,
// those that are absent have their defaults. No I/O.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "placement/plan.h"

namespace database_proxy::placement {

nlohmann::json to_json(const Observation& observation);
Observation observation_from_json(const nlohmann::json& json);  // throws nlohmann::json::exception
nlohmann::json to_json(const Plan& plan);
Plan plan_from_json(const nlohmann::json& json);  // the same

}  // namespace database_proxy::placement
