// Tests of slow start: the requests that a member that is warming up gets from one router and from hundreds.
#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "request_router/support.h"

namespace request_router::test {
namespace {

TEST(SlowStartBudget, AMemberThatIsWarmingUpGetsLessThanHalfOfAWarmOne) {
  auto router = router_of_three();
  router.handle(10s + 20ms,
                {make_list(ListKind::kDelta, {make_entry(2, false, Condition::kReady, 10s + 10ms)})});
  std::map<MemberId, int> count;
  RequestId id = 1;
  for (Micros at = 10s + 30ms; at < 12s; at += 10ms, ++id)
    for (auto& send : actions_of<Send>(router.handle(at, {make_request(id, kAny, at + 2s), TimerFired{1}}))) {
      ++count[send.member];
      router.handle(at + 5ms, {make_outcome(send, 0, Status::kSuccess, Role::kReplica)});
    }
  EXPECT_GT(count[3], 100);
  EXPECT_LT(count[2], count[3] / 2);
}

// Guards against an excessive slow-start budget: reads that warm members had declined raised the budget of a
// member that was warming up to several times its share.
TEST(SlowStartBudget, DeclinedReadsDoNotRaiseTheBudgetOfAMemberThatIsWarmingUp) {
  auto router = router_of_three(default_settings(LagCheck::kReject));
  router.handle(10s + 20ms,
                {make_list(ListKind::kDelta, {make_entry(2, false, Condition::kReady, 10s + 10ms)})});
  std::map<MemberId, int> count;
  RequestId id = 1;
  for (Micros at = 10s + 30ms; at < 12s; at += 10ms, ++id)
    for (auto& send :
         actions_of<Send>(router.handle(at, {make_request(id, id % 2 ? kSession : kAny, at + 2s, 1ms)}))) {
      ++count[send.member];
      router.handle(at + 5ms, {make_outcome(send, 0, Status::kDeclined, Role::kReplica)});
    }
  EXPECT_GT(count[3], 5) << "the warm member is tried again from time to time";
  EXPECT_LE(count[2], 90)
      << "1.1 times its share of 200, which rises from a quarter to 0.4; three quarters would overload it";
}

// Guards against excluding a class with few answers from a member that is warming up: it was regarded as too
// expensive in comparison with classes whose latency had been measured.
TEST(SlowStartBudget, APrimaryThatIsWarmingUpTakesWritesBeforeTheirLatencyIsKnown) {
  auto router = router_of_three();
  RequestId id = 1;
  auto serve = [&](Micros from, Micros to, Class request_class, Role role) {
    int sent = 0;
    for (Micros at = from; at < to; at += 10ms, ++id)
      for (auto& send :
           actions_of<Send>(router.handle(at, {make_request(id, request_class, at + 2s), TimerFired{1}}))) {
        ++sent;
        router.handle(at + 2ms, {make_outcome(send, 0, Status::kSuccess, role)});
      }
    return sent;
  };
  serve(10s + 20ms, 10s + 50ms, kWrite, Role::kPrimary);
  serve(10s + 50ms, 14s, kAny, Role::kReplica);
  router.handle(14s, {make_list(ListKind::kDelta, {make_entry(1, true, Condition::kReady, 14s)}),
                      make_probe_result(1, 14s, true)});
  EXPECT_GT(serve(14s + 10ms, 16s, kWrite, Role::kPrimary), 10);
}

// Guards against hundreds of routers overloading a member that is warming up: each of them was allowed at
// least one short request. The test adds up what all routers send in one window and compares it with a warm
// member's share of the same traffic.
class ManyRouters : public ::testing::TestWithParam<int> {
 protected:
  // Returns the number of requests sent to each member in an overload window, in which each router sends one
  // or a few. The members in `warming_up` have just started.
  std::map<MemberId, int> run(Class request_class, const std::set<MemberId>& warming_up) {
    Settings settings = default_settings();
    settings.routers = GetParam();
    settings.probes = false;
    std::map<MemberId, int> count;
    for (int index = 0; index < settings.routers; ++index) {
      Router router(settings, 1000003U * static_cast<std::uint64_t>(index));
      router.handle(10s, {make_list(ListKind::kFull,
                                    {make_entry(1, true), make_entry(2), make_entry(3), make_entry(4)})});
      RequestId id = 1;
      auto play = [&](Micros from, Micros to, bool counts) {
        Micros gap =
            Micros(2s) * settings.routers / 600;  // 600 requests in a window, for any number of routers
        for (Micros at = from + gap * index / settings.routers; at < to; at += gap)
          for (auto& send :
               actions_of<Send>(router.handle(at, {make_request(id++, request_class, at + 2s)}))) {
            if (counts) ++count[send.member];
            router.handle(at + 5ms, {make_outcome(send, 0, Status::kSuccess,
                                                  send.member == 1 ? Role::kPrimary : Role::kReplica)});
          }
      };
      play(10s + 10ms, 18s, false);
      for (auto member : warming_up)
        router.handle(18s,
                      {make_list(ListKind::kDelta, {make_entry(member, false, Condition::kReady, 18s)})});
      play(18s + 5ms, 20s, true);
    }
    return count;
  }
  // The guaranteed maximum is 3 times a capacity share of a quarter, which rises to 40% by the end of the
  // window. A warm member's share, 200 of 600 reads, is regarded as its full capacity.
  static constexpr int kMaxRequests = 150;
};

TEST_P(ManyRouters, TogetherDoNotOverloadAReplicaThatIsWarmingUp) {
  auto count = run(kAny, {2});
  EXPECT_GT(count[2], 10);
  EXPECT_LT(count[2], kMaxRequests);
  EXPECT_GT(count[3], 150);
}

TEST_P(ManyRouters, TogetherDoNotOverloadAGroupThatStartsAtOnce) {
  auto count = run(kAny, {1, 2, 3, 4});
  for (MemberId member = 2; member <= 4; ++member) {
    EXPECT_GT(count[member], 20);
    EXPECT_LT(count[member], kMaxRequests);
  }
  EXPECT_LT(run(kWrite, {1, 2, 3, 4})[1], 600 * 3 / 4);
}

INSTANTIATE_TEST_SUITE_P(Counts, ManyRouters, ::testing::Values(1, 3, 20, 30, 60, 300, 600));

// Guards against overloading a member that has just started while its group has no primary: all routers
// together tried too many postponed writes there. The member may have become the primary, so as many are
// tried there as its budget allows.
TEST(SlowStartBudget, WithoutAPrimaryFewWritesAreTriedAtAMemberThatIsWarmingUp) {
  auto router = router_of_three(default_settings(LagCheck::kReject));
  router.handle(10s + 20ms, {make_list(ListKind::kDelta, {make_entry(1, false, Condition::kGone),
                                                          make_entry(3, false, Condition::kReady, 10s)})});
  std::map<MemberId, int> tried;
  RequestId id = 1;
  for (Micros at = 10s + 700ms; at < 13s; at += 25ms) {
    std::vector<Event> events{TimerFired{1}, make_probe_result(2, 10s, false),
                              make_probe_result(3, 10s, false)};
    if (at < 12s) events.emplace_back(make_request(id++, kKeyedWrite, at + 2s));
    for (auto& send : actions_of<Send>(router.handle(at, events))) {
      ++tried[send.member];
      router.handle(at, {make_outcome(send, 0, Status::kDeclined, Role::kReplica)});
    }
  }
  EXPECT_GT(tried[3], 0);
  EXPECT_LE(tried[3], 52 * 6 / 10)
      << "0.9 times the capacity share, which rises from a quarter to a half, of 52 writes";
  EXPECT_GT(tried[2], 0);
}

// Guards against a burst at a new primary that is warming up: all writes that had been postponed without a
// primary were sent in the batch in which its role became known.
TEST(SlowStartBudget, WritesPostponedForAPrimaryThatIsWarmingUpAreNotSentAtOnce) {
  int at_once = 0, all = 0;
  for (int index = 0; index < 200; ++index) {
    auto router = Router(default_settings(), 7919U * static_cast<std::uint64_t>(index));
    router.handle(10s, {make_list(ListKind::kFull, {make_entry(1, true, Condition::kGone),
                                                    make_entry(2, false, Condition::kReady, 5s)})});
    router.handle(10s + 5ms, {make_probe_result(2, 10s, false)});
    for (RequestId id = 1; id <= 4; ++id)
      router.handle(10s + 200ms * static_cast<int>(id), {make_request(id, kKeyedWrite, 13s)});
    auto first = actions_of<Send>(router.handle(11s, {make_probe_result(2, 11s, true)}));
    at_once += static_cast<int>(first.size());
    all += static_cast<int>(first.size());
    for (Micros at = 11s + 25ms; at < 13s; at += 25ms)
      all += static_cast<int>(
          actions_of<Send>(router.handle(at, {TimerFired{1}, make_probe_result(2, at, true)})).size());
  }
  EXPECT_GT(all, 100);
  EXPECT_LT(at_once, all / 5);
}

// The slow-start guarantee as the platform measures it: in no overload window may all routers together send a
// member that is warming up more than N + 2 * sqrt(N) + 2 calls, or N + 3 * sqrt(N) + 3 calls where N is
// below 30. N is the number that the settings allow. The routers have no knowledge of each other. Reads that
// other members decline are retried, a burst occurs during warm-up, and a third of the routers restart
// shortly after the member.
struct SlowStartCase {
  int routers;
  double overload_multiple;
  double calls_per_second;  // at a warm member
};

class SlowStart : public ::testing::TestWithParam<SlowStartCase> {
 protected:
  static constexpr Micros kStart = 30s;  // start of the member that warms up
  static constexpr Micros kEnd = 42s;
  static constexpr MemberId kWarmingUp = 2;

  SlowStart() : settings_(default_settings(LagCheck::kReject)) {
    settings_.routers = GetParam().routers;
    settings_.overload_multiple = GetParam().overload_multiple;
    settings_.probes = false;
  }

  double chance() { return std::uniform_real_distribution<double>()(random_); }

  static MemberList list_at(Micros now) {
    std::vector<MemberEntry> all{make_entry(1, true), make_entry(kWarmingUp), make_entry(3), make_entry(4)};
    if (now >= kStart) all[1].started_at = kStart;
    return make_list(ListKind::kFull, all);
  }

  Router start_router(Micros now) {
    Router router(settings_, random_());
    router.handle(now, {list_at(now)});
    return router;
  }

  // Returns the times of the calls to the member from its start on. The load on the three replicas is 0.8 of
  // their capacity, and 1.5 times as much for 3 s.
  std::vector<Micros> play(std::uint64_t seed) {
    random_.seed(seed);
    std::vector<Router> fleet;
    fleet.reserve(static_cast<std::size_t>(settings_.routers));
    for (int index = 0; index < settings_.routers; ++index) fleet.push_back(start_router(10s));
    std::vector<Micros> calls;
    bool notified = false;
    bool restarted = false;
    RequestId id = 0;
    for (Micros at = 10s + 1ms; at < kEnd;) {
      if (at >= kStart && !std::exchange(notified, true))
        for (auto& router : fleet) router.handle(at, {list_at(at)});
      if (at >= kStart + 2s && !std::exchange(restarted, true))
        for (std::size_t index = 0; index < fleet.size(); index += 3) fleet[index] = start_router(at);
      send_read(fleet[random_() % fleet.size()], ++id, at, calls);
      bool burst = at >= kStart + 4s && at < kStart + 7s;
      double rate = 3 * 0.8 * GetParam().calls_per_second * (burst ? 1.5 : 1);
      at += Micros(static_cast<std::int64_t>(-std::log(1 - chance()) * 1e6 / rate));
    }
    return calls;
  }

  void send_read(Router& router, RequestId id, Micros at, std::vector<Micros>& calls) {
    auto sends = actions_of<Send>(router.handle(at, {make_request(id, kAny, at + 2s)}));
    for (int attempt = 0; !sends.empty(); ++attempt) {
      auto send = sends.front();
      if (send.member == kWarmingUp && at >= kStart) calls.push_back(at);
      auto role = send.member == 1 ? Role::kPrimary : Role::kReplica;
      bool declined = send.member != 1 && chance() < 0.2;
      auto ended = make_outcome(send, attempt, declined ? Status::kDeclined : Status::kSuccess, role);
      ended.taken = send.member == kWarmingUp ? 10ms : 40ms;  // makes it appear faster than the others
      sends = actions_of<Send>(router.handle(at + 5ms, {ended}));
    }
  }

  // Returns the maximum number of calls that the platform allows in an overload window that begins at `from`.
  double max_calls(Micros from) const {
    double age =
        static_cast<double>((from - kStart).count()) / static_cast<double>(settings_.warm_up.count());
    double initial = settings_.initial_capacity_share;
    double share = std::min(1.0, initial + (1 - initial) * age);
    double calls = GetParam().overload_multiple * share * GetParam().calls_per_second *
                   static_cast<double>(settings_.overload_window.count()) / 1e6;
    return calls < 30 ? calls + 3 * std::sqrt(calls) + 3 : calls + 2 * std::sqrt(calls) + 2;
  }

  void check_windows(const std::vector<Micros>& calls, std::uint64_t seed) const {
    Micros window = settings_.overload_window;
    for (std::size_t first = 0, last = 0; first < calls.size(); ++first) {
      if (calls[first] + window > kStart + settings_.warm_up)
        break;  // the member is warm before this window ends
      while (last < calls.size() && calls[last] - calls[first] < window) ++last;
      ASSERT_LE(static_cast<double>(last - first), max_calls(calls[first]))
          << "seed " << seed << ", at " << calls[first].count();
    }
  }

  Settings settings_;
  std::mt19937_64 random_;
};

TEST_P(SlowStart, AllRoutersTogetherStayWithinTheGuaranteeInEveryWindow) {
  std::size_t calls = 0;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    auto sent = play(seed);
    calls += sent.size();
    check_windows(sent, seed);
    if (HasFatalFailure()) return;
  }
  EXPECT_GT(calls, 0U) << "the member gets requests while it warms up";
}

INSTANTIATE_TEST_SUITE_P(Fleets, SlowStart,
                         ::testing::Values(SlowStartCase{1, 3, 20}, SlowStartCase{3, 1.5, 40},
                                           SlowStartCase{3, 3, 4}, SlowStartCase{20, 2, 20},
                                           SlowStartCase{30, 4, 40}, SlowStartCase{30, 1.2, 8},
                                           SlowStartCase{300, 3, 20}, SlowStartCase{300, 1.5, 40},
                                           SlowStartCase{30, 1.2, 200}));

}  // namespace
}  // namespace request_router::test
