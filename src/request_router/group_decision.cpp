#include "group_decision.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "admission.h"
#include "attempt_lifecycle.h"
#include "replica_selection.h"
#include "router_state.h"

namespace request_router::internal {
namespace {

// Gives up the requests that cannot be answered in time or are beyond the zone plan; returns the others in
// their order.
std::vector<PendingRequest*> admit_postponed(RouterState& state, Group& group) {
  auto postponed = std::move(group.postponed);
  group.postponed.clear();
  std::vector<PendingRequest*> admitted;
  double writes_ahead = 0;
  for (RequestId id : postponed) {
    auto known = state.pending.find(id);
    if (known == state.pending.end()) continue;  // its client has disconnected
    PendingRequest& pending = known->second;
    if (!state.zone_routing.assign(state, pending)) {
      give_up(state, pending, GiveUpReason::kBeyondPlan);
      continue;
    }
    if (cannot_meet_deadline(state, group, pending, writes_ahead)) {
      give_up(state, pending, GiveUpReason::kCannotMeetDeadline);
      continue;
    }
    admitted.push_back(&pending);
    if (pending.needs_primary()) ++writes_ahead;
  }
  return admitted;
}

void sort_by_value(const RouterState& state, std::vector<PendingRequest*>& requests) {
  auto sort_key = [&](const PendingRequest& pending) {
    return std::pair(-value_per_work(state, pending), pending.arrived_at);
  };
  std::stable_sort(requests.begin(), requests.end(),
                   [&](const PendingRequest* left, const PendingRequest* right) {
                     return sort_key(*left) < sort_key(*right);
                   });
}

// The kinds of requests that were postponed: those that need the primary, and reads.
struct Postponed {
  bool for_primary = false;
  bool for_position = false;
};

Postponed send_or_postpone(RouterState& state, Group& group, const std::vector<PendingRequest*>& requests) {
  Postponed postponed;
  for (PendingRequest* pending : requests) {
    if (Member* member = select_member(state, group, *pending)) {
      send_attempt(state, *pending, *member);
      continue;
    }
    (pending->needs_primary() ? postponed.for_primary : postponed.for_position) = true;
    group.postponed.push_back(pending->request.id);
  }
  return postponed;
}

}  // namespace

void decide_group(RouterState& state, Group& group) {
  group.needs_decision = false;
  std::vector<PendingRequest*> admitted = admit_postponed(state, group);
  sort_by_value(state, admitted);
  Postponed postponed = send_or_postpone(state, group, admitted);
  if (find_primary(state, group))
    end_primary_search(state, group);
  else if (postponed.for_primary)
    discover_primary(state, group);
  if (postponed.for_position) probe_for_positions(state, group);
  if (!admitted.empty()) probe_unresponsive(state, group);
  if (!group.postponed.empty() && !std::exchange(group.is_waiting, true))
    state.waiting_groups.push_back(&group);
}

}  // namespace request_router::internal
