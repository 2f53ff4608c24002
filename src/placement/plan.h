// Where each zone's clients are served: a numbered plan, made from the last plan, what was observed and what
// servers there are. Pure: the same input gives the same plan, whoever owns the job, and all that it must
// remember stands in the plan itself. No clock, I/O or thread; times are milliseconds given by the caller.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "placement/zone_observation.h"

namespace database_proxy::placement {

using Millis = std::int64_t;

// Regions hold zones. A zone that is in none is told by unknown(), and far from all.
class ZoneTopology {
 public:
  void put(const Zone& zone, const std::string& region) { region_[zone] = region; }
  bool knows(const Zone& zone) const { return !zone.empty() && region_.count(zone) > 0; }
  // 0 the same zone, 1 the same region, 2 far.
  int distance(const Zone& a, const Zone& b) const;

 private:
  std::map<Zone, std::string> region_;
};

enum class Phase : std::uint8_t { kOpen, kClosed, kOpening, kEvacuating, kEvacuated };
enum class PhaseReason : std::uint8_t {
  kNone,
  kUnhealthy,             // by a majority of proxies in at least two zones
  kHealthy,               // again, for long enough
  kStep,                  // a part more, or less by hand, since the last step went well
  kUnhealthyAgain,        // while it was being opened
  kOperator,              // evacuated or restored by hand
  kInsufficientCapacity,  // ill, but the others cannot carry what it still serves
  kChangeBudgetSpent      // it would change, but there have been too many changes this minute
};
const char* text_of(Phase phase);
const char* text_of(PhaseReason reason);

struct ZoneState {
  Phase phase = Phase::kOpen;
  PhaseReason reason = PhaseReason::kNone;
  Millis since = 0;                               // of the phase
  Millis stepped = 0;                             // of the last step while opening or evacuating
  Millis unhealthy_since = 0, healthy_since = 0;  // by agreement; 0: not so now
  double part = 1;                                // of its capacity that may be used
  bool forced = false;                            // evacuation though the others cannot carry it
  bool operator==(const ZoneState&) const = default;
};

struct Plan {
  std::uint64_t number = 0;
  std::map<Zone, ZoneState> zones;
  std::map<std::pair<Zone, Zone>, ZoneState>
      links;  // from clients' zone, to servers' zone: open where absent
  // Of the requests of a set by clients of a zone: the share that each zone of servers gets. What is missing
  // to 1 is refused near home, at once.
  std::map<std::pair<SetId, Zone>, std::map<Zone, double>> shares;
  // Beside them, where their own zone fails or is far costlier: what each zone has left, for the loss of any
  // one other zone. All that one's clients together, using all of it at once, stay within what it bears.
  std::map<std::pair<SetId, Zone>, std::map<Zone, double>> surplus_capacity;
  std::vector<std::pair<Zone, Millis>> changes;  // of phases, the last minute's
  bool frozen = false;
  double refused(SetId set, const Zone& from) const;
  bool same_but_number(const Plan& other) const;
};

struct Supply {       // of one set in one zone
  double warm = 0;    // requests a second that its servers bear, as warm as they are
  bool cold = false;  // some of them are not warm yet
};

struct Input {
  Millis now = 0;
  Observation seen;                                 // of the last seconds, all proxies together
  double seconds = 1;                               // how many those are
  Demand::Rates asked;                              // smoothed; empty: as it was just seen
  std::map<std::pair<SetId, Zone>, Supply> supply;  // by the list, and what is cold
};

struct Options {
  // Agreement: of the proxies of a zone that say anything, this part finds it ill; and so in as many zones.
  double unhealthy = 0.6, healthy = 0.8;
  std::uint64_t least_voices = 2;  // of one zone: never one proxy's word
  int least_zones = 2;             // that agree; where fewer have proxies, all of them
  Millis close_after = 1000;       // ill for so long: a pause of one second is none
  Millis link_close_after = 3000;  // a link by the proxies of one zone alone, of whom one may be wrong
  Millis open_after = 5000;        // well for so long; longer than most flaps
  Millis minimum_phase_duration = 10'000;  // in a phase, before the opposite one
  Millis step_every = 2000;                // of opening and evacuating: what a step brought is seen by then
  double first_part = 0.1;                 // of its capacity, when it opens; then doubled at each step
  int changes_a_minute = 4;                // of one zone or link: a flapping one must not use up another's
  double target_utilization =
      0.8;  // of a zone's capacity before the next one is used: bursts fit into the rest
  double hard_utilization_limit =
      0.95;  // and at most: what is asked for changes by some hundredths every second
  // Guards taken away, for the simulator's mutants only.
  bool flaw_one_voice = false, flaw_no_capacity_check = false, flaw_no_minimum_duration = false,
       flaw_no_budget = false, flaw_no_overlap = false, flaw_open_at_once = false;
};

class Planner {
 public:
  Planner(ZoneTopology places, Options options = {}) : places_(std::move(places)), options_(options) {}
  // The next plan; its number is one more where anything differs, else it is the last one as it was.
  Plan next(const Plan& last, const Input& input) const;
  // By hand. The sentence says why not; empty: done. `*plan` is the last one, and then the next.
  std::string evacuate(Plan* plan, const Zone& zone, bool force, const Input& input) const;
  std::string restore(Plan* plan, const Zone& zone, const Input& input) const;
  // How long an evacuation or opening takes from its first step, where nothing is in the way.
  Millis expected_duration(bool opening) const;
  // Zones that the places do not know, to be told.
  std::vector<Zone> unknown(const Input& input) const;

 private:
  enum class Agreed { kNothing, kUnhealthy, kHealthy };
  Agreed zone_health(const Zone& zone, const Input& input) const;
  Agreed link_health(const Zone& from, const Zone& to, const Input& input) const;
  void move_phases(Plan* plan, const Input& input) const;
  void move_zone(Plan* plan, const Zone& zone, ZoneState* state, const Input& input) const;
  void move_links(Plan* plan, const Input& input) const;
  bool others_have_capacity(const Plan& plan, const Zone& but, const Input& input) const;
  // `ahead`: changes that must still be possible after this one.
  bool spend(Plan* plan, const Zone& zone, Millis now, int ahead = 0) const;
  bool dead(const Zone& zone, const Input& input) const;
  bool works(const Zone& zone, const Input& input) const;
  bool finds_any_healthy(const Zone& from, const Input& input) const;
  void debounce(ZoneState* state, Agreed agreed, Millis now) const;
  void share_out(Plan* plan, const Plan& last, const Input& input) const;
  void distribute_surplus(Plan* plan, const Plan& last, SetId set, const std::map<Zone, double>& clients,
                          const std::map<Zone, double>& capacity, const std::set<Zone>& cold) const;
  static Demand::Rates asked(const Input& input);
  bool usable(const Plan& plan, const Zone& from, const Zone& to) const;

  ZoneTopology places_;
  Options options_;
};

}  // namespace database_proxy::placement
