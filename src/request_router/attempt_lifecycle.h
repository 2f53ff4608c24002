// An attempt from its sending to its outcome.
//
// Rule: an attempt is in flight at its member, in its request and in the member's list until its outcome
// comes, whatever is decided meanwhile. What an outcome tells of the member is taken in first, then it is
// recorded in the request, which ends or waits for the next attempt.
#pragma once

#include "request_router/router.h"

namespace request_router::internal {

struct Member;
struct PendingRequest;
struct RouterState;

// Sends the request to the member.
void send_attempt(RouterState& state, PendingRequest& pending, Member& member);

// Takes in how an attempt ended.
void on_outcome(RouterState& state, const Outcome& outcome);

}  // namespace request_router::internal
