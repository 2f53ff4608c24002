// Which member is the primary of its group.
//
// Rule: a claim about a role counts by the time that it speaks of: reports may be late or frozen, answers
// speak of now. The newest claim wins. While no primary is known, members are probed, and a write is tried at
// each member in turn where replicas turn it away untouched, ever more seldom, so that its attempts last as
// long as an election may take.
#pragma once

#include "request_router/router.h"
#include "time_units.h"

namespace request_router::internal {

struct Group;
struct Member;
struct PendingRequest;
struct RouterState;

// What is known of the role of one member.
struct MemberRole {
  Role role = Role::kUnknown;
  Micros primary_since = kNever;   // when this router learned that the member is the primary
  Micros as_of = kNever;           // the time that the newest claim speaks of
  Micros write_tried_at = kNever;  // when a write was last tried there without knowing the primary
};

// The search for the primary of one group.
struct PrimarySearch {
  Micros started_at = kNever;  // when members were last probed for it
  Micros interval{0};          // between two such rounds
};

// Takes in a claim about the member's role, which speaks of the time `as_of`.
void record_role(RouterState& state, Member& member, Role role, Micros as_of);

// The primary of the group, if one is known that answers and may be used.
Member* find_primary(const RouterState& state, const Group& group);

// The member at which a request that needs the primary is tried while none is known; null: none now. A read
// is tried only where members check reads: elsewhere a replica answers it from what it has.
Member* select_primary_trial(RouterState& state, const Group& group, const PendingRequest& pending);

// Probes the members of a group whose primary is not known, when that is due.
void discover_primary(RouterState& state, Group& group);

// A primary is known: the next search begins quickly again.
void end_primary_search(const RouterState& state, Group& group);

}  // namespace request_router::internal
