#include "attempt_lifecycle.h"

#include <algorithm>
#include <cstddef>
#include <optional>

#include "router_state.h"

namespace request_router::internal {
namespace {

// Minimum timeout of an attempt, also of one that is sent when the client's deadline has been reached.
constexpr Micros kMinTimeout{1};

std::optional<InFlightAttempt> remove_in_flight(Member& member, const Outcome& outcome) {
  auto found = std::find_if(member.in_flight.begin(), member.in_flight.end(), [&](const auto& attempt) {
    return attempt.id == outcome.id && attempt.attempt == outcome.attempt;
  });
  if (found == member.in_flight.end()) return std::nullopt;
  InFlightAttempt attempt = *found;
  member.in_flight.erase(found);
  return attempt;
}

bool is_answer(Status status) {
  return status == Status::kSuccess || status == Status::kFailure || status == Status::kOverloaded ||
         status == Status::kDeclined;
}

// Whether the member may have executed the request, according to the status of the attempt.
bool may_have_run(Status status) {
  return status != Status::kOverloaded && status != Status::kUnreachable && status != Status::kNotStarted &&
         status != Status::kDeclined;
}

// Records what the outcome shows about the member, independent of the request.
void record_member_observations(RouterState& state, Member& member, const Outcome& outcome) {
  if (is_answer(outcome.status) || outcome.status == Status::kBroken) record_response(state, member);
  record_role(state, member, outcome.role, state.now);
  if (outcome.position) record_rounded_position(state, member, *outcome.position);
  record_report(state, member, outcome.report);
  if (outcome.status != Status::kUnreachable) return;
  // The member is down, or has no free connection; a probe would not distinguish the two.
  mark_unresponsive(state, member);
  if (member.role.role != Role::kPrimary) back_off(state, member);
}

// Records that the member declined the request without executing it: it is not the primary, or it is behind.
void record_declined(RouterState& state, Member& member, const InFlightAttempt& attempt) {
  if (state.settings.classes[attempt.request_class].level == ReadLevel::kWrite) {
    member.role.write_tried_at = state.now;
    record_role(state, member, Role::kReplica, state.now);
  } else {
    member.replication.declined_at = state.now;
  }
}

void record_latency(RouterState& state, Member& member, const InFlightAttempt& attempt,
                    const Outcome& outcome) {
  double duration = attempt_duration(state, attempt, outcome);
  if (outcome.status == Status::kSuccess) {
    state.latency.record_success(member.latency, attempt.request_class, duration, state.now);
    member.ejection.ejected_for = Micros(0);
  }
  if (outcome.status == Status::kSuccess || outcome.status == Status::kTimedOut)
    state.latency.record_slowdown(member.latency, attempt.request_class, duration, state.now);
}

// Records what the outcome shows about the member's latency and errors. `pending`: null if the request has
// ended.
void record_performance(RouterState& state, Member& member, const InFlightAttempt& attempt,
                        const PendingRequest* pending, const Outcome& outcome) {
  if (outcome.status == Status::kDeclined) record_declined(state, member, attempt);
  bool is_client_caused = pending && is_client_timeout(state, member, *pending, attempt, outcome);
  if (!is_client_caused && !is_connection_loss(state, member, attempt, outcome)) {
    record_latency(state, member, attempt, outcome);
    update_concurrency_limit(state, member, attempt, outcome);
  }
  if (!pending) return;
  bool is_success = outcome.status == Status::kSuccess;
  if (!is_client_caused && (is_success || is_connection_loss(state, member, attempt, outcome)))
    record_loss(state, *pending, outcome);
  update_error_shares(state, member, *pending, outcome);
  if (is_success) record_success(state, member, *pending, attempt, outcome);
}

void end_attempt(const RouterState& state, PendingRequest& pending, const Outcome& outcome) {
  bool is_known = outcome.attempt >= 0 && outcome.attempt < static_cast<int>(pending.attempts.size());
  if (!is_known || !pending.attempts[outcome.attempt].is_in_flight) return;
  Attempt& attempt = pending.attempts[outcome.attempt];
  attempt.is_in_flight = false;
  attempt.has_failed = outcome.status == Status::kFailure;
  attempt.reached_member = outcome.status != Status::kUnreachable && outcome.status != Status::kNotStarted;
  attempt.may_have_run = may_have_run(outcome.status);
  attempt.was_too_late = outcome.status == Status::kNotStarted && state.now > attempt.fresh_until;
  --pending.in_flight_count;
}

SendReason reason_for(const PendingRequest& pending, const Member& member) {
  bool is_primary = member.role.role == Role::kPrimary;
  if (!pending.needs_primary()) return is_primary ? SendReason::kReadAtPrimary : SendReason::kReplica;
  if (!is_primary) return SendReason::kPrimaryTrial;
  return member.condition == Condition::kReady ? SendReason::kKnownPrimary : SendReason::kDrainingPrimary;
}

}  // namespace

void send_attempt(RouterState& state, PendingRequest& pending, Member& member) {
  const Request& request = pending.request;
  int attempt = static_cast<int>(pending.attempts.size());
  Micros fresh_for = fresh_within(state, pending, member);
  Micros fresh_until = fresh_for == Micros::max() ? fresh_for : state.now + fresh_for;
  pending.attempts.push_back({.member = member.id, .sent_at = state.now, .fresh_until = fresh_until});
  ++pending.in_flight_count;
  state.watch(member);
  member.in_flight.push_back({request.id, attempt, request.request_class, state.now});
  member.last_sent_at = state.now;
  // The timeout is the time that the client has left: a shorter one would not stop the work at the member,
  // but would remove it from the attempts in flight that are counted here.
  Micros timeout = std::max(request.expires - state.now, kMinTimeout);
  state.actions.emplace_back(Send{request.id, member.id, timeout, start_within(state, pending, member),
                                  reason_for(pending, member), arrive_within(state, pending), fresh_for});
}

void on_outcome(RouterState& state, const Outcome& outcome) {
  auto known = state.members.find(outcome.member);
  if (known == state.members.end()) return;
  Member& member = known->second;
  Group& group = state.groups[member.group];
  state.request_decision(group);
  std::optional<InFlightAttempt> attempt = remove_in_flight(member, outcome);
  record_member_observations(state, member, outcome);
  auto request = state.pending.find(outcome.id);
  PendingRequest* pending = request == state.pending.end() ? nullptr : &request->second;
  if (attempt) record_performance(state, member, *attempt, pending, outcome);
  if (!pending) return;
  end_attempt(state, *pending, outcome);
  if (outcome.closed || outcome.status == Status::kSuccess)
    state.pending.erase(request);
  else if (pending->in_flight_count == 0)
    group.postponed.push_back(outcome.id);
}

}  // namespace request_router::internal
