#include "outlier_ejection.h"

#include <algorithm>

#include "router_state.h"

namespace request_router::internal {
namespace {

// Weight of one attempt in a member's error share. A plain ratio: about the last ten attempts count.
constexpr double kErrorSmoothing = 0.1;

// The error share above its peers' average at which a member is ejected. A difference of shares, so that
// errors that all members have alike eject none; a quarter is three errors in a row at a sound member.
constexpr double kEjectionErrorShare = 0.25;

// What an ejection leaves of the threshold as the error share: the member is neither cleared nor ejected
// again by its next error alone.
constexpr double kErrorShareAfterEjection = kEjectionErrorShare / 2;

// The shortest and the longest ejection, in silences: half of the smallest latency objective, and four of it.
constexpr int kShortestEjection = 4;
constexpr int kLongestEjection = 32;

// An ejection lasts from half to one and a half of its nominal length, by the router's own order of members:
// routers that eject a member together do not return to it together.
constexpr double kLeastEjectionFraction = 0.5;

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

void record_failure(RouterState& state, Member& member, const PendingRequest& pending,
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
      std::clamp(ejection.ejected_for * 2, silence * kShortestEjection, silence * kLongestEjection);
  ejection.ejected_until =
      state.now + scale(ejection.ejected_for, kLeastEjectionFraction + member.preference_order);
}

}  // namespace request_router::internal
