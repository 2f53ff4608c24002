#include "testbench/simulation/placement.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <random>
#include <set>

#include "placement/placement_codec.h"

namespace database_proxy::testbench::simulation {
namespace {

namespace pl = placement;
using pl::Millis;
using pl::Zone;

constexpr Millis kStep = 500, kFaultsUntil = 120'000, kEnd = 220'000, kSettledAt = 190'000;
constexpr Millis kWarmUpDuration = 18'000;
constexpr double kInitialWarmUpFraction = 0.17;
// Proxies go on probing a closed zone, so they still vote on its health.
constexpr std::uint64_t kProbesPerObservation = 4;

struct Fault {
  enum class Kind { kDead, kGrey, kFlap, kCut, kObservationsLate, kNoLeaseHolder, kBurst, kEvacuate } kind;
  Millis at, duration;
  Zone zone, other;
};

class World {
 public:
  World(std::uint64_t seed, PlanMutant mutant) : random_(seed), mutant_(mutant) {}
  PlacementResult run();

 private:
  std::uint64_t draw(std::uint64_t below) { return random_() % below; }
  double draw_between(double minimum, double maximum) {
    return minimum + (maximum - minimum) * std::uniform_real_distribution<double>()(random_);
  }
  void add_to_history(const std::string& line) {
    result_.history.push_back(fmt::format("{:7.1f} {}", static_cast<double>(now_) / 1000, line));
  }
  void build();
  bool has_fault(Fault::Kind kind, const Zone& zone, const Zone& other = "") const;
  bool unhealthy(const Zone& zone) const;
  bool cut(const Zone& a, const Zone& b) const { return a != b && has_fault(Fault::Kind::kCut, a, b); }
  double warm_up_fraction(const Zone& zone) const;
  pl::Input observe();
  void check(const pl::Plan& last, const pl::Plan& plan, const pl::Input& input);
  void serve(const pl::Plan& last, const pl::Plan& plan);
  void check_final_state(const pl::Plan& plan, const pl::Input& input);

  std::mt19937_64 random_;
  PlanMutant mutant_;
  PlacementResult result_;
  Millis now_ = 0;
  std::vector<Zone> zones_;
  pl::ZoneTopology topology_;
  pl::Options options_;
  int shard_group_count_ = 1;
  std::map<std::pair<pl::ShardGroupId, Zone>, double> capacity_, demand_;
  std::map<Zone, int> observers_;
  // Shorter than any minimum phase duration, or just long enough for repeated reopening.
  Millis flap_half_period_ = 2000;
  Zone faulty_observer_zone_;  // one observer in this zone reports all zones as dead
  std::vector<Fault> faults_;
  std::map<Zone, Millis> recovered_at_;  // when the zone came back, cold
  std::map<Zone, Millis> lost_at_;
  std::map<Zone, bool> was_dead_;
  std::deque<pl::Observation> observations_;
  pl::Demand smoothed_demand_;
  std::deque<std::pair<double, double>> recent_steps_;  // requested, served
  std::map<Zone, std::vector<Millis>> recent_phase_changes_;
  std::map<Zone, Millis> closed_at_;
  double requested_ = 0, served_ = 0, calm_cross_zone_ = 0, calm_requested_ = 0;
};

void World::build() {
  int count = 3 + static_cast<int>(draw(3));
  for (int i = 0; i < count; ++i) {
    zones_.push_back(fmt::format("z{}", i + 1));
    topology_.set_region(zones_.back(), i < (count + 1) / 2 ? "north" : "south");
  }
  shard_group_count_ = 1 + static_cast<int>(draw(3));
  for (auto& zone : zones_) {
    observers_[zone] = 3 + static_cast<int>(draw(8));
    for (int shard_group = 1; shard_group <= shard_group_count_; ++shard_group) {
      capacity_[{shard_group, zone}] = draw_between(500, 1500);
      demand_[{shard_group, zone}] = capacity_[{shard_group, zone}] * draw_between(0.2, 0.7);
    }
  }
  if (draw(2) == 0) flap_half_period_ = 7000;
  if (draw(3) == 0) faulty_observer_zone_ = zones_[draw(zones_.size())];
  for (Millis at = 10'000 + static_cast<Millis>(draw(10'000)); at < kFaultsUntil - 15'000;
       at += 4000 + static_cast<Millis>(draw(26'000))) {
    Fault f{static_cast<Fault::Kind>(draw(8)), at, 2000 + static_cast<Millis>(draw(20'000)),
            zones_[draw(zones_.size())], zones_[draw(zones_.size())]};
    if (f.kind == Fault::Kind::kFlap) f.duration = std::min<Millis>(60'000, kFaultsUntil - at);
    f.duration = std::min(f.duration, kFaultsUntil - at);
    faults_.push_back(f);
  }
  options_.flaw_single_reporter = mutant_ == PlanMutant::kSingleReporter;
  options_.flaw_no_capacity_check = mutant_ == PlanMutant::kInsufficientCapacity;
  options_.flaw_no_minimum_duration = mutant_ == PlanMutant::kNoMinimumDuration;
  options_.flaw_no_budget = mutant_ == PlanMutant::kNoBudget;
  options_.flaw_no_overlap = mutant_ == PlanMutant::kNoOverlap;
  options_.flaw_open_at_once = mutant_ == PlanMutant::kOpenAtOnce;
}

bool World::has_fault(Fault::Kind kind, const Zone& zone, const Zone& other) const {
  return std::any_of(faults_.begin(), faults_.end(), [&](auto& f) {
    bool here = f.kind == Fault::Kind::kCut
                    ? (f.zone == zone && f.other == other) || (f.zone == other && f.other == zone)
                    : zone.empty() || f.zone == zone;
    return f.kind == kind && here && now_ >= f.at && now_ < f.at + f.duration;
  });
}

bool World::unhealthy(const Zone& zone) const {
  if (has_fault(Fault::Kind::kDead, zone) || has_fault(Fault::Kind::kGrey, zone)) return true;
  return has_fault(Fault::Kind::kFlap, zone) && now_ / flap_half_period_ % 2 == 0;
}

double World::warm_up_fraction(const Zone& zone) const {
  auto it = recovered_at_.find(zone);
  if (it == recovered_at_.end()) return 1;
  return std::min(1.0, kInitialWarmUpFraction + (1 - kInitialWarmUpFraction) *
                                                    static_cast<double>(now_ - it->second) / kWarmUpDuration);
}

// Returns the observations of the proxies of all zones in this step, as far as the lease holder has received
// them.
pl::Input World::observe() {
  pl::Observation observation;
  for (auto& from : zones_) {
    bool late = has_fault(Fault::Kind::kObservationsLate, from);
    pl::Observation here;
    for (int o = 0; o < observers_[from]; ++o)
      for (auto& to : zones_) {
        bool bad =
            (from == faulty_observer_zone_ && o == 0) || unhealthy(to) || cut(from, to) || draw(50) == 0;
        here.add_vote(from, to, !bad);
        pl::ZoneSample s;
        s.attempts = kProbesPerObservation;
        s.timed_out =
            bad ? (has_fault(Fault::Kind::kGrey, to) ? kProbesPerObservation / 2 : kProbesPerObservation) : 0;
        here.record(from, 1, to, s);
      }
    for (int shard_group = 1; shard_group <= shard_group_count_; ++shard_group) {
      double requested = demand_[{shard_group, from}] * draw_between(0.97, 1.03) *
                         (has_fault(Fault::Kind::kBurst, "") ? 2 : 1);
      here.add_demand(from, shard_group, static_cast<std::uint64_t>(requested));
    }
    if (late && observations_.size() >= 20) {  // its latest observation is ten seconds old
      pl::Observation old;
      for (auto& [key, votes] : observations_.front().votes())
        if (key.first == from)
          for (std::uint64_t i = 0; i < votes.healthy + votes.unhealthy; ++i)
            old.add_vote(from, key.second, i < votes.healthy);
      for (auto& [key, requests] : observations_.front().demand())
        if (key.first == from) old.add_demand(from, key.second, requests);
      here = old;
    }
    observation.add(here);
  }
  observations_.push_back(observation);
  if (observations_.size() > 20) observations_.pop_front();
  pl::Input input;
  input.now = now_ + 1'000'000;
  input.observation = observation;
  smoothed_demand_.add_interval(observation, 1);
  input.smoothed_demand = smoothed_demand_.rates();
  for (auto& [key, maximum] : capacity_)
    input.supply[key] = {maximum * warm_up_fraction(key.second), warm_up_fraction(key.second) < 1};
  return input;
}

void World::check(const pl::Plan& last, const pl::Plan& plan, const pl::Input& input) {
  auto demand = [&](pl::ShardGroupId shard_group, const Zone& from) {
    auto it = input.smoothed_demand.find({from, shard_group});
    return it == input.smoothed_demand.end() ? 0.0 : it->second;
  };
  auto lookup = [](auto& all, pl::ShardGroupId shard_group, const Zone& from, const Zone& to) {
    auto it = all.find({shard_group, from});
    if (it == all.end()) return 0.0;
    auto s = it->second.find(to);
    return s == it->second.end() ? 0.0 : s->second;
  };
  auto share = [&](const pl::Plan& p, pl::ShardGroupId shard_group, const Zone& from, const Zone& to) {
    return lookup(p.shares, shard_group, from, to);
  };
  for (auto& [key, supply] : input.supply) {
    auto& [shard_group, to] = key;
    double mixed = 0, before = 0, by_new_plan = 0;
    for (auto& from : zones_) {
      double d = demand(shard_group, from), a = share(last, shard_group, from, to),
             b = share(plan, shard_group, from, to);
      mixed += d * std::max(a, b);
      before += d * a;
      by_new_plan += d * b;
    }
    auto& state = plan.zones.at(to);
    double capacity = supply.current_capacity * state.capacity_fraction;
    if (mixed > std::max(before, capacity) * 1.001 + 1)
      throw fmt::format(
          "set {} of {}: {:.0f} by half of the proxies on plan {} and half on {}, it bears {:.0f}",
          shard_group, to, mixed, last.number, plan.number, capacity);
    if (plan.number > last.number && by_new_plan > capacity * 1.03 + 2 + capacity * 0.03)
      throw fmt::format("set {} of {}: {:.0f} by plan {}, it bears {:.0f}", shard_group, to, by_new_plan,
                        plan.number, capacity);
  }
  // On the loss of any one zone, with half of the proxies on each plan, all of its clients may use the
  // surplus capacity of the others.
  for (auto& [key, supply] : input.supply) {
    auto& [shard_group, to] = key;
    if (plan.zones.at(to).phase != pl::Phase::kOpen || supply.warming_up) {
      for (auto& from : zones_)
        if (lookup(plan.surplus_capacity, shard_group, from, to) > 0)
          throw fmt::format("set {} of {}: it is not whole, and spare by plan {}", shard_group, to,
                            plan.number);
      continue;
    }
    for (auto& lost : zones_) {
      if (lost == to) continue;
      double before = 0, by_new_plan = 0;
      for (auto& from : zones_) {
        double d = demand(shard_group, from);
        before += d * share(last, shard_group, from, to);
        by_new_plan +=
            d * (share(plan, shard_group, from, to) +
                 share(plan, shard_group, from, lost) * lookup(plan.surplus_capacity, shard_group, from, to));
      }
      if (by_new_plan > std::max(before, supply.current_capacity) * 1.03 + 2)
        throw fmt::format("set {} of {}: without {} {:.0f} by plan {}, it bears {:.0f}", shard_group, to,
                          lost, by_new_plan, plan.number, supply.current_capacity);
    }
  }
  for (auto& [key, shares] : plan.shares) {
    double sum = 0;
    for (auto& [to, s] : shares) sum += s;
    if (sum > 1.0001) throw fmt::format("shares of {} add up to {:.3f}", key.second, sum);
  }
  for (auto& zone : zones_) {
    auto before = last.zones.find(zone);
    auto phase = plan.zones.at(zone).phase,
         old = before == last.zones.end() ? pl::Phase::kOpen : before->second.phase;
    if (phase == old) continue;
    add_to_history(fmt::format("plan {}: {} {} ({})", plan.number, zone, pl::text_of(phase),
                               pl::text_of(plan.zones.at(zone).reason)));
    ++result_.changes;
    // An operator's changes, and the completion of a change that has begun, do not count as flapping.
    bool by_hand = plan.zones.at(zone).reason == pl::PhaseReason::kOperator;
    if (!by_hand && (phase == pl::Phase::kClosed || phase == pl::Phase::kOpening))
      recent_phase_changes_[zone].push_back(now_);
    auto& list = recent_phase_changes_[zone];
    std::erase_if(list, [&](auto at) { return now_ - at >= 60'000; });
    if (list.size() > 4) throw fmt::format("{} changed {} times within a minute", zone, list.size());
    if (phase == pl::Phase::kClosed && old == pl::Phase::kOpen) {
      int zones_reporting_unhealthy = 0;
      for (auto& from : zones_)
        if (auto v = input.observation.votes().find({from, zone}); v != input.observation.votes().end())
          zones_reporting_unhealthy += v->second.unhealthy >= 2;
      if (zones_reporting_unhealthy < 2)
        throw fmt::format("{} is closed, and only {} zones see it ill", zone, zones_reporting_unhealthy);
      if (!has_fault(Fault::Kind::kDead, zone) && !(has_fault(Fault::Kind::kFlap, zone)) &&
          has_fault(Fault::Kind::kGrey, zone)) {
        // The zone still served half of its requests, so the other zones must have capacity for all of them.
        for (int shard_group = 1; shard_group <= shard_group_count_; ++shard_group) {
          double requested = 0, remaining_capacity = 0;
          for (auto& from : zones_) requested += demand(shard_group, from);
          for (auto& other : zones_)
            if (other != zone)
              remaining_capacity += input.supply.at({shard_group, other}).current_capacity *
                                    plan.zones.at(other).capacity_fraction;
          if (requested > remaining_capacity * 1.02)
            throw fmt::format("{} is closed, set {} asks for {:.0f}, the rest bears {:.0f}", zone,
                              shard_group, requested, remaining_capacity);
        }
      }
    }
    // A zone that was just closed must not be opened by the planner within 10 s, whatever is observed of it.
    if (phase == pl::Phase::kClosed) closed_at_[zone] = now_;
    if (phase == pl::Phase::kOpening && !by_hand && now_ - closed_at_[zone] < 10'000)
      throw fmt::format("{} is opened {} ms after it was closed", zone, now_ - closed_at_[zone]);
    if (phase == pl::Phase::kOpening && old == pl::Phase::kClosed &&
        plan.zones.at(zone).capacity_fraction > options_.initial_fraction * 1.01)
      throw fmt::format("{} opens with {:.2f} at once", zone, plan.zones.at(zone).capacity_fraction);
  }
}

// Adds up the requests that are served while half of the proxies follow each plan.
void World::serve(const pl::Plan& last, const pl::Plan& plan) {
  double requested = 0, served = 0, cross_zone = 0;
  std::map<std::pair<pl::ShardGroupId, Zone>, double> load;
  std::map<std::tuple<pl::ShardGroupId, Zone, Zone>, double> sent;
  for (auto& [key, d] : demand_)
    for (auto* p : {&last, &plan}) {
      requested += d / 2;
      auto it = p->shares.find(key);
      if (it == p->shares.end()) continue;
      auto surplus = p->surplus_capacity.find(key);
      for (auto& [to, share] : it->second) {
        // A proxy that observes that a zone serves no requests leaves it by itself, as far as the plan gives
        // it surplus capacity in other zones.
        bool gone = cut(key.second, to) || has_fault(Fault::Kind::kDead, to);
        if (gone && surplus != p->surplus_capacity.end())
          for (auto& [other, part] : surplus->second) {
            if (other == to) continue;
            sent[{key.first, key.second, other}] += d / 2 * share * part;
            load[{key.first, other}] += d / 2 * share * part;
          }
        if (gone) continue;
        sent[{key.first, key.second, to}] += d / 2 * share;
        load[{key.first, to}] += d / 2 * share;
      }
    }
  for (auto& [key, rate] : sent) {
    auto& [shard_group, from, to] = key;
    if (from != to) cross_zone += rate;
    double success_rate = cut(from, to) || has_fault(Fault::Kind::kDead, to) ||
                                  (has_fault(Fault::Kind::kFlap, to) && unhealthy(to))
                              ? 0
                          : has_fault(Fault::Kind::kGrey, to) ? 0.5
                                                              : 1;
    double capacity = capacity_[{shard_group, to}] * warm_up_fraction(to);
    served += rate * success_rate * std::min(1.0, capacity / std::max(1.0, load[{shard_group, to}]));
  }
  requested_ += requested;
  served_ += served;
  bool fault_free = std::none_of(faults_.begin(), faults_.end(),
                                 [&](auto& f) { return now_ >= f.at && now_ < f.at + f.duration + 40'000; });
  if (fault_free && now_ > 5000) calm_requested_ += requested, calm_cross_zone_ += cross_zone;
  recent_steps_.emplace_back(requested, served);
  if (recent_steps_.size() > 20) recent_steps_.pop_front();
  double a = 0, s = 0;
  for (auto& [x, y] : recent_steps_) a += x, s += y;
  if (recent_steps_.size() == 20 && a > 0)
    result_.served_worst_10s = std::min(result_.served_worst_10s, s / a);
}

void World::check_final_state(const pl::Plan& plan, const pl::Input& input) {
  for (auto& zone : zones_)
    if (plan.zones.at(zone).phase != pl::Phase::kOpen)
      throw fmt::format("{} is still {} with no fault since {} s", zone,
                        pl::text_of(plan.zones.at(zone).phase), (now_ - kFaultsUntil) / 1000);
  for (auto& [key, link] : plan.links)
    if (link.phase != pl::Phase::kOpen)
      throw fmt::format("the link {} > {} is still closed", key.first, key.second);
  for (auto& [key, d] : demand_) {
    auto it = plan.shares.find(key);
    double own = it == plan.shares.end() || !it->second.count(key.second) ? 0 : it->second.at(key.second);
    if (d < capacity_[key] * 0.75 && own < 0.93)
      throw fmt::format("set {}: {} serves {:.2f} of its own, with room for all", key.first, key.second, own);
  }
  (void)input;
}

PlacementResult World::run() try {
  build();
  pl::Plan plan, last;
  std::set<std::size_t> started;
  Millis lease_holder_back_at = 0;
  std::uint64_t settled_number = 0;
  for (; now_ < kEnd; now_ += kStep) {
    for (std::size_t i = 0; i < faults_.size(); ++i)
      if (now_ >= faults_[i].at && started.insert(i).second) {
        ++result_.faults;
        constexpr const char* kNames[] = {"dies",          "grey",       "flaps", "cut from",
                                          "observed late", "owner away", "burst", "evacuated"};
        add_to_history(fmt::format("fault: {} {} {} for {:.1f} s", faults_[i].zone,
                                   kNames[static_cast<int>(faults_[i].kind)], faults_[i].other,
                                   static_cast<double>(faults_[i].duration) / 1000));
      }
    for (auto& zone : zones_) {
      bool dead = has_fault(Fault::Kind::kDead, zone);
      if (dead && !was_dead_[zone]) lost_at_[zone] = now_;
      if (!dead && was_dead_[zone]) {
        recovered_at_[zone] = now_;
        lost_at_.erase(zone);
      }
      was_dead_[zone] = dead;
    }
    auto input = observe();
    serve(last, plan);
    if (has_fault(Fault::Kind::kNoLeaseHolder, ""))
      lease_holder_back_at = now_ + 2000;  // a new lease holder takes over when the lease has expired
    if (now_ < lease_holder_back_at) continue;
    // Each round may have another lease holder, so the plan carries all of the state.
    pl::Planner planner(topology_, options_);
    last = plan;
    for (auto& f : faults_) {
      if (f.kind != Fault::Kind::kEvacuate) continue;
      if (now_ >= f.at && now_ < f.at + kStep) planner.evacuate(&plan, f.zone, false, input);
      if (now_ >= f.at + f.duration && now_ < f.at + f.duration + kStep)
        planner.restore(&plan, f.zone, input);
    }
    // An operator's restore that came while there was no lease holder is repeated at the end.
    if (now_ >= kFaultsUntil)
      for (auto& zone : zones_) planner.restore(&plan, zone, input);
    plan = planner.next(plan, input);
    result_.plans += plan.number != last.number;
    check(last, plan, input);
    for (auto& [zone, at] : lost_at_) {
      double remaining_share = 0;
      for (auto& [key, shares] : plan.shares)
        if (auto it = shares.find(zone); it != shares.end()) remaining_share += it->second;
      if (remaining_share == 0)
        result_.max_move_ms = std::max(result_.max_move_ms, static_cast<std::uint64_t>(now_ - at));
      if (remaining_share == 0) at = now_;
    }
    if (now_ >= kSettledAt) {
      if (settled_number == 0) settled_number = plan.number;
      check_final_state(plan, input);
    }
  }
  if (plan.number > settled_number + 3)
    throw fmt::format("{} plans in the last {} s without a fault", plan.number - settled_number,
                      (kEnd - kSettledAt) / 1000);
  result_.served = requested_ > 0 ? served_ / requested_ : 1;
  result_.cross_zone_share_calm = calm_requested_ > 0 ? calm_cross_zone_ / calm_requested_ : 0;
  return result_;
} catch (const std::string& violation) {
  result_.violation = fmt::format("at {:.1f} s: {}", static_cast<double>(now_) / 1000, violation);
  return result_;
}

}  // namespace

const std::vector<std::pair<PlanMutant, std::string>>& plan_mutants() {
  static const std::vector<std::pair<PlanMutant, std::string>> all{
      {PlanMutant::kSingleReporter, "one proxy's word closes a zone"},
      {PlanMutant::kInsufficientCapacity, "closed though the rest cannot carry it"},
      {PlanMutant::kNoMinimumDuration, "opened without dwelling"},
      {PlanMutant::kNoBudget, "no budget of changes"},
      {PlanMutant::kNoOverlap, "the last plan's followers forgotten"},
      {PlanMutant::kOpenAtOnce, "opened at once"}};
  return all;
}

PlanCost plan_cost(int proxies, int servers, int shard_groups, int zones) {
  using Clock = std::chrono::steady_clock;
  auto us = [](Clock::time_point from) {
    return std::chrono::duration<double, std::micro>(Clock::now() - from).count();
  };
  PlanCost cost;
  pl::ZoneTopology topology;
  std::vector<Zone> names;
  for (int z = 0; z < zones; ++z) {
    names.push_back(fmt::format("zone-{}", z));
    topology.set_region(names.back(), z % 2 ? "south" : "north");
  }
  std::vector<pl::Observation> all(static_cast<std::size_t>(proxies));
  for (int i = 0; i < proxies; ++i) {
    auto& o = all[static_cast<std::size_t>(i)];
    auto& from = names[static_cast<std::size_t>(i % zones)];
    for (auto& to : names) {
      pl::ZoneSample s;
      s.attempts = 40, s.latency_us = 123456, s.spare_capacity = 77.5;
      o.record(from, 0, to, s);
      o.add_vote(from, to, true);
    }
    for (int shard_group = 1; shard_group <= shard_groups; ++shard_group)
      o.add_demand(from, shard_group, 5), o.add_primary(shard_group, names[0]);
    o.add_followers(7);
  }
  std::string text;
  nlohmann::json::to_cbor(pl::to_json(all[0]), text);
  cost.observation_bytes = text.size();
  auto at = Clock::now();
  pl::Input input;
  for (auto& o : all) input.observation.add(o);
  cost.sum_us = us(at);
  text.clear();
  nlohmann::json::to_cbor(pl::to_json(input.observation), text);
  cost.sum_bytes = text.size();
  input.now = 1'000'000;
  input.seconds = 0.5;
  pl::Demand demand;
  demand.add_interval(input.observation, 0.5);
  input.smoothed_demand = demand.rates();
  double each = 300.0 * servers / shard_groups / zones;
  for (auto& zone : names)
    for (int shard_group = 1; shard_group <= shard_groups; ++shard_group)
      input.supply[{shard_group, zone}] = {each, false};
  pl::Planner planner(topology);
  auto plan = planner.next({}, input);
  constexpr int kRounds = 20;
  at = Clock::now();
  for (int i = 0; i < kRounds; ++i) plan = planner.next(plan, input);
  cost.plan_us = us(at) / kRounds;
  cost.plan_bytes = pl::to_json(plan).dump().size();
  return cost;
}

PlacementResult run_placement(std::uint64_t seed, PlanMutant mutant) { return World(seed, mutant).run(); }

}  // namespace database_proxy::testbench::simulation
