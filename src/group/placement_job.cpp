#include "group/placement_job.h"

#include <algorithm>
#include <set>

namespace database_proxy::group {
namespace {

namespace pl = placement;
using namespace std::chrono_literals;

// Health that is older says nothing; what is asked for changes slowly.
constexpr Micros kHealthFor = 2500ms, kDemandFor = 15s;
// The next plan waits until all that are heard of follow the last one, but no longer: one that is late then
// is two plans behind, and what it may still send is within what the last but one allowed.
constexpr Micros kWaitForFollowers = 1500ms;

pl::ZoneTopology places_of(const PlacementOptions& o) {
  pl::ZoneTopology places;
  for (auto& [zone, region] : o.regions) places.put(zone, region);
  return places;
}

pl::Options planning(const PlacementOptions& o) {
  pl::Options options;
  options.minimum_phase_duration = o.minimum_phase_duration / Micros(1000);
  options.open_after = o.open_after / Micros(1000);
  options.step_every = o.step / Micros(1000);
  return options;
}

}  // namespace

PlacementJob::PlacementJob(const PlacementOptions& o)
    : options_(o), places_(places_of(o)), planner_(places_, planning(o)) {}

void PlacementJob::heard(const std::string& proxy, pl::Observation seen, Micros age, Micros now) {
  if (below_.size() >= kMostPlaced && !below_.count(proxy)) return;
  below_[proxy] = {std::move(seen), now - std::max(Micros(0), age), now};
}

void PlacementJob::left(const std::string& proxy) { below_.erase(proxy); }

void PlacementJob::drop_old(std::map<std::string, Told>* all, Micros now) const {
  std::erase_if(*all, [&](auto& t) { return now - t.second.heard > kDemandFor; });
}

pl::Observation PlacementJob::sum(Micros now) {
  drop_old(&below_, now);
  pl::Observation all;
  for (auto& [name, told] : below_)
    all.add(now - told.taken <= kHealthFor ? told.seen : told.seen.demand_only());
  return all;
}

void PlacementJob::collected(const std::string& voter, pl::Observation sum, Micros now) {
  sums_[voter] = {std::move(sum), now, now};
}

pl::Input PlacementJob::make_input(const discovery::EndpointListUpdate& list, Micros now,
                                   pl::Millis unix_ms) {
  drop_old(&sums_, now);
  pl::Input in;
  in.now = unix_ms;
  in.seconds = static_cast<double>(kObserveEvery.count()) / 1e6;
  for (auto& [name, told] : sums_)
    in.seen.add(now - told.taken <= kHealthFor ? told.seen : told.seen.demand_only());
  demand_.debounce(in.seen, in.seconds);
  in.asked = demand_.rates();
  std::map<std::pair<pl::SetId, pl::Zone>, std::pair<double, int>> weights;
  std::set<std::pair<pl::SetId, pl::Zone>> cold;
  for (auto& m : list.members) {
    if (m.lifecycle != discovery::Lifecycle::kUp) continue;
    double warm = 1;
    if (m.started_at_ms > 0 && options_.warm_up.count() > 0) {
      double age = static_cast<double>(unix_ms - m.started_at_ms) * 1000 /
                   static_cast<double>(options_.warm_up.count());
      warm = age >= 1 ? 1
                      : options_.initial_capacity_share +
                            (1 - options_.initial_capacity_share) * std::max(0.0, age);
    }
    auto& [weight, servers] = weights[{m.cell, m.zone}];
    weight += m.weight * warm;
    if (warm < 1) cold.insert({m.cell, m.zone});
    ++servers;
  }
  // The primary's work is writes: its part of its zone is not for the reads that the plan is about.
  std::map<pl::SetId, std::pair<std::uint64_t, pl::Zone>> primaries;
  for (auto& [key, n] : in.seen.primaries())
    primaries[key.first] = std::max(primaries[key.first], std::pair(n, key.second));
  for (auto& [set, where] : primaries)
    if (auto it = weights.find({set, where.second}); it != weights.end())
      it->second.first *= 1 - 1.0 / it->second.second;
  for (auto& [key, w] : weights)
    in.supply[key] = {w.first * options_.requests_per_weight, cold.count(key) > 0};
  return in;
}

std::optional<pl::Plan> PlacementJob::next(const pl::Plan& known, const discovery::EndpointListUpdate& list,
                                           Micros now, pl::Millis unix_ms) {
  input_ = make_input(list, now, unix_ms);
  if (input_.seen.votes().empty() && input_.asked.empty())
    return std::nullopt;  // nobody has told anything yet
  if (!working_ || working_->number != known.number) {
    working_ = known;
    changed_ = now;
  }
  auto& followers = input_.seen.followers();
  bool all_follow =
      std::all_of(followers.begin(), followers.end(), [&](auto& f) { return f.first >= known.number; });
  if (!all_follow && now - changed_ < kWaitForFollowers) return std::nullopt;
  // The wall clock may have been set back meanwhile: what lies ahead of it began now.
  for (auto& [zone, s] : working_->zones)
    for (auto* at : {&s.since, &s.stepped, &s.unhealthy_since, &s.healthy_since})
      *at = std::min(*at, unix_ms);
  auto plan = planner_.next(*working_, input_);
  if (plan.number == known.number) {
    working_ = std::move(plan);
    return std::nullopt;
  }
  return plan;
}

std::optional<pl::Plan> PlacementJob::evacuate(const pl::Plan& known, const pl::Zone& zone, bool force,
                                               std::string* why) {
  auto plan = known;
  *why = planner_.evacuate(&plan, zone, force, input_);
  return why->empty() ? std::optional(plan) : std::nullopt;
}

std::optional<pl::Plan> PlacementJob::restore(const pl::Plan& known, const pl::Zone& zone, std::string* why) {
  auto plan = known;
  *why = planner_.restore(&plan, zone, input_);
  return why->empty() ? std::optional(plan) : std::nullopt;
}

void PlacementJob::owns_no_more() {
  working_.reset();
  sums_.clear();
  demand_ = {};
  input_ = {};
}

}  // namespace database_proxy::group
