// Admission of requests: which are accepted, in which order, and which are given up.
//
// Rule: a request that can no longer be answered in time, or for which waiting would cost more than its
// value, is given up at once, with a Retry-After. Of the waiting requests, the one of most value per work
// goes first; the value decreases when little time is left and a late answer is likely.
#pragma once

#include "request_router/router.h"

namespace request_router::internal {

struct Group;
struct PendingRequest;
struct RouterState;

// Adds a new request. A request for a group that no member list has named is given up at once.
void on_request(RouterState& state, const Request& request);

// Whether the request can no longer have any value, or waiting would cost more than its value.
// `writes_ahead`: the number of requests for the primary that wait ahead of this one.
bool cannot_meet_deadline(const RouterState& state, const Group& group, const PendingRequest& pending,
                          double writes_ahead);

// The priority weight of the request for each microsecond of work, at the time of the batch.
double value_per_work(const RouterState& state, const PendingRequest& pending);

// Gives up the request: rejects it where a repeat by the client does no harm, otherwise fails it.
void give_up(RouterState& state, const PendingRequest& pending, GiveUpReason reason);

}  // namespace request_router::internal
