// Which members are silent, and which attempts were lost on their way.
//
// Rule: any answer proves that a member lives, whatever the list says. A member whose answer is overdue is
// probed; one that leaves the probe unanswered too is unresponsive and gets nothing new until it answers. How
// long a probe may take is learned, because a slow path slows them all. Where members cannot be probed, an
// attempt that takes much longer than usual is the proof. A time-out at a member that was quick for others
// meanwhile is a loss of the connection, not of the member, and does not count against it.
#pragma once

#include "request_router/router.h"
#include "time_units.h"

namespace request_router::internal {

struct InFlightAttempt;
struct Member;
struct PendingRequest;
struct RouterState;

// What is known of the life of one member.
struct MemberLiveness {
  Micros last_response_at = kNever;    // any answer at all
  Micros unresponsive_since = kNever;  // kNever: it answers, as far as is known

  bool is_unresponsive() const { return unresponsive_since != kNever; }
};

// Takes in an answer of the member.
void record_response(RouterState& state, Member& member);

// Takes the member for silent. Reads under way there are cancelled, to be sent elsewhere, if they are
// overdue.
void mark_unresponsive(RouterState& state, Member& member);

// Looks for overdue answers of this member: probes it, or takes it for silent.
void check_responsiveness(RouterState& state, Member& member);

// How long the attempt took, in microseconds, as told by the outcome or else by the time of the batch: this
// router may have stood still meanwhile.
double attempt_duration(const RouterState& state, const InFlightAttempt& attempt, const Outcome& outcome);

// Whether the attempt timed out because its client waits for less time than such a request takes; that says
// nothing about the member.
bool is_client_timeout(const RouterState& state, const Member& member, const PendingRequest& pending,
                       const InFlightAttempt& attempt, const Outcome& outcome);

// Whether the attempt timed out at a member that was quick for others meanwhile.
bool is_connection_loss(const RouterState& state, const Member& member, const InFlightAttempt& attempt,
                        const Outcome& outcome);

}  // namespace request_router::internal
