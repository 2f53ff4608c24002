// Makes numbered plans of traffic from the last plan, what proxies observed, and the servers there are. Pure:
// the same input gives the same plan, whichever node owns the job; all that has to be remembered is in the
// plan.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "placement/placement_plan.h"
#include "placement/planner_input.h"
#include "placement/zone_observation.h"
#include "placement/zone_topology.h"

namespace database_proxy::placement {

// Joins the health agreement, the phase machine, the traffic split and the operators' commands. The owner of
// the placement job calls it on its event loop.
class Planner {
 public:
  explicit Planner(ZoneTopology topology, Options options = {})
      : topology_(std::move(topology)), options_(options) {}

  // Returns the next plan. If proxies would act on it as on `last`, it has the number of `last`, otherwise
  // the following one. A frozen plan is returned as it is.
  Plan next(const Plan& last, const Input& input) const;

  // Commands of operators: change `*plan` into the following one. Return a sentence that says why they
  // cannot; empty: done.
  std::string evacuate(Plan* plan, const Zone& zone, bool force, const Input& input) const;
  std::string restore(Plan* plan, const Zone& zone, const Input& input) const;

  // How long an opening, or else an evacuation, takes from its first step if nothing delays it.
  Millis expected_duration(bool opening) const;

  // Zones of servers that the topology does not know: operators should add them.
  std::vector<Zone> unknown_zones(const Input& input) const;

 private:
  ZoneTopology topology_;
  Options options_;
};

}  // namespace database_proxy::placement
