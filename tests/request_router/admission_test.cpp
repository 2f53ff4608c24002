// Tests of admission: which requests are accepted, in which order, and which are given up.
#include <stdexcept>
#include <string>

#include "request_router/support.h"

namespace request_router::test {
namespace {

TEST_F(GroupOfThree, AWriteWaitsBeyondHalfItsTimeoutOnlyIfThePrimaryCanServeTheWritesAheadOfIt) {
  std::vector<Event> many;
  for (RequestId id = 1; id <= 250; ++id) many.emplace_back(make_request(id, kWrite, 12s));
  auto actions = router.handle(10s + 10ms, many);
  auto sent = actions_of<Send>(actions).size();
  ASSERT_LT(sent, 100U);
  std::size_t rejected = actions_of<Reject>(actions).size();
  for (auto now = 10s + 40ms; now < 10s + 1200ms; now += 25ms)
    rejected +=
        actions_of<Reject>(router.handle(now, {TimerFired{1}, make_probe_result(1, now, true)})).size();
  EXPECT_GT(rejected, 50U);         // the primary would not reach them in time
  EXPECT_LT(rejected, 250 - sent);  // the first of those waiting may be served
}

// Guards against all requests being late in overload: when the oldest request goes first, it has waited until
// it is late as well, and so has each one after it.
TEST(Overload, ARequestCertainToMeetItsObjectiveGoesBeforeAnOlderOneThatMayMissIt) {
  Settings settings = default_settings();
  settings.routers = 16;  // one attempt at a time at each member
  Router router(settings, 7);
  router.handle(10s, {make_list(ListKind::kFull, {make_entry(2), make_entry(3)})});
  router.handle(10s + 5ms, {make_probe_result(2, 9s, false), make_probe_result(3, 9s, false)});
  router.handle(10s + 300ms, {make_request(1, kBounded, 12300ms)});
  router.handle(10s + 450ms, {make_request(2, kBounded, 12450ms)});
  router.handle(10s + 455ms, {make_request(3, kBounded, 12455ms)});
  auto sends = actions_of<Send>(router.handle(10s + 600ms, {make_probe_result(2, 10s + 590ms, false)}));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends[0].id, 2U)
      << "request 1 has 100 ms left and a read takes 80 ms; of the other two, the older one goes first";
}

// Guards against a write that no member can serve being postponed until its client has no time left to retry.
TEST_F(GroupOfThree, ARequestThatWasNeverSentIsRejectedBeforeHalfItsTimeout) {
  Micros at = 10s + 50ms, rejected{0};
  router.handle(at, {make_list(ListKind::kFull, {})});  // all members are removed
  router.handle(at, {make_request(1, kWrite, at + 2s)});
  for (Micros time = at + 5ms; time < at + 2s && rejected == 0s; time += 5ms)
    if (!actions_of<Reject>(router.handle(time, {TimerFired{1}})).empty()) rejected = time - at;
  EXPECT_GT(rejected, 500ms);
  EXPECT_LT(rejected, 1s);
}

TEST_F(GroupOfThree, ARequestForAGroupInNoMemberListIsRejectedAtOnce) {
  auto request = make_request(1, kAny, 12s);
  request.group = 77;
  EXPECT_EQ(actions_of<Reject>(router.handle(10s + 50ms, {request})).size(), 1U);
}

// Guards against two effects of a pause of the router's process: sending requests that have lost their value,
// and attributing the duration of the pause to the latency of the members.
TEST_F(GroupOfThree, AfterItsOwnPauseTheRouterRejectsLateRequestsAndSuspectsNoMember) {
  auto sends = actions_of<Send>(router.handle(10s + 50ms, {make_request(1, kAny, 12s + 50ms)}));
  ASSERT_EQ(sends.size(), 1U);
  auto late = make_outcome(sends[0], 0, Status::kSuccess, Role::kReplica);
  late.taken = 20ms;
  auto actions = router.handle(11s + 550ms, {TimerFired{1}, make_request(2, kAny, 12s + 150ms),
                                             make_request(3, kAny, 13s + 450ms), late});
  EXPECT_EQ(actions_of<Reject>(actions).size(), 1U) << "received 1.4 s ago, latency objective 0.4 s";
  sends = actions_of<Send>(actions);
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends[0].id, 3U);
  EXPECT_TRUE(actions_of<Probe>(actions).empty()) << "no member was unresponsive";
}

// Guards against a pause being noticed only by the first batch after it. The proxy delivers one event per
// call, requests last, so they arrived in calls that took no account of the pause.
TEST_F(GroupOfThree, APauseCountsForEveryBatchOfTheSameMoment) {
  auto sends = actions_of<Send>(router.handle(10s + 50ms, {make_request(1, kAny, 12s + 50ms)}));
  ASSERT_EQ(sends.size(), 1U);
  auto late = make_outcome(sends[0], 0, Status::kSuccess, Role::kReplica);
  late.taken = 20ms;
  router.handle(11s + 550ms, {late});
  auto actions = router.handle(11s + 550ms, {make_request(3, kAny, 12s + 150ms)});
  EXPECT_EQ(actions_of<Reject>(actions).size(), 1U) << "received 1.4 s ago, latency objective 0.4 s";
}

TEST_F(GroupOfThree, ARequestForAnUnknownGroupOrPastItsDeadlineIsRejected) {
  auto request = make_request(1, kAny, 10s + 300ms);
  request.group = 5;
  std::size_t answers = 0;
  for (Micros at = 10s + 10ms; at < 10s + 400ms; at += 25ms) {
    std::vector<Event> events{TimerFired{1}};
    if (at == 10s + 10ms) events.emplace_back(request);
    answers += actions_of<Reject>(router.handle(at, events)).size();
  }
  EXPECT_EQ(answers, 1U);
  EXPECT_EQ(actions_of<Reject>(router.handle(11s, {make_request(2, kAny, 10s)})).size(), 1U);
}

TEST(SettingsValidation, InvalidSettingsAreRejectedByName) {
  auto rejects = [](auto change, const char* name) {
    Settings settings = default_settings();
    change(settings);
    try {
      Router router(settings, 1);
      return false;
    } catch (const std::invalid_argument& e) {
      return std::string(e.what()).find(name) != std::string::npos;
    }
  };
  EXPECT_TRUE(rejects([](Settings& settings) { settings.classes.clear(); }, "classes"));
  EXPECT_TRUE(rejects([](Settings& settings) { settings.max_attempts = 0; }, "maximum number of attempts"));
  EXPECT_TRUE(rejects([](Settings& settings) { settings.step = 0ms; }, "step"));
  EXPECT_TRUE(
      rejects([](Settings& settings) { settings.initial_capacity_share = 0; }, "initial capacity share"));
  EXPECT_TRUE(
      rejects([](Settings& settings) { settings.classes[0].latency_objective = 0ms; }, "latency objective"));
  EXPECT_TRUE(rejects([](Settings& settings) { settings.routers = 0; }, "number of routers"));
  EXPECT_TRUE(
      rejects([](Settings& settings) { settings.classes[kKeyedWrite].key_window = 0ms; }, "key window"));
}

}  // namespace
}  // namespace request_router::test
