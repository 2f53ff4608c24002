// Moves the zones and links of a plan through their phases. Pure.
//
//   kOpen -> kClosed         the proxies agree that it is unhealthy, and the others have the capacity
//   kClosed -> kOpening      they agree that it is healthy, for long enough
//   kOpening -> kOpen        in steps, each doubling what may be used of its capacity
//   kOpening -> kClosed      it is unhealthy again
//   kEvacuating -> kEvacuated  in steps, as far as the others have the capacity
//
// Operators' commands (placement/placement_commands.h) start an evacuation and end it. A link goes from kOpen
// to kClosed and back without steps. Each zone and link may change a few times a minute only.
#pragma once

#include "placement/placement_plan.h"
#include "placement/planner_input.h"
#include "placement/zone_health_agreement.h"
#include "placement/zone_observation.h"

namespace database_proxy::placement {

// The part of a zone's capacity that each step of an evacuation takes out of use.
constexpr double kEvacuationStep = 0.25;

// One round over a plan; all arguments must outlive it. The planner makes one for each plan.
class ZonePhaseMachine {
 public:
  ZonePhaseMachine(const Options& options, const Input& input, const ZoneHealthAgreement& health, Plan* plan)
      : options_(options), input_(input), health_(health), plan_(plan) {}

  // Records health in all zones and links and moves those that are due. Zones without servers are removed.
  void advance();

 private:
  void advance_zone(const Zone& zone, ZoneState* state);
  void advance_open(const Zone& zone, ZoneState* state);
  void advance_closed(const Zone& zone, ZoneState* state);
  void advance_opening(const Zone& zone, ZoneState* state);
  void advance_evacuating(const Zone& zone, ZoneState* state);
  void advance_links();
  void advance_link(const Zone& from, const Zone& to, ZoneState* state);
  void record_health(ZoneState* state, Agreement agreement) const;
  void enter(ZoneState* state, Phase phase, PhaseReason reason, double capacity_fraction) const;
  bool has_lasted(Millis since, Millis duration) const;
  bool is_ready_to_open(const ZoneState& state) const;
  bool consume_change(const Zone& name, int reserve = 0);

  const Options& options_;
  const Input& input_;
  const ZoneHealthAgreement& health_;
  Plan* plan_;
};

}  // namespace database_proxy::placement
