// Tests of replica selection: to which member a read is sent, and when it is postponed.
#include <set>

#include "request_router/support.h"

namespace request_router::test {
namespace {

TEST_F(GroupOfThree, BoundedReadGoesToAFreshReplica) {
  auto sends = actions_of<Send>(router.handle(10s + 50ms, {make_request(1, kBounded, 12s)}));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_NE(sends[0].member, 1U);
}

TEST_F(GroupOfThree, BoundedReadIsPostponedWhileReplicasLagAndSentOnANewPosition) {
  auto actions =
      router.handle(11s, {make_request(1, kBounded, 13s)});  // positions are 1 s old, the bound 300 ms
  EXPECT_TRUE(actions_of<Send>(actions).empty());
  EXPECT_FALSE(actions_of<Probe>(actions).empty());
  auto sends = actions_of<Send>(router.handle(11s + 10ms, {make_probe_result(3, 10950ms, false)}));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends[0].member, 3U);
}

// Guards against bounded reads that are decided in time and sent when the known data is too old.
TEST_F(GroupOfThree, ABoundedReadHasToBeSentWhileTheKnownPositionIsWithinItsBound) {
  auto sends = actions_of<Send>(router.handle(10s + 50ms, {make_request(1, kBounded, 12s)}));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends[0].fresh_within, 9989ms + 300ms - 10050ms) << "positions are rounded by a millisecond";
  for (auto unlimited : {kAny, kSession, kWrite}) {
    sends = actions_of<Send>(router.handle(10s + 50ms, {make_request(2 + unlimited, unlimited, 12s)}));
    ASSERT_EQ(sends.size(), 1U);
    EXPECT_EQ(sends[0].fresh_within, Micros::max());
  }
}

TEST_F(GroupOfThreeWithLagCheck, MembersThatCheckTheAgeOfTheirDataNeedNoLimitOnIt) {
  auto sends = actions_of<Send>(router.handle(10s + 50ms, {make_request(1, kBounded, 12s)}));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends[0].fresh_within, Micros::max());
}

// Guards against reads that are given up, although they have time, because a connection came up late.
TEST(BoundedReads, AReadThatWasTooLateIsDecidedAgainAndItsMemberIsNotAvoided) {
  auto router = router_of_three();
  auto sends = actions_of<Send>(router.handle(10s + 50ms, {make_request(1, kBounded, 10s + 550ms)}));
  ASSERT_EQ(sends.size(), 1U);
  auto late = make_outcome(sends[0], 0, Status::kNotStarted);
  // More than half of its time is over: a read that never came this far would be rejected.
  auto now = 10s + 310ms;
  auto again = actions_of<Send>(router.handle(now, {late, make_probe_result(sends[0].member, now, false)}));
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again[0].member, sends[0].member) << "the late connection is no failure of its member";
  EXPECT_EQ(again[0].fresh_within, 299ms);
}

// Guards against a loop of connections that are each ready too late.
TEST(BoundedReads, AReadThatIsTooLateEachTimeEndsAtTheLimitOfAttempts) {
  auto settings = default_settings();
  settings.classes[kBounded].latency_objective = settings.classes[kBounded].deadline = 10s;
  auto router = router_of_three(settings);
  auto sends = actions_of<Send>(router.handle(10s + 50ms, {make_request(1, kBounded, 20s)}));
  int attempts = 0;
  for (auto now = 10s + 400ms; !sends.empty(); now += 400ms) {
    auto late = make_outcome(sends[0], attempts++, Status::kNotStarted);
    sends = actions_of<Send>(router.handle(now, {late, make_probe_result(2, now - 10ms, false)}));
  }
  EXPECT_EQ(attempts, settings.max_attempts);
}

TEST_F(GroupOfThree, AnOldPositionNeverReplacesANewerOne) {
  router.handle(11s, {make_probe_result(2, 10950ms, false), make_probe_result(2, 9s, false)});
  auto sends = actions_of<Send>(router.handle(11s + 5ms, {make_request(1, kBounded, 13s)}));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends[0].member, 2U);
}

TEST_F(GroupOfThree, SessionReadNeedsAReplicaPastItsWrite) {
  EXPECT_TRUE(actions_of<Send>(router.handle(10s + 50ms, {make_request(1, kSession, 12s, 20ms)})).empty());
  auto sends = actions_of<Send>(router.handle(10s + 60ms, {make_request(2, kSession, 12s, 200ms)}));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends[0].id, 2U);
  sends = actions_of<Send>(router.handle(10s + 70ms, {make_request(3, kSession, 12s, 0ms)}));
  EXPECT_EQ(sends.size(), 1U) << "without a known write, any data is sufficient";
}

TEST(SessionReads, AReadWaitsForAReplicaPastTheAnsweredWriteOfItsSession) {
  Settings settings = default_settings();
  settings.client_carries_write_age = false;
  Router router(settings, 1);
  router.handle(10s, {make_list(ListKind::kFull, {make_entry(1, true), make_entry(2)})});
  router.handle(10s + 5ms, {make_probe_result(1, 10s, true), make_probe_result(2, 10s, false)});
  auto sends = actions_of<Send>(router.handle(10s + 10ms, {make_request(1, kWrite, 12s)}));
  ASSERT_EQ(sends.size(), 1U);
  router.handle(10s + 60ms, {make_outcome(sends[0], 0, Status::kSuccess, Role::kPrimary, 10s + 50ms)});
  EXPECT_TRUE(actions_of<Send>(router.handle(10s + 65ms, {make_request(2, kSession, 12s)})).empty());
  sends = actions_of<Send>(router.handle(10s + 90ms, {make_probe_result(2, 10s + 80ms, false)}));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends[0].member, 2U);
}

// Guards against stale session reads after the positions of sessions have been dropped, which bounds their
// number. Every session without an entry then needs the newest of the dropped positions.
TEST(SessionReads, SessionsWithDroppedPositionsNeedTheNewestDroppedPosition) {
  Settings settings = default_settings();
  settings.client_carries_write_age = false;
  Router router(settings, 1);
  router.handle(10s, {make_list(ListKind::kFull, {make_entry(1, true), make_entry(2)})});
  router.handle(10s + 5ms, {make_probe_result(1, 10s, true), make_probe_result(2, 10s, false)});
  for (RequestId id = 1; id <= 20002; ++id) {
    auto request = make_request(id, kWrite, 12s);
    request.key = id;
    for (auto& send : actions_of<Send>(router.handle(10s + 10ms, {request})))
      router.handle(10s + 10ms, {make_outcome(send, 0, Status::kSuccess, Role::kPrimary, 10s + 8ms)});
  }
  auto read = make_request(30000, kSession, 12s);
  read.key = 1;
  EXPECT_TRUE(actions_of<Send>(router.handle(10s + 20ms, {read})).empty())
      << "the replica is at position 10 s";
  EXPECT_EQ(actions_of<Send>(router.handle(10s + 30ms, {make_probe_result(2, 10s + 20ms, false)})).size(),
            1U);
}

TEST_F(GroupOfThreeWithLagCheck, AReplicaSlightlyBehindIsTriedWhereMembersCheckReads) {
  auto sends = actions_of<Send>(router.handle(10s + 50ms, {make_request(1, kSession, 12s, 20ms)}));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_NE(sends[0].member, 1U);
}

TEST_F(GroupOfThreeWithLagCheck, ADeclinedReadIsRetriedAtAnotherMember) {
  auto sends = actions_of<Send>(router.handle(10s + 50ms, {make_request(1, kSession, 12s, 20ms)}));
  ASSERT_EQ(sends.size(), 1U);
  auto next = actions_of<Send>(
      router.handle(10s + 55ms, {make_outcome(sends[0], 0, Status::kDeclined, Role::kReplica, 10s)}));
  ASSERT_EQ(next.size(), 1U);
  EXPECT_NE(next[0].member, sends[0].member);
}

TEST_F(GroupOfThree, TheLeastCostDistributesReadsOverReplicas) {
  std::set<MemberId> used;
  for (RequestId id = 1; id <= 4; ++id)
    for (auto& send : actions_of<Send>(router.handle(10s + 50ms, {make_request(id, kAny, 12s)})))
      used.insert(send.member);
  EXPECT_EQ(used, (std::set<MemberId>{2, 3}));
}

// Guards against long reads stopping replication in a whole group: when they were spread over the replicas,
// each replica stopped applying the log.
TEST_F(GroupOfThree, LongReadsOfAnyDataGoToOneReplica) {
  Settings settings = default_settings();
  settings.classes.push_back(settings.classes[kAny]);
  settings.classes.back().latency_objective = 2s;
  settings.classes.back().deadline = 4s;
  Router router(settings, 1);
  router.handle(10s, {make_list(ListKind::kFull, {make_entry(1, true), make_entry(2), make_entry(3)})});
  router.handle(10s + 5ms, {make_probe_result(1, 10s, true), make_probe_result(2, 10s, false),
                            make_probe_result(3, 10s, false)});
  std::set<MemberId> used;
  for (RequestId id = 1; id <= 6; ++id) {
    auto request = make_request(id, kAny, 14s);
    request.request_class = settings.classes.size() - 1;
    Micros at = 10s + 10ms * static_cast<int>(id);
    for (auto& send : actions_of<Send>(router.handle(at, {request}))) {
      used.insert(send.member);
      router.handle(at + 5ms, {make_outcome(send, 0, Status::kSuccess, Role::kReplica)});
    }
  }
  EXPECT_EQ(used.size(), 1U);
}

// Guards against crowding out writes at a primary that is the only member in service: the reads of many
// routers, each of which used half of its limit of one for them, left no capacity for writes.
TEST(SmallLimits, ALonePrimaryIsGivenTwiceOneMembersShareOfReadsWhereLimitsAreSmall) {
  Settings settings = default_settings();
  settings.routers = 400;
  int sent = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    Router router(settings, seed);
    router.handle(
        10s, {make_list(ListKind::kFull, {make_entry(1, true), make_entry(2, false, Condition::kDraining),
                                          make_entry(3, false, Condition::kDraining),
                                          make_entry(4, false, Condition::kDraining)})});
    router.handle(10s + 5ms, {make_probe_result(1, 10s, true)});
    for (auto& send : actions_of<Send>(router.handle(10s + 10ms, {make_request(1, kAny, 12s)})))
      sent += send.member == 1;
  }
  EXPECT_GT(sent, 120);
  EXPECT_LT(sent, 260) << "half of 400 routers, which is twice one member's share";
}

// Guards against hundreds of routers choosing the same member: with equal knowledge and list order as the
// tie-break, all of them made the same choice.
TEST(EqualKnowledge, RoutersWithEqualKnowledgeDistributeReadsOverEqualMembers) {
  Settings settings = default_settings();
  settings.classes.push_back(settings.classes[kAny]);
  settings.classes.back().latency_objective = 2s;
  settings.classes.back().deadline = 4s;
  for (std::size_t request_class : {std::size_t{kAny}, settings.classes.size() - 1}) {
    auto first = [&](std::uint64_t seed) {
      Router router(settings, seed);
      router.handle(10s, {make_list(ListKind::kFull,
                                    {make_entry(1, true), make_entry(2), make_entry(3), make_entry(4)})});
      auto request = make_request(1, kAny, 14s);
      request.request_class = request_class;
      auto sends = actions_of<Send>(router.handle(10s + 5ms, {request}));
      return sends.empty() ? MemberId{0} : sends[0].member;
    };
    std::map<MemberId, int> count;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
      ++count[first(seed)];
      EXPECT_EQ(first(seed), first(seed));
    }
    for (MemberId member = 2; member <= 4; ++member)
      EXPECT_GT(count[member], 60) << "class " << request_class << ", member " << member;
  }
}

TEST_F(GroupOfThree, APostponedBoundedReadGoesToThePrimaryAtTheLastMoment) {
  router.handle(11s, {make_probe_result(2, 10s + 10ms, false),
                      make_probe_result(3, 10s + 10ms, false)});  // both replicas lag
  EXPECT_TRUE(actions_of<Send>(router.handle(11s + 5ms, {make_request(1, kBounded, 13s)})).empty());
  std::vector<Send> sends;
  Micros at = 11s + 10ms;
  for (; sends.empty() && at < 11s + 405ms; at += 5ms)
    sends = actions_of<Send>(router.handle(at, {TimerFired{2}}));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends[0].member, 1U);
  EXPECT_GT(at, 11s + 200ms) << "not before further waiting would make it late";
}

}  // namespace
}  // namespace request_router::test
