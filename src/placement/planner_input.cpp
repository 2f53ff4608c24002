#include "placement/planner_input.h"

#include "placement/zone_observation.h"

namespace database_proxy::placement {

Demand::Rates current_demand(const Input& input) {
  if (!input.asked.empty()) return input.asked;
  Demand::Rates rates;
  for (const auto& [key, requests] : input.seen.demand())
    rates[key] = static_cast<double>(requests) / input.seconds;
  return rates;
}

}  // namespace database_proxy::placement
