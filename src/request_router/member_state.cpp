#include "member_state.h"

#include <algorithm>
#include <map>
#include <set>

#include "router_state.h"

namespace request_router::internal {
namespace {

// Divisor of the drain grace period: a draining primary still receives requests during the resulting part.
// Half of the guaranteed period, so that the last requests sent have the other half to complete.
constexpr int kDrainGraceDivisor = 2;

void initialize_member(RouterState& state, Member& member, const MemberEntry& entry) {
  member.id = entry.member;
  member.group = entry.group;
  member.preference_order = state.deterministic_fraction(0, member.id);
  member.latency.average.assign(state.settings.classes.size(), 0.0);
  member.probing.interval = state.spans.silence_limit;
  member.concurrency.limit = initial_concurrency_limit(state.settings);
  state.groups[entry.group].members.push_back(&member);
  // The listed role is a hint and counts as older than any reported role, so it has no timestamp.
  if (state.settings.list_role != ListRole::kOff && entry.primary) member.role.role = Role::kPrimary;
}

// Records the start of the member's process. A role that was reported before the start is no longer valid.
void record_start(Member& member, Micros started_at) {
  if (started_at <= member.started_at) return;
  bool is_claimed = member.role.as_of != kNever;
  if (is_claimed && member.role.as_of < started_at) member.role.role = Role::kUnknown;
  member.started_at = started_at;
}

// Records the listed condition. `notified_at` applies to conditions other than ready; the earliest
// notification since the member was last ready counts.
void record_condition(RouterState& state, Member& member, Condition condition, Micros notified_at) {
  bool was_draining = condition != Condition::kReady && member.observed_draining;
  member.observed_draining = condition == Condition::kDraining || was_draining;
  if (condition == Condition::kReady)
    member.notified_at = kNever;
  else if (member.notified_at == kNever || notified_at < member.notified_at)
    member.notified_at = notified_at;
  member.condition = condition;
  state.request_decision(member);
}

bool may_forget(const RouterState& state, const Member& member) {
  if (state.settings.removal_not_binding || member.condition != Condition::kGone) return false;
  if (state.now - member.notified_at < state.spans.observation_half_life) return false;
  return !member.is_watched && member.in_flight.empty() && member.probing.sent_at == kNever;
}

void forget_gone_members(RouterState& state) {
  std::erase_if(state.members, [&](auto& entry) {
    const Member& member = entry.second;
    if (!may_forget(state, member)) return false;
    std::erase(state.groups[member.group].members, &member);
    return true;
  });
}

}  // namespace

bool may_use(const RouterState& state, const Member& member, MemberUse use) {
  if (member.condition == Condition::kReady) return true;
  if (member.condition == Condition::kGone)
    return state.settings.removal_not_binding && !member.observed_draining;
  return use == MemberUse::kPrimary &&
         state.now - member.notified_at < state.settings.drain_grace / kDrainGraceDivisor;
}

void on_member_list(RouterState& state, const MemberList& list) {
  if (list.kind == ListKind::kFailed) {
    state.subscribed = false;
    return;
  }
  std::set<MemberId> named;
  for (const auto& entry : list.entries) {
    named.insert(entry.member);
    auto [position, is_new] = state.members.try_emplace(entry.member);
    Member& member = position->second;
    if (is_new) initialize_member(state, member, entry);
    member.zone = entry.zone;
    member.same_zone = entry.zone == state.settings.zone;
    record_start(member, entry.started_at);
    record_condition(state, member, entry.condition,
                     std::min(entry.notified_at.value_or(state.now), state.now));
  }
  if (list.kind != ListKind::kDelta)
    for (auto& [id, member] : state.members)
      if (!named.contains(id)) record_condition(state, member, Condition::kGone, state.now);
  forget_gone_members(state);
}

void record_report(RouterState& state, Member& member, const Report& report) {
  if (report.in_flight) record_request_count(member, *report.in_flight, state.now);
  if (report.position) record_reported_position(state, member, *report.position);
  if (report.primary) {
    Role role = *report.primary ? Role::kPrimary : Role::kReplica;
    record_role(state, member, role, report.position.value_or(member.role.as_of));
  }
}

}  // namespace request_router::internal
