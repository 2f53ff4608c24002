// A simulation of many routers that share a small model of the members, in simulated time. It counts the
// combined effect of the routers. All randomness comes from the seed. Shared by the tests of large
// deployments.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>

#include "request_router/support.h"

namespace request_router::test {

// The actual state of a member, which may differ from what the routers know.
struct FleetMember {
  GroupId group = 0;
  bool primary = false, up = true;
  double error_rate = 0;  // fraction of the requests that fail at once
  Micros started_at{0};
  Micros lag = 10ms, service_time = 8ms;
};

// The routers, the members, and the requests between them.
class Fleet {
 public:
  // Attempts and probes at one member, and how the attempts ended.
  struct Counts {
    int sends = 0, probes = 0, served = 0, declined = 0, failed = 0, unreachable = 0;
  };

  Fleet(Settings settings, int routers, int groups, int members_per_group, std::uint64_t seed)
      : settings_(std::move(settings)), random_(seed), router_count_(routers) {
    settings_.routers = routers;
    MemberId id = 1;
    for (int group = 0; group < groups; ++group)
      for (int i = 0; i < members_per_group; ++i) {
        FleetMember member;
        member.group = group;
        member.primary = i == static_cast<int>(random_() % static_cast<unsigned>(members_per_group));
        members[id++] = member;
      }
    for (int group = 0; group < groups; ++group) elect_primary(group);
    for (int router = 0; router < routers; ++router) start_router(router);
  }

  // Starts or restarts a router without state and delivers the current member list to it.
  void start_router(int router) {
    settings_.ordinal = router;
    live_routers_[router] = std::make_unique<Router>(settings_, random_());
    ++incarnations_[router];
    deliver(router, make_list(ListKind::kCached, entries()));
  }
  // Returns the entries of the current member list.
  std::vector<MemberEntry> entries() const {
    std::vector<MemberEntry> all;
    for (auto& [id, member] : members) {
      auto listed = make_entry(id, false, Condition::kReady, member.started_at);
      listed.group = member.group;
      all.push_back(listed);
    }
    return all;
  }
  // Delivers the list to every router.
  void notify_all(const MemberList& list) {
    for (int router = 0; router < router_count_; ++router) deliver(router, list);
  }
  // Makes exactly one running member of the group its primary, a present primary if there is one.
  void elect_primary(GroupId group) {
    bool has_primary = false;
    for (auto& [id, member] : members)
      if (member.group == group)
        has_primary = std::exchange(member.primary, member.primary && member.up && !has_primary) && member.up
                          ? true
                          : has_primary;
    for (auto& [id, member] : members)
      if (member.group == group && member.up && !has_primary) has_primary = member.primary = true;
  }

  // Runs for `span` with random requests at the given rate over all routers and groups. The fraction `writes`
  // of them are keyed writes, the rest bounded reads.
  void run_load(Micros span, double requests_per_second, double writes) {
    auto until = now + span;
    std::exponential_distribution<double> gap(requests_per_second / 1e6);
    for (auto at = now + micros(gap(random_)); at < until; at += micros(gap(random_))) {
      auto router = static_cast<int>(random_() % static_cast<unsigned>(router_count_));
      auto request_class = uniform() < writes ? kKeyedWrite : kBounded;
      Request request =
          make_request(++last_request_, request_class, at + settings_.classes[request_class].deadline);
      request.group = static_cast<GroupId>(random_() % static_cast<unsigned>(groups()));
      if (loaded_third >= 0) request.group = request.group / 3 * 3 + loaded_third;
      schedule(at, router, request);
      ++requested;
    }
    run(until);
  }
  // Delivers the scheduled events up to the given time.
  void run(Micros until) {
    while (!scheduled_.empty() && scheduled_.top().at <= until) {
      auto next = scheduled_.top();
      scheduled_.pop();
      now = next.at;
      if (next.incarnation == incarnations_[next.router]) deliver(next.router, next.event);
    }
    now = until;
  }

  std::map<MemberId, FleetMember> members;
  std::map<MemberId, Counts> counts;
  std::map<MemberId, std::vector<Micros>> arrivals;  // times of attempts and probes, by member
  // Returns the largest number of attempts and probes that the member received in any window of this length.
  int max_arrivals_within(MemberId id, Micros span) {
    auto& all = arrivals[id];
    std::size_t most = 0;
    for (std::size_t from = 0, to = 0; to < all.size(); ++to) {
      while (all[to] - all[from] >= span) ++from;
      most = std::max(most, to - from + 1);
    }
    return static_cast<int>(most);
  }
  int requested = 0, rejected = 0, failed = 0, served = 0;
  // Unless negative, requests go only to every third group: those whose id modulo 3 is this number.
  int loaded_third = -1;
  // Returns the number of rejections in the groups whose id modulo 3 is `third`.
  int rejected_in_third(int third) const { return rejected_by_third_[third]; }
  Micros now = 10s;
  Counts total() const {
    Counts sum;
    for (auto& [id, count] : counts) {
      sum.sends += count.sends, sum.probes += count.probes, sum.served += count.served;
      sum.declined += count.declined, sum.failed += count.failed, sum.unreachable += count.unreachable;
    }
    return sum;
  }

 private:
  // An event for one start of a router. It is dropped if the router has been restarted since.
  struct ScheduledEvent {
    Micros at;
    std::uint64_t sequence;
    int router, incarnation;
    Event event;
    bool operator<(const ScheduledEvent& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };
  static Micros micros(double microseconds) { return Micros(static_cast<std::int64_t>(microseconds)); }
  double uniform() { return std::uniform_real_distribution<double>()(random_); }
  int groups() const { return static_cast<int>(members.rbegin()->second.group) + 1; }
  void schedule(Micros at, int router, Event event) {
    scheduled_.push({at, ++last_sequence_, router, incarnations_[router], std::move(event)});
  }

  void deliver(int router, const Event& event) {
    if (const auto* request = std::get_if<Request>(&event))
      request_classes_[request->id] = request->request_class, request_groups_[request->id] = request->group;
    for (auto& action : live_routers_[router]->handle(now, {event})) {
      if (auto* send = std::get_if<Send>(&action)) answer(router, *send);
      if (auto* probe = std::get_if<Probe>(&action)) answer(router, *probe);
      if (auto* timer = std::get_if<SetTimer>(&action))
        schedule(now + timer->after, router, TimerFired{timer->key});
      if (auto* reject = std::get_if<Reject>(&action))
        ++rejected, ++rejected_by_third_[request_groups_.at(reject->id) % 3];
      if (std::get_if<Fail>(&action)) ++failed;
    }
  }
  void answer(int router, const Send& send) {
    auto& member = members.at(send.member);
    auto& count = counts[send.member];
    Outcome outcome = make_outcome(send, attempts_[send.id]++, Status::kSuccess);
    outcome.role = member.primary ? Role::kPrimary : Role::kReplica;
    outcome.position = member.primary ? now : now - member.lag;
    outcome.taken = micros(static_cast<double>(member.service_time.count()) * (0.5 + uniform()));
    bool write = request_classes_.at(send.id) == kKeyedWrite;
    ++count.sends;
    arrivals[send.member].push_back(now);
    if (!member.up) {
      outcome.status = Status::kUnreachable, outcome.taken = 1ms, outcome.role = Role::kUnknown,
      outcome.position.reset(), ++count.unreachable;
    } else if ((write && !member.primary) ||
               (!write && !member.primary && member.lag > settings_.classes[kBounded].bound)) {
      outcome.status = Status::kDeclined, outcome.taken = 1ms, ++count.declined;
    } else if (uniform() < member.error_rate) {
      outcome.status = Status::kFailure, outcome.taken = 1ms, ++count.failed;
    } else {
      ++count.served, ++served;
    }
    outcome.closed = outcome.status == Status::kSuccess;
    schedule(now + outcome.taken, router, outcome);
  }
  void answer(int router, const Probe& probe) {
    auto& member = members.at(probe.member);
    ++counts[probe.member].probes;
    arrivals[probe.member].push_back(now);
    auto result = make_probe_result(probe.member, member.primary ? now : now - member.lag, member.primary);
    result.ok = member.up;
    schedule(now + 1ms, router, result);
  }

  Settings settings_;
  std::mt19937_64 random_;
  int router_count_;
  std::map<int, std::unique_ptr<Router>> live_routers_;
  std::map<int, int> incarnations_;
  std::priority_queue<ScheduledEvent> scheduled_;
  std::map<RequestId, int> attempts_;
  std::map<RequestId, std::size_t> request_classes_;
  std::map<RequestId, GroupId> request_groups_;
  int rejected_by_third_[3] = {0, 0, 0};
  RequestId last_request_ = 0;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace request_router::test
