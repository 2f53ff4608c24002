// Tests of failure detection and outlier ejection: unresponsive members, lost attempts, and members that are
// ejected or forgotten.
#include "request_router/support.h"

namespace request_router::test {
namespace {

TEST_F(GroupOfThree, AnUnresponsiveMemberGetsNothingNewUntilItResponds) {
  auto sends = actions_of<Send>(router.handle(10s + 50ms, {make_request(1, kWrite, 15s)}));
  ASSERT_EQ(sends.size(), 1U);
  for (Micros at = 10s + 75ms; at < 11s; at += 25ms)
    router.handle(at, {TimerFired{1}});  // no probe is answered
  EXPECT_TRUE(actions_of<Send>(router.handle(11s, {make_request(2, kWrite, 15s)})).empty());
  sends = actions_of<Send>(router.handle(11s + 5ms, {make_probe_result(3, 11s, true)}));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends[0].member, 3U);
}

// Guards against the load of idle routers: periodic probes and timers of hundreds of routers cost the members
// more than the requests.
TEST_F(GroupOfThree, AnIdleRouterSendsNoProbesAndSetsNoTimers) {
  router.handle(10s + 25ms, {TimerFired{1}});
  for (Micros at = 10s + 50ms; at < 20s; at += 25ms) EXPECT_TRUE(router.handle(at, {TimerFired{1}}).empty());
}

// Over a slow network path every probe takes long. Once the router has measured that, it must not treat the
// member as unresponsive.
TEST_F(GroupOfThree, ASlowNetworkPathIsNotTreatedAsUnresponsiveness) {
  auto slow = [](MemberId member, Micros position) {
    auto result = make_probe_result(member, position, member == 1);
    result.taken = 150ms;
    return result;
  };
  router.handle(10s + 200ms, {slow(1, 10s + 100ms)});
  auto sends = actions_of<Send>(router.handle(10s + 250ms, {make_request(1, kWrite, 15s)}));
  ASSERT_EQ(sends.size(), 1U);
  std::size_t probes = 0;
  Micros at = 10s + 275ms;
  for (; probes == 0 && at < 12s; at += 25ms)
    probes = actions_of<Probe>(router.handle(at, {TimerFired{1}})).size();
  ASSERT_EQ(probes, 1U) << "the answer to the write is overdue";
  Micros probed_at = at - 25ms;
  router.handle(probed_at + 300ms, {TimerFired{1}});
  EXPECT_EQ(actions_of<Send>(router.handle(probed_at + 300ms, {make_request(2, kWrite, 15s)})).size(), 1U);
}

// Guards against a read that is in flight when its member becomes unresponsive waiting there until its client
// times out.
TEST_F(GroupOfThree, AReadInFlightAtAnUnresponsiveMemberIsCancelledAndServedElsewhere) {
  auto sends = actions_of<Send>(router.handle(10s + 50ms, {make_request(1, kAny, 12s)}));
  ASSERT_EQ(sends.size(), 1U);
  std::vector<Cancel> cancelled;
  Micros at = 10s + 75ms;
  for (; cancelled.empty() && at < 11s; at += 25ms)
    cancelled = actions_of<Cancel>(router.handle(at, {TimerFired{1}}));
  ASSERT_EQ(cancelled.size(), 1U);
  EXPECT_EQ(cancelled[0].id, 1U);
  EXPECT_LT(at, 10s + 400ms) << "while another attempt can still complete in time";
  auto again = actions_of<Send>(router.handle(at, {make_outcome(sends[0], 0, Status::kCancelled)}));
  ASSERT_EQ(again.size(), 1U);
  EXPECT_NE(again[0].member, sends[0].member);
}

// Guards against a read lost on a silent connection staying in flight until its client times out: its member
// still answers probes, so it is not unresponsive.
TEST_F(GroupOfThree, WhereAttemptsAreLostLateOnesAreCancelledInTime) {
  auto run = [](bool lose_attempts) {
    Router fresh_router(default_settings(), 7);
    fresh_router.handle(10s, {make_list(ListKind::kFull, {make_entry(1, true), make_entry(2)})});
    Micros now = 10s + 5ms;
    int cancels = 0;
    for (RequestId id = 1; id <= 400; ++id, now += 50ms) {
      fresh_router.handle(now, {make_probe_result(1, now, true), make_probe_result(2, now, false)});
      for (auto& send : actions_of<Send>(fresh_router.handle(now, {make_request(id, kBounded, now + 1s)}))) {
        bool lost = lose_attempts && id % 20 == 0;
        auto ended = make_outcome(send, 0, lost ? Status::kTimedOut : Status::kSuccess);
        ended.taken = 20ms;
        for (Micros at = now + 30ms; lost && at < now + 1s; at += 30ms) {
          auto actions = fresh_router.handle(
              at, {TimerFired{1}, make_probe_result(1, at, true), make_probe_result(2, at, false)});
          auto cancel = actions_of<Cancel>(actions);
          if (cancel.empty()) continue;
          ++cancels;
          EXPECT_LT(at, now + 400ms) << "too late for another attempt";
          auto again = actions_of<Send>(fresh_router.handle(at, {make_outcome(send, 0, Status::kCancelled)}));
          EXPECT_EQ(again.size(), 1U);
          for (auto& second : again) {
            auto served = make_outcome(second, 1, Status::kSuccess);
            served.taken = 20ms;
            fresh_router.handle(at + 20ms, {served});
          }
          break;
        }
        now += lost ? Micros(1s) : Micros(20ms);
        fresh_router.handle(now, {ended});
      }
    }
    return cancels;
  };
  EXPECT_EQ(run(false), 0);
  EXPECT_GT(run(true), 5);
}

// Runs reads that fail where `fails` returns true. Returns how many of the reads after the first 450 ms are
// sent to member 2 first.
template <typename Fails>
int count_first_sends_to_two(Router& router, Fails fails) {
  int to_two = 0;
  RequestId id = 1;
  for (Micros at = 10s + 50ms; at < 11s; at += 5ms, ++id) {
    auto sends = actions_of<Send>(router.handle(at, {make_request(id, kAny, at + 2s)}));
    if (!sends.empty() && sends[0].member == 2 && at > 10s + 500ms) ++to_two;
    for (int attempt = 0; !sends.empty(); ++attempt) {
      bool failed = fails(sends[0].member, id);
      sends = actions_of<Send>(router.handle(
          at,
          {make_outcome(sends[0], attempt, failed ? Status::kFailure : Status::kSuccess, Role::kReplica)}));
    }
  }
  return to_two;
}

TEST_F(GroupOfThree, AReplicaThatFailsMoreThanItsPeersIsEjected) {
  EXPECT_EQ(count_first_sends_to_two(router, [](MemberId member, RequestId) { return member == 2; }), 0);
}

// Guards against ejecting healthy members in turn: a request that fails at every member caused an error at
// each of them.
TEST(OutlierEjection, ErrorsThatFollowTheRequestEjectNoMemberAndEndItsRetries) {
  int to_two = 0, attempts = 0;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    Router router(default_settings(), seed);
    router.handle(10s, {make_list(ListKind::kFull, {make_entry(1, true), make_entry(2), make_entry(3)})});
    router.handle(10s + 5ms, {make_probe_result(1, 10s, true), make_probe_result(2, 9990ms, false),
                              make_probe_result(3, 9990ms, false)});
    to_two +=
        count_first_sends_to_two(router, [&](MemberId, RequestId id) { return id % 2 == 0 && ++attempts; });
  }
  EXPECT_GT(to_two, 100) << "half of the routers prefer member 2";
  EXPECT_LE(attempts, 2 * 8 * 95) << "each failing request is tried at no more than two members";
}

// Guards against immediate retries at a member that accepts no more connections: such members answered every
// probe, so that a thousand routers tried them again at once.
TEST_F(GroupOfThree, AnUnreachableReplicaGetsNoRequestsAlthoughItAnswersProbes) {
  auto sends = actions_of<Send>(router.handle(10s + 50ms, {make_request(1, kAny, 12s)}));
  ASSERT_EQ(sends.size(), 1U);
  auto unreachable = sends[0].member;
  router.handle(10s + 55ms, {make_outcome(sends[0], 0, Status::kUnreachable)});
  router.handle(10s + 60ms, {make_probe_result(unreachable, 10s + 50ms, false)});
  for (RequestId id = 2; id < 8; ++id)
    for (auto& send : actions_of<Send>(
             router.handle(10s + 60ms + 5ms * static_cast<int>(id), {make_request(id, kAny, 12s)})))
      EXPECT_NE(send.member, unreachable);
}

// Guards against unbounded growth: each decision iterated over all members that had ever been listed.
TEST_F(GroupOfThree, MembersRemovedLongAgoAreForgotten) {
  Micros now = 11s;
  for (MemberId member = 10; member < 500; ++member, now += 1s) {
    router.handle(now, {make_list(ListKind::kDelta, {make_entry(member)})});
    router.handle(now + 500ms, {make_list(ListKind::kDelta, {make_entry(member, false, Condition::kGone)})});
    EXPECT_LT(router.member_count(), 30U);
  }
  router.handle(now, {make_probe_result(2, now, false)});
  EXPECT_EQ(actions_of<Send>(router.handle(now, {make_request(1, kBounded, now + 2s)})).size(), 1U);
  // A member that is listed again is treated as new.
  router.handle(now, {make_list(ListKind::kDelta, {make_entry(10)})});
  router.handle(now + 1s, {make_list(ListKind::kDelta, {make_entry(10, false, Condition::kGone)})});
  EXPECT_LT(router.member_count(), 30U);
}

TEST_F(GroupOfThree, EventsOfUnknownOrEndedRequestsAreIgnored) {
  Send never{77, 2, 0ms};
  auto actions =
      router.handle(10s + 10ms, {make_outcome(never, 3, Status::kFailure), ClientGone{99}, TimerFired{5},
                                 make_probe_result(44, 1s, true), StreamStarted{1, 1}, PeerMessage{2, "x"}});
  EXPECT_TRUE(actions_of<Send>(actions).empty());
  EXPECT_TRUE(actions_of<Fail>(actions).empty());
}

}  // namespace
}  // namespace request_router::test
