// The limit on the number of attempts that this router has in flight at a member.
//
// Rule: the limit follows the member's smoothed latency, measured in latency objectives, so that congestion
// changes it and a single long request does not. It does not fall below a floor, which for a primary is a
// share of a total over all routers. A limit under 1 means one attempt followed by a pause. A member that is
// known to hold more requests than it can serve in time receives none until it reports fewer.
#pragma once

#include "request_router/router.h"
#include "time_units.h"

namespace request_router::internal {

struct Group;
struct InFlightAttempt;
struct Member;
struct PendingRequest;
struct RouterState;

// The concurrency limit of one member and the measurements behind it.
struct MemberConcurrency {
  double limit = 1;               // attempts in flight
  double latency_ratio = 0;       // smoothed latency of all classes, in latency objectives
  Micros overloaded_at = kNever;  // when it was last known to hold more requests than it can serve in time
};

// The limit of a new member, before any answer.
double initial_concurrency_limit(const Settings& settings);

// Records the number of requests that the member reports to hold, from all routers.
void record_request_count(Member& member, double requests, Micros now);

// Applies an attempt's outcome to the limit, which rises or falls by a small step.
void update_concurrency_limit(const RouterState& state, Member& member, const InFlightAttempt& attempt,
                              const Outcome& outcome);

// Whether the member may receive this request now. Probes a member that is assumed to be overloaded.
bool has_capacity(RouterState& state, const Group& group, Member& member, const PendingRequest& pending);

// Requests per second that the router would send to the member in addition to those in flight.
double surplus_capacity(const RouterState& state, MemberId member);

}  // namespace request_router::internal
