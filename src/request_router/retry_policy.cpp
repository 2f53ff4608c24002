#include "retry_policy.h"

#include <algorithm>

#include "router_state.h"

namespace request_router::internal {
namespace {

// The number of failed attempts after which a read is not retried; a request that needs the primary gets one
// more, because the primary may have changed in the meantime.
constexpr int kMaxFailures = 2;

// Steps reserved at the end of a key's window for the time until an attempt reaches its member.
constexpr int kWindowReserveSteps = 2;

// The share of attempts lost on the network from which late attempts are cancelled. Below a hundredth, more
// attempts that merely take long would be cancelled than lost ones.
constexpr double kLossThreshold = 0.01;

// Weight of one attempt in that share: about the last two hundred attempts count, or a single loss would keep
// the share above the threshold for long.
constexpr double kLossSmoothing = 0.005;

// The time reserved before the deadline for the next attempt, as a multiple of its usual latency: a healthy
// member mostly answers within that time.
constexpr double kRetryReserveRatio = 2;

// The multiple of its usual latency before which no attempt is cancelled: hardly any request takes longer by
// its nature, and one that does would take as long again.
constexpr double kLateAttemptRatio = 5;

// Divisor of a key's window: a repeat is sent within the first half, the rest is for its transmission.
constexpr int kKeyWindowDivisor = 2;

// A cancelled attempt counts as lost if it lasted longer than the duration of the next attempt times this
// factor.
constexpr int kFasterRetryRatio = 2;

// An attempt is cancelled only if the request may have this many more.
constexpr int kAttemptsAfterCancel = 1;

bool may_have_run(const PendingRequest& pending) {
  return std::any_of(pending.attempts.begin(), pending.attempts.end(),
                     [](const Attempt& attempt) { return attempt.is_in_flight || attempt.may_have_run; });
}

bool may_repeat(const RouterState& state, const PendingRequest& pending) {
  const RequestClass& request_class = *pending.request_class;
  if (request_class.effect == Effect::kPure) return true;
  if (request_class.effect != Effect::kKeyed || request_class.scope == KeyScope::kZone) return false;
  return state.now - pending.attempts[0].sent_at < request_class.key_window / kKeyWindowDivisor;
}

// Whether to cancel an attempt at this time: it is certainly late, and the next attempt can still
// complete in time.
bool is_time_to_cancel(const RouterState& state, const PendingRequest& pending, Micros sent_at,
                       Micros usual) {
  Micros until = pending.full_value_until;
  if (pending.request_class->late_weight_share > 0 && state.now >= until) until = pending.request.expires;
  Micros from = std::max(until - scale(usual, kRetryReserveRatio), sent_at + scale(usual, kLateAttemptRatio));
  return state.now >= from && state.now <= until - usual;
}

}  // namespace

void CancellationPolicy::record(double lost) { lost_share_ += kLossSmoothing * (lost - lost_share_); }

bool CancellationPolicy::cancels_late_attempts() const { return lost_share_ >= kLossThreshold; }

bool has_attempts_left(const RouterState& state, const PendingRequest& pending, int reserved) {
  return static_cast<int>(pending.attempts.size()) + reserved < state.settings.max_attempts;
}

bool may_send(const RouterState& state, const PendingRequest& pending) {
  if (pending.in_flight_count > 0 || !has_attempts_left(state, pending)) return false;
  const RequestClass& request_class = *pending.request_class;
  auto failures = std::count_if(pending.attempts.begin(), pending.attempts.end(),
                                [](const Attempt& attempt) { return attempt.has_failed; });
  if (failures >= kMaxFailures + (pending.needs_primary() ? 1 : 0)) return false;
  if (request_class.effect == Effect::kPure || !may_have_run(pending)) return true;
  if (request_class.effect == Effect::kUnsafe || request_class.scope == KeyScope::kZone) return false;
  auto first = std::find_if(pending.attempts.begin(), pending.attempts.end(),
                            [](const Attempt& attempt) { return attempt.may_have_run; });
  if (first == pending.attempts.end()) return true;
  Micros window = request_class.key_window - state.settings.step * kWindowReserveSteps;
  return state.now - first->sent_at < window;
}

bool may_reject(const PendingRequest& pending) {
  const RequestClass& request_class = *pending.request_class;
  if (request_class.effect == Effect::kPure || !may_have_run(pending)) return true;
  return request_class.effect == Effect::kKeyed && request_class.scope == KeyScope::kAll;
}

Micros start_within(const RouterState& state, const PendingRequest& pending, const Member& member) {
  Micros notified_at = member.notified_at == kNever ? state.now : member.notified_at;
  Micros within = Micros::max();
  if (state.settings.drain_grace.count() > 0) within = notified_at + state.settings.drain_grace - state.now;
  return std::min(within, arrive_within(state, pending));
}

Micros arrive_within(const RouterState& state, const PendingRequest& pending) {
  Micros within = Micros::max();
  if (pending.request_class->effect != Effect::kKeyed) return within;
  Micros window = pending.request_class->key_window - state.settings.step * kWindowReserveSteps;
  for (const Attempt& attempt : pending.attempts)
    if (attempt.may_have_run) within = std::min(within, attempt.sent_at + window - state.now);
  return within;
}

void cancel_and_retry(RouterState& state, Member& member) {
  if (!state.settings.cancel || !state.cancellation.cancels_late_attempts()) return;
  for (InFlightAttempt& attempt : member.in_flight) {
    auto known = state.pending.find(attempt.id);
    if (known == state.pending.end() || attempt.cancelled) continue;
    PendingRequest& pending = known->second;
    if (!may_repeat(state, pending)) continue;
    if (!has_attempts_left(state, pending, kAttemptsAfterCancel)) continue;
    Micros usual = to_micros(state.average_latency(member, attempt.request_class));
    if (!is_time_to_cancel(state, pending, attempt.sent_at, usual)) continue;
    attempt.cancelled = true;
    pending.attempts[attempt.attempt].is_cancelled = true;
    state.actions.emplace_back(Cancel{attempt.id, attempt.attempt});
  }
}

void record_loss(RouterState& state, const PendingRequest& pending, const Outcome& outcome) {
  double lost = outcome.status == Status::kTimedOut ? 1 : 0;
  if (outcome.attempt > 0 && outcome.attempt < static_cast<int>(pending.attempts.size())) {
    const Attempt& previous = pending.attempts[outcome.attempt - 1];
    const Attempt& current = pending.attempts[outcome.attempt];
    if (previous.is_cancelled && outcome.taken * kFasterRetryRatio < current.sent_at - previous.sent_at)
      lost = 1;
  }
  state.cancellation.record(lost);
}

}  // namespace request_router::internal

namespace request_router {

// Stricter than `may_reject`: the repeat may reach another proxy after the key's window.
bool may_reject_at_shutdown(Effect effect, bool may_have_run) {
  return effect == Effect::kPure || !may_have_run;
}

bool may_reject_after_answer(Effect effect) { return effect == Effect::kPure; }

}  // namespace request_router
