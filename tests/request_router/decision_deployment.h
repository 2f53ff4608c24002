// The simulated deployment behind the fingerprints of the decision module: members that fail, lag, restart
// and change roles, and what the router is notified of them.
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

constexpr Micros kSimulationStart =
    std::chrono::seconds(100);  // of the simulated clock: member starts lie before it

// How a member answers: as it should, with refused connections, not at all.
enum class Health { kUp, kRefusing, kUnresponsive };

// A member as it is, whatever the member list says.
struct SimulatedMember {
  MemberEntry entry;   // as the member list describes it
  bool listed = true;  // a removed member is in no list, but may still answer
  bool permanent =
      false;             // one of each group is never removed: a router must not know a group without members
  bool primary = false;  // as it is, whatever the list says
  Health health = Health::kUp;
  Micros lag{10000}, service_time{5000}, report_interval{20000};
  std::int64_t capacity = 8, in_flight = 0;
  std::int64_t failure_permille = 0, broken_permille = 0, lost_permille = 0,
               not_started_permille = 0;  // of 1000 attempts
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

// Work of the simulation itself, which may produce events for the router.
enum class Task { kNone, kCreateRequests, kChangeDeployment, kSendList };

// What happens at a time; of equal times, in the order in which it was planned.
struct ScheduledItem {
  Micros at;
  std::uint64_t sequence;
  Task task;
  Event event;
  bool operator<(const ScheduledItem& other) const {
    return at != other.at ? at > other.at : sequence > other.sequence;
  }
};

// The members and all that is planned to happen, by the simulated clock.
class SimulatedDeployment {
 protected:
  SimulatedDeployment(std::uint64_t random_seed, bool long_run) : random_(random_seed), long_run_(long_run) {}

  void draw_deployment();
  SimulatedMember& add_member(GroupId group, bool primary);
  void schedule(Micros at, Task task);
  void schedule(Micros at, Event event);
  Micros position(const SimulatedMember& member) const;
  // Members renew their reports now and then: one is as old as its last renewal.
  Report report(MemberId id);
  MemberList full_list(ListKind kind);
  MemberEntry listed_entry(SimulatedMember& member);
  MemberList next_list();
  void schedule_list_update(SimulatedMember& member);
  SimulatedMember& random_member();
  void change_deployment(std::vector<Event>& batch);
  void set_condition(SimulatedMember& member);
  void restore(SimulatedMember& member);
  void restart(SimulatedMember& member);
  // For a while the group may have no primary at all, or its old one does not know that it no longer leads.
  void fail_over(GroupId group);
  void join_or_remove(SimulatedMember& member);
  void set_health(SimulatedMember& member);
  void set_lags(GroupId group);
  void set_behaviour(SimulatedMember& member);
  // Shares that add up to 1 leave nothing out; others make the router reject the rest at once.
  Plan new_plan();
  // Of a request that the router never had, or at a member that it does not know.
  Outcome stray_outcome(SimulatedMember& member);

  Generator random_;
  bool long_run_;
  Settings settings_;
  Micros now_ = kSimulationStart;
  std::priority_queue<ScheduledItem> scheduled_;
  std::uint64_t last_sequence_ = 0;
  std::int64_t groups_ = 1, zones_ = 1;
  std::int64_t request_interval_percent_ = 100;  // of 100: the gap between requests against its mean
  Micros mean_request_interval_{0}, mean_change_interval_{0};
  std::map<MemberId, SimulatedMember> members_;
  std::set<MemberId> changed_members_;  // since the last delta list
  MemberId last_member_ = 0;
  RequestId last_request_ = 0;
};

}  // namespace request_router::test
