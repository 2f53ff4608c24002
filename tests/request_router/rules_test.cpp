// The five rules, each by itself and then under random but lawful sequences of events with fixed seeds.
// The random test keeps its own books; it models no servers and no load.
#include <cmath>
#include <map>
#include <random>
#include <set>

#include "request_router/support.h"

namespace request_router::test {
namespace {

Router trio(Settings s = settings()) {
  Router router(s, 3);
  router.handle(10s, {list(ListKind::kFull, {entry(1, true), entry(2), entry(3)})});
  router.handle(10s + 5ms, {probed(1, 10s, true), probed(2, 9990ms, false), probed(3, 9990ms, false)});
  return router;
}

TEST(Rules, AnUnsafeWriteThatMayHaveRunIsFailedNotRefusedOrResent) {
  for (auto status : {Status::kFailure, Status::kBroken, Status::kTimedOut, Status::kCancelled}) {
    auto router = trio();
    auto sends = only<Send>(router.handle(10s + 50ms, {request(1, kWrite, 12s)}));
    ASSERT_EQ(sends.size(), 1u);
    auto actions = router.handle(10s + 90ms, {outcome(sends[0], 0, status)});
    EXPECT_EQ(only<Fail>(actions).size(), 1u);
    EXPECT_TRUE(only<Reject>(actions).empty());
    EXPECT_TRUE(only<Send>(actions).empty());
  }
}

TEST(Rules, AnUnsafeWriteThatSurelyNeverRanIsSentAgain) {
  auto router = trio();
  auto sends = only<Send>(router.handle(10s + 50ms, {request(1, kWrite, 12s)}));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_EQ(only<Send>(router.handle(10s + 60ms, {outcome(sends[0], 0, Status::kOverloaded, Role::kPrimary)}))
                .size(),
            1u);
}

TEST(Rules, AKeyedWriteIsResentOnlyWithinItsWindow) {
  for (bool late : {false, true}) {
    auto router = trio();
    auto sends = only<Send>(router.handle(10s + 50ms, {request(1, kKeyedWrite, 13s)}));
    ASSERT_EQ(sends.size(), 1u);
    auto actions = router.handle(late ? 11s + 60ms : 10s + 90ms,
                                 {outcome(sends[0], 0, Status::kFailure, Role::kPrimary)});
    EXPECT_EQ(only<Send>(actions).size(), late ? 0u : 1u);
    for (auto& again : only<Send>(actions))
      EXPECT_LE(again.start_within, 1s - 40ms) << "its connection may take a while to come up";
    EXPECT_EQ(only<Fail>(actions).size(), late ? 1u : 0u);
    EXPECT_TRUE(only<Reject>(actions).empty()) << "only its group discards repeats";
  }
}

// Where members check nothing, a replica answers a fresh read from what it has. While no primary was known,
// such a read was tried at members of any role, as a write is, which replicas turn away.
TEST(Rules, AFreshReadIsTriedAtMembersOfUnknownRoleOnlyWhereTheyCheckReads) {
  for (auto checks : {Checks::kOff, Checks::kReject, Checks::kHold}) {
    auto s = settings(checks);
    s.list_role = ListRole::kOff;
    Router router(s, 1);
    std::vector<Send> sends;
    auto feed = [&](Micros at, std::vector<Event> events) {
      for (auto& send : only<Send>(router.handle(at, events))) sends.push_back(send);
    };
    feed(10s, {list(ListKind::kFull, {entry(1), entry(2), entry(3)})});
    for (MemberId m = 1; m <= 3; ++m) {  // alive, of a role that nothing tells
      ProbeResult alive;
      alive.member = m;
      alive.ok = true;
      feed(10s + 5ms, {alive});
    }
    feed(10s + 10ms, {request(1, kFresh, 12s)});
    for (Micros at = 10s + 35ms; at < 10s + 200ms; at += 25ms) feed(at, {TimerFired{1}, TimerFired{2}});
    EXPECT_EQ(sends.empty(), checks == Checks::kOff) << static_cast<int>(checks);
    if (checks != Checks::kOff) continue;
    feed(10s + 210ms, {probed(2, 10s + 200ms, true)});
    ASSERT_EQ(sends.size(), 1u) << "the primary has made itself known";
    EXPECT_EQ(sends[0].member, 2u);
  }
}

// Settings of another deployment allow more attempts than the platform's rule.
TEST(Rules, NoRequestIsSentMoreThanEightTimesWhateverTheSettingsAllow) {
  auto s = settings(Checks::kReject);
  s.max_attempts = 20;
  Router router(s, 1);
  router.handle(10s, {list(ListKind::kFull, {entry(1, true), entry(2), entry(3), entry(4), entry(5)})});
  int attempts = 0;
  auto feed = [&](Micros at, std::vector<Event> events) {
    auto sends = only<Send>(router.handle(at, events));
    while (!sends.empty()) {
      auto turned_away = outcome(sends.front(), attempts++, Status::kDeclined, Role::kReplica);
      sends = only<Send>(router.handle(at + 1ms, {turned_away}));
    }
  };
  feed(10s + 10ms, {request(1, kKeyedWrite, 60s)});
  for (Micros at = 10s + 20ms; at < 59s; at += 25ms) {
    std::vector<Event> events{TimerFired{1}, TimerFired{2}};
    for (MemberId m = 1; m <= 5; ++m) events.push_back(probed(m, at - 5ms, false));
    feed(at, events);
  }
  EXPECT_GE(attempts, 4);
  EXPECT_LE(attempts, 8);
}

TEST(Rules, TheTimeOutAtTheDeadlineIsAnswered) {
  auto router = trio();
  auto sends = only<Send>(router.handle(10s + 50ms, {request(1, kAny, 12s)}));
  ASSERT_EQ(sends.size(), 1u);
  auto actions = router.handle(12s, {outcome(sends[0], 0, Status::kTimedOut)});
  EXPECT_EQ(only<Reject>(actions).size() + only<Fail>(actions).size(), 1u);
}

TEST(Rules, NothingNewGoesToADrainingOrGoneMemberAfterTheGrace) {
  for (auto condition : {Condition::kDraining, Condition::kGone}) {
    auto router = trio();
    router.handle(10s + 20ms,
                  {list(ListKind::kDelta, {entry(2, false, condition), entry(1, false, condition)})});
    for (RequestId id = 1; id < 9; ++id)
      for (auto& send : only<Send>(router.handle(10s + 600ms, {request(id, id % 2 ? kAny : kWrite, 13s)})))
        EXPECT_EQ(send.member, 3u);
  }
}

TEST(Rules, AGoneMemberMayStillServeWhereRemovalDoesNotBind) {
  auto s = settings();
  s.removal_not_binding = true;
  auto router = trio(s);
  router.handle(10s + 20ms, {list(ListKind::kFull, {entry(3)})});
  auto sends = only<Send>(router.handle(10s + 600ms, {request(1, kWrite, 13s)}));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_EQ(sends[0].member, 1u);
  router.handle(10s + 620ms, {list(ListKind::kDelta, {entry(1, false, Condition::kDraining)})});
  router.handle(10s + 630ms, {list(ListKind::kDelta, {entry(1, false, Condition::kGone)})});
  for (auto& send : only<Send>(router.handle(11s + 300ms, {request(2, kWrite, 13s)})))
    EXPECT_NE(send.member, 1u);
}

TEST(Rules, AColdMemberGetsLessThanItsShareOfTheWarmOnes) {
  auto router = trio();
  router.handle(10s + 20ms, {list(ListKind::kDelta, {entry(2, false, Condition::kReady, 10s + 10ms)})});
  std::map<MemberId, int> count;
  RequestId id = 1;
  for (Micros at = 10s + 30ms; at < 12s; at += 10ms, ++id)
    for (auto& send : only<Send>(router.handle(at, {request(id, kAny, at + 2s), TimerFired{1}}))) {
      ++count[send.member];
      router.handle(at + 5ms, {outcome(send, 0, Status::kSuccess, Role::kReplica)});
    }
  EXPECT_GT(count[3], 100);
  EXPECT_LT(count[2], count[3] / 2);
}

// Reads turned away by warm members once raised a cold member's budget to several times its share.
TEST(Rules, TurnedAwayReadsDoNotRaiseAColdMembersBudget) {
  auto router = trio(settings(Checks::kReject));
  router.handle(10s + 20ms, {list(ListKind::kDelta, {entry(2, false, Condition::kReady, 10s + 10ms)})});
  std::map<MemberId, int> count;
  RequestId id = 1;
  for (Micros at = 10s + 30ms; at < 12s; at += 10ms, ++id)
    for (auto& send : only<Send>(router.handle(at, {request(id, id % 2 ? kSession : kAny, at + 2s, 1ms)}))) {
      ++count[send.member];
      router.handle(at + 5ms, {outcome(send, 0, Status::kDeclined, Role::kReplica)});
    }
  EXPECT_GT(count[3], 5) << "the warm one is tried again now and then";
  EXPECT_LE(count[2], 90) << "1.1 of a quarter of 200, rising to 0.4; three quarters would push it over";
}

// Hundreds of routers, each of which was allowed "one short request at least", pushed a cold member over.
// What they send in one window is added up; a warm member's part of the same traffic is the measure.
class ManyRouters : public ::testing::TestWithParam<int> {
 protected:
  // Requests sent to each member in a fall window, one or a few a router, `cold` of the members just started.
  std::map<MemberId, int> run(Class request_class, std::set<MemberId> cold) {
    auto s = settings();
    s.routers = GetParam();
    s.probes = false;
    std::map<MemberId, int> count;
    for (int r = 0; r < s.routers; ++r) {
      Router router(s, 1000003u * static_cast<std::uint64_t>(r));
      router.handle(10s, {list(ListKind::kFull, {entry(1, true), entry(2), entry(3), entry(4)})});
      RequestId id = 1;
      auto play = [&](Micros from, Micros to, bool counts) {
        Micros gap =
            Micros(2s) * s.routers / 600;  // 600 requests in a window, whatever the number of routers
        for (Micros at = from + gap * r / s.routers; at < to; at += gap)
          for (auto& send : only<Send>(router.handle(at, {request(id++, request_class, at + 2s)}))) {
            if (counts) ++count[send.member];
            router.handle(at + 5ms, {outcome(send, 0, Status::kSuccess,
                                             send.member == 1 ? Role::kPrimary : Role::kReplica)});
          }
      };
      play(10s + 10ms, 18s, false);
      for (auto m : cold)
        router.handle(18s, {list(ListKind::kDelta, {entry(m, false, Condition::kReady, 18s)})});
      play(18s + 5ms, 20s, true);
    }
    return count;
  }
  // The guarantee is 3 times a capacity of at least a quarter, rising to 40% by the end of the window; a warm
  // member's part is 200 of 600 reads, and is taken for what it can do.
  static constexpr int kMost = 150;
};

TEST_P(ManyRouters, TogetherDoNotPushAColdReplicaOver) {
  auto count = run(kAny, {2});
  EXPECT_GT(count[2], 10);
  EXPECT_LT(count[2], kMost);
  EXPECT_GT(count[3], 150);
}

TEST_P(ManyRouters, TogetherDoNotPushAGroupOverThatStartsAtOnce) {
  auto count = run(kAny, {1, 2, 3, 4});
  for (MemberId m = 2; m <= 4; ++m) {
    EXPECT_GT(count[m], 20);
    EXPECT_LT(count[m], kMost);
  }
  EXPECT_LT(run(kWrite, {1, 2, 3, 4})[1], 600 * 3 / 4);
}

// While a group had no primary, each router tried its held writes at a member that had just started: all of
// them together pushed it over. It may lead by now, so the part of them is tried there that its budget holds.
TEST(Rules, WithoutAPrimaryFewWritesAreTriedAtAColdMember) {
  auto router = trio(settings(Checks::kReject));
  router.handle(
      10s + 20ms,
      {list(ListKind::kDelta, {entry(1, false, Condition::kGone), entry(3, false, Condition::kReady, 10s)})});
  std::map<MemberId, int> tried;
  RequestId id = 1;
  for (Micros at = 10s + 700ms; at < 13s; at += 25ms) {
    std::vector<Event> events{TimerFired{1}, probed(2, 10s, false), probed(3, 10s, false)};
    if (at < 12s) events.push_back(request(id++, kKeyedWrite, at + 2s));
    for (auto& send : only<Send>(router.handle(at, events))) {
      ++tried[send.member];
      router.handle(at, {outcome(send, 0, Status::kDeclined, Role::kReplica)});
    }
  }
  EXPECT_GT(tried[3], 0);
  EXPECT_LE(tried[3], 52 * 6 / 10) << "of 52 writes a cold share of a quarter, rising to a half, times 0.9";
  EXPECT_GT(tried[2], 0);
}

// Writes held while there was no primary all went to a cold one in the batch in which it was found to lead.
TEST(Rules, WhatWasHeldForAColdPrimaryDoesNotComeAtOnce) {
  int at_once = 0, all = 0;
  for (int r = 0; r < 200; ++r) {
    auto router = Router(settings(), 7919u * static_cast<std::uint64_t>(r));
    router.handle(10s, {list(ListKind::kFull,
                             {entry(1, true, Condition::kGone), entry(2, false, Condition::kReady, 5s)})});
    router.handle(10s + 5ms, {probed(2, 10s, false)});
    for (RequestId id = 1; id <= 4; ++id)
      router.handle(10s + 200ms * static_cast<int>(id), {request(id, kKeyedWrite, 13s)});
    auto first = only<Send>(router.handle(11s, {probed(2, 11s, true)}));
    at_once += static_cast<int>(first.size());
    all += static_cast<int>(first.size());
    for (Micros at = 11s + 25ms; at < 13s; at += 25ms)
      all += static_cast<int>(only<Send>(router.handle(at, {TimerFired{1}, probed(2, at, true)})).size());
  }
  EXPECT_GT(all, 100);
  EXPECT_LT(at_once, all / 5);
}

INSTANTIATE_TEST_SUITE_P(Counts, ManyRouters, ::testing::Values(1, 3, 20, 30, 60, 300, 600));

// Slow start, as the platform counts it: in no window of the fall time may the sum of all routers send a cold
// member more than N + 2 x root of N + 2 calls, under 30 calls 3 x root of N + 3, where N is what the
// settings allow it. The routers know nothing of each other; reads that other members turn away are sent on,
// a burst comes in the middle, and a third of the routers start anew shortly after the member did.
struct SlowStartCase {
  int routers;
  double tip_multiple, calls_per_second;  // of a warm member
};
class SlowStart : public ::testing::TestWithParam<SlowStartCase> {};

TEST_P(SlowStart, NoWindowOfAllRoutersGoesOverWhatTheSettingsAllow) {
  auto [routers, tip_multiple, calls_per_second] = GetParam();
  constexpr Micros kStart = 30s, kEnd = 42s;
  constexpr MemberId kCold = 2;
  auto s = settings(Checks::kReject);
  s.routers = routers;
  s.overload_multiple = tip_multiple;
  s.probes = false;
  std::size_t calls = 0;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    std::mt19937_64 random(seed);
    auto chance = [&] { return std::uniform_real_distribution<double>()(random); };
    auto entries = [&](Micros now) {
      std::vector<MemberEntry> all{entry(1, true), entry(kCold), entry(3), entry(4)};
      if (now >= kStart) all[1].started_at = kStart;
      return all;
    };
    std::vector<Router> fleet;
    auto start = [&](Micros now) {
      Router router(s, random());
      router.handle(now, {list(ListKind::kFull, entries(now))});
      return router;
    };
    for (int r = 0; r < routers; ++r) fleet.push_back(start(10s));
    std::vector<Micros> sent;
    bool told = false, restarted = false;
    RequestId id = 0;
    // Three replicas work at 0.8 of what they can do, half as much again for 3 s.
    for (Micros at = 10s + 1ms; at < kEnd;) {
      if (at >= kStart && !std::exchange(told, true))
        for (auto& router : fleet) router.handle(at, {list(ListKind::kFull, entries(at))});
      if (at >= kStart + 2s && !std::exchange(restarted, true))
        for (std::size_t r = 0; r < fleet.size(); r += 3) fleet[r] = start(at);
      auto& router = fleet[random() % fleet.size()];
      auto sends = only<Send>(router.handle(at, {request(++id, kAny, at + 2s)}));
      for (int attempt = 0; !sends.empty(); ++attempt) {
        auto send = sends.front();
        if (send.member == kCold && at >= kStart) sent.push_back(at);
        auto role = send.member == 1 ? Role::kPrimary : Role::kReplica;
        bool missed = send.member != 1 && chance() < 0.2;
        auto ended = outcome(send, attempt, missed ? Status::kDeclined : Status::kSuccess, role);
        ended.taken = send.member == kCold ? 10ms : 40ms;  // it looks the better choice
        sends = only<Send>(router.handle(at + 5ms, {ended}));
      }
      bool burst = at >= kStart + 4s && at < kStart + 7s;
      double rate = 3 * 0.8 * calls_per_second * (burst ? 1.5 : 1);
      at += Micros(static_cast<std::int64_t>(-std::log(1 - chance()) * 1e6 / rate));
    }
    calls += sent.size();
    for (std::size_t first = 0, last = 0; first < sent.size(); ++first) {
      if (sent[first] + s.overload_window > kStart + s.warm_up) break;  // it is warm before this window ends
      while (last < sent.size() && sent[last] - sent[first] < s.overload_window) ++last;
      double age =
          static_cast<double>((sent[first] - kStart).count()) / static_cast<double>(s.warm_up.count());
      double part = std::min(1.0, s.initial_capacity_share + (1 - s.initial_capacity_share) * age);
      double n =
          tip_multiple * part * calls_per_second * static_cast<double>(s.overload_window.count()) / 1e6;
      double most = n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
      ASSERT_LE(static_cast<double>(last - first), most) << "seed " << seed << ", at " << sent[first].count();
    }
  }
  EXPECT_GT(calls, 0u) << "it is used while it is cold";
}

INSTANTIATE_TEST_SUITE_P(Fleets, SlowStart,
                         ::testing::Values(SlowStartCase{1, 3, 20}, SlowStartCase{3, 1.5, 40},
                                           SlowStartCase{3, 3, 4}, SlowStartCase{20, 2, 20},
                                           SlowStartCase{30, 4, 40}, SlowStartCase{30, 1.2, 8},
                                           SlowStartCase{300, 3, 20}, SlowStartCase{300, 1.5, 40},
                                           SlowStartCase{30, 1.2, 200}));

struct Book {
  Request r;
  std::vector<std::pair<Send, Micros>> sends;
  std::vector<int> out;
  bool may_have_run = false;
  Micros first_ran{0};
  bool answered = false, told = false;
};

struct Told {
  Condition condition = Condition::kReady;
  Micros at{0};
  bool was_primary = false, denied = false;
  Micros denied_at{0};
  Micros position{0};
};

class Random : public ::testing::TestWithParam<int> {};

TEST_P(Random, LawfulSequencesKeepTheRules) {
  std::mt19937 random(static_cast<unsigned>(GetParam()));
  auto pick = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
  auto s = settings(pick(2) ? Checks::kOff : Checks::kReject);
  s.positions = pick(2);
  s.probes = pick(4) != 0;
  s.removal_not_binding = pick(4) == 0;
  s.max_attempts = 1 + pick(6);
  Router router(s, static_cast<std::uint64_t>(GetParam()));
  Micros now = 10s;
  std::map<RequestId, Book> books;
  std::map<MemberId, Told> told;
  std::vector<MemberId> probes;
  std::vector<Micros> timers;
  std::vector<Event> events{list(ListKind::kCached, {entry(1, true), entry(2), entry(3), entry(4)})};
  for (MemberId m = 1; m <= 4; ++m) told[m].was_primary = m == 1;
  RequestId next = 1;
  std::size_t sent = 0, finals = 0;

  auto settle = [&](const std::vector<Action>& actions) {
    for (auto& action : actions) {
      if (auto* send = std::get_if<Send>(&action)) {
        ++sent;
        ASSERT_TRUE(books.count(send->id));
        auto& b = books[send->id];
        auto& t = told[send->member];
        auto& c = s.classes[b.r.request_class];
        ASSERT_FALSE(b.answered || b.told) << "a send after the final answer";
        ASSERT_TRUE(b.out.empty()) << "two attempts at once";
        ASSERT_LT(static_cast<int>(b.sends.size()), s.max_attempts);
        ASSERT_LE(now + send->timeout, b.r.expires + 1ms);
        if (b.may_have_run) {
          ASSERT_NE(c.effect, Effect::kUnsafe) << "an effect twice";
          if (c.effect == Effect::kKeyed) {
            ASSERT_LE(now - b.first_ran, c.key_window);
          }
        }
        bool binds = t.condition == Condition::kDraining ||
                     (t.condition == Condition::kGone && !s.removal_not_binding);
        if (binds) {
          ASSERT_LE(now - t.at, s.drain_grace) << "a drain broken";
        }
        if (s.checks == Checks::kOff && c.level == ReadLevel::kBounded && !(t.was_primary && !t.denied)) {
          ASSERT_LE(now - t.position, c.bound) << "a stale read";
        }
        if (s.checks == Checks::kOff && c.level == ReadLevel::kSession && *b.r.write_age > 0ms &&
            !(t.was_primary && !t.denied)) {
          ASSERT_GE(t.position, b.r.expires - 2s - *b.r.write_age) << "a stale session read";
        }
        b.out.push_back(static_cast<int>(b.sends.size()));
        b.sends.emplace_back(*send, now);
      } else if (auto* reject = std::get_if<Reject>(&action)) {
        auto& b = books.at(reject->id);
        ASSERT_FALSE(b.answered || b.told) << "two final answers";
        ASSERT_TRUE(s.classes[b.r.request_class].effect == Effect::kPure ||
                    (!b.may_have_run && b.out.empty()));
        b.answered = true;
        ++finals;
      } else if (auto* fail = std::get_if<Fail>(&action)) {
        auto& b = books.at(fail->id);
        ASSERT_FALSE(b.answered || b.told) << "two final answers";
        b.answered = true;
        ++finals;
      } else if (auto* probe = std::get_if<Probe>(&action)) {
        ASSERT_TRUE(s.probes);
        probes.push_back(probe->member);
      } else if (auto* timer = std::get_if<SetTimer>(&action)) {
        timers.push_back(now + timer->after);
      } else if (auto* cancel = std::get_if<Cancel>(&action)) {
        ASSERT_TRUE(books.count(cancel->id)) << "a cancel of what never came";
        ASSERT_LT(cancel->attempt, static_cast<int>(books[cancel->id].sends.size()));
        ASSERT_NE(s.classes[books[cancel->id].r.request_class].effect, Effect::kUnsafe)
            << "it could not be sent again";
      }
    }
  };

  const Micros end = 24s;
  Micros stood_until = now;
  for (; now < end + 3s; now += 5ms) {
    if (now < end && pick(500) == 0) stood_until = now += 100ms * (1 + pick(20));  // it stands still
    if (now < end && pick(3) == 0) {
      auto r = request(next++, static_cast<Class>(pick(6)), now + 2s);
      if (r.request_class == kSession) r.write_age = Micros(pick(2) * pick(400000));
      books[r.id].r = r;
      events.push_back(r);
    }
    if (now < end && pick(100) == 0) {
      MemberId m = 1 + static_cast<MemberId>(pick(4));
      auto condition = static_cast<Condition>(pick(3));
      auto& t = told[m];
      bool bound =
          t.condition == Condition::kDraining || (t.condition == Condition::kGone && !s.removal_not_binding);
      bool binds = condition == Condition::kDraining ||
                   (condition == Condition::kGone && !s.removal_not_binding) ||
                   (condition == Condition::kGone && t.condition == Condition::kDraining);
      if (condition == Condition::kGone && t.condition == Condition::kDraining)
        condition = Condition::kDraining;
      if (binds && !bound) t.at = now;
      t.condition = condition;
      events.push_back(list(ListKind::kDelta, {entry(m, false, condition, pick(2) ? now - 100ms : 0ms)}));
    }
    for (auto it = probes.begin(); it != probes.end();) {
      if (pick(4) == 0) {
        auto& t = told[*it];
        if (pick(6) == 0) {
          ProbeResult lost;
          lost.member = *it;
          events.push_back(lost);
        } else {
          t.position = std::max(t.position, now - Micros(pick(600000)));
          bool primary = pick(4) == 0;
          t.was_primary = t.was_primary || primary;
          if (primary && t.position > t.denied_at) t.denied = false;
          events.push_back(probed(*it, t.position, primary));
        }
        it = probes.erase(it);
      } else {
        ++it;
      }
    }
    for (auto it = timers.begin(); it != timers.end();) {
      if (*it > now) {
        ++it;
        continue;
      }
      it = timers.erase(it);
      events.push_back(TimerFired{1});
    }

    for (auto& [id, b] : books) {
      if (b.out.empty()) {
        if (!b.answered && !b.told) {
          ASSERT_LE(now, std::max(b.r.expires, stood_until) + s.answer_slack) << "a request was lost";
        }
        continue;
      }
      int attempt = b.out[0];
      auto& [send, at] = b.sends[static_cast<std::size_t>(attempt)];
      bool due = now >= b.r.expires;
      if (!due && pick(20) != 0) continue;
      auto status = due ? Status::kTimedOut : static_cast<Status>(pick(9));
      if (status == Status::kTimedOut && !due) status = Status::kBroken;
      auto o = outcome(send, attempt, status);
      o.closed = b.answered || status == Status::kSuccess;
      bool noted = status == Status::kSuccess || status == Status::kDeclined ||
                   status == Status::kOverloaded || status == Status::kFailure;
      if (noted) {
        o.role = pick(3) ? Role::kReplica : Role::kPrimary;
        auto& t = told[send.member];
        if (o.role == Role::kReplica)
          t.denied = true, t.denied_at = now;
        else
          t.was_primary = true, t.denied = false;
      }
      bool ran = status == Status::kSuccess || status == Status::kFailure || status == Status::kTimedOut ||
                 status == Status::kBroken || status == Status::kCancelled;
      if (ran && !b.may_have_run) b.first_ran = at;
      b.may_have_run = b.may_have_run || ran;
      b.told = b.told || status == Status::kSuccess;
      b.out.clear();
      events.push_back(o);
    }
    settle(router.handle(now, events));
    if (HasFatalFailure()) return;
    events.clear();
  }
  for (auto& [id, b] : books) EXPECT_TRUE(b.answered || b.told) << "request " << id << " has no final answer";
  EXPECT_GT(sent, 20u);
  EXPECT_GT(finals, 20u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Random, ::testing::Range(1, 41));

}  // namespace
}  // namespace request_router::test
