// Zone routing of reads: the plan that all routers have agreed on divides the reads of this router's clients
// among zones.
//
// Rule: each read draws a first zone by the shares of the plan and, as far as there is surplus capacity, a
// second zone; repeated decisions draw the same zones. If the shares of a group add up to less than 1, the
// remainder of its reads is rejected at once, beginning with the reads of least value for their work.
// Requests that need the primary, and groups that the plan does not name, are decided without the plan.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "request_router/router.h"

namespace request_router::internal {

struct Member;
struct PendingRequest;
struct RouterState;

// The zones of one read. The shares are owned by the plan and are looked up again in each decision.
struct ZoneAssignment {
  bool is_planned = false;            // the plan applies to the request
  const ZoneShare* first = nullptr;   // the zone drawn by the shares
  const ZoneShare* second = nullptr;  // a zone that it may use as well
};

// The plan, and the mix of classes that determines which reads are of least value.
class ZoneRouting {
 public:
  // Replaces the plan.
  void set_plan(const Plan& plan, std::size_t class_count);

  // Records the arrival of a read of this class.
  void record_read(std::size_t request_class);

  // Draws the zones of the request. Returns false if the request is beyond the shares of the plan.
  bool assign(const RouterState& state, PendingRequest& pending) const;

 private:
  double rank(const RouterState& state, const PendingRequest& pending) const;

  std::map<GroupId, std::vector<ZoneShare>> plans_;
  std::vector<double> class_mix_;  // smoothed share of each class in all reads, while there is a plan
};

// Whether the member is in one of the zones drawn for the request, or the request has no plan.
bool is_allowed_by_plan(const PendingRequest& pending, const Member& member);

// Applies a plan and requests a decision for all groups.
void on_plan(RouterState& state, const Plan& plan);

}  // namespace request_router::internal
