// Tests of zone routing: to which zones reads are sent according to the placement plan.
#include <map>
#include <set>
#include <string>

#include "request_router/support.h"

namespace request_router::test {
namespace {

// A group with its primary in zone a and two replicas in each of the zones a, b and c. The router is in zone
// a.
struct ThreeZones : ::testing::Test {
  ThreeZones() : router(zone_settings(), 7) {
    std::vector<MemberEntry> entries;
    for (MemberId member = 1; member <= 7; ++member) {
      auto listed = make_entry(member, member == 1);
      listed.zone = zone_of(member);
      entries.push_back(listed);
    }
    router.handle(10s, {make_list(ListKind::kFull, entries)});
  }
  static Settings zone_settings() {
    Settings settings = default_settings();
    settings.zone = "a";
    settings.classes[kAny].priority_weight = 1;
    settings.classes[kBounded].priority_weight = 5;
    return settings;
  }
  static std::string zone_of(MemberId member) { return member <= 3 ? "a" : member <= 5 ? "b" : "c"; }
  void apply_plan(std::vector<ZoneShare> shares) { router.handle(now, {Plan{{{1, std::move(shares)}}}}); }
  void answer_probes(Micros at) {
    for (MemberId member = 1; member <= 7; ++member)
      router.handle(at, {make_probe_result(member, at - 5ms, member == 1)});
  }
  // Sends `count` reads, each of which is answered at once. Returns the number of attempts by zone, and under
  // "" the number of rejections.
  std::map<std::string, int> send_reads(int count, Class request_class,
                                        const std::set<std::string>& unreachable_zones = {}) {
    std::map<std::string, int> sent_by_zone;
    for (int i = 0; i < count; ++i) {
      now += 5ms;
      if (i % 20 == 0) answer_probes(now);
      auto actions = router.handle(now, {make_request(next_id++, request_class, now + 2s)});
      sent_by_zone[""] += static_cast<int>(actions_of<Reject>(actions).size());
      for (auto& send : actions_of<Send>(actions)) {
        ++sent_by_zone[zone_of(send.member)];
        auto status = unreachable_zones.count(zone_of(send.member)) ? Status::kUnreachable : Status::kSuccess;
        for (auto& again : actions_of<Send>(router.handle(now + 1ms, {make_outcome(send, 0, status)}))) {
          ++sent_by_zone[zone_of(again.member)];
          router.handle(now + 2ms, {make_outcome(again, 1, Status::kSuccess)});
        }
      }
    }
    return sent_by_zone;
  }
  Router router;
  Micros now = 10s + 5ms;
  RequestId next_id = 1;
};

TEST_F(ThreeZones, ReadsGoToTheZonesOfThePlanInTheirShares) {
  apply_plan({{"a", 0.25, 0}, {"b", 0.75, 0}});
  auto sent_by_zone = send_reads(800, kBounded);
  EXPECT_NEAR(sent_by_zone["a"], 200, 60);
  EXPECT_NEAR(sent_by_zone["b"], 600, 60);
  EXPECT_EQ(sent_by_zone["c"], 0);  // has no share in the plan
  EXPECT_EQ(sent_by_zone[""], 0);
  apply_plan({{"c", 1, 0}});  // a new plan replaces the previous one completely
  sent_by_zone = send_reads(100, kBounded);
  EXPECT_EQ(sent_by_zone["c"], 100);
  router.handle(now, {Plan{}});  // without a plan, members in the router's own zone are preferred
  sent_by_zone = send_reads(100, kBounded);
  EXPECT_GT(sent_by_zone["a"], 50);
  EXPECT_EQ(sent_by_zone[""], 0);
}

TEST_F(ThreeZones, APlanAppliesToReadsOnlyAndNeverCausesStaleReads) {
  apply_plan({{"c", 1, 0}});
  answer_probes(now);
  auto sends = actions_of<Send>(
      router.handle(now + 5ms, {make_request(9001, kWrite, 12s), make_request(9002, kFresh, 12s)}));
  ASSERT_EQ(sends.size(), 2U);
  EXPECT_EQ(sends[0].member, 1U);  // the primary, in whichever zone it is
  EXPECT_EQ(sends[1].member, 1U);
  // The replicas in zone c lag by 2 s. The read waits for them although those in zones a and b are fresh.
  auto then = now + 1s;
  for (MemberId member = 1; member <= 7; ++member)
    router.handle(then, {make_probe_result(member, member >= 6 ? then - 2s : then, member == 1)});
  EXPECT_TRUE(actions_of<Send>(router.handle(then + 5ms, {make_request(9003, kBounded, then + 2s)})).empty());
  auto late = actions_of<Send>(router.handle(then + 20ms, {make_probe_result(7, then + 10ms, false)}));
  ASSERT_EQ(late.size(), 1U);
  EXPECT_EQ(late[0].member, 7U);
}

TEST_F(ThreeZones, ReadsBeyondAllSharesAreRejectedLowestPriorityFirst) {
  apply_plan({{"a", 0.4, 0}, {"b", 0.2, 0}});
  int rejected_low_priority = 0, rejected_high_priority = 0;
  for (int i = 0; i < 600; ++i) {
    (i % 2 ? rejected_high_priority : rejected_low_priority) += send_reads(1, i % 2 ? kBounded : kAny)[""];
    if (i == 199)
      rejected_low_priority = rejected_high_priority = 0;  // the router has measured the mix of classes
  }
  EXPECT_NEAR(rejected_low_priority, 160,
              30);  // the plan leaves out 0.4 of all reads, which is 0.8 of the low-priority ones
  EXPECT_EQ(rejected_high_priority, 0);
}

TEST_F(ThreeZones, WhenTheirZoneFailsReadsUseSurplusCapacityOfAnotherZone) {
  apply_plan({{"a", 1, 0}, {"b", 0, 0.3}});
  auto sent_by_zone = send_reads(600, kBounded, {"a"});
  EXPECT_NEAR(sent_by_zone["b"], 180, 50);
  EXPECT_EQ(sent_by_zone["c"], 0);
}

TEST_F(ThreeZones, SurplusCapacityIsWhatTheLimitLeaves) {
  answer_probes(now);
  auto before = router.surplus_capacity(4);
  EXPECT_GT(before, 0);
  apply_plan({{"b", 1, 0}});
  for (int i = 0; i < 4; ++i) router.handle(now, {make_request(next_id++, kBounded, now + 2s)});
  EXPECT_LT(router.surplus_capacity(4) + router.surplus_capacity(5), 2 * before);
  EXPECT_EQ(router.surplus_capacity(99), 0);
}

}  // namespace
}  // namespace request_router::test
