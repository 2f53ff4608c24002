// Outlier ejection: members that answer with errors far more often than their peers, or cannot be reached,
// are ejected for a time.
//
// Rule: an error of a member counts once the same request has succeeded at another member, so that a request
// that fails everywhere does not cause ejections; a broken connection counts at once. Each ejection is longer
// than the last until the member has served a request again. A primary is never ejected, because no other
// member can serve writes.
#pragma once

#include "request_router/router.h"
#include "time_units.h"

namespace request_router::internal {

struct Member;
struct PendingRequest;
struct RouterState;

// The error share of one member and its ejection.
struct MemberEjection {
  double error_share = 0;         // smoothed, of its attempts
  Micros ejected_until = kNever;  // no request is sent to it before this time
  Micros ejected_for{0};          // the duration of its last ejection; 0: it has served a request since
};

// Applies an attempt's outcome to the error share of its member and, after a success, to the error shares of
// the members at which the same request failed.
void update_error_shares(RouterState& state, Member& member, const PendingRequest& pending,
                         const Outcome& outcome);

// Ejects the member, for twice the duration of its last ejection within the bounds.
void back_off(const RouterState& state, Member& member);

}  // namespace request_router::internal
