#include "placement/placement_commands.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <string>

#include "placement/capacity_check.h"
#include "placement/placement_plan.h"
#include "placement/planner_input.h"
#include "placement/zone_observation.h"
#include "placement/zone_phase_machine.h"

namespace database_proxy::placement {
namespace {

bool is_evacuated_or_evacuating(const ZoneState& state) {
  return state.phase == Phase::kEvacuating || state.phase == Phase::kEvacuated;
}

}  // namespace

std::string evacuate_zone(const Options& options, const Zone& zone, bool force, const Input& input,
                          Plan* plan) {
  auto it = plan->zones.find(zone);
  if (it == plan->zones.end()) return fmt::format("no server stands in zone '{}'", zone);
  auto& state = it->second;
  if (is_evacuated_or_evacuating(state)) return "the zone is already evacuated or being evacuated";
  if (!force && !options.flaw_no_capacity_check && !others_have_capacity(*plan, zone, input))
    return fmt::format(
        "the other zones cannot carry the requests of zone '{}'; with force, the excess is rejected", zone);
  auto phase = state.capacity_fraction > 0 ? Phase::kEvacuating : Phase::kEvacuated;
  enter_phase(&state, phase, PhaseReason::kOperator, state.capacity_fraction, input.now);
  state.last_step = input.now - options.step_interval;  // makes the first step due at once
  state.forced = force;
  ++plan->number;
  return "";
}

std::string restore_zone(const Options& options, const Zone& zone, const Input& input, Plan* plan) {
  auto it = plan->zones.find(zone);
  if (it == plan->zones.end()) return fmt::format("no server stands in zone '{}'", zone);
  auto& state = it->second;
  if (!is_evacuated_or_evacuating(state)) return "the zone is neither evacuated nor being evacuated";
  auto capacity_fraction = std::max(state.capacity_fraction, options.initial_fraction);
  enter_phase(&state, Phase::kOpening, PhaseReason::kOperator, capacity_fraction, input.now);
  state.last_step = input.now;
  state.forced = false;
  ++plan->number;
  return "";
}

Millis evacuation_duration(const Options& options) {
  return options.step_interval * static_cast<Millis>(1 / kEvacuationStep - 1);
}

Millis opening_duration(const Options& options) {
  return options.step_interval * static_cast<Millis>(std::ceil(std::log2(1 / options.initial_fraction)));
}

}  // namespace database_proxy::placement
