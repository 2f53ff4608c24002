#include "primary_discovery.h"

#include <algorithm>
#include <tuple>

#include "router_state.h"

namespace request_router::internal {
namespace {

// The number of silence limits (four are half of the smallest latency objective) after which a member that
// has not answered is probed rather than tried with a request, while the probe budget has a surplus: a probe
// delays no request.
constexpr int kProbeFirstSilences = 4;

// Minimum time between two trials at a member, in silence limits: a quarter of the smallest latency
// objective.
constexpr int kTrySilences = 2;

// Maximum interval between two rounds of probes, in silence limits: one smallest latency objective.
constexpr int kMaxSearchIntervalSilences = 8;

// The number of attempts of a request that are reserved for the primary after it is found.
constexpr int kReservedAttempts = 2;

// The order in which members are tried, highest rank first: members with fewer tries of this request, then
// unknown roles before replicas, members at full capacity before those that are warming up, then the newest
// position.
auto trial_rank(const RouterState& state, const PendingRequest& pending, const Member& member) {
  auto tries = std::count_if(pending.attempts.begin(), pending.attempts.end(),
                             [&](const Attempt& attempt) { return attempt.member == member.id; });
  return std::tuple(-tries, member.role.role == Role::kUnknown, capacity_share(state, member) >= 1,
                    member.replication.position);
}

// The earliest time of the next trial at a known replica. The interval doubles with each attempt.
Micros next_replica_trial(const RouterState& state, const Group& group, const PendingRequest& pending) {
  if (pending.attempts.size() < group.members.size()) return state.now;
  return pending.attempts.back().sent_at + state.spans.silence_limit * (1 << pending.attempts.size());
}

bool may_try_as_primary(RouterState& state, const Group& group, const PendingRequest& pending,
                        Member& member) {
  if (!is_usable(state, member, MemberUse::kPrimary)) return false;
  Micros time_since_response = state.now - member.liveness.last_response_at;
  if (state.probe_budget.has_surplus() &&
      time_since_response > state.spans.silence_limit * kProbeFirstSilences)
    return false;
  bool was_tried = member.role.write_tried_at != kNever;
  if (was_tried && state.now - member.role.write_tried_at < state.spans.silence_limit * kTrySilences)
    return false;
  return has_capacity(state, group, member, pending);
}

}  // namespace

void record_role(RouterState& state, Member& member, Role role, Micros as_of) {
  MemberRole& known = member.role;
  if (role == Role::kUnknown || as_of < known.as_of) return;
  if (role == Role::kPrimary && known.role != role) known.primary_since = state.now;
  known.role = role;
  known.as_of = as_of;
  state.request_decision(member);
}

Member* find_primary(const RouterState& state, const Group& group) {
  Member* newest = nullptr;
  for (Member* member : group.members) {
    if (member->role.role != Role::kPrimary) continue;
    if (!newest || member->role.as_of > newest->role.as_of) newest = member;
  }
  if (!newest || !is_usable(state, *newest, MemberUse::kPrimary)) return nullptr;
  return newest;
}

Member* select_primary_trial(RouterState& state, const Group& group, const PendingRequest& pending) {
  bool is_read = pending.request_class->level == ReadLevel::kFresh;
  if (is_read && state.settings.lag_check == LagCheck::kOff) return nullptr;
  if (!has_attempts_left(state, pending, kReservedAttempts)) return nullptr;
  if (group.members.empty()) return nullptr;  // all members were removed from the list and dropped
  Micros next_trial_at = next_replica_trial(state, group, pending);
  Member* best = nullptr;
  for (Member* member : group.members) {
    if (!may_try_as_primary(state, group, pending, *member)) continue;
    if (member->role.role != Role::kUnknown && state.now < next_trial_at) continue;
    if (!best || trial_rank(state, pending, *member) > trial_rank(state, pending, *best)) best = member;
  }
  if (best) best->role.write_tried_at = state.now;
  return best;
}

void discover_primary(RouterState& state, Group& group) {
  PrimarySearch& search = group.primary_search;
  bool is_first = search.started_at == kNever;
  if (!is_first && state.now - search.started_at < search.interval) return;
  // Where members do not check requests, no write is tried, so the first search may exceed the probe budget.
  if (state.settings.lag_check == LagCheck::kOff && is_first)
    state.probe_budget.grant(static_cast<double>(group.members.size()));
  search.started_at = state.now;
  search.interval = std::min(search.interval * 2, state.spans.silence_limit * kMaxSearchIntervalSilences);
  for (Member* member : group.members) {
    if (!may_use(state, *member, MemberUse::kPrimary)) continue;
    bool is_due = state.now - member->probing.last_sent_at > member->probing.interval;
    if (!member->liveness.is_unresponsive() || is_due) send_probe(state, *member);
  }
}

void end_primary_search(const RouterState& state, Group& group) {
  group.primary_search.interval = state.spans.silence_limit;
}

}  // namespace request_router::internal
