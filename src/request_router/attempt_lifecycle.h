// The lifecycle of an attempt, from its sending to its outcome.
//
// Rule: an attempt counts as in flight, in its request and in its member's list, until its outcome arrives,
// regardless of decisions made in the meantime. An outcome is first recorded at the member, then in the
// request, which ends or waits for its next attempt.
#pragma once

#include "request_router/router.h"

namespace request_router::internal {

struct Member;
struct PendingRequest;
struct RouterState;

// Sends the request to the member as a new attempt.
void send_attempt(RouterState& state, PendingRequest& pending, Member& member);

// Processes the outcome of an attempt.
void on_outcome(RouterState& state, const Outcome& outcome);

}  // namespace request_router::internal
