// Which requests are taken on, in which order, and which are given up.
//
// Rule: a request that can no longer be answered in time, or for which waiting would cost more than it
// brings, is given up at once, with a time to come back. Of those that wait, the one of most value for its
// work goes first; the value falls when so little time is left that the answer may well come late.
#pragma once

#include "request_router/router.h"

namespace request_router::internal {

struct Group;
struct PendingRequest;
struct RouterState;

// Takes in a new request. One for a group that no list has named is given up at once.
void on_request(RouterState& state, const Request& request);

// Whether the request can no longer be worth anything, or waiting would cost more than it brings.
// `writes_ahead`: requests for the primary that wait before this one.
bool cannot_meet_deadline(const RouterState& state, const Group& group, const PendingRequest& pending,
                          double writes_ahead);

// The priority weight of the request for each microsecond of work, at the time of the batch.
double value_per_work(const RouterState& state, const PendingRequest& pending);

// Gives the request up: rejects it where its repeat by the client does no harm, else fails it.
void give_up(RouterState& state, const PendingRequest& pending, GiveUpReason reason);

}  // namespace request_router::internal
