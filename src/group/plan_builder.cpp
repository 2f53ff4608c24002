#include "group/plan_builder.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace database_proxy::group {
namespace {

using namespace std::chrono_literals;

// Older observations say nothing about the present health of a zone.
constexpr Micros kHealthLifetime = 2500ms;
// Longer than for health, as demand changes slowly.
constexpr Micros kDemandLifetime = 15s;
// The next plan is delayed until all proxies that send observations follow the last plan, but no longer than
// this. A proxy that is still late is then two plans behind, and what it may send is within what the last
// plan but one allowed.
constexpr Micros kMaxFollowerWait = 1500ms;

placement::ZoneTopology topology_of(const PlacementOptions& options) {
  placement::ZoneTopology topology;
  for (auto& [zone, region] : options.regions) topology.set_region(zone, region);
  return topology;
}

placement::Options planner_options(const PlacementOptions& options) {
  placement::Options planner;
  planner.minimum_phase_duration = options.minimum_phase_duration / Micros(1000);
  planner.open_after = options.open_after / Micros(1000);
  planner.step_interval = options.step_interval / Micros(1000);
  return planner;
}

}  // namespace

PlanBuilder::PlanBuilder(const PlacementOptions& options)
    : options_(options), topology_(topology_of(options)), planner_(topology_, planner_options(options)) {}

// ---- Observations

void PlanBuilder::add_observation(const std::string& proxy, placement::Observation observation, Micros age,
                                  Micros now) {
  if (observations_by_proxy_.size() >= kMaxObservedProxies && !observations_by_proxy_.contains(proxy)) return;
  observations_by_proxy_[proxy] = {std::move(observation), now - std::max(Micros(0), age), now};
}

void PlanBuilder::remove_proxy(const std::string& proxy) { observations_by_proxy_.erase(proxy); }

void PlanBuilder::drop_expired(ObservationsByName* all, Micros now) {
  std::erase_if(*all, [&](auto& entry) { return now - entry.second.received_at > kDemandLifetime; });
}

placement::Observation PlanBuilder::sum_observations(const ObservationsByName& all, Micros now) {
  placement::Observation sum;
  for (auto& [name, received] : all) {
    bool is_recent = now - received.taken_at <= kHealthLifetime;
    sum.add(is_recent ? received.observation : received.observation.demand_only());
  }
  return sum;
}

placement::Observation PlanBuilder::observation_sum(Micros now) {
  drop_expired(&observations_by_proxy_, now);
  return sum_observations(observations_by_proxy_, now);
}

void PlanBuilder::add_sum(const std::string& voter, placement::Observation sum, Micros now) {
  sums_by_voter_[voter] = {std::move(sum), now, now};
}

void PlanBuilder::reset() {
  working_plan_.reset();
  sums_by_voter_.clear();
  demand_ = {};
  input_ = {};
}

// ---- Plans

placement::Input PlanBuilder::make_input(const discovery::EndpointListUpdate& list, Micros now,
                                         placement::Millis unix_ms) {
  drop_expired(&sums_by_voter_, now);
  placement::Input input;
  input.now = unix_ms;
  input.seconds = static_cast<double>(kObservationInterval.count()) / 1e6;
  input.observation = sum_observations(sums_by_voter_, now);
  demand_.add_interval(input.observation, input.seconds);
  input.smoothed_demand = demand_.rates();
  set_capacities(&input, list);
  return input;
}

// Returns the share of a warm server's capacity that this server has: below 1 if it was started recently.
double PlanBuilder::capacity_share(const discovery::Endpoint& endpoint, placement::Millis unix_ms) const {
  if (endpoint.started_at_ms <= 0 || options_.warm_up.count() <= 0) return 1;
  double age = static_cast<double>(unix_ms - endpoint.started_at_ms) * 1000 /
               static_cast<double>(options_.warm_up.count());
  if (age >= 1) return 1;
  return options_.initial_capacity_share + (1 - options_.initial_capacity_share) * std::max(0.0, age);
}

void PlanBuilder::set_capacities(placement::Input* input, const discovery::EndpointListUpdate& list) const {
  struct ZoneServers {
    double weight = 0;
    int count = 0;
    bool is_warming_up = false;
  };
  std::map<std::pair<placement::ShardGroupId, placement::Zone>, ZoneServers> servers_by_zone;
  for (auto& endpoint : list.endpoints) {
    if (endpoint.lifecycle != discovery::Lifecycle::kUp) continue;
    double share = capacity_share(endpoint, input->now);
    auto& servers = servers_by_zone[{endpoint.shard_group, endpoint.zone}];
    servers.weight += endpoint.weight * share;
    servers.is_warming_up = servers.is_warming_up || share < 1;
    ++servers.count;
  }
  // A primary serves writes, and the plan only distributes reads: the primary's share of its zone's capacity
  // is left out. Its zone is the one in which most proxies observed it.
  std::map<placement::ShardGroupId, std::pair<std::uint64_t, placement::Zone>> primary_zones;
  for (auto& [key, proxies] : input->observation.primaries()) {
    auto& most_observed = primary_zones[key.first];
    most_observed = std::max(most_observed, std::pair(proxies, key.second));
  }
  for (auto& [shard_group, most_observed] : primary_zones) {
    auto found = servers_by_zone.find({shard_group, most_observed.second});
    if (found != servers_by_zone.end()) found->second.weight *= 1 - 1.0 / found->second.count;
  }
  for (auto& [key, servers] : servers_by_zone)
    input->supply[key] = {servers.weight * options_.requests_per_weight, servers.is_warming_up};
}

std::optional<placement::Plan> PlanBuilder::make_next_plan(const placement::Plan& committed,
                                                           const discovery::EndpointListUpdate& list,
                                                           Micros now, placement::Millis unix_ms) {
  input_ = make_input(list, now, unix_ms);
  if (input_.observation.votes().empty() && input_.smoothed_demand.empty())
    return std::nullopt;  // nothing was observed yet
  if (!working_plan_ || working_plan_->number != committed.number) {
    working_plan_ = committed;
    committed_plan_first_seen_ = now;
  }
  auto& followers = input_.observation.followers();
  bool all_follow = std::all_of(followers.begin(), followers.end(),
                                [&](auto& entry) { return entry.first >= committed.number; });
  if (!all_follow && now - committed_plan_first_seen_ < kMaxFollowerWait) return std::nullopt;
  // The wall clock may have been set back since then: times ahead of it are replaced by the present time.
  for (auto& [zone, state] : working_plan_->zones)
    for (auto* time : {&state.since, &state.last_step, &state.unhealthy_since, &state.healthy_since})
      *time = std::min(*time, unix_ms);
  auto plan = planner_.next(*working_plan_, input_);
  if (plan.number != committed.number) return plan;
  working_plan_ = std::move(plan);
  return std::nullopt;
}

std::optional<placement::Plan> PlanBuilder::evacuate(const placement::Plan& committed,
                                                     const placement::Zone& zone, bool force,
                                                     std::string* reason) {
  auto plan = committed;
  *reason = planner_.evacuate(&plan, zone, force, input_);
  return reason->empty() ? std::optional(plan) : std::nullopt;
}

std::optional<placement::Plan> PlanBuilder::restore(const placement::Plan& committed,
                                                    const placement::Zone& zone, std::string* reason) {
  auto plan = committed;
  *reason = planner_.restore(&plan, zone, input_);
  return reason->empty() ? std::optional(plan) : std::nullopt;
}

}  // namespace database_proxy::group
