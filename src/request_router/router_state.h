// What the modules of the router share: the settings, the time of the batch, the tables of members, groups
// and pending requests, the state of each module, and the list of actions that is being built.
//
// Rule: the state is changed by events only, and nothing in it reads a clock. A module changes its own part;
// everything else it changes through the functions of the module that owns it.
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

// Spans that all modules share. Each scales from the settings; nothing here knows a deployment.
struct TimeSpans {
  explicit TimeSpans(const Settings& settings);

  Micros smallest_objective;     // smallest latency objective of all classes
  Micros silence_limit;          // a member that is silent for longer is asked whether it is well
  Micros observation_half_life;  // after so long half of what a latency said has faded
  Micros tick;                   // how often attempts under way and postponed requests are looked at
  Micros half_bound;             // half of the strictest bound on the age of data
};

// Which timers are set, and what is known of pauses of the router itself.
struct TimerState {
  Micros wake_at{0};            // when the first postponed read wants another decision
  Micros wake_due_at = kNever;  // for when the last wake timer was set
  Micros tick_due_at{0};        // when the tick that is set is due
  bool is_tick_set = false;     // a tick is still to come
  bool tick_fired = false;      // this batch has brought it
  Micros paused{0};             // how long this router has just stood still

  // Asks for a decision at `time`, unless an earlier one is asked for.
  void wake_no_later_than(Micros time) { wake_at = std::min(wake_at, time); }
};

// Everything that a router knows. Members, groups and requests keep their addresses while they exist.
struct RouterState {
  RouterState(Settings router_settings, std::uint64_t router_seed);

  Settings settings;  // never changed once the router exists
  std::uint64_t seed;
  TimeSpans spans;
  Micros now{0};  // of the batch

  std::map<MemberId, Member> members;
  std::map<GroupId, Group> groups;
  std::unordered_map<RequestId, PendingRequest> pending;  // looked up, never iterated
  std::vector<Group*> groups_to_decide;                   // in this batch
  std::vector<Group*> waiting_groups;                     // with requests postponed when last decided
  std::vector<Member*> watched_members;                   // with attempts or a probe under way

  std::vector<Micros> longest_client_timeout;  // by class: the longest time that a client gave an attempt
  LatencyStatistics latency;
  SessionPositions sessions;
  ProbeBudget probe_budget;
  WorkRates work_rates;
  CancellationPolicy cancellation;
  ZoneRouting zone_routing;
  CostScratch cost_scratch;
  TimerState timers;
  bool subscribed = false;      // to member lists, where they have to be asked for
  std::vector<Action> actions;  // of this batch, in order

  // A number from 0 to 1 that is fixed for this router, request and member: fractions are admitted by it, so
  // that a decision taken again is the same and the fractions of many routers are independent. Draws that
  // concern no member use a member id from the top of the range, named where it is used.
  double deterministic_fraction(std::uint64_t request, MemberId member) const;

  // Smoothed latency of the class at the member, in microseconds.
  double average_latency(const Member& member, std::size_t request_class) const {
    return latency.average(member.latency, request_class, now);
  }

  // How many times slower than usual the member is; at least 1.
  double load(const Member& member) const { return latency.load(member.latency, now); }

  // Has the group decided in this batch.
  void request_decision(Group& group) {
    if (!std::exchange(group.needs_decision, true)) groups_to_decide.push_back(&group);
  }

  // Has the member's group decided in this batch.
  void request_decision(const Member& member) { request_decision(groups[member.group]); }

  // Has the member looked at on every tick, while it has an attempt or a probe under way.
  void watch(Member& member) {
    if (!std::exchange(member.is_watched, true)) watched_members.push_back(&member);
  }
};

}  // namespace request_router::internal
