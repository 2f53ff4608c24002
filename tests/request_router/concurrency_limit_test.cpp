// Tests of the limit on the attempts that a router has in flight at a member.
#include "request_router/support.h"

namespace request_router::test {
namespace {

TEST_F(GroupOfThree, ALimitFallsWhenLatencyExceedsTheObjective) {
  RequestId id = 1;
  for (Micros at = 10s + 50ms; at < 20s; at += 900ms)  // each answer takes two latency objectives
    for (int n = 0; n < 4; ++n)
      for (auto& send : actions_of<Send>(
               router.handle(at + 1ms, {make_probe_result(2, at, false), make_probe_result(3, at, false),
                                        make_request(id++, kAny, at + 2s)})))
        router.handle(at + 800ms, {make_outcome(send, 0, Status::kSuccess, Role::kReplica)});
  std::size_t sent = 0;
  for (int n = 0; n < 30; ++n)
    sent += actions_of<Send>(router.handle(21s, {make_request(id++, kAny, 23s)})).size();
  EXPECT_LT(sent, 20U) << "each of the two replicas started with a limit of 12";
}

// Guards against a primary's limit staying at one write at a time with a pause after it: its writes had
// waited for a lagging replica, and the limit stayed low long after the replica had caught up.
TEST(ConcurrencyLimit, ThePrimarysLimitKeepsAFloorThatAllRoutersShare) {
  for (int routers : {1, 4, 100}) {
    Settings settings = default_settings();
    settings.routers = routers;
    Router router(settings, 1);
    router.handle(10s, {make_list(ListKind::kFull, {make_entry(1, true), make_entry(2)})});
    auto now = 10s + 5ms;
    router.handle(now, {make_probe_result(1, now, true), make_probe_result(2, now, false)});
    RequestId id = 0;
    for (int i = 0; i < 300; ++i, now += 2s)  // one at a time, each with the maximum latency
      for (auto& send : actions_of<Send>(router.handle(now, {make_request(++id, kWrite, now + 5s)}))) {
        auto ended = make_outcome(send, 0, Status::kSuccess, Role::kPrimary, now + 1s);
        ended.taken = 1s;
        router.handle(now + 1s, {ended});
      }
    now += 3s;  // with a floor under one attempt, the pause is four times the duration of an attempt
    std::size_t sent = 0;
    for (int i = 0; i < 20; ++i)
      sent += actions_of<Send>(router.handle(now, {make_request(++id, kWrite, now + 5s)})).size();
    EXPECT_GE(sent, routers == 1 ? 6U : routers == 4 ? 2U : 1U);
    EXPECT_LE(sent, routers == 1 ? 8U : routers == 4 ? 2U : 1U);
  }
}

// Guards against exhausting the probe budget: while reads waited for capacity, replicas that were up to date
// were probed in every batch.
TEST(ProbeBudget, ReadsThatWaitForCapacitySendNoProbes) {
  Settings settings = default_settings();
  settings.routers = 16;
  Router router(settings, 7);
  router.handle(10s, {make_list(ListKind::kFull, {make_entry(1, true), make_entry(2), make_entry(3)})});
  router.handle(10s + 5ms, {make_probe_result(1, 10s, true), make_probe_result(2, 9990ms, false),
                            make_probe_result(3, 9990ms, false)});
  std::size_t probes = 0;
  for (RequestId id = 1; id <= 8; ++id) {
    auto at = 10s + 5ms * (10 + id);
    probes +=
        actions_of<Probe>(router.handle(at, {make_request(id, id % 2 ? kAny : kBounded, at + 2s)})).size();
  }
  EXPECT_EQ(probes, 0U);
}

// Guards against a primary's queue staying full permanently. Hundreds of routers with one attempt each sent
// to it too rarely to learn that it was overloaded, and every request that it executed had been given up
// already.
TEST(Overload, AnOverloadedMemberGetsNothingUntilItReportsFewerRequests) {
  for (bool reports_count : {true, false}) {
    Settings settings = default_settings();
    settings.routers = 30;
    settings.report_in_flight = reports_count;
    Router router(settings, 7);
    router.handle(10s, {make_list(ListKind::kFull, {make_entry(1, true), make_entry(2)})});
    router.handle(10s + 5ms, {make_probe_result(1, 10s, true), make_probe_result(2, 9990ms, false)});
    auto sends = actions_of<Send>(router.handle(10s + 50ms, {make_request(1, kWrite, 15s)}));
    ASSERT_EQ(sends.size(), 1U);
    auto next = router.handle(10s + 60ms, {make_outcome(sends[0], 0, Status::kOverloaded, Role::kPrimary)});
    ASSERT_EQ(actions_of<Send>(next).empty(), reports_count);
    if (!reports_count) continue;
    std::size_t probes = 0;
    Micros at = 10s + 65ms;
    for (; at < 10s + 800ms; at += 5ms) {
      std::vector<Event> events{TimerFired{1}, TimerFired{2}};
      for (auto& probe : actions_of<Probe>(next)) {
        ++probes;
        ASSERT_EQ(probe.member, 1U);
        auto answer = make_probe_result(1, at, true);
        answer.report.in_flight = 110;
        events.emplace_back(answer);
      }
      next = router.handle(at, events);
      EXPECT_TRUE(actions_of<Send>(next).empty());
    }
    EXPECT_GE(probes, 2U);
    EXPECT_LE(probes, 4U) << "probes are sent at intervals";
    auto answer = make_probe_result(1, at, true);
    answer.report.in_flight = 9;
    EXPECT_EQ(actions_of<Send>(router.handle(at, {answer})).size(), 1U);
  }
}

// Guards against rejecting requests without need: time-outs of requests whose clients wait for less time than
// such a request takes were counted as overload.
TEST_F(GroupOfThree, TimeoutsOfClientsWithShortDeadlinesDoNotCountAsOverload) {
  Micros now = 11s;
  RequestId id = 0;
  std::size_t sent = 0;
  for (int i = 0; i < 600; ++i, now += 50ms) {
    bool short_deadline = i % 3 != 0;
    auto actions = router.handle(now, {make_probe_result(1, now, true), make_probe_result(2, now, false),
                                       make_probe_result(3, now, false),
                                       make_request(++id, kBounded, now + (short_deadline ? 20ms : 2s))});
    sent += short_deadline ? 0 : actions_of<Send>(actions).size();
    for (auto& send : actions_of<Send>(actions)) {
      auto ended = make_outcome(send, 0, short_deadline ? Status::kTimedOut : Status::kSuccess);
      ended.taken = short_deadline ? 20ms : 60ms;
      router.handle(now + ended.taken, {ended});
    }
  }
  EXPECT_EQ(sent, 200U);
}

}  // namespace
}  // namespace request_router::test
