#include "placement/plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace database_proxy::placement {
namespace {

constexpr Millis kMinute = 60'000;
constexpr double kNothing = 1e-9;
// Shares that differ by less stay as they were: what is asked for in a second swings by some 3 % both ways,
// which is no reason for a new plan.
constexpr double kSame = 0.06;
// What was dealt out of what is spare stays while a zone bears it at all and it is no less than this part of
// what would be dealt now: that follows every swing of what is asked for.
constexpr double kStaySpare = 0.6, kLeastSpare = 0.02;
constexpr double kWorks = 0.5;
constexpr double kEvacuateStep = 0.25;  // of a zone's capacity
// A zone that loses so much of what it is sent serves nobody by staying open.
constexpr double kDead = 0.9;
// What is asked for is counted over a second; the next one may ask for more.
constexpr double kBurst = 1.0;

}  // namespace

const char* text_of(Phase phase) {
  constexpr const char* kTexts[] = {"open", "closed", "opening", "evacuating", "evacuated"};
  return kTexts[static_cast<std::size_t>(phase)];
}

const char* text_of(PhaseReason reason) {
  constexpr const char* kTexts[] = {"",
                                    "seen ill by a majority of proxies in several zones",
                                    "seen well again for long enough",
                                    "the last step went well",
                                    "ill again while it was being opened",
                                    "by the operator",
                                    "ill, but the others cannot carry what it still serves",
                                    "too many changes within a minute"};
  return kTexts[static_cast<std::size_t>(reason)];
}

int ZoneTopology::distance(const Zone& a, const Zone& b) const {
  if (!knows(a) || !knows(b)) return 2;
  if (a == b) return 0;
  return region_.at(a) == region_.at(b) ? 1 : 2;
}

double Plan::refused(SetId set, const Zone& from) const {
  auto it = shares.find({set, from});
  if (it == shares.end()) return 0;
  double sum = 0;
  for (auto& [zone, share] : it->second) sum += share;
  return std::max(0.0, 1 - sum);
}

bool Plan::same_but_number(const Plan& o) const {
  auto same = [](auto& a, auto& b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](auto& x, auto& y) {
      return x.first == y.first && x.second.phase == y.second.phase && x.second.reason == y.second.reason &&
             x.second.part == y.second.part && x.second.forced == y.second.forced;
    });
  };
  // A link that somebody doubts, and that is open, is no part of what proxies follow.
  auto closed = [](const Plan& p) {
    std::map<std::pair<Zone, Zone>, ZoneState> all;
    for (auto& [key, link] : p.links)
      if (link.phase != Phase::kOpen) all.emplace(key, link);
    return all;
  };
  auto own = closed(*this), others = closed(o);
  return same(zones, o.zones) && same(own, others) && shares == o.shares &&
         surplus_capacity == o.surplus_capacity && frozen == o.frozen;
}

std::vector<Zone> Planner::unknown(const Input& input) const {
  std::set<Zone> all;
  for (auto& [key, supply] : input.supply)
    if (!places_.knows(key.second)) all.insert(key.second);
  return {all.begin(), all.end()};
}

Demand::Rates Planner::asked(const Input& input) {
  if (!input.asked.empty()) return input.asked;
  Demand::Rates rates;
  for (auto& [key, requests] : input.seen.demand())
    rates[key] = static_cast<double>(requests) / input.seconds;
  return rates;
}

// ---- what the observers agree on -------------------------------------------------------------------------

Planner::Agreed Planner::link_health(const Zone& from, const Zone& to, const Input& input) const {
  auto it = input.seen.votes().find({from, to});
  if (it == input.seen.votes().end()) return Agreed::kNothing;
  auto& v = it->second;
  auto all = v.all();
  if (all < (options_.flaw_one_voice ? 1 : options_.least_voices)) return Agreed::kNothing;
  // One that is late and does what it can bear has too much to do: closing it would help nobody.
  auto unhealthy = v.unhealthy + (works(to, input) || !finds_any_healthy(from, input) ? 0 : v.late);
  if (static_cast<double>(unhealthy) >= options_.unhealthy * static_cast<double>(all))
    return Agreed::kUnhealthy;
  // One that sees all as dead keeps nothing closed either.
  if (unhealthy == 1 && v.late <= 1 && all >= 3) return Agreed::kHealthy;
  if (static_cast<double>(v.healthy) >= options_.healthy * static_cast<double>(all)) return Agreed::kHealthy;
  return Agreed::kNothing;
}

// Who sees whom: a zone is ill where most zones of observers find it so; where only one does, the way there
// is.
Planner::Agreed Planner::zone_health(const Zone& zone, const Input& input) const {
  // Where those who stand in it are served well by it, only the ways there fail.
  if (!options_.flaw_one_voice && link_health(zone, zone, input) == Agreed::kHealthy) return Agreed::kHealthy;
  int unhealthy = 0, healthy = 0, voices = 0;
  for (auto& [key, votes] : input.seen.votes()) {
    if (key.second != zone) continue;
    auto agreed = link_health(key.first, zone, input);
    if (agreed == Agreed::kNothing && votes.all() < options_.least_voices) continue;
    ++voices;
    unhealthy += agreed == Agreed::kUnhealthy;
    healthy += agreed == Agreed::kHealthy;
  }
  if (options_.flaw_one_voice && unhealthy > 0) return Agreed::kUnhealthy;
  // Where all proxies stand in one zone there is nobody else to ask.
  std::set<Zone> observers;
  for (auto& [key, votes] : input.seen.votes())
    if (votes.all() >= options_.least_voices) observers.insert(key.first);
  int needed = std::min(options_.least_zones, std::max(1, static_cast<int>(observers.size())));
  if (unhealthy >= needed && unhealthy * 2 > voices) return Agreed::kUnhealthy;
  return voices > 0 && healthy * 2 > voices ? Agreed::kHealthy : Agreed::kNothing;
}

// Those to whom all zones are late are slow themselves.
bool Planner::finds_any_healthy(const Zone& from, const Input& input) const {
  return std::any_of(input.seen.votes().begin(), input.seen.votes().end(), [&](auto& entry) {
    auto& v = entry.second;
    return entry.first.first == from && v.all() > 0 &&
           static_cast<double>(v.healthy) >= options_.healthy * static_cast<double>(v.all());
  });
}

// It answers half of what it bears, or more: what is late there is late for its load.
bool Planner::works(const Zone& zone, const Input& input) const {
  double served = 0, capacity = 0;
  for (auto& [key, s] : input.seen.seen())
    if (std::get<2>(key) == zone)
      served +=
          static_cast<double>(s.attempts - std::min(s.attempts, s.refused + s.timed_out + s.failed + s.full));
  for (auto& [key, supply] : input.supply)
    if (key.second == zone) capacity += supply.warm;
  return capacity > 0 && served / input.seconds >= kWorks * capacity;
}

// It serves nobody, by those of every zone that tried: also one that is cut from all others may serve its
// own.
bool Planner::dead(const Zone& zone, const Input& input) const {
  std::map<Zone, std::pair<std::uint64_t, std::uint64_t>> tried;  // by observers' zone: attempts, lost
  for (auto& [key, s] : input.seen.seen()) {
    if (std::get<2>(key) != zone || s.attempts == 0) continue;
    auto& [attempts, lost] = tried[std::get<0>(key)];
    attempts += s.attempts;
    lost += s.refused + s.timed_out + s.failed;  // what was full is alive
  }
  return !tried.empty() && std::all_of(tried.begin(), tried.end(), [](auto& t) {
    return static_cast<double>(t.second.second) >= kDead * static_cast<double>(t.second.first);
  });
}

// Every set that the zone serves: the others, as far as they may be used, bear all that is asked.
bool Planner::others_have_capacity(const Plan& plan, const Zone& but, const Input& input) const {
  if (options_.flaw_no_capacity_check) return true;
  std::map<SetId, double> asked, borne;
  for (auto& [key, rate] : Planner::asked(input)) asked[key.second] += rate * kBurst;
  std::set<SetId> sets;
  for (auto& [key, supply] : input.supply) {
    if (key.second == but) {
      sets.insert(key.first);
      continue;
    }
    auto it = plan.zones.find(key.second);
    borne[key.first] += supply.warm * (it == plan.zones.end() ? 1 : it->second.part);
  }
  return std::all_of(sets.begin(), sets.end(), [&](auto set) { return asked[set] <= borne[set]; });
}

bool Planner::spend(Plan* plan, const Zone& zone, Millis now, int ahead) const {
  auto spent =
      std::count_if(plan->changes.begin(), plan->changes.end(), [&](auto& c) { return c.first == zone; });
  if (spent + ahead >= options_.changes_a_minute && !options_.flaw_no_budget) return false;
  plan->changes.emplace_back(zone, now);
  return true;
}

void Planner::debounce(ZoneState* s, Agreed agreed, Millis now) const {
  auto keep = [&](Millis* since, bool so) { *since = so ? (*since ? *since : now) : 0; };
  keep(&s->unhealthy_since, agreed == Agreed::kUnhealthy);
  keep(&s->healthy_since, agreed == Agreed::kHealthy);
}

void Planner::move_zone(Plan* plan, const Zone& zone, ZoneState* s, const Input& input) const {
  auto now = input.now;
  bool unhealthy = s->unhealthy_since && now - s->unhealthy_since >= options_.close_after;
  auto enter = [&](Phase phase, PhaseReason reason, double part) {
    s->phase = phase;
    s->reason = reason;
    s->part = part;
    s->since = s->stepped = now;
  };
  switch (s->phase) {
    case Phase::kOpen:
      if (!unhealthy) {
        if (s->reason == PhaseReason::kInsufficientCapacity || s->reason == PhaseReason::kChangeBudgetSpent)
          s->reason = PhaseReason::kNone;
        return;
      }
      if (!dead(zone, input) && !others_have_capacity(*plan, zone, input))
        s->reason = PhaseReason::kInsufficientCapacity;
      else if (!spend(plan, zone, now))
        s->reason = PhaseReason::kChangeBudgetSpent;
      else
        enter(Phase::kClosed, PhaseReason::kUnhealthy, 0);
      return;
    case Phase::kClosed: {
      bool long_enough = s->healthy_since && now - s->healthy_since >= options_.open_after &&
                         now - s->since >= options_.minimum_phase_duration;
      if (options_.flaw_no_minimum_duration) long_enough = s->healthy_since != 0;
      // It may be ill again at once, and must then be closed.
      if (!long_enough || !spend(plan, zone, now, 1)) return;
      return enter(Phase::kOpening, PhaseReason::kHealthy,
                   options_.flaw_open_at_once ? 1 : options_.first_part);
    }
    case Phase::kOpening:
      if (unhealthy) {
        plan->changes.emplace_back(zone, now);
        return enter(Phase::kClosed, PhaseReason::kUnhealthyAgain, 0);
      }
      if (!s->healthy_since || now - s->stepped < options_.step_every) return;
      s->part = std::min(1.0, s->part * 2);
      s->stepped = now;
      s->reason = PhaseReason::kStep;
      if (s->part >= 1) enter(Phase::kOpen, PhaseReason::kNone, 1);
      return;
    case Phase::kEvacuating: {
      if (now - s->stepped < options_.step_every) return;
      auto after = *plan;
      after.zones[zone].part = std::max(0.0, s->part - kEvacuateStep);
      // What stays in it counts as borne: only the step must find room.
      auto kept = after.zones[zone].part;
      bool room = s->forced;
      if (!room) {
        std::map<SetId, double> asked, borne;
        for (auto& [key, rate] : Planner::asked(input)) asked[key.second] += rate;
        for (auto& [key, supply] : input.supply)
          borne[key.first] += supply.warm * (key.second == zone ? kept : after.zones[key.second].part);
        room = std::all_of(asked.begin(), asked.end(), [&](auto& a) { return a.second <= borne[a.first]; });
      }
      if (!room) {
        s->reason = PhaseReason::kInsufficientCapacity;
        return;
      }
      s->part = kept;
      s->stepped = now;
      s->reason = PhaseReason::kStep;
      if (kept <= 0) enter(Phase::kEvacuated, PhaseReason::kOperator, 0);
      return;
    }
    case Phase::kEvacuated:
      return;
  }
}

void Planner::move_links(Plan* plan, const Input& input) const {
  for (auto& [key, votes] : input.seen.votes()) {
    auto agreed = link_health(key.first, key.second, input);
    auto it = plan->links.find(key);
    if (it == plan->links.end()) {
      if (agreed != Agreed::kUnhealthy) continue;
      it = plan->links.emplace(key, ZoneState{}).first;
    }
    auto& s = it->second;
    debounce(&s, agreed, input.now);
    auto zone = plan->zones.find(key.second);
    bool zone_open = zone == plan->zones.end() || zone->second.phase == Phase::kOpen;
    auto name = key.first + ">" + key.second;
    if (s.phase == Phase::kOpen && s.unhealthy_since &&
        input.now - s.unhealthy_since >= options_.link_close_after && zone_open) {
      // The zone's own case comes first: it is closed in the same round where others agree.
      if (zone_health(key.second, input) == Agreed::kUnhealthy || !spend(plan, name, input.now)) continue;
      s.phase = Phase::kClosed;
      s.reason = PhaseReason::kUnhealthy;
      s.part = 0;
      s.since = input.now;
    } else if (s.phase == Phase::kClosed && s.healthy_since &&
               input.now - s.healthy_since >= options_.open_after &&
               input.now - s.since >= options_.minimum_phase_duration && spend(plan, name, input.now)) {
      s = ZoneState{};
    }
  }
  std::erase_if(plan->links,
                [&](auto& l) { return l.second.phase == Phase::kOpen && l.second.unhealthy_since == 0; });
}

void Planner::move_phases(Plan* plan, const Input& input) const {
  std::erase_if(plan->changes, [&](auto& c) { return input.now - c.second >= kMinute; });
  std::set<Zone> zones;
  for (auto& [key, supply] : input.supply) zones.insert(key.second);
  std::erase_if(plan->zones, [&](auto& z) { return !zones.count(z.first); });
  // Those that serve nobody first: what the rest carries is reckoned without them.
  for (bool first : {true, false})
    for (auto& zone : zones) {
      if (dead(zone, input) != first) continue;
      auto& s = plan->zones[zone];
      debounce(&s, zone_health(zone, input), input.now);
      move_zone(plan, zone, &s, input);
    }
  move_links(plan, input);
}

// ---- shares ----------------------------------------------------------------------------------------------

void Planner::share_out(Plan* plan, const Plan& last, const Input& input) const {
  std::map<SetId, std::map<Zone, double>> demand;
  for (auto& [key, rate] : asked(input)) demand[key.second][key.first] = rate;
  std::map<SetId, std::map<Zone, double>> capacity;  // of a set, by zone: what may be sent there
  for (auto& [key, supply] : input.supply) {
    auto it = plan->zones.find(key.second);
    capacity[key.first][key.second] = supply.warm * (it == plan->zones.end() ? 1 : it->second.part);
  }
  plan->shares.clear();
  plan->surplus_capacity.clear();
  // Whoever has proxies may ask at any moment: each has its place in the plan, for every set.
  std::set<Zone> froms;
  for (auto& [key, votes] : input.seen.votes()) froms.insert(key.first);
  for (auto& [set, zones] : capacity)
    for (auto& from : froms) demand[set].try_emplace(from, 0);
  auto usable = [&](const Zone& from, const Zone& to) { return this->usable(*plan, from, to); };
  for (auto& [set, clients] : demand) {
    auto& zones = capacity[set];
    // Near first, each zone to its fill; then near first to the brim; in this order nobody's own zone is
    // taken by those from afar.
    std::map<std::pair<Zone, Zone>, double> want;
    std::map<Zone, double> taken, left = clients;
    for (double level : {options_.target_utilization, options_.hard_utilization_limit})
      for (int distance = 0; distance <= 2; ++distance)
        for (auto& [from, rest] : left) {
          double room = 0;
          for (auto& [to, most] : zones)
            if (places_.distance(from, to) == distance && usable(from, to))
              room += std::max(0.0, most * level - taken[to]);
          if (room <= kNothing || rest <= kNothing) continue;
          double part = std::min(1.0, rest / room);
          for (auto& [to, most] : zones) {
            if (places_.distance(from, to) != distance || !usable(from, to)) continue;
            double give = std::max(0.0, most * level - taken[to]) * part;
            want[{from, to}] += give;
            taken[to] += give;
            rest -= give;
          }
        }
    // Half of the proxies may still follow the last plan: what a zone gets more of must fit beside all that
    // the last plan sends there.
    auto of = [set = set](auto& shares, const Zone& from, const Zone& to) {
      auto it = shares.find({set, from});
      if (it == shares.end()) return 0.0;
      auto share = it->second.find(to);
      return share == it->second.end() ? 0.0 : share->second;
    };
    auto old_share = [&](const Zone& from, const Zone& to) {
      return options_.flaw_no_overlap ? 0.0 : of(last.shares, from, to);
    };
    std::map<Zone, double> base, more;
    for (auto& [from, asked] : clients)
      for (auto& [to, most] : zones) {
        double old = asked * old_share(from, to);
        base[to] += old;
        more[to] += std::max(0.0, want[{from, to}] - old);
      }
    std::map<Zone, double> sent;
    std::map<std::pair<Zone, Zone>, double> next;
    for (auto& [from, asked] : clients)
      for (auto& [to, most] : zones) {
        double old = asked * old_share(from, to), wish = want[{from, to}];
        double grow = more[to] > kNothing ? std::clamp((most - base[to]) / more[to], 0.0, 1.0) : 0;
        double now = std::min(wish, old) + std::max(0.0, wish - old) * grow;
        next[{from, to}] = now;
        sent[to] += now;
      }
    // What has no room there yet stays where it was, as far as that may still be used.
    for (auto& [from, asked] : clients) {
      double have = 0;
      for (auto& [to, most] : zones) have += next[{from, to}];
      for (auto& [to, most] : zones) {
        if (!usable(from, to)) continue;
        double old = asked * old_share(from, to);
        double back = std::min({old - next[{from, to}], asked - have, most - sent[to]});
        if (back <= kNothing) continue;
        next[{from, to}] += back;
        sent[to] += back;
        have += back;
      }
    }
    for (auto& [from, asked] : clients) {
      auto& shares = plan->shares[{set, from}];
      bool same = true, fits = true;
      double sum = 0;
      for (auto& [to, most] : zones) {
        double share = asked > kNothing ? next[{from, to}] / asked : 0;
        share = std::floor(share * 1e6) / 1e6;  // never more than there is room
        if (share > 0) shares[to] = share;
        sum += share;
        double old = old_share(from, to);
        same = same && std::abs(share - old) < kSame;
        fits = fits && base[to] <= most + kNothing;
      }
      if (asked <= kNothing) {
        // Nobody asks: whoever comes first goes to the nearest that is open.
        const Zone* nearest = nullptr;
        for (auto& [to, most] : zones)
          if (most > 0 && usable(from, to) &&
              (!nearest || places_.distance(from, to) < places_.distance(from, *nearest)))
            nearest = &to;
        if (nearest) shares[*nearest] = 1;
      } else if (auto it = last.shares.find({set, from}); same && fits && it != last.shares.end()) {
        shares = it->second;
      }
    }
    std::set<Zone> cold;
    for (auto& [key, supply] : input.supply)
      if (key.first == set && supply.cold) cold.insert(key.second);
    distribute_surplus(plan, last, set, clients, zones, cold);
  }
}

bool Planner::usable(const Plan& plan, const Zone& from, const Zone& to) const {
  auto it = plan.links.find({from, to});
  return it == plan.links.end() || it->second.phase != Phase::kClosed;
}

// What each zone has left beside this plan and the last one, for the loss of any one other zone: so much of
// what that one serves may come here. A zone that is cold or being opened has nothing to spare.
void Planner::distribute_surplus(Plan* plan, const Plan& last, SetId set,
                                 const std::map<Zone, double>& clients,
                                 const std::map<Zone, double>& capacity, const std::set<Zone>& cold) const {
  auto of = [&](auto& shares, const Zone& from, const Zone& to) {
    auto it = shares.find({set, from});
    if (it == shares.end()) return 0.0;
    auto share = it->second.find(to);
    return share == it->second.end() ? 0.0 : share->second;
  };
  std::map<Zone, double> serves;  // by this plan or the last one, whichever is more
  for (auto& [to, most] : capacity)
    for (auto& [from, asked] : clients)
      serves[to] += asked * std::max(of(plan->shares, from, to),
                                     options_.flaw_no_overlap ? 0.0 : of(last.shares, from, to));
  std::map<Zone, double> spare, fits;  // dealt anew; and what may stay as it was dealt
  for (auto& [to, most] : capacity) {
    auto state = plan->zones.find(to);
    bool whole = state == plan->zones.end() || state->second.part >= 1;
    double room = most * options_.hard_utilization_limit - serves[to], largest = 0;
    for (auto& [other, load] : serves)
      if (other != to) largest = std::max(largest, load);
    if (!whole || cold.count(to) || room <= 0 || largest <= kNothing) continue;
    spare[to] = std::min(1.0, room / largest);
    fits[to] = (most - serves[to]) / largest;
  }
  for (auto& [from, asked] : clients) {
    std::map<Zone, double> mine;
    double left = 1;
    auto old = last.surplus_capacity.find({set, from});
    bool same = true;
    for (int distance = 0; distance <= 2; ++distance)
      for (auto& [to, most] : capacity) {
        if (places_.distance(from, to) != distance) continue;
        bool open = usable(*plan, from, to) && of(plan->shares, from, to) < 1 && spare.count(to);
        double given = open ? std::floor(std::min(left, spare[to]) * 1e3) / 1e3 : 0;
        double was = of(last.surplus_capacity, from, to);
        if (given > kLeastSpare) mine[to] = given;
        left -= given;
        same =
            same && was <= (open ? fits[to] : 0) && was >= (given > kLeastSpare * 2 ? given * kStaySpare : 0);
      }
    auto& all = plan->surplus_capacity[{set, from}];
    all = !same ? mine : old != last.surplus_capacity.end() ? old->second : std::map<Zone, double>{};
    if (all.empty()) plan->surplus_capacity.erase({set, from});
  }
}

Plan Planner::next(const Plan& last, const Input& input) const {
  if (last.frozen) return last;
  Plan plan = last;
  move_phases(&plan, input);
  share_out(&plan, last, input);
  if (!plan.same_but_number(last)) ++plan.number;
  return plan;
}

// ---- by hand ---------------------------------------------------------------------------------------------

std::string Planner::evacuate(Plan* plan, const Zone& zone, bool force, const Input& input) const {
  auto it = plan->zones.find(zone);
  if (it == plan->zones.end()) return fmt::format("no server stands in zone '{}'", zone);
  auto& s = it->second;
  if (s.phase == Phase::kEvacuating || s.phase == Phase::kEvacuated) return "it is evacuated already";
  if (!force && !others_have_capacity(*plan, zone, input))
    return fmt::format("the other zones cannot carry what zone '{}' serves; force refuses the rest", zone);
  s.phase = s.part > 0 ? Phase::kEvacuating : Phase::kEvacuated;
  s.reason = PhaseReason::kOperator;
  s.forced = force;
  s.since = input.now;
  s.stepped = input.now - options_.step_every;  // the first step at once
  ++plan->number;
  return "";
}

std::string Planner::restore(Plan* plan, const Zone& zone, const Input& input) const {
  auto it = plan->zones.find(zone);
  if (it == plan->zones.end()) return fmt::format("no server stands in zone '{}'", zone);
  auto& s = it->second;
  if (s.phase != Phase::kEvacuating && s.phase != Phase::kEvacuated) return "it was not evacuated";
  s.phase = Phase::kOpening;
  s.reason = PhaseReason::kOperator;
  s.part = std::max(s.part, options_.first_part);
  s.forced = false;
  s.since = s.stepped = input.now;
  ++plan->number;
  return "";
}

Millis Planner::expected_duration(bool opening) const {
  if (!opening) return options_.step_every * static_cast<Millis>(1 / kEvacuateStep - 1);
  return options_.step_every * static_cast<Millis>(std::ceil(std::log2(1 / options_.first_part)));
}

}  // namespace database_proxy::placement
