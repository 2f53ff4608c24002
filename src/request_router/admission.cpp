#include "admission.h"

#include <algorithm>
#include <utility>

#include "router_state.h"

namespace request_router::internal {
namespace {

// A write that waits for the primary is kept only if its remaining time is enough for this multiple of the
// requests ahead of it. A factor of two, because the primary's rate is an estimate from few attempts.
constexpr double kQueueSafetyFactor = 2;

// A postponed request whose remaining time is less than this fraction of the usual latency of its class
// cannot be answered in time.
constexpr double kMinTimeFraction = 0.5;

// The same fraction for a request that has just arrived: a fast answer may still be in time.
constexpr double kMinTimeFractionOnArrival = 0.15;

// A request whose remaining time is at least this multiple of the usual latency of its class is unlikely to
// be late: with exponentially distributed latencies, 95 of 100 take no longer.
constexpr double kAmpleTimeRatio = 3;

// A request that no member has received is given up after 1/kLongWaitDivisor of the client's timeout: any
// later, the client would hardly have enough time to send it again.
constexpr int kLongWaitDivisor = 2;

// The Retry-After, in latency objectives of the class: a quarter to three quarters, drawn for each request,
// so that requests that were rejected at the same time are not all retried at the same time.
constexpr double kMinRetryAfter = 0.25;
constexpr double kRetryAfterRange = 0.5;

// Member id for the draw of the Retry-After, which concerns no member.
constexpr MemberId kRetryAfterDraw = ~1U;

// Whether the known primary can serve the requests ahead of this write within the remaining time of the
// write. Only a write that has some value after its latency objective waits for that.
bool can_be_served_in_time(const RouterState& state, const Group& group, const PendingRequest& pending,
                           double writes_ahead) {
  if (pending.request_class->late_weight_share <= 0 || !pending.needs_primary()) return false;
  const Member* primary = find_primary(state, group);
  if (!primary) return false;
  double usual_latency = state.average_latency(*primary, pending.request.request_class);
  double requests_served =
      to_double(pending.request.expires - state.now) * primary->concurrency.limit / usual_latency;
  return requests_served > kQueueSafetyFactor * (writes_ahead + 1);
}

// Whether a member has received the request, or would have if its data had still been recent enough when its
// connection was ready: such a read may go on.
bool has_reached_member(const PendingRequest& pending) {
  return std::any_of(pending.attempts.begin(), pending.attempts.end(),
                     [](const Attempt& attempt) { return attempt.reached_member || attempt.was_too_late; });
}

// The time at which the request arrived. After a pause of this router it may be earlier than the time of
// the batch: the client's timeout is taken to be the longest one seen for the class, and is subtracted from
// the expiry of the request.
Micros arrival_time(RouterState& state, const Request& request) {
  Micros& longest = state.longest_client_timeout[request.request_class];
  longest = std::max(longest, request.expires - state.now);
  return std::clamp(request.expires - longest, state.now - state.timers.paused, state.now);
}

}  // namespace

void on_request(RouterState& state, const Request& request) {
  PendingRequest pending;
  pending.request = request;
  pending.request_class = &state.settings.classes.at(request.request_class);
  pending.arrived_at = arrival_time(state, request);
  state.work_rates.add(state.now, state.latency.typical(request.request_class));
  if (!pending.needs_primary()) state.zone_routing.record_read(request.request_class);
  pending.full_value_until =
      std::min(request.expires, pending.arrived_at + pending.request_class->latency_objective);
  if (pending.request_class->level == ReadLevel::kSession)
    pending.required_position = session_position(state, request);
  state.probe_budget.replenish();
  PendingRequest& added = state.pending.emplace(request.id, std::move(pending)).first->second;
  auto group = state.groups.find(request.group);
  if (group == state.groups.end()) {
    // Clients may name any group, so no state is kept for an unknown one.
    give_up(state, added, GiveUpReason::kUnknownGroup);
    return;
  }
  group->second.postponed.push_back(request.id);
  state.request_decision(group->second);
}

bool cannot_meet_deadline(const RouterState& state, const Group& group, const PendingRequest& pending,
                          double writes_ahead) {
  Micros timeout = pending.request.expires - pending.arrived_at;
  bool has_waited_long = state.now + state.spans.tick >= pending.arrived_at + timeout / kLongWaitDivisor;
  if (has_waited_long && !has_reached_member(pending) &&
      !can_be_served_in_time(state, group, pending, writes_ahead))
    return true;
  bool has_late_value = pending.request_class->late_weight_share > 0;
  Micros useful_until = has_late_value ? pending.request.expires : pending.full_value_until;
  double fraction = state.now == pending.arrived_at ? kMinTimeFractionOnArrival : kMinTimeFraction;
  double min_time = fraction * state.latency.typical(pending.request.request_class);
  return state.now + to_micros(min_time) >= useful_until || !may_send(state, pending);
}

double value_per_work(const RouterState& state, const PendingRequest& pending) {
  double work = state.latency.typical(pending.request.request_class);
  double slack_ratio = to_double(pending.full_value_until - state.now) / (kAmpleTimeRatio * work);
  return pending.request_class->priority_weight * std::clamp(slack_ratio, 0.0, 1.0) / work;
}

void give_up(RouterState& state, const PendingRequest& pending, GiveUpReason reason) {
  RequestId id = pending.request.id;
  if (may_reject(pending)) {
    double draw = state.deterministic_fraction(id, kRetryAfterDraw);
    Micros retry_after =
        scale(pending.request_class->latency_objective, kMinRetryAfter + kRetryAfterRange * draw);
    Micros max_retry_after = state.settings.retry_after ? state.settings.max_retry_after : Micros(0);
    state.actions.emplace_back(Reject{id, std::min(max_retry_after, retry_after), reason});
  } else {
    state.actions.emplace_back(Fail{id, reason});
  }
  state.pending.erase(id);
}

}  // namespace request_router::internal
