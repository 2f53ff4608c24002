// Which member a request is sent to.
//
// Rule: a request that needs the primary goes there, or is tried elsewhere while none is known. A read goes
// to the member of least cost among those that are usable, fresh enough, allowed by the plan and have
// capacity; if there is none, it is postponed. Exceptions: a long read that any member may serve keeps to
// stale replicas or to one replica; a read that no replica can serve, or that waited long, may use surplus
// capacity of the primary.
#pragma once

namespace request_router::internal {

struct Group;
struct Member;
struct PendingRequest;
struct RouterState;

// The member for the request; null: it is postponed. May probe members and ask for a later decision.
Member* select_member(RouterState& state, const Group& group, const PendingRequest& pending);

}  // namespace request_router::internal
