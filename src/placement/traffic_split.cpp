#include "placement/traffic_split.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

#include "placement/placement_plan.h"
#include "placement/planner_input.h"
#include "placement/surplus_split.h"
#include "placement/zone_observation.h"
#include "placement/zone_topology.h"

namespace database_proxy::placement {
namespace {

// Requests per second below which a demand or capacity is only the rounding error of a sum.
constexpr double kNegligible = 1e-9;
// A share that would change by less is kept, because the demand fluctuates by about 3 % in both directions
// within a second, which is no reason for a new plan.
constexpr double kMinShareChange = 0.06;
constexpr double kSharePrecision = 1e6;  // shares are multiples of 1 / kSharePrecision

using FlowRates = std::map<std::pair<Zone, Zone>, double>;  // by clients' zone and servers' zone

// Computes the traffic of one shard group. The three steps must be called in the order of their declaration.
class ShardGroupTraffic {
 public:
  ShardGroupTraffic(const ShardGroupDemand& shard_group, const ZoneTopology& topology, const Options& options,
                    const Plan& last, const Plan& plan)
      : shard_group_(shard_group), topology_(topology), options_(options), last_(last), plan_(plan) {}

  void assign_nearest_first();
  void limit_growth_to_free_capacity();
  void keep_remainder_with_last_plan();
  std::map<Zone, double> shares(const Zone& from, double demand) const;

 private:
  void assign_at_distance(double utilization, int distance, const Zone& from, double* unassigned);
  bool is_candidate(const Zone& from, const Zone& to, int distance) const {
    return topology_.distance(from, to) == distance && plan_.link_is_open(from, to);
  }
  double last_share(const Zone& from, const Zone& to) const {
    return options_.flaw_no_overlap ? 0 : share_of(last_.shares, shard_group_.id, from, to);
  }
  double new_share(const Zone& from, const Zone& to, double demand) const;
  bool may_keep_last_shares(const Zone& from, double demand) const;
  const Zone* nearest_open_zone(const Zone& from) const;

  const ShardGroupDemand& shard_group_;
  const ZoneTopology& topology_;
  const Options& options_;
  const Plan& last_;
  const Plan& plan_;                  // only its phases are read, not its shares
  FlowRates desired_;                 // traffic as demand and capacity alone would assign it
  std::map<Zone, double> assigned_;   // load of each servers' zone in desired_
  std::map<Zone, double> last_load_;  // load of each servers' zone if the last plan met the present demand
  FlowRates next_;                    // traffic that fits in addition to that of the last plan
  std::map<Zone, double> next_load_;
};

// Fills zones to their target utilization, the nearest first, and then to their limit in the same order, so
// that clients from far zones take no capacity that a zone's own clients need.
void ShardGroupTraffic::assign_nearest_first() {
  auto unassigned = shard_group_.demand;
  for (double utilization : {options_.target_utilization, options_.hard_utilization_limit})
    for (int distance = ZoneTopology::kSameZone; distance <= ZoneTopology::kFar; ++distance)
      for (auto& [from, rate] : unassigned) assign_at_distance(utilization, distance, from, &rate);
}

void ShardGroupTraffic::assign_at_distance(double utilization, int distance, const Zone& from,
                                           double* unassigned) {
  auto free_capacity = [&](const Zone& to, double capacity) {
    return std::max(0.0, capacity * utilization - assigned_[to]);
  };
  double available = 0;
  for (const auto& [to, capacity] : shard_group_.capacity)
    if (is_candidate(from, to, distance)) available += free_capacity(to, capacity);
  if (available <= kNegligible || *unassigned <= kNegligible) return;
  double fraction = std::min(1.0, *unassigned / available);
  for (const auto& [to, capacity] : shard_group_.capacity) {
    if (!is_candidate(from, to, distance)) continue;
    double rate = free_capacity(to, capacity) * fraction;
    desired_[{from, to}] += rate;
    assigned_[to] += rate;
    *unassigned -= rate;
  }
}

// Limits the growth of each zone's traffic. Half of the proxies may still follow the last plan, so additional
// traffic must fit into the capacity that remains after all traffic that the last plan sends to the zone.
void ShardGroupTraffic::limit_growth_to_free_capacity() {
  std::map<Zone, double> added;
  for (const auto& [from, demand] : shard_group_.demand)
    for (const auto& [to, capacity] : shard_group_.capacity) {
      double last_rate = demand * last_share(from, to);
      last_load_[to] += last_rate;
      added[to] += std::max(0.0, desired_[{from, to}] - last_rate);
    }
  for (const auto& [from, demand] : shard_group_.demand)
    for (const auto& [to, capacity] : shard_group_.capacity) {
      double last_rate = demand * last_share(from, to);
      double desired = desired_[{from, to}];
      double growth =
          added[to] > kNegligible ? std::clamp((capacity - last_load_[to]) / added[to], 0.0, 1.0) : 0;
      double rate = std::min(desired, last_rate) + std::max(0.0, desired - last_rate) * growth;
      next_[{from, to}] = rate;
      next_load_[to] += rate;
    }
}

// Keeps the traffic that does not fit yet where the last plan sent it, as far as those zones are still
// usable.
void ShardGroupTraffic::keep_remainder_with_last_plan() {
  for (const auto& [from, demand] : shard_group_.demand) {
    double assigned = 0;
    for (const auto& [to, capacity] : shard_group_.capacity) assigned += next_[{from, to}];
    for (const auto& [to, capacity] : shard_group_.capacity) {
      if (!plan_.link_is_open(from, to)) continue;
      double last_rate = demand * last_share(from, to);
      double returned =
          std::min({last_rate - next_[{from, to}], demand - assigned, capacity - next_load_[to]});
      if (returned <= kNegligible) continue;
      next_[{from, to}] += returned;
      next_load_[to] += returned;
      assigned += returned;
    }
  }
}

// Returns the shares of the demand from `from`. Without demand, the first requests go to the nearest zone.
std::map<Zone, double> ShardGroupTraffic::shares(const Zone& from, double demand) const {
  std::map<Zone, double> shares;
  if (demand <= kNegligible) {
    if (const auto* nearest = nearest_open_zone(from)) shares[*nearest] = 1;
    return shares;
  }
  auto last = last_.shares.find({shard_group_.id, from});
  if (last != last_.shares.end() && may_keep_last_shares(from, demand)) return last->second;
  for (const auto& [to, capacity] : shard_group_.capacity)
    if (double share = new_share(from, to, demand); share > 0) shares[to] = share;
  return shares;
}

// Returns the share, rounded down so that it never exceeds the capacity.
double ShardGroupTraffic::new_share(const Zone& from, const Zone& to, double demand) const {
  return std::floor(next_.at({from, to}) / demand * kSharePrecision) / kSharePrecision;
}

bool ShardGroupTraffic::may_keep_last_shares(const Zone& from, double demand) const {
  return std::all_of(shard_group_.capacity.begin(), shard_group_.capacity.end(), [&](const auto& entry) {
    const auto& [to, capacity] = entry;
    bool is_close = std::abs(new_share(from, to, demand) - last_share(from, to)) < kMinShareChange;
    return is_close && last_load_.at(to) <= capacity + kNegligible;
  });
}

const Zone* ShardGroupTraffic::nearest_open_zone(const Zone& from) const {
  const Zone* nearest = nullptr;
  for (const auto& [to, capacity] : shard_group_.capacity) {
    if (capacity <= 0 || !plan_.link_is_open(from, to)) continue;
    if (!nearest || topology_.distance(from, to) < topology_.distance(from, *nearest)) nearest = &to;
  }
  return nearest;
}

// Returns the demand and usable capacity of each shard group for which there is demand or may be at any
// moment. The plan covers every zone with proxies for every shard group that has servers.
std::map<ShardGroupId, ShardGroupDemand> demand_by_shard_group(const Input& input, const Plan& plan) {
  std::map<ShardGroupId, ShardGroupDemand> shard_groups;
  for (const auto& [key, rate] : current_demand(input)) shard_groups[key.second].demand[key.first] = rate;
  std::set<Zone> proxy_zones;
  for (const auto& [key, votes] : input.observation.votes()) proxy_zones.insert(key.first);
  for (const auto& [key, supply] : input.supply) {
    for (const auto& zone : proxy_zones) shard_groups[key.first].demand.try_emplace(zone, 0);
    auto shard_group = shard_groups.find(key.first);
    if (shard_group == shard_groups.end()) continue;
    shard_group->second.capacity[key.second] = supply.current_capacity * plan.capacity_fraction(key.second);
    if (supply.warming_up) shard_group->second.warming_up.insert(key.second);
  }
  for (auto& [id, shard_group] : shard_groups) shard_group.id = id;
  return shard_groups;
}

}  // namespace

void split_traffic(const ZoneTopology& topology, const Options& options, const Input& input, const Plan& last,
                   Plan* plan) {
  plan->shares.clear();
  plan->surplus_capacity.clear();
  for (const auto& [id, shard_group] : demand_by_shard_group(input, *plan)) {
    ShardGroupTraffic traffic(shard_group, topology, options, last, *plan);
    traffic.assign_nearest_first();
    traffic.limit_growth_to_free_capacity();
    traffic.keep_remainder_with_last_plan();
    for (const auto& [from, demand] : shard_group.demand)
      plan->shares[{id, from}] = traffic.shares(from, demand);
    split_surplus_capacity(shard_group, topology, options, last, plan);
  }
}

}  // namespace database_proxy::placement
