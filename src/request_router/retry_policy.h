// Retry policy: whether a request may be sent, retried or rejected, and when an attempt is cancelled so that
// another member can be tried.
//
// Rule: an attempt that may have run is repeated only if the class allows it: a pure one always, one with a
// key within the key's window and group, an unsafe one never. A request whose repeat by the client could do
// harm is failed, not rejected. An error that recurs at several members is attributed to the request. When
// attempts are observed to be lost on the network, one that takes far too long is cancelled while another
// attempt can still complete in time.
#pragma once

#include "request_router/router.h"

namespace request_router::internal {

struct Member;
struct PendingRequest;
struct RouterState;

// The maximum number of attempts of a request, whatever the settings allow: each costs a member work, and a
// further one would hardly help.
constexpr int kMaxAttempts = 8;

// The measured share of attempts that are lost on the network although their members are healthy.
class CancellationPolicy {
 public:
  // Records the end of an attempt; `lost` is 1 for a lost one, 0 for one that was answered.
  void record(double lost);

  // Whether attempts are lost often enough for late ones to be cancelled.
  bool cancels_late_attempts() const;

 private:
  double lost_share_ = 0;  // smoothed, of all attempts
};

// Whether the request may have more than `reserved` further attempts.
bool has_attempts_left(const RouterState& state, const PendingRequest& pending, int reserved = 0);

// Whether the request may be sent or retried. Implements the rule on effects together with `may_reject`.
bool may_send(const RouterState& state, const PendingRequest& pending);

// Whether the request may be rejected so that the client retries it later: its repeat does no harm.
bool may_reject(const PendingRequest& pending);

// The time from now within which an attempt must begin, where its connection has to be established first. The
// window for a repeat, or the grace period of a drain that is notified in the meantime, may have ended by the
// time the connection is established.
Micros start_within(const RouterState& state, const PendingRequest& pending, const Member& member);

// The time from now within which the last byte of an attempt must arrive: a repeat that arrives after its
// key's window would be applied again.
Micros arrive_within(const RouterState& state, const PendingRequest& pending);

// Cancels attempts at the member that take far too long, if attempts are observed to be lost.
void cancel_and_retry(RouterState& state, Member& member);

// Records an attempt that succeeded or was lost. A cancelled attempt counts as lost if the next one was
// answered in a much shorter time.
void record_loss(RouterState& state, const PendingRequest& pending, const Outcome& outcome);

}  // namespace request_router::internal
