#include "placement/capacity_check.h"

#include <algorithm>
#include <map>
#include <set>

#include "placement/placement_plan.h"
#include "placement/planner_input.h"
#include "placement/zone_observation.h"

namespace database_proxy::placement {
namespace {

using RatesByShardGroup = std::map<ShardGroupId, double>;  // requests per second

RatesByShardGroup demand_by_shard_group(const Input& input) {
  RatesByShardGroup demand;
  for (const auto& [key, rate] : current_demand(input)) demand[key.second] += rate;
  return demand;
}

// Returns the usable capacity of each shard group if `zone` may use only `fraction` of its capacity.
RatesByShardGroup capacity_by_shard_group(const Plan& plan, const Zone& zone, double fraction,
                                          const Input& input) {
  RatesByShardGroup capacity;
  for (const auto& [key, supply] : input.supply)
    capacity[key.first] +=
        supply.current_capacity * (key.second == zone ? fraction : plan.capacity_fraction(key.second));
  return capacity;
}

double rate_of(const RatesByShardGroup& rates, ShardGroupId shard_group) {
  auto it = rates.find(shard_group);
  return it == rates.end() ? 0 : it->second;
}

}  // namespace

bool others_have_capacity(const Plan& plan, const Zone& zone, const Input& input) {
  std::set<ShardGroupId> shard_groups;
  for (const auto& [key, supply] : input.supply)
    if (key.second == zone) shard_groups.insert(key.first);
  auto demand = demand_by_shard_group(input);
  auto capacity = capacity_by_shard_group(plan, zone, 0, input);
  return std::all_of(shard_groups.begin(), shard_groups.end(), [&](ShardGroupId shard_group) {
    return rate_of(demand, shard_group) <= rate_of(capacity, shard_group);
  });
}

bool has_capacity_with_fraction(const Plan& plan, const Zone& zone, double fraction, const Input& input) {
  auto demand = demand_by_shard_group(input);
  auto capacity = capacity_by_shard_group(plan, zone, fraction, input);
  return std::all_of(demand.begin(), demand.end(),
                     [&](const auto& entry) { return entry.second <= rate_of(capacity, entry.first); });
}

}  // namespace database_proxy::placement
