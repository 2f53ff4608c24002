// Many routers side by side in simulated time, before one small model of the members: what they do together
// is counted. No randomness but from the seed. Shared by the tests of large deployments.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>

#include "request_router/support.h"

namespace request_router::test {

// A member as it is, whatever the routers know of it.
struct FleetMember {
  GroupId group = 0;
  bool primary = false, up = true;
  double errors = 0;  // share of requests that fail at once
  Micros started_at{0};
  Micros lag = 10ms, work = 8ms;
};

// Routers, members and the requests between them.
class Fleet {
 public:
  struct Count {
    int sends = 0, probes = 0, served = 0, declined = 0, failed = 0, unreachable = 0;
  };

  Fleet(Settings settings, int routers, int groups, int each, std::uint64_t seed)
      : settings_(std::move(settings)), random_(seed), routers_(routers) {
    settings_.routers = routers;
    MemberId id = 1;
    for (int group = 0; group < groups; ++group)
      for (int i = 0; i < each; ++i) {
        FleetMember member;
        member.group = group;
        member.primary = i == static_cast<int>(random_() % static_cast<unsigned>(each));
        members[id++] = member;
      }
    for (int group = 0; group < groups; ++group) elect_primary(group);
    for (int router = 0; router < routers; ++router) start(router);
  }

  // Forgets all that router `r` knew; it gets the list as it is.
  void start(int router) {
    settings_.ordinal = router;
    live_[router] = std::make_unique<Router>(settings_, random_());
    ++life_[router];
    feed(router, make_list(ListKind::kCached, entries()));
  }
  std::vector<MemberEntry> entries() const {
    std::vector<MemberEntry> all;
    for (auto& [id, member] : members) {
      auto listed = make_entry(id, false, Condition::kReady, member.started_at);
      listed.group = member.group;
      all.push_back(listed);
    }
    return all;
  }
  void notify_all(const MemberList& list) {
    for (int router = 0; router < routers_; ++router) feed(router, list);
  }
  void elect_primary(GroupId group) {  // exactly one member of the group is its primary
    bool has = false;
    for (auto& [id, member] : members)
      if (member.group == group)
        has = std::exchange(member.primary, member.primary && member.up && !has) && member.up ? true : has;
    for (auto& [id, member] : members)
      if (member.group == group && member.up && !has) has = member.primary = true;
  }

  // `requests_per_second` requests over all routers and groups, `writes` of them keyed writes, the rest
  // bounded reads.
  void load(Micros span, double requests_per_second, double writes) {
    auto until = now + span;
    std::exponential_distribution<double> gap(requests_per_second / 1e6);
    for (auto at = now + micros(gap(random_)); at < until; at += micros(gap(random_))) {
      auto router = static_cast<int>(random_() % static_cast<unsigned>(routers_));
      auto request_class = chance() < writes ? kKeyedWrite : kBounded;
      Request request = make_request(++last_, request_class, at + settings_.classes[request_class].deadline);
      request.group = static_cast<GroupId>(random_() % static_cast<unsigned>(groups()));
      if (only >= 0) request.group = request.group / 3 * 3 + only;
      plan(at, router, request);
      ++requested;
    }
    run(until);
  }
  void run(Micros until) {
    while (!due_.empty() && due_.top().at <= until) {
      auto next = due_.top();
      due_.pop();
      now = next.at;
      if (next.life == life_[next.router]) feed(next.router, next.event);
    }
    now = until;
  }

  std::map<MemberId, FleetMember> members;
  std::map<MemberId, Count> counts;
  std::map<MemberId, std::vector<Micros>> arrivals;  // of sends and probes, at each member
  int most_within(MemberId id, Micros span) {        // the most that came to it in any window of that length
    auto& all = arrivals[id];
    std::size_t most = 0;
    for (std::size_t from = 0, to = 0; to < all.size(); ++to) {
      while (all[to] - all[from] >= span) ++from;
      most = std::max(most, to - from + 1);
    }
    return static_cast<int>(most);
  }
  int requested = 0, rejected = 0, failed = 0, served = 0;
  int only = -1;  // where not below 0: load comes for each third group only, from this one on
  int rejected_of(int third) const { return rejected_of_[third]; }
  Micros now = 10s;
  Count total() const {
    Count sum;
    for (auto& [id, count] : counts) {
      sum.sends += count.sends, sum.probes += count.probes, sum.served += count.served;
      sum.declined += count.declined, sum.failed += count.failed, sum.unreachable += count.unreachable;
    }
    return sum;
  }

 private:
  struct Due {
    Micros at;
    std::uint64_t order;
    int router, life;
    Event event;
    bool operator<(const Due& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  static Micros micros(double microseconds) { return Micros(static_cast<std::int64_t>(microseconds)); }
  double chance() { return std::uniform_real_distribution<double>()(random_); }
  int groups() const { return static_cast<int>(members.rbegin()->second.group) + 1; }
  void plan(Micros at, int router, Event event) {
    due_.push({at, ++order_, router, life_[router], std::move(event)});
  }

  void feed(int router, const Event& event) {
    if (const auto* request = std::get_if<Request>(&event))
      classes_[request->id] = request->request_class, groups_[request->id] = request->group;
    for (auto& action : live_[router]->handle(now, {event})) {
      if (auto* send = std::get_if<Send>(&action)) answer(router, *send);
      if (auto* probe = std::get_if<Probe>(&action)) answer(router, *probe);
      if (auto* timer = std::get_if<SetTimer>(&action))
        plan(now + timer->after, router, TimerFired{timer->key});
      if (auto* reject = std::get_if<Reject>(&action)) ++rejected, ++rejected_of_[groups_.at(reject->id) % 3];
      if (std::get_if<Fail>(&action)) ++failed;
    }
  }
  void answer(int router, const Send& send) {
    auto& member = members.at(send.member);
    auto& count = counts[send.member];
    Outcome ended = make_outcome(send, attempts_[send.id]++, Status::kSuccess);
    ended.role = member.primary ? Role::kPrimary : Role::kReplica;
    ended.position = member.primary ? now : now - member.lag;
    ended.taken = micros(static_cast<double>(member.work.count()) * (0.5 + chance()));
    bool write = classes_.at(send.id) == kKeyedWrite;
    ++count.sends;
    arrivals[send.member].push_back(now);
    if (!member.up) {
      ended.status = Status::kUnreachable, ended.taken = 1ms, ended.role = Role::kUnknown,
      ended.position.reset(), ++count.unreachable;
    } else if ((write && !member.primary) ||
               (!write && !member.primary && member.lag > settings_.classes[kBounded].bound)) {
      ended.status = Status::kDeclined, ended.taken = 1ms, ++count.declined;
    } else if (chance() < member.errors) {
      ended.status = Status::kFailure, ended.taken = 1ms, ++count.failed;
    } else {
      ++count.served, ++served;
    }
    ended.closed = ended.status == Status::kSuccess;
    plan(now + ended.taken, router, ended);
  }
  void answer(int router, const Probe& probe) {
    auto& member = members.at(probe.member);
    ++counts[probe.member].probes;
    arrivals[probe.member].push_back(now);
    auto result = make_probe_result(probe.member, member.primary ? now : now - member.lag, member.primary);
    result.ok = member.up;
    plan(now + 1ms, router, result);
  }

  Settings settings_;
  std::mt19937_64 random_;
  int routers_;
  std::map<int, std::unique_ptr<Router>> live_;
  std::map<int, int> life_;
  std::priority_queue<Due> due_;
  std::map<RequestId, int> attempts_;
  std::map<RequestId, std::size_t> classes_;
  std::map<RequestId, GroupId> groups_;
  int rejected_of_[3] = {0, 0, 0};
  RequestId last_ = 0;
  std::uint64_t order_ = 0;
};

}  // namespace request_router::test
