#include "placement/surplus_split.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "placement/placement_plan.h"
#include "placement/planner_input.h"
#include "placement/zone_observation.h"
#include "placement/zone_topology.h"

namespace database_proxy::placement {
namespace {

// Requests per second below which a load is only the rounding error of a sum.
constexpr double kNegligible = 1e-9;
// Surplus shares up to this value get no entry in the plan.
constexpr double kMinSurplus = 0.02;
// The last plan's surplus is kept while there is capacity for it and it is at least this fraction of the
// surplus computed now, so that it does not change with every fluctuation of the demand.
constexpr double kRetainedSurplusFraction = 0.6;
constexpr double kSurplusPrecision = 1e3;  // shares are multiples of 1 / kSurplusPrecision

// The load that a zone can take over, as a share of the load of the most loaded other zone.
struct SurplusOffer {
  double share = 0;      // share to put into a new plan
  double max_share = 0;  // limit up to which the last plan's surplus may be kept
};

using SurplusOffers = std::map<Zone, SurplusOffer>;

// Returns the load of each zone, where each clients' zone counts with the higher of its shares in this plan
// and in the last one.
std::map<Zone, double> max_loads(const ShardGroupDemand& shard_group, const Options& options,
                                 const Plan& last, const Plan& plan) {
  std::map<Zone, double> loads;
  for (const auto& [to, capacity] : shard_group.capacity)
    for (const auto& [from, demand] : shard_group.demand) {
      double last_share = options.flaw_no_overlap ? 0 : share_of(last.shares, shard_group.id, from, to);
      loads[to] += demand * std::max(share_of(plan.shares, shard_group.id, from, to), last_share);
    }
  return loads;
}

SurplusOffers surplus_offers(const ShardGroupDemand& shard_group, const Options& options, const Plan& last,
                             const Plan& plan) {
  auto loads = max_loads(shard_group, options, last, plan);
  SurplusOffers offers;
  for (const auto& [to, capacity] : shard_group.capacity) {
    double surplus = capacity * options.hard_utilization_limit - loads[to];
    double largest_other = 0;
    for (const auto& [other, load] : loads)
      if (other != to) largest_other = std::max(largest_other, load);
    bool is_fully_open = plan.capacity_fraction(to) >= 1;
    if (!is_fully_open || shard_group.warming_up.contains(to) || surplus <= 0 || largest_other <= kNegligible)
      continue;
    offers[to] = {std::min(1.0, surplus / largest_other), (capacity - loads[to]) / largest_other};
  }
  return offers;
}

// Returns the surplus shares for the clients in `from`, by servers' zone. The nearest zones are used first,
// and the shares add up to at most 1, the clients' demand. Returns the last plan's shares if they may be
// kept.
std::map<Zone, double> surplus_for(const Zone& from, const ShardGroupDemand& shard_group,
                                   const SurplusOffers& offers, const ZoneTopology& topology,
                                   const Plan& last, const Plan& plan) {
  std::map<Zone, double> surplus;
  double uncovered = 1;
  bool last_may_stay = true;
  for (int distance = ZoneTopology::kSameZone; distance <= ZoneTopology::kFar; ++distance)
    for (const auto& [to, capacity] : shard_group.capacity) {
      if (topology.distance(from, to) != distance) continue;
      auto offer = offers.find(to);
      bool is_usable = plan.link_is_open(from, to) && share_of(plan.shares, shard_group.id, from, to) < 1 &&
                       offer != offers.end();
      double share = is_usable ? std::floor(std::min(uncovered, offer->second.share) * kSurplusPrecision) /
                                     kSurplusPrecision
                               : 0;
      if (share > kMinSurplus) surplus[to] = share;
      uncovered -= share;
      double last_share = share_of(last.surplus_capacity, shard_group.id, from, to);
      double max_last_share = is_usable ? offer->second.max_share : 0;
      double min_last_share = share > kMinSurplus * 2 ? share * kRetainedSurplusFraction : 0;
      last_may_stay = last_may_stay && last_share <= max_last_share && last_share >= min_last_share;
    }
  if (!last_may_stay) return surplus;
  auto last_surplus = last.surplus_capacity.find({shard_group.id, from});
  return last_surplus == last.surplus_capacity.end() ? std::map<Zone, double>{} : last_surplus->second;
}

}  // namespace

void split_surplus_capacity(const ShardGroupDemand& shard_group, const ZoneTopology& topology,
                            const Options& options, const Plan& last, Plan* plan) {
  auto offers = surplus_offers(shard_group, options, last, *plan);
  for (const auto& [from, demand] : shard_group.demand) {
    auto surplus = surplus_for(from, shard_group, offers, topology, last, *plan);
    if (!surplus.empty()) plan->surplus_capacity[{shard_group.id, from}] = std::move(surplus);
  }
}

}  // namespace database_proxy::placement
