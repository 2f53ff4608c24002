// Decides all requests that wait in one group.
//
// Rule: requests that cannot be answered in time are given up. The others are processed in the order of their
// value per work, then of their arrival, and each is sent to the member that is selected for it, or
// postponed. While requests are postponed, the group's members are probed for the primary or for newer
// positions.
#pragma once

namespace request_router::internal {

struct Group;
struct RouterState;

// Sends, postpones or gives up each waiting request of the group.
void decide_group(RouterState& state, Group& group);

}  // namespace request_router::internal
