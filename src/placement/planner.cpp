#include "placement/planner.h"

#include <set>
#include <string>
#include <vector>

#include "placement/placement_commands.h"
#include "placement/placement_plan.h"
#include "placement/planner_input.h"
#include "placement/traffic_split.h"
#include "placement/zone_health_agreement.h"
#include "placement/zone_observation.h"
#include "placement/zone_phase_machine.h"

namespace database_proxy::placement {

Plan Planner::next(const Plan& last, const Input& input) const {
  if (last.frozen) return last;
  Plan plan = last;
  ZoneHealthAgreement health(options_, input);
  ZonePhaseMachine(options_, input, health, &plan).advance();
  split_traffic(topology_, options_, input, last, &plan);
  if (!plan.is_equivalent_to(last)) ++plan.number;
  return plan;
}

std::string Planner::evacuate(Plan* plan, const Zone& zone, bool force, const Input& input) const {
  return evacuate_zone(options_, zone, force, input, plan);
}

std::string Planner::restore(Plan* plan, const Zone& zone, const Input& input) const {
  return restore_zone(options_, zone, input, plan);
}

Millis Planner::expected_duration(bool opening) const {
  return opening ? opening_duration(options_) : evacuation_duration(options_);
}

std::vector<Zone> Planner::unknown_zones(const Input& input) const {
  std::set<Zone> zones;
  for (const auto& [key, supply] : input.supply)
    if (!topology_.contains(key.second)) zones.insert(key.second);
  return {zones.begin(), zones.end()};
}

}  // namespace database_proxy::placement
