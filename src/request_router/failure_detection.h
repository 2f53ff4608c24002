// Failure detection: unresponsive members, and attempts that were lost on the network.
//
// Rule: any answer proves that a member is alive, whatever the list reports. A member whose answer is overdue
// is probed; if it does not answer the probe either, it is unresponsive and receives no new requests until it
// answers. The time allowed for a probe follows the measured latency of probes, because a slow network path
// slows all of them. Where members cannot be probed, an attempt that takes much longer than usual is the
// proof. A time-out at a member that answered other attempts quickly in the meantime is a failure of the
// connection, not of the member, and does not count against it.
#pragma once

#include "request_router/router.h"
#include "time_units.h"

namespace request_router::internal {

struct InFlightAttempt;
struct Member;
struct PendingRequest;
struct RouterState;

// The evidence that one member is alive or unresponsive.
struct MemberLiveness {
  Micros last_response_at = kNever;    // the last answer of any kind
  Micros unresponsive_since = kNever;  // kNever: it is not known to be unresponsive

  bool is_unresponsive() const { return unresponsive_since != kNever; }
};

// Records an answer of the member, which ends its unresponsive state.
void record_response(RouterState& state, Member& member);

// Marks the member as unresponsive. Overdue reads in flight there are cancelled, to be sent to another
// member.
void mark_unresponsive(RouterState& state, Member& member);

// Checks for overdue answers of this member: probes it or marks it as unresponsive.
void check_responsiveness(RouterState& state, Member& member);

// The duration of the attempt in microseconds, as reported by the outcome, because this router may have been
// paused in the meantime; without a reported duration, up to the time of the batch.
double attempt_duration(const RouterState& state, const InFlightAttempt& attempt, const Outcome& outcome);

// Whether the attempt timed out because the client's timeout is shorter than such a request usually takes;
// that is no evidence against the member.
bool is_client_timeout(const RouterState& state, const Member& member, const PendingRequest& pending,
                       const InFlightAttempt& attempt, const Outcome& outcome);

// Whether the attempt timed out although its member answered other attempts quickly in the meantime.
bool is_connection_loss(const RouterState& state, const Member& member, const InFlightAttempt& attempt,
                        const Outcome& outcome);

}  // namespace request_router::internal
