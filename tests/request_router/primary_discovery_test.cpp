// Tests of primary discovery: which member is regarded as the primary, and the treatment of requests while
// none is known.
#include "request_router/support.h"

namespace request_router::test {
namespace {

TEST_F(GroupOfThree, WritesAndFreshReadsGoToThePrimary) {
  for (auto request_class : {kFresh, kWrite, kKeyedWrite}) {
    auto sends =
        actions_of<Send>(router.handle(10s + 50ms, {make_request(10 + request_class, request_class, 12s)}));
    ASSERT_EQ(sends.size(), 1U);
    EXPECT_EQ(sends[0].member, 1U);
  }
}

TEST_F(GroupOfThree, ADeclinedWriteEndsThePrimaryRoleAndTheNewPrimaryGetsTheWrite) {
  auto sends = actions_of<Send>(router.handle(10s + 50ms, {make_request(1, kWrite, 15s)}));
  ASSERT_EQ(sends.size(), 1U);
  ASSERT_EQ(sends[0].member, 1U);
  auto tried = actions_of<Send>(
      router.handle(10s + 55ms, {make_outcome(sends[0], 0, Status::kDeclined, Role::kReplica)}));
  ASSERT_EQ(tried.size(), 1U)
      << "a replica declines a write without executing it, so another member may be tried";
  ASSERT_NE(tried[0].member, 1U);
  tried = actions_of<Send>(
      router.handle(10s + 60ms, {make_outcome(tried[0], 1, Status::kDeclined, Role::kReplica)}));
  ASSERT_EQ(tried.size(), 1U);
  EXPECT_TRUE(actions_of<Send>(
                  router.handle(10s + 65ms, {make_outcome(tried[0], 2, Status::kDeclined, Role::kReplica)}))
                  .empty());
  sends = actions_of<Send>(
      router.handle(10s + 100ms, {make_probe_result(1, 10s, true), make_probe_result(3, 10s + 90ms, true)}));
  ASSERT_EQ(sends.size(), 1U) << "the claim of member 1 was observed before it declined the write";
  EXPECT_EQ(sends[0].member, 3U);
}

TEST_F(GroupOfThree, OfTwoPrimariesTheNewerClaimWins) {
  router.handle(10s + 100ms,
                {make_probe_result(2, 10s + 90ms, true), make_probe_result(1, 10s + 20ms, true)});
  auto sends = actions_of<Send>(router.handle(10s + 105ms, {make_request(1, kWrite, 15s)}));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends[0].member, 2U);
}

TEST(PrimaryDiscovery, WithoutAKnownPrimaryTheGroupIsProbedAndTheWritePostponed) {
  Settings settings = default_settings();
  settings.list_role = ListRole::kOff;
  Router router(settings, 1);
  router.handle(10s, {make_list(ListKind::kFull, {make_entry(1), make_entry(2)})});
  auto actions = router.handle(10s + 5ms, {make_request(1, kWrite, 12s)});
  EXPECT_TRUE(actions_of<Send>(actions).empty());
  EXPECT_EQ(actions_of<Probe>(actions).size(), 2U);
  auto sends = actions_of<Send>(router.handle(10s + 10ms, {make_probe_result(2, 10s + 5ms, true)}));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends[0].member, 2U);
}

// Guards against a router among hundreds never learning a role: its share of the probe budget is too small
// for that where it does not try requests at members of unknown role.
TEST(PrimaryDiscovery, WhereMembersDoNotCheckLagTheFirstSearchProbesAllMembers) {
  for (auto lag_check : {LagCheck::kOff, LagCheck::kReject}) {
    Settings settings = default_settings(lag_check);
    settings.list_role = ListRole::kOff;
    settings.routers = 300;
    Router router(settings, 1);
    std::size_t probes = 0;
    auto feed = [&](Micros at, const std::vector<Event>& events) {
      probes += actions_of<Probe>(router.handle(at, events)).size();
    };
    feed(10s, {make_list(ListKind::kFull, {make_entry(1), make_entry(2), make_entry(3), make_entry(4)})});
    feed(10s + 10ms, {make_request(1, kFresh, 12s)});
    if (lag_check == LagCheck::kOff)
      EXPECT_EQ(probes, 4U);
    else
      EXPECT_LT(probes, 4U) << "where members check lag, the budget limits the search";
    feed(10s + 20ms, {make_probe_result(1, 10s, false), make_probe_result(2, 10s, false),
                      make_probe_result(3, 10s, false), make_probe_result(4, 10s, false)});
    for (Micros at = 10s + 45ms; at < 10s + 300ms; at += 25ms) feed(at, {TimerFired{1}, TimerFired{2}});
    EXPECT_LE(probes, 8U) << "later searches stay within the budget";
  }
}

// Guards against stale answers to fresh reads while no primary is known. Such a read was tried at members of
// any role, like a write. A replica declines a write, but where members do not check lag it answers the read
// from its own data.
TEST(PrimaryDiscovery, AFreshReadIsTriedAtMembersOfUnknownRoleOnlyWhereTheyCheckLag) {
  for (auto lag_check : {LagCheck::kOff, LagCheck::kReject, LagCheck::kHold}) {
    Settings settings = default_settings(lag_check);
    settings.list_role = ListRole::kOff;
    Router router(settings, 1);
    std::vector<Send> sends;
    auto feed = [&](Micros at, const std::vector<Event>& events) {
      for (auto& send : actions_of<Send>(router.handle(at, events))) sends.push_back(send);
    };
    feed(10s, {make_list(ListKind::kFull, {make_entry(1), make_entry(2), make_entry(3)})});
    for (MemberId member = 1; member <= 3; ++member) {  // responsive, with unknown role
      ProbeResult alive;
      alive.member = member;
      alive.ok = true;
      feed(10s + 5ms, {alive});
    }
    feed(10s + 10ms, {make_request(1, kFresh, 12s)});
    for (Micros at = 10s + 35ms; at < 10s + 200ms; at += 25ms) feed(at, {TimerFired{1}, TimerFired{2}});
    EXPECT_EQ(sends.empty(), lag_check == LagCheck::kOff) << static_cast<int>(lag_check);
    if (lag_check != LagCheck::kOff) continue;
    feed(10s + 210ms, {make_probe_result(2, 10s + 200ms, true)});
    ASSERT_EQ(sends.size(), 1U) << "the primary has reported its role";
    EXPECT_EQ(sends[0].member, 2U);
  }
}

TEST(PrimaryDiscovery, AWriteToAGroupWhoseMembersAreAllForgottenWaitsForANewMember) {
  Router router(default_settings(), 1);
  router.handle(1s, {make_list(ListKind::kFull, {make_entry(1), make_entry(2)})});
  router.handle(2s, {make_list(ListKind::kFull, {})});
  router.handle(60s, {make_list(ListKind::kFull, {})});
  ASSERT_EQ(router.member_count(), 0U);
  for (auto request_class : {kWrite, kKeyedWrite, kFresh}) {
    auto actions = router.handle(60s, {make_request(1 + request_class, request_class, 62s)});
    EXPECT_TRUE(actions_of<Send>(actions).empty());
  }
  auto sends =
      actions_of<Send>(router.handle(60s + 10ms, {make_list(ListKind::kFull, {make_entry(3, true)})}));
  ASSERT_FALSE(sends.empty());
  EXPECT_EQ(sends[0].member, 3U);
}

}  // namespace
}  // namespace request_router::test
