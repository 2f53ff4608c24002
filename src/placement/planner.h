// Makes numbered placement plans from the last plan, the observations of proxies, and the servers that are
// up. Pure: the same input gives the same plan on whichever node holds the job's lease, because all state is
// kept in the plan.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "placement/placement_plan.h"
#include "placement/planner_input.h"
#include "placement/zone_observation.h"
#include "placement/zone_topology.h"

namespace database_proxy::placement {

// Combines the health agreement, the phase machine, the traffic split and the operators' commands. The lease
// holder of the placement job calls it on its event loop.
class Planner {
 public:
  explicit Planner(ZoneTopology topology, Options options = {})
      : topology_(std::move(topology)), options_(options) {}

  // Returns the next plan. It keeps the number of `last` if proxies would act alike on both, and has the
  // following number otherwise. A frozen plan is returned unchanged.
  Plan next(const Plan& last, const Input& input) const;

  // Operators' commands: each replaces `*plan` by the plan that follows it. They return an error message, or
  // an empty string on success.
  std::string evacuate(Plan* plan, const Zone& zone, bool force, const Input& input) const;
  std::string restore(Plan* plan, const Zone& zone, const Input& input) const;

  // Returns the duration of an opening, or else of an evacuation, from its first step if nothing delays it.
  Millis expected_duration(bool opening) const;

  // Returns the zones of servers that are missing from the topology. Operators should add them.
  std::vector<Zone> unknown_zones(const Input& input) const;

 private:
  ZoneTopology topology_;
  Options options_;
};

}  // namespace database_proxy::placement
