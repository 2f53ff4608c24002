#include "outlier_ejection.h"

#include <algorithm>

#include "router_state.h"

namespace request_router::internal {
namespace {

// Weight of one attempt in a member's error share: about the last ten attempts count.
constexpr double kErrorSmoothing = 0.1;

// The excess of a member's error share over its peers' average at which it is ejected. A difference, so that
// errors common to all members eject none; a quarter is reached by three errors in a row at a healthy member.
constexpr double kEjectionErrorShare = 0.25;

// The error share of a member after its ejection: half of the threshold, so that its history is not discarded
// and its next error alone does not eject it again.
constexpr double kErrorShareAfterEjection = kEjectionErrorShare / 2;

// Bounds on the duration of an ejection, in silence limits: half of the smallest latency objective, and four
// times that objective.
constexpr int kMinEjectionSilences = 4;
constexpr int kMaxEjectionSilences = 32;

// The shortest actual ejection, as a fraction of the nominal duration. The router's own order of members
// varies it from a half to one and a half, so that routers that eject a member together do not return to it
// together.
constexpr double kMinEjectionFraction = 0.5;

void eject_if_outlier(RouterState& state, Member& member) {
  double peer_errors = 0;
  int peers = 0;
  for (const Member* other : state.groups[member.group].members) {
    if (other == &member || other->liveness.is_unresponsive()) continue;
    if (other->condition != Condition::kReady) continue;
    peer_errors += other->ejection.error_share;
    ++peers;
  }
  if (peers == 0 || member.ejection.error_share < peer_errors / peers + kEjectionErrorShare) return;
  back_off(state, member);
  member.ejection.error_share = kErrorShareAfterEjection;
}

void record_error(RouterState& state, Member& member) {
  member.ejection.error_share += kErrorSmoothing * (1 - member.ejection.error_share);
  if (member.role.role != Role::kPrimary) eject_if_outlier(state, member);
}

}  // namespace

void update_error_shares(RouterState& state, Member& member, const PendingRequest& pending,
                         const Outcome& outcome) {
  if (outcome.status == Status::kBroken) record_error(state, member);
  if (outcome.status != Status::kSuccess) return;
  member.ejection.error_share -= kErrorSmoothing * member.ejection.error_share;
  for (const Attempt& attempt : pending.attempts) {
    if (!attempt.has_failed || attempt.member == member.id) continue;
    auto other = state.members.find(attempt.member);
    if (other != state.members.end()) record_error(state, other->second);
  }
}

void back_off(const RouterState& state, Member& member) {
  MemberEjection& ejection = member.ejection;
  Micros silence = state.spans.silence_limit;
  ejection.ejected_for =
      std::clamp(ejection.ejected_for * 2, silence * kMinEjectionSilences, silence * kMaxEjectionSilences);
  ejection.ejected_until =
      state.now + scale(ejection.ejected_for, kMinEjectionFraction + member.preference_order);
}

}  // namespace request_router::internal
