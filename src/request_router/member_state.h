// The state of each member and each group, and the rules by which a member list changes it.
//
// Rule: the list names members, their zones and whether new requests may go to them (the drain rule,
// `may_use`). It never proves that a member is alive or what its role is; only answers, reports and probes
// do. A member that left the list long ago is removed from the state, so that member selection does not
// iterate over all members that ever existed.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "concurrency_limit.h"
#include "failure_detection.h"
#include "health_check_scheduler.h"
#include "latency_statistics.h"
#include "outlier_ejection.h"
#include "primary_discovery.h"
#include "replication_lag.h"
#include "request_router/router.h"
#include "time_units.h"

namespace request_router::internal {

struct RouterState;

// An attempt of this router that is in flight at a member.
struct InFlightAttempt {
  RequestId id = 0;               // of the request
  int attempt = 0;                // which of its attempts, from 0
  std::size_t request_class = 0;  // index into the settings
  Micros sent_at{0};
  bool cancelled = false;  // to be retried at another member; its outcome is still to come
};

// One member: its entry in the member list, and the part of its state that each module owns.
struct Member {
  MemberId id = 0;
  GroupId group = 0;
  std::string zone;
  bool same_zone = true;  // the same zone as this router
  Condition condition = Condition::kReady;
  bool observed_draining = false;  // the list has reported draining since it last reported ready
  Micros notified_at = kNever;     // when any process of the proxy was first notified of draining or gone
  Micros started_at{0};            // when its process started, from the list; 0: long ago
  double preference_order = 0;     // 0 to 1: this router's own order of members of about equal cost
  bool is_watched = false;         // listed in RouterState::watched_members
  std::vector<InFlightAttempt> in_flight;
  Micros last_sent_at = kNever;  // when an attempt was last sent to it
  MemberReplication replication;
  MemberRole role;
  MemberLatency latency;
  MemberConcurrency concurrency;
  MemberEjection ejection;
  MemberLiveness liveness;
  MemberProbing probing;
};

// One group: a primary and its replicas, and the requests that are postponed until one of them can serve
// them.
struct Group {
  std::vector<Member*> members;      // in the order in which the lists named them
  std::vector<RequestId> postponed;  // in the order in which they were postponed
  bool needs_decision = false;       // listed in RouterState::groups_to_decide
  bool is_waiting = false;           // listed in RouterState::waiting_groups
  PrimarySearch primary_search;
};

// The purpose for which a member is considered; the drain rule differs between the two.
enum class MemberUse { kReads, kPrimary };

// Whether new requests may go to the member. Only this function implements the drain rule. A draining primary
// still receives them for half of the drain grace period, so that it can finish handing over its role.
bool may_use(const RouterState& state, const Member& member, MemberUse use);

// Whether new requests for this use may go to the member and it is not known to be unresponsive.
inline bool is_usable(const RouterState& state, const Member& member, MemberUse use) {
  return !member.liveness.is_unresponsive() && may_use(state, member, use);
}

// Applies a member list: new members, zones, restarts and conditions. Members that the list omits are marked
// as gone, unless the list contains changes only.
void on_member_list(RouterState& state, const MemberList& list);

// Applies the load report that came with an answer or a probe.
void record_report(RouterState& state, Member& member, const Report& report);

}  // namespace request_router::internal
