#include "failure_detection.h"

#include <algorithm>
#include <utility>

#include "router_state.h"

namespace request_router::internal {
namespace {

// An attempt is overdue, and its member is checked, after this multiple of the attempt's usual latency. Twice
// is beyond the variation of most requests and early enough to send the request to another member.
constexpr double kOverdueRatio = 2;

// Where members cannot be probed, an attempt proves its member unresponsive after this multiple of the
// attempt's usual latency: twice the time after which it is overdue.
constexpr double kUnresponsiveRatio = 4;

// A probe counts as lost after this multiple of the usual probe latency.
constexpr double kLostProbeRatio = 4;

// An attempt counts as lost after this multiple of its usual latency: hardly any request takes that long.
constexpr double kLostAttemptRatio = 5;

// Greater than any latency; the result of the minimum over no attempts.
constexpr double kNoLatency = 1e18;

double min_usual_latency(const RouterState& state, const Member& member) {
  double least = kNoLatency;
  for (const InFlightAttempt& attempt : member.in_flight)
    least = std::min(least, state.average_latency(member, attempt.request_class));
  return least;
}

// Whether the attempt is an overdue read that may be cancelled. Only reads in this zone are: between zones, a
// slow network path cannot be distinguished from an unresponsive member.
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

void check_responsiveness(RouterState& state, Member& member) {
  if (member.probing.sent_at != kNever) {
    Micros allowed = std::max(state.spans.silence_limit, to_micros(kLostProbeRatio * member.probing.latency));
    if (state.now - member.probing.sent_at > allowed) mark_unresponsive(state, member);
    return;
  }
  if (member.liveness.is_unresponsive() || member.in_flight.empty()) return;
  Micros waited = state.now - std::max(member.in_flight.front().sent_at, member.liveness.last_response_at);
  double usual = min_usual_latency(state, member);
  if (waited <= state.spans.silence_limit || to_double(waited) <= usual * kOverdueRatio) return;
  if (state.settings.probes)
    send_probe(state, member);
  else if (to_double(waited) > usual * kUnresponsiveRatio)
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

bool is_connection_loss(const RouterState& state, const Member& member, const InFlightAttempt& attempt,
                        const Outcome& outcome) {
  if (outcome.status != Status::kTimedOut) return false;
  Micros age = state.now - attempt.sent_at;
  double usual = state.average_latency(member, attempt.request_class);
  return to_double(age) > kLostAttemptRatio * usual && state.load(member) < kOverdueRatio &&
         member.liveness.last_response_at > attempt.sent_at + age / 2;
}

}  // namespace request_router::internal
