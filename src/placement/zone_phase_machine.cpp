#include "placement/zone_phase_machine.h"

#include <algorithm>
#include <set>

#include "placement/capacity_check.h"
#include "placement/placement_plan.h"
#include "placement/planner_input.h"
#include "placement/zone_health_agreement.h"
#include "placement/zone_observation.h"

namespace database_proxy::placement {
namespace {

constexpr Millis kChangeBudgetPeriod = 60'000;  // period of Options::max_changes_per_minute

}  // namespace

void ZonePhaseMachine::advance() {
  std::erase_if(plan_->changes,
                [&](const auto& change) { return input_.now - change.second >= kChangeBudgetPeriod; });
  std::set<Zone> zones;
  for (const auto& [key, supply] : input_.supply) zones.insert(key.second);
  std::erase_if(plan_->zones, [&](const auto& zone) { return !zones.contains(zone.first); });
  // Failed zones are advanced first, so that the capacity of the others is computed without them.
  for (bool failed : {true, false})
    for (const auto& zone : zones) {
      if (health_.has_failed(zone) != failed) continue;
      auto& state = plan_->zones[zone];
      record_health(&state, health_.zone_agreement(zone));
      advance_zone(zone, &state);
    }
  advance_links();
}

void ZonePhaseMachine::advance_zone(const Zone& zone, ZoneState* state) {
  switch (state->phase) {
    case Phase::kOpen:
      return advance_open(zone, state);
    case Phase::kClosed:
      return advance_closed(zone, state);
    case Phase::kOpening:
      return advance_opening(zone, state);
    case Phase::kEvacuating:
      return advance_evacuating(zone, state);
    case Phase::kEvacuated:
      return;
  }
}

void ZonePhaseMachine::advance_open(const Zone& zone, ZoneState* state) {
  if (!has_lasted(state->unhealthy_since, options_.close_after)) {
    bool close_was_deferred = state->reason == PhaseReason::kInsufficientCapacity ||
                              state->reason == PhaseReason::kChangeBudgetExhausted;
    if (close_was_deferred) state->reason = PhaseReason::kNone;
    return;
  }
  bool can_close = health_.has_failed(zone) || options_.flaw_no_capacity_check ||
                   others_have_capacity(*plan_, zone, input_);
  if (!can_close)
    state->reason = PhaseReason::kInsufficientCapacity;
  else if (!consume_change(zone))
    state->reason = PhaseReason::kChangeBudgetExhausted;
  else
    enter(state, Phase::kClosed, PhaseReason::kUnhealthy, 0);
}

void ZonePhaseMachine::advance_closed(const Zone& zone, ZoneState* state) {
  bool is_ready = options_.flaw_no_minimum_duration ? state->healthy_since != 0 : is_ready_to_open(*state);
  // One change is reserved, because the zone may become unhealthy again at once and must then be closed.
  if (!is_ready || !consume_change(zone, 1)) return;
  enter(state, Phase::kOpening, PhaseReason::kHealthy,
        options_.flaw_open_at_once ? 1 : options_.initial_fraction);
}

void ZonePhaseMachine::advance_opening(const Zone& zone, ZoneState* state) {
  if (has_lasted(state->unhealthy_since, options_.close_after)) {
    plan_->changes.emplace_back(zone, input_.now);
    return enter(state, Phase::kClosed, PhaseReason::kUnhealthyAgain, 0);
  }
  if (!state->healthy_since || input_.now - state->last_step < options_.step_interval) return;
  state->capacity_fraction = std::min(1.0, state->capacity_fraction * 2);
  state->last_step = input_.now;
  state->reason = PhaseReason::kStep;
  if (state->capacity_fraction >= 1) enter(state, Phase::kOpen, PhaseReason::kNone, 1);
}

void ZonePhaseMachine::advance_evacuating(const Zone& zone, ZoneState* state) {
  if (input_.now - state->last_step < options_.step_interval) return;
  // Only the traffic of this step needs capacity elsewhere; the rest stays in the zone.
  double remaining = std::max(0.0, state->capacity_fraction - kEvacuationStep);
  if (!state->forced && !has_capacity_with_fraction(*plan_, zone, remaining, input_)) {
    state->reason = PhaseReason::kInsufficientCapacity;
    return;
  }
  state->capacity_fraction = remaining;
  state->last_step = input_.now;
  state->reason = PhaseReason::kStep;
  if (remaining <= 0) enter(state, Phase::kEvacuated, PhaseReason::kOperator, 0);
}

void ZonePhaseMachine::advance_links() {
  for (const auto& [key, votes] : input_.observation.votes()) {
    auto agreement = health_.link_agreement(key.first, key.second);
    auto it = plan_->links.find(key);
    if (it == plan_->links.end()) {
      if (agreement != Agreement::kUnhealthy) continue;
      it = plan_->links.emplace(key, ZoneState{}).first;
    }
    record_health(&it->second, agreement);
    advance_link(key.first, key.second, &it->second);
  }
  std::erase_if(plan_->links, [](const auto& link) {
    return link.second.phase == Phase::kOpen && link.second.unhealthy_since == 0;
  });
}

void ZonePhaseMachine::advance_link(const Zone& from, const Zone& to, ZoneState* state) {
  auto name = from + ">" + to;
  if (state->phase == Phase::kClosed) {
    if (is_ready_to_open(*state) && consume_change(name)) *state = ZoneState{};
    return;
  }
  auto zone = plan_->zones.find(to);
  bool zone_is_open = zone == plan_->zones.end() || zone->second.phase == Phase::kOpen;
  if (!zone_is_open || !has_lasted(state->unhealthy_since, options_.link_close_after)) return;
  // A zone takes precedence over its links: if the other zones' proxies agree, the zone is closed instead.
  if (health_.zone_agreement(to) == Agreement::kUnhealthy || !consume_change(name)) return;
  enter_phase(state, Phase::kClosed, PhaseReason::kUnhealthy, 0, input_.now);
}

void ZonePhaseMachine::record_health(ZoneState* state, Agreement agreement) const {
  auto record = [&](Millis* since, bool is_so) {
    if (!is_so)
      *since = 0;
    else if (*since == 0)
      *since = input_.now;
  };
  record(&state->unhealthy_since, agreement == Agreement::kUnhealthy);
  record(&state->healthy_since, agreement == Agreement::kHealthy);
}

void ZonePhaseMachine::enter(ZoneState* state, Phase phase, PhaseReason reason,
                             double capacity_fraction) const {
  enter_phase(state, phase, reason, capacity_fraction, input_.now);
  state->last_step = input_.now;
}

// Returns whether a condition that began at `since` has lasted for `duration`; 0: it does not hold.
bool ZonePhaseMachine::has_lasted(Millis since, Millis duration) const {
  return since != 0 && input_.now - since >= duration;
}

bool ZonePhaseMachine::is_ready_to_open(const ZoneState& state) const {
  return has_lasted(state.healthy_since, options_.open_after) &&
         input_.now - state.since >= options_.minimum_phase_duration;
}

// Consumes one change from the budget of the zone or link. Returns false and consumes none if fewer than
// `reserve` changes would remain for this minute.
bool ZonePhaseMachine::consume_change(const Zone& name, int reserve) {
  auto consumed = std::count_if(plan_->changes.begin(), plan_->changes.end(),
                                [&](const auto& change) { return change.first == name; });
  if (consumed + reserve >= options_.max_changes_per_minute && !options_.flaw_no_budget) return false;
  plan_->changes.emplace_back(name, input_.now);
  return true;
}

}  // namespace database_proxy::placement
