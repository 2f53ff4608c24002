// The state that the modules of the router share: the settings, the time of the batch, the tables of members,
// groups and pending requests, the state of each module, and the list of actions that is being built.
//
// Rule: only events change the state, and nothing in it reads a clock. A module changes its own part directly
// and every other part through the functions of the module that owns it.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cost.h"
#include "health_check_scheduler.h"
#include "latency_statistics.h"
#include "member_state.h"
#include "pending_request.h"
#include "replication_lag.h"
#include "request_router/router.h"
#include "retry_policy.h"
#include "slow_start.h"
#include "zone_routing.h"

namespace request_router::internal {

// Time spans that all modules share. Each is derived from the settings; none is specific to a deployment.
struct TimeSpans {
  explicit TimeSpans(const Settings& settings);

  Micros smallest_objective;     // the smallest latency objective of all classes
  Micros silence_limit;          // a member whose answer takes longer is probed
  Micros observation_half_life;  // half-life of the weight of an observed latency
  Micros tick;                   // interval between checks of attempts in flight and postponed requests
  Micros half_bound;             // half of the strictest bound on the age of data
};

// The timers that are set, and the last pause of the router itself.
struct TimerState {
  Micros wake_at{0};            // the earliest time at which a postponed read needs another decision
  Micros wake_due_at = kNever;  // when the wake timer that was set last is due
  Micros tick_due_at{0};        // when the tick timer that is set is due
  bool is_tick_set = false;     // a tick timer is set
  bool tick_fired = false;      // the tick timer fired in this batch
  Micros paused{0};             // duration of the pause of this router before the batch; 0: none

  // Requests a decision at `time`, unless an earlier one is requested already.
  void wake_no_later_than(Micros time) { wake_at = std::min(wake_at, time); }
};

// The state of a router. Members, groups and requests keep their addresses while they exist.
struct RouterState {
  RouterState(Settings router_settings, std::uint64_t router_seed);

  Settings settings;  // not changed after construction
  std::uint64_t seed;
  TimeSpans spans;
  Micros now{0};  // the time of the batch

  std::map<MemberId, Member> members;
  std::map<GroupId, Group> groups;
  std::unordered_map<RequestId, PendingRequest> pending;  // looked up by id only, never iterated
  std::vector<Group*> groups_to_decide;                   // groups to be decided in this batch
  std::vector<Group*> waiting_groups;    // groups that had postponed requests when they were last decided
  std::vector<Member*> watched_members;  // members with an attempt or a probe in flight

  // By class: the longest timeout that a client has set for an attempt.
  std::vector<Micros> longest_client_timeout;
  LatencyStatistics latency;
  SessionPositions sessions;
  ProbeBudget probe_budget;
  WorkRates work_rates;
  CancellationPolicy cancellation;
  ZoneRouting zone_routing;
  CostScratch cost_scratch;
  TimerState timers;
  bool subscribed = false;      // to member lists, where they have to be requested
  std::vector<Action> actions;  // of this batch, in order

  // A pseudo-random number from 0 to 1, fixed for this router, request and member. A fraction of requests is
  // admitted by comparing with it, so that a repeated decision has the same result and the decisions of many
  // routers are independent. Draws that concern no member use a constant from the top of the range of member
  // ids, which is named where it is used.
  double deterministic_fraction(std::uint64_t request, MemberId member) const;

  // The smoothed latency of the class at the member, in microseconds.
  double average_latency(const Member& member, std::size_t request_class) const {
    return latency.average(member.latency, request_class, now);
  }

  // The slowdown of the member: the ratio of its latencies to the usual ones, at least 1.
  double load(const Member& member) const { return latency.load(member.latency, now); }

  // Schedules the group for a decision in this batch.
  void request_decision(Group& group) {
    if (!std::exchange(group.needs_decision, true)) groups_to_decide.push_back(&group);
  }

  // Schedules the member's group for a decision in this batch.
  void request_decision(const Member& member) { request_decision(groups[member.group]); }

  // Adds the member to those that are checked on every tick while they have an attempt or a probe in flight.
  void watch(Member& member) {
    if (!std::exchange(member.is_watched, true)) watched_members.push_back(&member);
  }
};

}  // namespace request_router::internal
