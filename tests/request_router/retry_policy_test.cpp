// Tests of the retry policy: which requests may be retried or rejected, and which members get no new
// requests.
#include "request_router/support.h"

namespace request_router::test {
namespace {

TEST(RetryPolicy, AnUnsafeWriteThatMayHaveRunIsFailedNeitherRejectedNorRetried) {
  for (auto status : {Status::kFailure, Status::kBroken, Status::kTimedOut, Status::kCancelled}) {
    auto router = router_of_three();
    auto sends = actions_of<Send>(router.handle(10s + 50ms, {make_request(1, kWrite, 12s)}));
    ASSERT_EQ(sends.size(), 1U);
    auto actions = router.handle(10s + 90ms, {make_outcome(sends[0], 0, status)});
    EXPECT_EQ(actions_of<Fail>(actions).size(), 1U);
    EXPECT_TRUE(actions_of<Reject>(actions).empty());
    EXPECT_TRUE(actions_of<Send>(actions).empty());
  }
}

TEST(RetryPolicy, AnUnsafeWriteThatCannotHaveRunIsRetried) {
  auto router = router_of_three();
  auto sends = actions_of<Send>(router.handle(10s + 50ms, {make_request(1, kWrite, 12s)}));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(actions_of<Send>(
                router.handle(10s + 60ms, {make_outcome(sends[0], 0, Status::kOverloaded, Role::kPrimary)}))
                .size(),
            1U);
}

TEST(RetryPolicy, AKeyedWriteIsRetriedOnlyWithinItsKeyWindow) {
  for (bool late : {false, true}) {
    auto router = router_of_three();
    auto sends = actions_of<Send>(router.handle(10s + 50ms, {make_request(1, kKeyedWrite, 13s)}));
    ASSERT_EQ(sends.size(), 1U);
    auto actions = router.handle(late ? 11s + 60ms : 10s + 90ms,
                                 {make_outcome(sends[0], 0, Status::kFailure, Role::kPrimary)});
    EXPECT_EQ(actions_of<Send>(actions).size(), late ? 0U : 1U);
    for (auto& again : actions_of<Send>(actions)) {
      EXPECT_LE(again.start_within, 1s - 40ms)
          << "the time to establish the connection counts against the key window";
      EXPECT_LE(again.arrive_within, 1s - 40ms) << "and so does the time until its last byte has arrived";
    }
    EXPECT_EQ(actions_of<Fail>(actions).size(), late ? 1U : 0U);
    EXPECT_TRUE(actions_of<Reject>(actions).empty())
        << "repeats are discarded only within its group, so its client must not retry";
  }
}

// Guards against settings that allow more attempts than the fixed maximum of eight.
TEST(RetryPolicy, NoRequestIsSentMoreThanEightTimesWhateverTheSettingsAllow) {
  Settings settings = default_settings(LagCheck::kReject);
  settings.max_attempts = 20;
  Router router(settings, 1);
  router.handle(10s, {make_list(ListKind::kFull, {make_entry(1, true), make_entry(2), make_entry(3),
                                                  make_entry(4), make_entry(5)})});
  int attempts = 0;
  auto feed = [&](Micros at, const std::vector<Event>& events) {
    auto sends = actions_of<Send>(router.handle(at, events));
    while (!sends.empty()) {
      auto declined = make_outcome(sends.front(), attempts++, Status::kDeclined, Role::kReplica);
      sends = actions_of<Send>(router.handle(at + 1ms, {declined}));
    }
  };
  feed(10s + 10ms, {make_request(1, kKeyedWrite, 60s)});
  for (Micros at = 10s + 20ms; at < 59s; at += 25ms) {
    std::vector<Event> events{TimerFired{1}, TimerFired{2}};
    for (MemberId member = 1; member <= 5; ++member)
      events.emplace_back(make_probe_result(member, at - 5ms, false));
    feed(at, events);
  }
  EXPECT_GE(attempts, 4);
  EXPECT_LE(attempts, 8);
}

TEST_F(GroupOfThree, AFailedReadIsRetried) {
  auto sends = actions_of<Send>(router.handle(10s + 50ms, {make_request(1, kAny, 12s)}));
  ASSERT_EQ(sends.size(), 1U);
  auto again = actions_of<Send>(
      router.handle(10s + 60ms, {make_outcome(sends[0], 0, Status::kFailure, Role::kReplica)}));
  EXPECT_EQ(again.size(), 1U);
}

TEST(RetryPolicy, ATimeoutAtTheDeadlineIsAnswered) {
  auto router = router_of_three();
  auto sends = actions_of<Send>(router.handle(10s + 50ms, {make_request(1, kAny, 12s)}));
  ASSERT_EQ(sends.size(), 1U);
  auto actions = router.handle(12s, {make_outcome(sends[0], 0, Status::kTimedOut)});
  EXPECT_EQ(actions_of<Reject>(actions).size() + actions_of<Fail>(actions).size(), 1U);
}

TEST(RetryPolicy, NothingNewGoesToADrainingOrRemovedMemberAfterTheGracePeriod) {
  for (auto condition : {Condition::kDraining, Condition::kGone}) {
    auto router = router_of_three();
    router.handle(
        10s + 20ms,
        {make_list(ListKind::kDelta, {make_entry(2, false, condition), make_entry(1, false, condition)})});
    for (RequestId id = 1; id < 9; ++id)
      for (auto& send :
           actions_of<Send>(router.handle(10s + 600ms, {make_request(id, id % 2 ? kAny : kWrite, 13s)})))
        EXPECT_EQ(send.member, 3U);
  }
}

TEST(RetryPolicy, ARemovedMemberMayStillServeWhereRemovalIsNotBinding) {
  Settings settings = default_settings();
  settings.removal_not_binding = true;
  auto router = router_of_three(settings);
  router.handle(10s + 20ms, {make_list(ListKind::kFull, {make_entry(3)})});
  auto sends = actions_of<Send>(router.handle(10s + 600ms, {make_request(1, kWrite, 13s)}));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends[0].member, 1U);
  router.handle(10s + 620ms, {make_list(ListKind::kDelta, {make_entry(1, false, Condition::kDraining)})});
  router.handle(10s + 630ms, {make_list(ListKind::kDelta, {make_entry(1, false, Condition::kGone)})});
  for (auto& send : actions_of<Send>(router.handle(11s + 300ms, {make_request(2, kWrite, 13s)})))
    EXPECT_NE(send.member, 1U);
}

}  // namespace
}  // namespace request_router::test
