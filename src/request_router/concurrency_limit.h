// How many attempts this router has in flight at a member at most.
//
// Rule: the limit follows the member's smoothed latency, measured in latency objectives, so that crowding
// changes it and a single long request does not. It does not fall below a floor, which for a primary is a
// share of a total over all routers. A limit under 1 means one attempt, and a pause after it. A member that
// is known to hold more requests than it serves well gets none until it says that it holds fewer.
#pragma once

#include "request_router/router.h"
#include "time_units.h"

namespace request_router::internal {

struct Group;
struct InFlightAttempt;
struct Member;
struct PendingRequest;
struct RouterState;

// What the limit of one member rests on.
struct MemberConcurrency {
  double limit = 1;               // attempts in flight
  double latency_ratio = 0;       // smoothed latency of all classes, in latency objectives
  Micros overloaded_at = kNever;  // when it was last known to hold more requests than it serves well
};

// The limit of a member of which nothing is known yet.
double initial_concurrency_limit(const Settings& settings);

// Takes in how many requests the member says that it holds, of all routers.
void record_request_count(Member& member, double requests, Micros now);

// Takes in how an attempt ended: the limit rises or falls by a small step.
void update_concurrency_limit(const RouterState& state, Member& member, const InFlightAttempt& attempt,
                              const Outcome& outcome);

// Whether the member may have this request now. Probes a member that is thought to be overloaded.
bool has_capacity(RouterState& state, const Group& group, Member& member, const PendingRequest& pending);

// Requests a second that the router would send to the member beside those in flight.
double surplus_capacity(const RouterState& state, MemberId member);

}  // namespace request_router::internal
