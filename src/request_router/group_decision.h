// The decision of all requests that wait in one group.
//
// Rule: what cannot be answered in time is given up; the others are taken in the order of their value for
// their work, then of their age, and each is sent to the member that is selected for it, or postponed. For
// what is postponed the group's primary is searched, or the positions of its replicas.
#pragma once

namespace request_router::internal {

struct Group;
struct RouterState;

// Decides the waiting requests of the group.
void decide_group(RouterState& state, Group& group);

}  // namespace request_router::internal
