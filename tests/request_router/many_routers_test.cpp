// Tests of effects that are harmless in one router but not in many: 100 routers and 54 members in simulated
// time.
#include "request_router/many_routers.h"

#include <set>

namespace request_router::test {
namespace {

constexpr std::uint64_t kSeed = 15;  // of every simulation in this file
constexpr int kRouters = 100, kGroups = 18, kMembersPerGroup = 3;
// 15 requests per second at each router, which are less than one per second for each group.
constexpr double kRequestsPerSecond = 1500;

Settings fleet_settings() {
  Settings settings = default_settings(LagCheck::kReject);
  for (auto& request_class : settings.classes) {
    request_class.latency_objective = 150ms;
    request_class.deadline = 700ms;
  }
  settings.classes[kKeyedWrite].latency_objective = 360ms;
  settings.classes[kKeyedWrite].deadline = 1700ms;
  settings.classes[kKeyedWrite].key_window = 5s;
  settings.list_role = ListRole::kOff;
  settings.max_attempts = 8;
  settings.probe_fee = 0.08;
  return settings;
}
struct HundredRouters : ::testing::Test {
  HundredRouters() { RecordProperty("seed", static_cast<int>(kSeed)); }
  Fleet fleet{fleet_settings(), kRouters, kGroups, kMembersPerGroup, kSeed};
};

// Guards against a burst of probes at start: each router probed every member of a group whose primary it did
// not know, which came to 3.7 probes per request.
TEST_F(HundredRouters, RoutersThatStartTogetherLearnRolesFromAnswersRatherThanProbes) {
  fleet.run_load(1s, kRequestsPerSecond, 0.2);
  auto first = fleet.total();
  EXPECT_LT(first.probes, fleet.requested / 5);
  for (auto& [id, count] : fleet.counts)
    EXPECT_LT(count.probes, 25) << "on member " << id << " in its first second";
  fleet.run_load(4s, kRequestsPerSecond, 0.2);
  fleet.run(fleet.now + 2s);
  EXPECT_LT(fleet.total().probes, fleet.requested / 8);
  EXPECT_GT(fleet.served, fleet.requested * 97 / 100);
}

// Guards against useless probes: an outdated list contains removed members, which never answer.
TEST_F(HundredRouters, UnresponsiveMembersAreProbedAtALimitedRate) {
  fleet.run_load(2s, kRequestsPerSecond, 0.2);
  auto before = fleet.total();
  int requested = fleet.requested;
  for (auto& [id, member] : fleet.members)
    if (member.group % 2 == 0) member.up = false;
  fleet.run_load(3s, kRequestsPerSecond, 0.2);
  EXPECT_LT(fleet.total().probes - before.probes, (fleet.requested - requested) / 6);
}

// Guards against ever lower admission while most members warm up: each router admitted too little, counted
// the requests that it had rejected as a decrease of its work, and admitted even less. All routers together
// must still send less than overloads a member.
TEST_F(HundredRouters, MembersThatAllWarmUpAtOnceAreUsedAndNotOverloaded) {
  fleet.run_load(3s, kRequestsPerSecond, 0.2);
  for (auto& [id, member] : fleet.members) member.started_at = fleet.now;
  fleet.notify_all(make_list(ListKind::kFull, fleet.entries()));
  int served = fleet.served, requested = fleet.requested;
  fleet.run_load(3s, kRequestsPerSecond, 0.2);  // the capacity share rises from 0.25 to 0.48
  EXPECT_GT(fleet.served - served, (fleet.requested - requested) * 4 / 10);
  // A warm member serves at most half of a group's reads and all its writes, which is 0.7 of its capacity.
  double warm = kRequestsPerSecond / kGroups * (0.8 / 2 + 0.2), window = 2, share = 0.25 + 0.75 * 0.3;
  for (auto& [id, member] : fleet.members) {
    auto& all = fleet.arrivals[id];
    all.erase(all.begin(), std::lower_bound(all.begin(), all.end(), member.started_at));
    EXPECT_LT(fleet.max_arrivals_within(id, 2s), warm / 0.7 * window * share * 3) << id;
  }
}

// Guards against losing the writes during an election: a write used up all its six attempts within 0.1 s.
TEST_F(HundredRouters, MostWritesSurviveAnElection) {
  fleet.run_load(3s, kRequestsPerSecond, 0.2);
  for (auto& [id, member] : fleet.members) member.primary = false;
  int served = fleet.served, requested = fleet.requested;
  fleet.run_load(400ms, kRequestsPerSecond, 1);
  for (GroupId group = 0; group < kGroups; ++group) fleet.elect_primary(group);
  fleet.run(fleet.now + 3s);
  EXPECT_GT(fleet.served - served, (fleet.requested - requested) * 6 / 10);
}

// Guards against rejections in healthy groups: because of one overloaded group, every router rejected part of
// the requests for all other groups, about each of which it has little information.
TEST_F(HundredRouters, SlowGroupsCauseNoRejectionsInOthers) {
  for (auto& [id, member] : fleet.members)
    member.service_time = member.group % 3 == 0 ? 400ms : 8ms;  // over the latency objective of 150 ms
  fleet.run_load(4s, kRequestsPerSecond, 0.2);
  int rejected = fleet.rejected_in_third(1), requested = fleet.requested;
  fleet.loaded_third = 1;  // groups 1, 4, 7, ...
  fleet.run_load(1s, kRequestsPerSecond / 3, 0.2);
  EXPECT_LT(fleet.rejected_in_third(1) - rejected, (fleet.requested - requested) / 50);
}

// Guards against synchronized retries: if requests that are rejected at the same time had the same
// Retry-After, all of them would be retried at the same time.
TEST(Rejections, RetryAfterTimesDiffer) {
  auto settings = fleet_settings();
  Router router(settings, kSeed);
  auto listed = make_entry(1);
  std::set<Micros> times;
  router.handle(10s, {make_list(ListKind::kFull, {listed})});
  for (RequestId id = 1; id <= 20; ++id) {
    auto request = make_request(id, kBounded, 10s + 700ms);
    request.group = 99;  // an unknown group, so it is rejected at once
    for (auto& reject : actions_of<Reject>(router.handle(10s, {request}))) times.insert(reject.retry_after);
  }
  EXPECT_GT(times.size(), 15U);
  for (auto time : times) {
    EXPECT_GE(time, 37ms);
    EXPECT_LE(time, 113ms);
  }
}

}  // namespace
}  // namespace request_router::test
