// Whether a request may be sent, sent again or rejected, and when an attempt is cancelled to try elsewhere.
//
// Rule: an attempt that may have run is repeated only if the class allows it: a pure one always, one with a
// key within the key's window and group, an unsafe one never. A request whose repeat by the client could do
// harm is failed and not rejected. An error that follows the request from member to member is the request's
// own. Once attempts are seen to be lost on their way, one that takes far too long is cancelled while another
// can still be in time.
#pragma once

#include "request_router/router.h"

namespace request_router::internal {

struct Member;
struct PendingRequest;
struct RouterState;

// Attempts of a request at most, whatever the settings allow: each costs a member work, and after so many a
// further one hardly helps.
constexpr int kMaxAttempts = 8;

// How often attempts are lost on their way though their members are well.
class CancellationPolicy {
 public:
  // Takes in the end of an attempt; `lost` is 1 for a lost one, 0 for one that was answered.
  void record(double lost);

  // Whether attempts are lost often enough for late ones to be cancelled.
  bool cancels_late_attempts() const;

 private:
  double lost_share_ = 0;  // smoothed, of all attempts
};

// Whether the request may be sent (again): the rule on effects, kept here and in `may_reject`.
bool may_send(const RouterState& state, const PendingRequest& pending);

// Whether the client may be told to come back later: its repeat does no harm.
bool may_reject(const PendingRequest& pending);

// How long from now an attempt may begin at the latest, where its connection has to come up first: the window
// of a repeat, or the grace of a drain of which this router is notified meanwhile, may be over by then.
Micros start_within(const RouterState& state, const PendingRequest& pending, const Member& member);

// Cancels attempts at the member that take far too long, if attempts are seen to be lost.
void cancel_and_retry(RouterState& state, Member& member);

// Takes in an attempt that succeeded or was lost. A cancelled one was lost if the next was answered far
// sooner.
void record_loss(RouterState& state, const PendingRequest& pending, const Outcome& outcome);

}  // namespace request_router::internal
