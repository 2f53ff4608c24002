// Members that answer with errors far more often than their peers, or cannot be reached, are left alone.
//
// Rule: an error of a member counts once the same request has succeeded elsewhere, so that a request that
// fails everywhere does not condemn its members; a broken connection counts at once. An ejected member is
// left alone for a while, longer each time until it has served again. A primary is never ejected: writes have
// nowhere else to go.
#pragma once

#include "request_router/router.h"
#include "time_units.h"

namespace request_router::internal {

struct Member;
struct PendingRequest;
struct RouterState;

// What is known of the errors of one member.
struct MemberEjection {
  double error_share = 0;         // smoothed, of its attempts
  Micros ejected_until = kNever;  // nothing is sent there before
  Micros ejected_for{0};          // the length of its last ejection; 0: it has served since
};

// Takes in how an attempt at the member ended: its own error share, and errors of other members on the same
// request.
void update_error_shares(RouterState& state, Member& member, const PendingRequest& pending,
                         const Outcome& outcome);

// Leaves the member alone for a while.
void back_off(const RouterState& state, Member& member);

}  // namespace request_router::internal
