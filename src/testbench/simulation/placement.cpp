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

constexpr Millis kStep = 500, kFaultsUntil = 120'000, kEnd = 220'000, kSettled = 190'000;
constexpr Millis kWarmUp = 18'000;
constexpr double kColdSpeed = 0.17;
// Whoever tries a closed zone by its probes still has a voice.
constexpr std::uint64_t kProbes = 4;

struct Fault {
  enum class What { kDead, kGrey, kFlap, kCut, kLate, kOwnerAway, kBurst, kEvacuate } what;
  Millis at, length;
  Zone zone, other;
};

class World {
 public:
  World(std::uint64_t seed, PlanMutant mutant) : random_(seed), mutant_(mutant) {}
  PlacementResult run();

 private:
  std::uint64_t draw(std::uint64_t below) { return random_() % below; }
  double between(double least, double most) {
    return least + (most - least) * std::uniform_real_distribution<double>()(random_);
  }
  void say(const std::string& line) {
    result_.history.push_back(fmt::format("{:7.1f} {}", static_cast<double>(now_) / 1000, line));
  }
  void build();
  bool faulty(Fault::What what, const Zone& zone, const Zone& other = "") const;
  bool unhealthy(const Zone& zone) const;
  bool cut(const Zone& a, const Zone& b) const { return a != b && faulty(Fault::What::kCut, a, b); }
  double warm(const Zone& zone) const;
  pl::Input observe();
  void check(const pl::Plan& last, const pl::Plan& plan, const pl::Input& input);
  void serve(const pl::Plan& last, const pl::Plan& plan);
  void check_rest(const pl::Plan& plan, const pl::Input& input);

  std::mt19937_64 random_;
  PlanMutant mutant_;
  PlacementResult result_;
  Millis now_ = 0;
  std::vector<Zone> zones_;
  pl::ZoneTopology places_;
  pl::Options options_;
  int sets_ = 1;
  std::map<std::pair<pl::ShardGroupId, Zone>, double> capacity_, demand_;
  std::map<Zone, int> observers_;
  Millis flap_every_ = 2000;  // quicker than any dwell, or just slow enough to be opened again and again
  Zone bad_card_;             // one observer of this zone sees all as dead
  std::vector<Fault> faults_;
  std::map<Zone, Millis> back_;  // when it came back, cold
  std::map<Zone, Millis> lost_at_;
  std::map<Zone, bool> was_ill_;
  std::deque<pl::Observation> seen_;
  pl::Demand asked_smoothly_;
  std::deque<std::pair<double, double>> lately_;  // asked, served
  std::map<Zone, std::vector<Millis>> changes_;
  std::map<Zone, Millis> closed_at_;
  double asked_ = 0, served_ = 0, far_ = 0, calm_ = 0;
};

void World::build() {
  int count = 3 + static_cast<int>(draw(3));
  for (int i = 0; i < count; ++i) {
    zones_.push_back(fmt::format("z{}", i + 1));
    places_.set_region(zones_.back(), i < (count + 1) / 2 ? "north" : "south");
  }
  sets_ = 1 + static_cast<int>(draw(3));
  for (auto& zone : zones_) {
    observers_[zone] = 3 + static_cast<int>(draw(8));
    for (int set = 1; set <= sets_; ++set) {
      capacity_[{set, zone}] = between(500, 1500);
      demand_[{set, zone}] = capacity_[{set, zone}] * between(0.2, 0.7);
    }
  }
  if (draw(2) == 0) flap_every_ = 7000;
  if (draw(3) == 0) bad_card_ = zones_[draw(zones_.size())];
  for (Millis at = 10'000 + static_cast<Millis>(draw(10'000)); at < kFaultsUntil - 15'000;
       at += 4000 + static_cast<Millis>(draw(26'000))) {
    Fault f{static_cast<Fault::What>(draw(8)), at, 2000 + static_cast<Millis>(draw(20'000)),
            zones_[draw(zones_.size())], zones_[draw(zones_.size())]};
    if (f.what == Fault::What::kFlap) f.length = std::min<Millis>(60'000, kFaultsUntil - at);
    f.length = std::min(f.length, kFaultsUntil - at);
    faults_.push_back(f);
  }
  options_.flaw_single_reporter = mutant_ == PlanMutant::kOneVoice;
  options_.flaw_no_capacity_check = mutant_ == PlanMutant::kInsufficientCapacity;
  options_.flaw_no_minimum_duration = mutant_ == PlanMutant::kNoMinimumDuration;
  options_.flaw_no_budget = mutant_ == PlanMutant::kNoBudget;
  options_.flaw_no_overlap = mutant_ == PlanMutant::kNoOverlap;
  options_.flaw_open_at_once = mutant_ == PlanMutant::kOpenAtOnce;
}

bool World::faulty(Fault::What what, const Zone& zone, const Zone& other) const {
  return std::any_of(faults_.begin(), faults_.end(), [&](auto& f) {
    bool here = f.what == Fault::What::kCut
                    ? (f.zone == zone && f.other == other) || (f.zone == other && f.other == zone)
                    : zone.empty() || f.zone == zone;
    return f.what == what && here && now_ >= f.at && now_ < f.at + f.length;
  });
}

bool World::unhealthy(const Zone& zone) const {
  if (faulty(Fault::What::kDead, zone) || faulty(Fault::What::kGrey, zone)) return true;
  return faulty(Fault::What::kFlap, zone) && now_ / flap_every_ % 2 == 0;
}

double World::warm(const Zone& zone) const {
  auto it = back_.find(zone);
  if (it == back_.end()) return 1;
  return std::min(1.0, kColdSpeed + (1 - kColdSpeed) * static_cast<double>(now_ - it->second) / kWarmUp);
}

// What the proxies of all zones saw in this step, and what of it the owner has by now.
pl::Input World::observe() {
  pl::Observation seen;
  for (auto& from : zones_) {
    bool late = faulty(Fault::What::kLate, from);
    pl::Observation here;
    for (int o = 0; o < observers_[from]; ++o)
      for (auto& to : zones_) {
        bool bad = (from == bad_card_ && o == 0) || unhealthy(to) || cut(from, to) || draw(50) == 0;
        here.add_vote(from, to, !bad);
        pl::ZoneSample s;
        s.attempts = kProbes;
        s.timed_out = bad ? (faulty(Fault::What::kGrey, to) ? kProbes / 2 : kProbes) : 0;
        here.record(from, 1, to, s);
      }
    for (int set = 1; set <= sets_; ++set) {
      double asked = demand_[{set, from}] * between(0.97, 1.03) * (faulty(Fault::What::kBurst, "") ? 2 : 1);
      here.add_demand(from, set, static_cast<std::uint64_t>(asked));
    }
    if (late && seen_.size() >= 20) {  // its last word is ten seconds old
      pl::Observation old;
      for (auto& [key, votes] : seen_.front().votes())
        if (key.first == from)
          for (std::uint64_t i = 0; i < votes.healthy + votes.unhealthy; ++i)
            old.add_vote(from, key.second, i < votes.healthy);
      for (auto& [key, requests] : seen_.front().demand())
        if (key.first == from) old.add_demand(from, key.second, requests);
      here = old;
    }
    seen.add(here);
  }
  seen_.push_back(seen);
  if (seen_.size() > 20) seen_.pop_front();
  pl::Input input;
  input.now = now_ + 1'000'000;
  input.observation = seen;
  asked_smoothly_.add_interval(seen, 1);
  input.smoothed_demand = asked_smoothly_.rates();
  for (auto& [key, most] : capacity_) input.supply[key] = {most * warm(key.second), warm(key.second) < 1};
  return input;
}

void World::check(const pl::Plan& last, const pl::Plan& plan, const pl::Input& input) {
  auto demand = [&](pl::ShardGroupId set, const Zone& from) {
    auto it = input.smoothed_demand.find({from, set});
    return it == input.smoothed_demand.end() ? 0.0 : it->second;
  };
  auto one = [](auto& all, pl::ShardGroupId set, const Zone& from, const Zone& to) {
    auto it = all.find({set, from});
    if (it == all.end()) return 0.0;
    auto s = it->second.find(to);
    return s == it->second.end() ? 0.0 : s->second;
  };
  auto share = [&](const pl::Plan& p, pl::ShardGroupId set, const Zone& from, const Zone& to) {
    return one(p.shares, set, from, to);
  };
  for (auto& [key, supply] : input.supply) {
    auto& [set, to] = key;
    double mixed = 0, before = 0, alone = 0;
    for (auto& from : zones_) {
      double d = demand(set, from), a = share(last, set, from, to), b = share(plan, set, from, to);
      mixed += d * std::max(a, b);
      before += d * a;
      alone += d * b;
    }
    auto& state = plan.zones.at(to);
    double capacity = supply.current_capacity * state.capacity_fraction;
    if (mixed > std::max(before, capacity) * 1.001 + 1)
      throw fmt::format(
          "set {} of {}: {:.0f} by half of the proxies on plan {} and half on {}, it bears {:.0f}", set, to,
          mixed, last.number, plan.number, capacity);
    if (plan.number > last.number && alone > capacity * 1.03 + 2 + capacity * 0.03)
      throw fmt::format("set {} of {}: {:.0f} by plan {}, it bears {:.0f}", set, to, alone, plan.number,
                        capacity);
  }
  // The loss of any one zone, with half of the proxies on each plan: its clients may all use what is spare.
  for (auto& [key, supply] : input.supply) {
    auto& [set, to] = key;
    if (plan.zones.at(to).phase != pl::Phase::kOpen || supply.warming_up) {
      for (auto& from : zones_)
        if (one(plan.surplus_capacity, set, from, to) > 0)
          throw fmt::format("set {} of {}: it is not whole, and spare by plan {}", set, to, plan.number);
      continue;
    }
    for (auto& lost : zones_) {
      if (lost == to) continue;
      double before = 0, alone = 0;
      for (auto& from : zones_) {
        double d = demand(set, from);
        before += d * share(last, set, from, to);
        alone += d * (share(plan, set, from, to) +
                      share(plan, set, from, lost) * one(plan.surplus_capacity, set, from, to));
      }
      if (alone > std::max(before, supply.current_capacity) * 1.03 + 2)
        throw fmt::format("set {} of {}: without {} {:.0f} by plan {}, it bears {:.0f}", set, to, lost, alone,
                          plan.number, supply.current_capacity);
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
    say(fmt::format("plan {}: {} {} ({})", plan.number, zone, pl::text_of(phase),
                    pl::text_of(plan.zones.at(zone).reason)));
    ++result_.changes;
    // By hand, and the ends of what was begun, are no flapping.
    bool by_hand = plan.zones.at(zone).reason == pl::PhaseReason::kOperator;
    if (!by_hand && (phase == pl::Phase::kClosed || phase == pl::Phase::kOpening))
      changes_[zone].push_back(now_);
    auto& list = changes_[zone];
    std::erase_if(list, [&](auto at) { return now_ - at >= 60'000; });
    if (list.size() > 4) throw fmt::format("{} changed {} times within a minute", zone, list.size());
    if (phase == pl::Phase::kClosed && old == pl::Phase::kOpen) {
      int see_ill = 0;
      for (auto& from : zones_)
        if (auto v = input.observation.votes().find({from, zone}); v != input.observation.votes().end())
          see_ill += v->second.unhealthy >= 2;
      if (see_ill < 2) throw fmt::format("{} is closed, and only {} zones see it ill", zone, see_ill);
      if (!faulty(Fault::What::kDead, zone) && !(faulty(Fault::What::kFlap, zone)) &&
          faulty(Fault::What::kGrey, zone)) {
        // It still served half: the others must bear all.
        for (int set = 1; set <= sets_; ++set) {
          double asked = 0, borne = 0;
          for (auto& from : zones_) asked += demand(set, from);
          for (auto& other : zones_)
            if (other != zone)
              borne +=
                  input.supply.at({set, other}).current_capacity * plan.zones.at(other).capacity_fraction;
          if (asked > borne * 1.02)
            throw fmt::format("{} is closed, set {} asks for {:.0f}, the rest bears {:.0f}", zone, set, asked,
                              borne);
        }
      }
    }
    // What has just been lost is not trusted again within moments, whatever is seen of it.
    if (phase == pl::Phase::kClosed) closed_at_[zone] = now_;
    if (phase == pl::Phase::kOpening && !by_hand && now_ - closed_at_[zone] < 10'000)
      throw fmt::format("{} is opened {} ms after it was closed", zone, now_ - closed_at_[zone]);
    if (phase == pl::Phase::kOpening && old == pl::Phase::kClosed &&
        plan.zones.at(zone).capacity_fraction > options_.initial_fraction * 1.01)
      throw fmt::format("{} opens with {:.2f} at once", zone, plan.zones.at(zone).capacity_fraction);
  }
}

// What the clients get while half of the proxies follow each plan.
void World::serve(const pl::Plan& last, const pl::Plan& plan) {
  double asked = 0, served = 0, far = 0;
  std::map<std::pair<pl::ShardGroupId, Zone>, double> load;
  std::map<std::tuple<pl::ShardGroupId, Zone, Zone>, double> sent;
  for (auto& [key, d] : demand_)
    for (auto* p : {&last, &plan}) {
      asked += d / 2;
      auto it = p->shares.find(key);
      if (it == p->shares.end()) continue;
      auto spare = p->surplus_capacity.find(key);
      for (auto& [to, share] : it->second) {
        // By its own eyes a proxy leaves a zone that serves nobody, as far as there is spare room elsewhere.
        bool gone = cut(key.second, to) || faulty(Fault::What::kDead, to);
        if (gone && spare != p->surplus_capacity.end())
          for (auto& [other, part] : spare->second) {
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
    auto& [set, from, to] = key;
    if (from != to) far += rate;
    double good =
        cut(from, to) || faulty(Fault::What::kDead, to) || (faulty(Fault::What::kFlap, to) && unhealthy(to))
            ? 0
        : faulty(Fault::What::kGrey, to) ? 0.5
                                         : 1;
    double capacity = capacity_[{set, to}] * warm(to);
    served += rate * good * std::min(1.0, capacity / std::max(1.0, load[{set, to}]));
  }
  asked_ += asked;
  served_ += served;
  bool calm = std::none_of(faults_.begin(), faults_.end(),
                           [&](auto& f) { return now_ >= f.at && now_ < f.at + f.length + 40'000; });
  if (calm && now_ > 5000) calm_ += asked, far_ += far;
  lately_.emplace_back(asked, served);
  if (lately_.size() > 20) lately_.pop_front();
  double a = 0, s = 0;
  for (auto& [x, y] : lately_) a += x, s += y;
  if (lately_.size() == 20 && a > 0) result_.served_worst_10s = std::min(result_.served_worst_10s, s / a);
}

void World::check_rest(const pl::Plan& plan, const pl::Input& input) {
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
  std::set<std::size_t> begun;
  Millis owner_back = 0;
  std::uint64_t settled_number = 0;
  for (; now_ < kEnd; now_ += kStep) {
    for (std::size_t i = 0; i < faults_.size(); ++i)
      if (now_ >= faults_[i].at && begun.insert(i).second) {
        ++result_.faults;
        constexpr const char* kNames[] = {"dies",          "grey",       "flaps", "cut from",
                                          "observed late", "owner away", "burst", "evacuated"};
        say(fmt::format("fault: {} {} {} for {:.1f} s", faults_[i].zone,
                        kNames[static_cast<int>(faults_[i].what)], faults_[i].other,
                        static_cast<double>(faults_[i].length) / 1000));
      }
    for (auto& zone : zones_) {
      bool dead = faulty(Fault::What::kDead, zone);
      if (dead && !was_ill_[zone]) lost_at_[zone] = now_;
      if (!dead && was_ill_[zone]) {
        back_[zone] = now_;
        lost_at_.erase(zone);
      }
      was_ill_[zone] = dead;
    }
    auto input = observe();
    serve(last, plan);
    if (faulty(Fault::What::kOwnerAway, "")) owner_back = now_ + 2000;  // a successor, after the lease
    if (now_ < owner_back) continue;
    // Each round may be another owner: all that it knows stands in the plan.
    pl::Planner planner(places_, options_);
    last = plan;
    for (auto& f : faults_) {
      if (f.what != Fault::What::kEvacuate) continue;
      if (now_ >= f.at && now_ < f.at + kStep) planner.evacuate(&plan, f.zone, false, input);
      if (now_ >= f.at + f.length && now_ < f.at + f.length + kStep) planner.restore(&plan, f.zone, input);
    }
    // A hand on the switch while the owner was away is told again at the end.
    if (now_ >= kFaultsUntil)
      for (auto& zone : zones_) planner.restore(&plan, zone, input);
    plan = planner.next(plan, input);
    result_.plans += plan.number != last.number;
    check(last, plan, input);
    for (auto& [zone, at] : lost_at_) {
      double there = 0;
      for (auto& [key, shares] : plan.shares)
        if (auto it = shares.find(zone); it != shares.end()) there += it->second;
      if (there == 0)
        result_.moved_ms_most = std::max(result_.moved_ms_most, static_cast<std::uint64_t>(now_ - at));
      if (there == 0) at = now_;
    }
    if (now_ >= kSettled) {
      if (settled_number == 0) settled_number = plan.number;
      check_rest(plan, input);
    }
  }
  if (plan.number > settled_number + 3)
    throw fmt::format("{} plans in the last {} s without a fault", plan.number - settled_number,
                      (kEnd - kSettled) / 1000);
  result_.served = asked_ > 0 ? served_ / asked_ : 1;
  result_.far_calm = calm_ > 0 ? far_ / calm_ : 0;
  return result_;
} catch (const std::string& broken) {
  result_.broken = fmt::format("at {:.1f} s: {}", static_cast<double>(now_) / 1000, broken);
  return result_;
}

}  // namespace

const std::vector<std::pair<PlanMutant, std::string>>& plan_mutants() {
  static const std::vector<std::pair<PlanMutant, std::string>> all{
      {PlanMutant::kOneVoice, "one proxy's word closes a zone"},
      {PlanMutant::kInsufficientCapacity, "closed though the rest cannot carry it"},
      {PlanMutant::kNoMinimumDuration, "opened without dwelling"},
      {PlanMutant::kNoBudget, "no budget of changes"},
      {PlanMutant::kNoOverlap, "the last plan's followers forgotten"},
      {PlanMutant::kOpenAtOnce, "opened at once"}};
  return all;
}

PlanCost plan_cost(int proxies, int servers, int sets, int zones) {
  using Clock = std::chrono::steady_clock;
  auto us = [](Clock::time_point from) {
    return std::chrono::duration<double, std::micro>(Clock::now() - from).count();
  };
  PlanCost cost;
  pl::ZoneTopology places;
  std::vector<Zone> names;
  for (int z = 0; z < zones; ++z) {
    names.push_back(fmt::format("zone-{}", z));
    places.set_region(names.back(), z % 2 ? "south" : "north");
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
    for (int set = 1; set <= sets; ++set) o.add_demand(from, set, 5), o.add_primary(set, names[0]);
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
  double each = 300.0 * servers / sets / zones;
  for (auto& zone : names)
    for (int set = 1; set <= sets; ++set) input.supply[{set, zone}] = {each, false};
  pl::Planner planner(places);
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
