// The simulated deployment for the fingerprints of the decision module: members that fail, lag, restart and
// change roles, and the notifications that the router receives about them.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <queue>
#include <set>
#include <vector>

#include "decision_settings.h"
#include "request_router/router.h"

namespace request_router::test {

// The initial time of the simulated clock. It leaves room for members that were started earlier.
constexpr Micros kSimulationStart = std::chrono::seconds(100);

// The reachability of a member: it answers normally, refuses connections, or does not answer.
enum class Health { kUp, kRefusing, kUnresponsive };

// The actual state of a member, which the member list may not reflect.
struct SimulatedMember {
  MemberEntry entry;   // its entry in the member list
  bool listed = true;  // a removed member is in no list but may still answer
  // One member of each group is never removed, as a router must not know a group without members.
  bool permanent = false;
  bool primary = false;  // the actual role, whatever the list contains
  Health health = Health::kUp;
  Micros lag{10000}, service_time{5000}, report_interval{20000};
  std::int64_t capacity = 8, in_flight = 0;
  // The numbers of attempts in 1000 that fail, whose connection breaks, that are lost, and that do not start.
  std::int64_t failure_permille = 0, broken_permille = 0, lost_permille = 0, not_started_permille = 0;
};

// A request of a simulated client.
struct SimulatedRequest {
  std::size_t request_class = 0;
  GroupId group = 0;
  int attempts = 0;
  Micros expires{0};
  bool client_is_gone = false;
};

// An attempt in flight.
struct SimulatedAttempt {
  MemberId member = 0;
  Micros sent_at{0};
};

// A task of the simulation itself, which may produce events for the router.
enum class Task { kNone, kCreateRequests, kChangeDeployment, kSendList };

// A task or event that is scheduled for a time. Items of equal times are run in the order of scheduling.
struct ScheduledItem {
  Micros at;
  std::uint64_t sequence;
  Task task;
  Event event;
  bool operator<(const ScheduledItem& other) const {
    return at != other.at ? at > other.at : sequence > other.sequence;
  }
};

// The members, and the scheduled tasks and events on the simulated clock.
class SimulatedDeployment {
 protected:
  SimulatedDeployment(std::uint64_t random_seed, bool long_run) : random_(random_seed), long_run_(long_run) {}

  void draw_deployment();
  SimulatedMember& add_member(GroupId group, bool primary);
  void schedule(Micros at, Task task);
  void schedule(Micros at, Event event);
  Micros position(const SimulatedMember& member) const;
  // Returns a load report of the member. Members refresh their reports periodically, so its position may be
  // as old as the last refresh.
  Report report(MemberId id);
  // Returns a list of all listed members.
  MemberList full_list(ListKind kind);
  MemberEntry listed_entry(SimulatedMember& member);
  // Returns the next list to deliver: a failed call, a full or cached list, or a delta.
  MemberList next_list();
  // Schedules the delivery of a list that includes the changed member.
  void schedule_list_update(SimulatedMember& member);
  SimulatedMember& random_member();
  // Applies one random change; events that it causes at once are added to the batch.
  void change_deployment(std::vector<Event>& batch);
  void set_condition(SimulatedMember& member);
  void restore(SimulatedMember& member);
  void restart(SimulatedMember& member);
  // Makes another member the primary. The group may stay without a primary for a while, or the old primary
  // may still claim the role.
  void fail_over(GroupId group);
  void join_or_remove(SimulatedMember& member);
  void set_health(SimulatedMember& member);
  void set_lags(GroupId group);
  void set_behaviour(SimulatedMember& member);
  // Returns a random plan. Where the shares of a group add up to less than 1, the router rejects the
  // remaining reads at once.
  Plan new_plan();
  // Returns the outcome of a request that the router never received, possibly at a member it does not know.
  Outcome stray_outcome(SimulatedMember& member);

  Generator random_;
  bool long_run_;
  Settings settings_;
  Micros now_ = kSimulationStart;
  std::priority_queue<ScheduledItem> scheduled_;
  std::uint64_t last_sequence_ = 0;
  std::int64_t groups_ = 1, zones_ = 1;
  std::int64_t request_interval_percent_ = 100;  // interval between requests, in percent of its mean
  Micros mean_request_interval_{0}, mean_change_interval_{0};
  std::map<MemberId, SimulatedMember> members_;
  std::set<MemberId> changed_members_;  // since the last delta list
  MemberId last_member_ = 0;
  RequestId last_request_ = 0;
};

}  // namespace request_router::test
