// Discovery of the primary of each group.
//
// Rule: claims about a member's role are ordered by the time at which the role was observed, and the newest
// claim wins: reports may be late or frozen, while answers describe the present. While no primary is known,
// members are probed, and where replicas decline a write without executing it, the write is tried at each
// member in turn, at increasing intervals, so that its attempts suffice for the duration of an election.
#pragma once

#include "request_router/router.h"
#include "time_units.h"

namespace request_router::internal {

struct Group;
struct Member;
struct PendingRequest;
struct RouterState;

// The known role of one member.
struct MemberRole {
  Role role = Role::kUnknown;
  Micros primary_since = kNever;   // when this router learned that the member is the primary
  Micros as_of = kNever;           // the time at which the role was observed
  Micros write_tried_at = kNever;  // when a request was last tried there while the primary was not known
};

// The search for the primary of one group.
struct PrimarySearch {
  Micros started_at = kNever;  // start of the last round of probes
  Micros interval{0};          // minimum time between two rounds
};

// Records a claim that the member had the role at the time `as_of`.
void record_role(RouterState& state, Member& member, Role role, Micros as_of);

// The known primary of the group; null: none is known, or it is not usable.
Member* find_primary(const RouterState& state, const Group& group);

// The member at which a request that needs the primary is tried while none is known; null: none at this time.
// A read is tried only where members check reads: elsewhere a replica would answer it with its own data.
Member* select_primary_trial(RouterState& state, const Group& group, const PendingRequest& pending);

// Probes the members of a group whose primary is not known, if a round of probes is due.
void discover_primary(RouterState& state, Group& group);

// Ends the search because a primary is known: resets the interval between rounds for the next search.
void end_primary_search(const RouterState& state, Group& group);

}  // namespace request_router::internal
