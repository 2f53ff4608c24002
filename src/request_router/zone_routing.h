// Where reads go by the plan of the fleet: the plan that all routers agreed on divides the reads of this
// router's clients among zones.
//
// Rule: each read draws its own zone by the shares of the plan and, as far as there is surplus capacity, a
// second zone; the same ones each time it is decided. What the shares of a group lack to 1 is rejected at
// once, the reads of least value for their work first. Requests that need the primary, and groups that the
// plan does not name, are decided without it.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "request_router/router.h"

namespace request_router::internal {

struct Member;
struct PendingRequest;
struct RouterState;

// The zones of one read. The shares belong to the plan and are looked up anew in each decision.
struct ZoneAssignment {
  bool is_planned = false;            // its group has a plan
  const ZoneShare* first = nullptr;   // the zone that it drew
  const ZoneShare* second = nullptr;  // one that is open to it as well
};

// The plan, and the mix of classes that tells which reads are of least value.
class ZoneRouting {
 public:
  // Replaces the plan.
  void set_plan(const Plan& plan, std::size_t class_count);

  // Takes in that a read of this class has arrived.
  void record_read(std::size_t request_class);

  // Draws the zones of the request. False: no zone is left for it.
  bool assign(const RouterState& state, PendingRequest& pending) const;

 private:
  double rank(const RouterState& state, const PendingRequest& pending) const;

  std::map<GroupId, std::vector<ZoneShare>> plans_;
  std::vector<double> class_mix_;  // smoothed share of each class in all reads, while there is a plan
};

// Whether the request may go to the member by the zones that it drew.
bool is_allowed_by_plan(const PendingRequest& pending, const Member& member);

// Takes in a plan and has all groups decided by it.
void on_plan(RouterState& state, const Plan& plan);

}  // namespace request_router::internal
