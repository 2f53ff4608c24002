#include "placement/planner_input.h"

#include "placement/zone_observation.h"

namespace database_proxy::placement {

Demand::Rates current_demand(const Input& input) {
  if (!input.smoothed_demand.empty()) return input.smoothed_demand;
  Demand::Rates rates;
  for (const auto& [key, requests] : input.observation.demand())
    rates[key] = static_cast<double>(requests) / input.seconds;
  return rates;
}

}  // namespace database_proxy::placement
