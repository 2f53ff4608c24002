// Selection of the member that a request is sent to.
//
// Rule: a request that needs the primary is sent to the primary, or tried at other members while none is
// known. A read is sent to the member of least cost among those that are usable, fresh enough, allowed by the
// zone plan and have capacity; if there is none, it is postponed. Exceptions: a long read that any member may
// serve is sent to stale replicas or always to the same replica; a read that no replica can serve, or that
// has waited long, may use surplus capacity of the primary.
#pragma once

namespace request_router::internal {

struct Group;
struct Member;
struct PendingRequest;
struct RouterState;

// Returns the member for the request, or null if the request is postponed. May probe members and
// schedule a later decision.
Member* select_member(RouterState& state, const Group& group, const PendingRequest& pending);

}  // namespace request_router::internal
