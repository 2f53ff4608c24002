#include "failure_detection.h"

#include <algorithm>
#include <utility>

#include "router_state.h"

namespace request_router::internal {
namespace {

// An attempt that has been under way for so many times its usual latency is overdue and raises a question.
// Twice: later than the scatter of most requests, early enough to send the request elsewhere.
constexpr double kOverdueRatio = 2;

// Where members cannot be probed, an attempt that has taken so many times its usual latency proves silence.
// Twice the time that raises the question.
constexpr double kSilentRatio = 4;

// A probe that takes so many times as long as probes usually take is lost.
constexpr double kLostProbeRatio = 4;

// Hardly any request takes so many times as long as its class usually does: such an attempt was lost.
constexpr double kLostAttemptRatio = 5;

// More than any latency; the least latency of no attempts.
constexpr double kNoLatency = 1e18;

double least_usual_latency(const RouterState& state, const Member& member) {
  double least = kNoLatency;
  for (const InFlightAttempt& attempt : member.in_flight)
    least = std::min(least, state.average_latency(member, attempt.request_class));
  return least;
}

// Between zones a slow path looks like silence, so only reads in this zone are cancelled.
bool is_overdue_read(const RouterState& state, const Member& member, const InFlightAttempt& attempt) {
  if (!state.settings.cancel || !member.same_zone) return false;
  if (state.settings.classes[attempt.request_class].effect != Effect::kPure) return false;
  if (!state.pending.contains(attempt.id)) return false;
  double usual = state.average_latency(member, attempt.request_class);
  return to_double(state.now - attempt.sent_at) > kOverdueRatio * usual;
}

}  // namespace

void record_response(RouterState& state, Member& member) {
  member.liveness.last_response_at = state.now;
  if (std::exchange(member.liveness.unresponsive_since, kNever) == kNever) return;
  member.probing.interval = state.spans.silence_limit;
  state.request_decision(member);
}

void mark_unresponsive(RouterState& state, Member& member) {
  if (member.liveness.is_unresponsive()) return;
  member.liveness.unresponsive_since = state.now;
  member.probing.interval = state.spans.silence_limit;
  state.request_decision(member);
  for (const InFlightAttempt& attempt : member.in_flight)
    if (is_overdue_read(state, member, attempt))
      state.actions.emplace_back(Cancel{attempt.id, attempt.attempt});
}

void check_for_silence(RouterState& state, Member& member) {
  if (member.probing.sent_at != kNever) {
    Micros allowed = std::max(state.spans.silence_limit, to_micros(kLostProbeRatio * member.probing.latency));
    if (state.now - member.probing.sent_at > allowed) mark_unresponsive(state, member);
    return;
  }
  if (member.liveness.is_unresponsive() || member.in_flight.empty()) return;
  Micros waited = state.now - std::max(member.in_flight.front().sent_at, member.liveness.last_response_at);
  double usual = least_usual_latency(state, member);
  if (waited <= state.spans.silence_limit || to_double(waited) <= usual * kOverdueRatio) return;
  if (state.settings.probes)
    send_probe(state, member);
  else if (to_double(waited) > usual * kSilentRatio)
    mark_unresponsive(state, member);
}

double attempt_duration(const RouterState& state, const InFlightAttempt& attempt, const Outcome& outcome) {
  return to_double(outcome.taken.count() > 0 ? outcome.taken : state.now - attempt.sent_at);
}

bool is_client_timeout(const RouterState& state, const Member& member, const PendingRequest& pending,
                       const InFlightAttempt& attempt, const Outcome& outcome) {
  if (outcome.status != Status::kTimedOut) return false;
  double timeout = to_double(pending.request.expires - pending.arrived_at);
  return timeout < kOverdueRatio * state.average_latency(member, attempt.request_class);
}

bool is_lost_in_silence(const RouterState& state, const Member& member, const InFlightAttempt& attempt,
                        const Outcome& outcome) {
  if (outcome.status != Status::kTimedOut) return false;
  Micros age = state.now - attempt.sent_at;
  double usual = state.average_latency(member, attempt.request_class);
  return to_double(age) > kLostAttemptRatio * usual && state.load(member) < kOverdueRatio &&
         member.liveness.last_response_at > attempt.sent_at + age / 2;
}

}  // namespace request_router::internal
