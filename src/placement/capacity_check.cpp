#include "placement/capacity_check.h"

#include <algorithm>
#include <map>
#include <set>

#include "placement/placement_plan.h"
#include "placement/planner_input.h"
#include "placement/zone_observation.h"

namespace database_proxy::placement {
namespace {

using RatesBySet = std::map<SetId, double>;  // requests a second

RatesBySet demand_by_set(const Input& input) {
  RatesBySet demand;
  for (const auto& [key, rate] : current_demand(input)) demand[key.second] += rate;
  return demand;
}

// The capacity that may be used, where `fraction` of the capacity of `zone` may.
RatesBySet capacity_by_set(const Plan& plan, const Zone& zone, double fraction, const Input& input) {
  RatesBySet capacity;
  for (const auto& [key, supply] : input.supply)
    capacity[key.first] += supply.warm * (key.second == zone ? fraction : plan.capacity_fraction(key.second));
  return capacity;
}

double rate_of(const RatesBySet& rates, SetId set) {
  auto it = rates.find(set);
  return it == rates.end() ? 0 : it->second;
}

}  // namespace

bool others_have_capacity(const Plan& plan, const Zone& zone, const Input& input) {
  std::set<SetId> sets;
  for (const auto& [key, supply] : input.supply)
    if (key.second == zone) sets.insert(key.first);
  auto demand = demand_by_set(input);
  auto capacity = capacity_by_set(plan, zone, 0, input);
  return std::all_of(sets.begin(), sets.end(),
                     [&](SetId set) { return rate_of(demand, set) <= rate_of(capacity, set); });
}

bool has_capacity_with_fraction(const Plan& plan, const Zone& zone, double fraction, const Input& input) {
  auto demand = demand_by_set(input);
  auto capacity = capacity_by_set(plan, zone, fraction, input);
  return std::all_of(demand.begin(), demand.end(),
                     [&](const auto& entry) { return entry.second <= rate_of(capacity, entry.first); });
}

}  // namespace database_proxy::placement
