// Moves the zones and links of a plan through their phases. Pure: uses no clock, I/O or thread.
//
//   kOpen -> kClosed         the proxies agree that the zone is unhealthy, and the others have the capacity
//   kClosed -> kOpening      the proxies have agreed for long enough that it is healthy
//   kOpening -> kOpen        in steps, each of which doubles the usable fraction of its capacity
//   kOpening -> kClosed      it becomes unhealthy again
//   kEvacuating -> kEvacuated  in steps, as far as the others have the capacity
//
// Operators' commands (placement/placement_commands.h) start and end an evacuation. A link changes between
// kOpen and kClosed without steps. The number of changes per minute is limited for each zone and link.
#pragma once

#include "placement/placement_plan.h"
#include "placement/planner_input.h"
#include "placement/zone_health_agreement.h"
#include "placement/zone_observation.h"

namespace database_proxy::placement {

// The fraction of a zone's capacity that each step of an evacuation takes out of use.
constexpr double kEvacuationStep = 0.25;

// Processes one planning round, made by the planner for each plan. All constructor arguments must outlive it.
class ZonePhaseMachine {
 public:
  ZonePhaseMachine(const Options& options, const Input& input, const ZoneHealthAgreement& health, Plan* plan)
      : options_(options), input_(input), health_(health), plan_(plan) {}

  // Records the health of all zones and links and advances those that are due. Removes zones without servers.
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
