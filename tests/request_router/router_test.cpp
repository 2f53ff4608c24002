// The mechanism, member by member and request by request: one small test for each thing that must hold.
#include <map>
#include <set>

#include "request_router/support.h"

namespace request_router::test {
namespace {

// A group of a primary (1) and two replicas (2, 3), whose positions are told by probes.
struct Trio : ::testing::Test {
  explicit Trio(Settings s = settings()) : router(s, 7) {
    router.handle(10s, {list(ListKind::kFull, {entry(1, true), entry(2), entry(3)})});
    router.handle(10s + 5ms, {probed(1, 10s, true), probed(2, 9990ms, false), probed(3, 9990ms, false)});
  }
  Router router;
};
struct CheckingTrio : Trio {
  CheckingTrio() : Trio(settings(Checks::kReject)) {}
};

TEST_F(Trio, BoundedReadGoesToAFreshReplica) {
  auto sends = only<Send>(router.handle(10s + 50ms, {request(1, kBounded, 12s)}));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_NE(sends[0].member, 1u);
}

TEST_F(Trio, WritesAndFreshReadsGoToThePrimary) {
  for (auto request_class : {kFresh, kWrite, kKeyedWrite}) {
    auto sends = only<Send>(router.handle(10s + 50ms, {request(10 + request_class, request_class, 12s)}));
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_EQ(sends[0].member, 1u);
  }
}

TEST_F(Trio, AWriteWaitsBeyondHalfItsTimeOnlyWhereThoseAheadLeaveRoom) {
  std::vector<Event> many;
  for (RequestId id = 1; id <= 250; ++id) many.emplace_back(request(id, kWrite, 12s));
  auto actions = router.handle(10s + 10ms, many);
  auto sent = only<Send>(actions).size();
  ASSERT_LT(sent, 100u);
  std::size_t refused = only<Reject>(actions).size();
  for (auto now = 10s + 40ms; now < 10s + 1200ms; now += 25ms)
    refused += only<Reject>(router.handle(now, {TimerFired{1}, probed(1, now, true)})).size();
  EXPECT_GT(refused, 50u);         // they would not have their turn
  EXPECT_LT(refused, 250 - sent);  // the first of them may
}

TEST_F(Trio, BoundedReadIsPostponedWhileReplicasLagAndWakesOnANewPosition) {
  auto actions = router.handle(11s, {request(1, kBounded, 13s)});  // positions are 1 s old, the bound 300 ms
  EXPECT_TRUE(only<Send>(actions).empty());
  EXPECT_FALSE(only<Probe>(actions).empty());
  auto sends = only<Send>(router.handle(11s + 10ms, {probed(3, 10950ms, false)}));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_EQ(sends[0].member, 3u);
}

TEST_F(Trio, AnOldPositionNeverReplacesANewer) {
  router.handle(11s, {probed(2, 10950ms, false), probed(2, 9s, false)});
  auto sends = only<Send>(router.handle(11s + 5ms, {request(1, kBounded, 13s)}));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_EQ(sends[0].member, 2u);
}

TEST_F(Trio, SessionReadNeedsAReplicaPastItsWrite) {
  EXPECT_TRUE(only<Send>(router.handle(10s + 50ms, {request(1, kSession, 12s, 20ms)})).empty());
  auto sends = only<Send>(router.handle(10s + 60ms, {request(2, kSession, 12s, 200ms)}));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_EQ(sends[0].id, 2u);
  sends = only<Send>(router.handle(10s + 70ms, {request(3, kSession, 12s, 0ms)}));
  EXPECT_EQ(sends.size(), 1u) << "no write known: it reads like an any read";
}

TEST(Session, OwnWriteAnswersMarkTheSession) {
  auto s = settings();
  s.client_carries_write_age = false;
  Router router(s, 1);
  router.handle(10s, {list(ListKind::kFull, {entry(1, true), entry(2)})});
  router.handle(10s + 5ms, {probed(1, 10s, true), probed(2, 10s, false)});
  auto sends = only<Send>(router.handle(10s + 10ms, {request(1, kWrite, 12s)}));
  ASSERT_EQ(sends.size(), 1u);
  router.handle(10s + 60ms, {outcome(sends[0], 0, Status::kSuccess, Role::kPrimary, 10s + 50ms)});
  EXPECT_TRUE(only<Send>(router.handle(10s + 65ms, {request(2, kSession, 12s)})).empty());
  sends = only<Send>(router.handle(10s + 90ms, {probed(2, 10s + 80ms, false)}));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_EQ(sends[0].member, 2u);
}

// Marks of sessions grew without end; once dropped, every session is held to the newest of them.
TEST(Session, MarksThatWereDroppedStillHold) {
  auto s = settings();
  s.client_carries_write_age = false;
  Router router(s, 1);
  router.handle(10s, {list(ListKind::kFull, {entry(1, true), entry(2)})});
  router.handle(10s + 5ms, {probed(1, 10s, true), probed(2, 10s, false)});
  for (RequestId id = 1; id <= 20002; ++id) {
    auto r = request(id, kWrite, 12s);
    r.key = id;
    for (auto& send : only<Send>(router.handle(10s + 10ms, {r})))
      router.handle(10s + 10ms, {outcome(send, 0, Status::kSuccess, Role::kPrimary, 10s + 8ms)});
  }
  auto read = request(30000, kSession, 12s);
  read.key = 1;
  EXPECT_TRUE(only<Send>(router.handle(10s + 20ms, {read})).empty()) << "its replica stood at 10 s";
  EXPECT_EQ(only<Send>(router.handle(10s + 30ms, {probed(2, 10s + 20ms, false)})).size(), 1u);
}

TEST_F(CheckingTrio, AReplicaSlightlyBehindMayBeTriedWhereMembersCheckReads) {
  auto sends = only<Send>(router.handle(10s + 50ms, {request(1, kSession, 12s, 20ms)}));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_NE(sends[0].member, 1u);
}

TEST_F(CheckingTrio, ATurnedAwayReadIsTriedElsewhere) {
  auto sends = only<Send>(router.handle(10s + 50ms, {request(1, kSession, 12s, 20ms)}));
  ASSERT_EQ(sends.size(), 1u);
  auto next =
      only<Send>(router.handle(10s + 55ms, {outcome(sends[0], 0, Status::kDeclined, Role::kReplica, 10s)}));
  ASSERT_EQ(next.size(), 1u);
  EXPECT_NE(next[0].member, sends[0].member);
}

TEST_F(Trio, TheLeastCostSpreadsReads) {
  std::set<MemberId> used;
  for (RequestId id = 1; id <= 4; ++id)
    for (auto& send : only<Send>(router.handle(10s + 50ms, {request(id, kAny, 12s)})))
      used.insert(send.member);
  EXPECT_EQ(used, (std::set<MemberId>{2, 3}));
}

TEST_F(Trio, AMissEndsTheRoleAtOnceAndTheNewPrimaryGetsTheWrite) {
  auto sends = only<Send>(router.handle(10s + 50ms, {request(1, kWrite, 15s)}));
  ASSERT_EQ(sends.size(), 1u);
  ASSERT_EQ(sends[0].member, 1u);
  auto tried =
      only<Send>(router.handle(10s + 55ms, {outcome(sends[0], 0, Status::kDeclined, Role::kReplica)}));
  ASSERT_EQ(tried.size(), 1u) << "a replica turns a write away untouched, so one may be tried";
  ASSERT_NE(tried[0].member, 1u);
  tried = only<Send>(router.handle(10s + 60ms, {outcome(tried[0], 1, Status::kDeclined, Role::kReplica)}));
  ASSERT_EQ(tried.size(), 1u);
  EXPECT_TRUE(only<Send>(router.handle(10s + 65ms, {outcome(tried[0], 2, Status::kDeclined, Role::kReplica)}))
                  .empty());
  sends = only<Send>(router.handle(10s + 100ms, {probed(1, 10s, true), probed(3, 10s + 90ms, true)}));
  ASSERT_EQ(sends.size(), 1u) << "the old claim speaks of a time before the miss";
  EXPECT_EQ(sends[0].member, 3u);
}

TEST_F(Trio, OfTwoPrimariesTheNewerClaimWins) {
  router.handle(10s + 100ms, {probed(2, 10s + 90ms, true), probed(1, 10s + 20ms, true)});
  auto sends = only<Send>(router.handle(10s + 105ms, {request(1, kWrite, 15s)}));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_EQ(sends[0].member, 2u);
}

TEST(Roles, WithoutAKnownPrimaryTheGroupIsProbedAndTheWriteHeld) {
  auto s = settings();
  s.list_role = ListRole::kOff;
  Router router(s, 1);
  router.handle(10s, {list(ListKind::kFull, {entry(1), entry(2)})});
  auto actions = router.handle(10s + 5ms, {request(1, kWrite, 12s)});
  EXPECT_TRUE(only<Send>(actions).empty());
  EXPECT_EQ(only<Probe>(actions).size(), 2u);
  auto sends = only<Send>(router.handle(10s + 10ms, {probed(2, 10s + 5ms, true)}));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_EQ(sends[0].member, 2u);
}

// Of hundreds of routers each has a small part of the probes, too small to learn any role where nothing is
// tried.
TEST(Roles, WhereMembersCheckNothingTheFirstSearchForAPrimaryIsWhole) {
  for (auto checks : {Checks::kOff, Checks::kReject}) {
    auto s = settings(checks);
    s.list_role = ListRole::kOff;
    s.routers = 300;
    Router router(s, 1);
    std::size_t probes = 0;
    auto feed = [&](Micros at, std::vector<Event> events) {
      probes += only<Probe>(router.handle(at, events)).size();
    };
    feed(10s, {list(ListKind::kFull, {entry(1), entry(2), entry(3), entry(4)})});
    feed(10s + 10ms, {request(1, kFresh, 12s)});
    if (checks == Checks::kOff)
      EXPECT_EQ(probes, 4u);
    else
      EXPECT_LT(probes, 4u) << "elsewhere the budget holds";
    feed(10s + 20ms,
         {probed(1, 10s, false), probed(2, 10s, false), probed(3, 10s, false), probed(4, 10s, false)});
    for (Micros at = 10s + 45ms; at < 10s + 300ms; at += 25ms) feed(at, {TimerFired{1}, TimerFired{2}});
    EXPECT_LE(probes, 8u) << "later searches are within it";
  }
}

TEST_F(Trio, ASilentMemberGetsNothingNewUntilItIsHeardOf) {
  auto sends = only<Send>(router.handle(10s + 50ms, {request(1, kWrite, 15s)}));
  ASSERT_EQ(sends.size(), 1u);
  for (Micros at = 10s + 75ms; at < 11s; at += 25ms)
    router.handle(at, {TimerFired{1}});  // probes stay unanswered
  EXPECT_TRUE(only<Send>(router.handle(11s, {request(2, kWrite, 15s)})).empty());
  sends = only<Send>(router.handle(11s + 5ms, {probed(3, 11s, true)}));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_EQ(sends[0].member, 3u);
}

// Hundreds of routers that probed and woke on their own cost members more than the requests did.
TEST_F(Trio, WithNothingToDoItNeitherProbesNorWakes) {
  router.handle(10s + 25ms, {TimerFired{1}});
  for (Micros at = 10s + 50ms; at < 20s; at += 25ms) EXPECT_TRUE(router.handle(at, {TimerFired{1}}).empty());
}

// Over a slow way every probe takes long; that is no silence once it has been seen.
TEST_F(Trio, ASlowWayIsNotTakenForSilence) {
  auto slow = [](MemberId m, Micros position) {
    auto p = probed(m, position, m == 1);
    p.taken = 150ms;
    return p;
  };
  router.handle(10s + 200ms, {slow(1, 10s + 100ms)});
  auto sends = only<Send>(router.handle(10s + 250ms, {request(1, kWrite, 15s)}));
  ASSERT_EQ(sends.size(), 1u);
  std::size_t probes = 0;
  Micros at = 10s + 275ms;
  for (; probes == 0 && at < 12s; at += 25ms) probes = only<Probe>(router.handle(at, {TimerFired{1}})).size();
  ASSERT_EQ(probes, 1u) << "its answer is overdue";
  Micros asked = at - 25ms;
  router.handle(asked + 300ms, {TimerFired{1}});
  EXPECT_EQ(only<Send>(router.handle(asked + 300ms, {request(2, kWrite, 15s)})).size(), 1u);
}

// A read that was out when its member fell silent waited there until the client gave up.
TEST_F(Trio, AReadOutAtASilentMemberIsCalledBackAndServedElsewhere) {
  auto sends = only<Send>(router.handle(10s + 50ms, {request(1, kAny, 12s)}));
  ASSERT_EQ(sends.size(), 1u);
  std::vector<Cancel> back;
  Micros at = 10s + 75ms;
  for (; back.empty() && at < 11s; at += 25ms) back = only<Cancel>(router.handle(at, {TimerFired{1}}));
  ASSERT_EQ(back.size(), 1u);
  EXPECT_EQ(back[0].id, 1u);
  EXPECT_LT(at, 10s + 400ms) << "while it can still be in time";
  auto again = only<Send>(router.handle(at, {outcome(sends[0], 0, Status::kCancelled)}));
  ASSERT_EQ(again.size(), 1u);
  EXPECT_NE(again[0].member, sends[0].member);
}

// Plays reads that fail where `bad` says so; returns how many of the later ones are first sent to member 2.
template <typename Bad>
int first_sent_to_two(Router& router, Bad bad) {
  int to_two = 0;
  RequestId id = 1;
  for (Micros at = 10s + 50ms; at < 11s; at += 5ms, ++id) {
    auto sends = only<Send>(router.handle(at, {request(id, kAny, at + 2s)}));
    if (!sends.empty() && sends[0].member == 2 && at > 10s + 500ms) ++to_two;
    for (int attempt = 0; !sends.empty(); ++attempt) {
      bool failed = bad(sends[0].member, id);
      sends = only<Send>(router.handle(
          at, {outcome(sends[0], attempt, failed ? Status::kFailure : Status::kSuccess, Role::kReplica)}));
    }
  }
  return to_two;
}

TEST_F(Trio, AnErringReplicaIsSetAside) {
  EXPECT_EQ(first_sent_to_two(router, [](MemberId m, RequestId) { return m == 2; }), 0);
}

// Errors that came with the request, alike at every member, once made each router eject members in turn.
TEST(Errors, ThatFollowTheRequestEjectNobodyAndAreNotSentOnAndOn) {
  int to_two = 0, attempts = 0;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    Router router(settings(), seed);
    router.handle(10s, {list(ListKind::kFull, {entry(1, true), entry(2), entry(3)})});
    router.handle(10s + 5ms, {probed(1, 10s, true), probed(2, 9990ms, false), probed(3, 9990ms, false)});
    to_two += first_sent_to_two(router, [&](MemberId, RequestId id) { return id % 2 == 0 && ++attempts; });
  }
  EXPECT_GT(to_two, 100) << "half of the routers prefer member 2";
  EXPECT_LE(attempts, 2 * 8 * 95) << "two members are asked, no more";
}

TEST_F(Trio, AReadThatFailedIsSentAgainElsewhere) {
  auto sends = only<Send>(router.handle(10s + 50ms, {request(1, kAny, 12s)}));
  ASSERT_EQ(sends.size(), 1u);
  auto again =
      only<Send>(router.handle(10s + 60ms, {outcome(sends[0], 0, Status::kFailure, Role::kReplica)}));
  EXPECT_EQ(again.size(), 1u);
}

// Spread over the replicas, long reads stopped every one of them from applying the log.
TEST_F(Trio, LongAnyReadsAreGatheredOnOneReplica) {
  auto s = settings();
  s.classes.push_back(s.classes[kAny]);
  s.classes.back().latency_objective = 2s;
  s.classes.back().deadline = 4s;
  Router router(s, 1);
  router.handle(10s, {list(ListKind::kFull, {entry(1, true), entry(2), entry(3)})});
  router.handle(10s + 5ms, {probed(1, 10s, true), probed(2, 10s, false), probed(3, 10s, false)});
  std::set<MemberId> used;
  for (RequestId id = 1; id <= 6; ++id) {
    auto r = request(id, kAny, 14s);
    r.request_class = s.classes.size() - 1;
    Micros at = 10s + 10ms * static_cast<int>(id);
    for (auto& send : only<Send>(router.handle(at, {r}))) {
      used.insert(send.member);
      router.handle(at + 5ms, {outcome(send, 0, Status::kSuccess, Role::kReplica)});
    }
  }
  EXPECT_EQ(used.size(), 1u);
}

// Members full of connections answered every probe, and were tried again at once by a thousand routers.
TEST_F(Trio, AReplicaThatCouldNotBeReachedIsLeftAloneThoughItAnswersProbes) {
  auto sends = only<Send>(router.handle(10s + 50ms, {request(1, kAny, 12s)}));
  ASSERT_EQ(sends.size(), 1u);
  auto shut = sends[0].member;
  router.handle(10s + 55ms, {outcome(sends[0], 0, Status::kUnreachable)});
  router.handle(10s + 60ms, {probed(shut, 10s + 50ms, false)});
  for (RequestId id = 2; id < 8; ++id)
    for (auto& send :
         only<Send>(router.handle(10s + 60ms + 5ms * static_cast<int>(id), {request(id, kAny, 12s)})))
      EXPECT_NE(send.member, shut);
}

// Rescued reads of many routers, each using half of a limit of one, crowded writes out at primaries.
TEST(Sums, ReadsAtALonePrimaryAreItsPartWhereLimitsAreSmall) {
  auto s = settings();
  s.routers = 400;
  int sent = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    Router router(s, seed);
    router.handle(10s, {list(ListKind::kFull, {entry(1, true), entry(2, false, Condition::kDraining),
                                               entry(3, false, Condition::kDraining),
                                               entry(4, false, Condition::kDraining)})});
    router.handle(10s + 5ms, {probed(1, 10s, true)});
    for (auto& send : only<Send>(router.handle(10s + 10ms, {request(1, kAny, 12s)})))
      sent += send.member == 1;
  }
  EXPECT_GT(sent, 120);
  EXPECT_LT(sent, 260) << "half of 400, twice a member's part";
}

// With list order as the tie-break hundreds of routers that knew the same chose the same.
TEST(Herds, RoutersWithEqualKnowledgeSpreadOverEqualMembers) {
  auto s = settings();
  s.classes.push_back(s.classes[kAny]);
  s.classes.back().latency_objective = 2s;
  s.classes.back().deadline = 4s;
  for (std::size_t request_class : {std::size_t{kAny}, s.classes.size() - 1}) {
    auto first = [&](std::uint64_t seed) {
      Router router(s, seed);
      router.handle(10s, {list(ListKind::kFull, {entry(1, true), entry(2), entry(3), entry(4)})});
      auto r = request(1, kAny, 14s);
      r.request_class = request_class;
      auto sends = only<Send>(router.handle(10s + 5ms, {r}));
      return sends.empty() ? MemberId{0} : sends[0].member;
    };
    std::map<MemberId, int> count;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
      ++count[first(seed)];
      EXPECT_EQ(first(seed), first(seed));
    }
    for (MemberId m = 2; m <= 4; ++m)
      EXPECT_GT(count[m], 60) << "class " << request_class << ", member " << m;
  }
}

// In overload the oldest went first, which had waited until it was late as well, and so was the next.
TEST(Overload, WhatCanSurelyBeInTimeGoesBeforeWhatIsOlderAndMayNot) {
  auto s = settings();
  s.routers = 16;  // one attempt at a time at each member
  Router router(s, 7);
  router.handle(10s, {list(ListKind::kFull, {entry(2), entry(3)})});
  router.handle(10s + 5ms, {probed(2, 9s, false), probed(3, 9s, false)});
  router.handle(10s + 300ms, {request(1, kBounded, 12300ms)});
  router.handle(10s + 450ms, {request(2, kBounded, 12450ms)});
  router.handle(10s + 455ms, {request(3, kBounded, 12455ms)});
  auto sends = only<Send>(router.handle(10s + 600ms, {probed(2, 10s + 590ms, false)}));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_EQ(sends[0].id, 2u) << "the first has 100 ms left, and a read takes 80; of the others, the older";
}

// Replicas that were up to date were probed at every turn while reads waited for room: whole budgets went so.
TEST(Probes, ReadsThatWaitForRoomAskNobody) {
  auto s = settings();
  s.routers = 16;
  Router router(s, 7);
  router.handle(10s, {list(ListKind::kFull, {entry(1, true), entry(2), entry(3)})});
  router.handle(10s + 5ms, {probed(1, 10s, true), probed(2, 9990ms, false), probed(3, 9990ms, false)});
  std::size_t probes = 0;
  for (RequestId id = 1; id <= 8; ++id) {
    auto at = 10s + 5ms * (10 + id);
    probes += only<Probe>(router.handle(at, {request(id, id % 2 ? kAny : kBounded, at + 2s)})).size();
  }
  EXPECT_EQ(probes, 0u);
}

// Hundreds of routers with one attempt each kept a primary's queue full for good: each met it too seldom to
// learn of it, and all that it worked on had been given up.
TEST(Overload, AMemberThatWasLateIsAskedHowMuchItHoldsBeforeItGetsMore) {
  for (bool told : {true, false}) {
    auto s = settings();
    s.routers = 30;
    s.report_in_flight = told;
    Router router(s, 7);
    router.handle(10s, {list(ListKind::kFull, {entry(1, true), entry(2)})});
    router.handle(10s + 5ms, {probed(1, 10s, true), probed(2, 9990ms, false)});
    auto sends = only<Send>(router.handle(10s + 50ms, {request(1, kWrite, 15s)}));
    ASSERT_EQ(sends.size(), 1u);
    auto next = router.handle(10s + 60ms, {outcome(sends[0], 0, Status::kOverloaded, Role::kPrimary)});
    ASSERT_EQ(only<Send>(next).empty(), told);
    if (!told) continue;
    std::size_t probes = 0;
    Micros at = 10s + 65ms;
    for (; at < 10s + 800ms; at += 5ms) {
      std::vector<Event> events{TimerFired{1}, TimerFired{2}};
      for (auto& asked : only<Probe>(next)) {
        ++probes;
        ASSERT_EQ(asked.member, 1u);
        auto answer = probed(1, at, true);
        answer.report.held = 110;
        events.push_back(answer);
      }
      next = router.handle(at, events);
      EXPECT_TRUE(only<Send>(next).empty());
    }
    EXPECT_GE(probes, 2u);
    EXPECT_LE(probes, 4u) << "some time lies between them";
    auto answer = probed(1, at, true);
    answer.report.held = 9;
    EXPECT_EQ(only<Send>(router.handle(at, {answer})).size(), 1u);
  }
}

TEST_F(Trio, APostponedBoundedReadGetsALastChanceAtThePrimary) {
  router.handle(11s, {probed(2, 10s + 10ms, false), probed(3, 10s + 10ms, false)});  // both truly lag
  EXPECT_TRUE(only<Send>(router.handle(11s + 5ms, {request(1, kBounded, 13s)})).empty());
  std::vector<Send> sends;
  Micros at = 11s + 10ms;
  for (; sends.empty() && at < 11s + 405ms; at += 5ms) sends = only<Send>(router.handle(at, {TimerFired{2}}));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_EQ(sends[0].member, 1u);
  EXPECT_GT(at, 11s + 200ms) << "only once waiting on would make it late";
}

TEST_F(Trio, ALimitFallsWithLatencyInAims) {
  RequestId id = 1;
  for (Micros at = 10s + 50ms; at < 20s; at += 900ms)  // each answer takes two aims
    for (int n = 0; n < 4; ++n)
      for (auto& send : only<Send>(router.handle(
               at + 1ms, {probed(2, at, false), probed(3, at, false), request(id++, kAny, at + 2s)})))
        router.handle(at + 800ms, {outcome(send, 0, Status::kSuccess, Role::kReplica)});
  std::size_t sent = 0;
  for (int n = 0; n < 30; ++n) sent += only<Send>(router.handle(21s, {request(id++, kAny, 23s)})).size();
  EXPECT_LT(sent, 20u) << "two replicas began with room for twelve each";
}

// After a pause of its own a router sent what clients no longer wanted, and called members slow for its
// sleep.
// A primary whose writes waited for a lagging replica was left with one write at a time and a pause after it,
// long after the replica had caught up.
TEST(Limits, KeepAFloorSharedByTheRouters) {
  for (int routers : {1, 4, 100}) {
    auto s = settings();
    s.routers = routers;
    Router router(s, 1);
    router.handle(10s, {list(ListKind::kFull, {entry(1, true), entry(2)})});
    auto now = 10s + 5ms;
    router.handle(now, {probed(1, now, true), probed(2, now, false)});
    RequestId id = 0;
    for (int i = 0; i < 300; ++i, now += 2s)  // each alone, and each as slow as a request can be
      for (auto& send : only<Send>(router.handle(now, {request(++id, kWrite, now + 5s)}))) {
        auto o = outcome(send, 0, Status::kSuccess, Role::kPrimary, now + 1s);
        o.taken = 1s;
        router.handle(now + 1s, {o});
      }
    now += 3s;  // where the floor is under one attempt, the next waits four times as long as one takes
    std::size_t sent = 0;
    for (int i = 0; i < 20; ++i)
      sent += only<Send>(router.handle(now, {request(++id, kWrite, now + 5s)})).size();
    EXPECT_GE(sent, routers == 1 ? 6u : routers == 4 ? 2u : 1u);
    EXPECT_LE(sent, routers == 1 ? 8u : routers == 4 ? 2u : 1u);
  }
}

// Every choice looked through all members there ever were.
TEST_F(Trio, MembersThatHaveLongGoneAreForgotten) {
  Micros now = 11s;
  for (MemberId m = 10; m < 500; ++m, now += 1s) {
    router.handle(now, {list(ListKind::kDelta, {entry(m)})});
    router.handle(now + 500ms, {list(ListKind::kDelta, {entry(m, false, Condition::kGone)})});
    EXPECT_LT(router.members(), 30u);
  }
  router.handle(now, {probed(2, now, false)});
  EXPECT_EQ(only<Send>(router.handle(now, {request(1, kBounded, now + 2s)})).size(), 1u);
  // One that comes back is new.
  router.handle(now, {list(ListKind::kDelta, {entry(10)})});
  router.handle(now + 1s, {list(ListKind::kDelta, {entry(10, false, Condition::kGone)})});
  EXPECT_LT(router.members(), 30u);
}

// A read out on a connection that had fallen silent was waited for until its client gave up: its member
// answers probes all the while.
TEST_F(Trio, WhereAttemptsVanishLateOnesAreCalledBackInTime) {
  auto run = [](bool vanish) {
    Router r(settings(), 7);
    r.handle(10s, {list(ListKind::kFull, {entry(1, true), entry(2)})});
    Micros now = 10s + 5ms;
    int cancels = 0;
    for (RequestId id = 1; id <= 400; ++id, now += 50ms) {
      r.handle(now, {probed(1, now, true), probed(2, now, false)});
      for (auto& send : only<Send>(r.handle(now, {request(id, kBounded, now + 1s)}))) {
        bool lost = vanish && id % 20 == 0;
        auto o = outcome(send, 0, lost ? Status::kTimedOut : Status::kSuccess);
        o.taken = 20ms;
        for (Micros at = now + 30ms; lost && at < now + 1s; at += 30ms) {
          auto actions = r.handle(at, {TimerFired{1}, probed(1, at, true), probed(2, at, false)});
          auto called = only<Cancel>(actions);
          if (called.empty()) continue;
          ++cancels;
          EXPECT_LT(at, now + 400ms) << "too late for another";
          auto again = only<Send>(r.handle(at, {outcome(send, 0, Status::kCancelled)}));
          EXPECT_EQ(again.size(), 1u);
          for (auto& second : again) {
            auto served = outcome(second, 1, Status::kSuccess);
            served.taken = 20ms;
            r.handle(at + 20ms, {served});
          }
          break;
        }
        now += lost ? Micros(1s) : Micros(20ms);
        r.handle(now, {o});
      }
    }
    return cancels;
  };
  EXPECT_EQ(run(false), 0);
  EXPECT_GT(run(true), 5);
}

// A write that no member could take was held until its client had no time left to ask again.
TEST_F(Trio, WhatNoMemberHasHadIsGivenUpBeforeHalfItsTime) {
  Micros at = 10s + 50ms, refused{0};
  router.handle(at, {list(ListKind::kFull, {})});  // all are gone
  router.handle(at, {request(1, kWrite, at + 2s)});
  for (Micros t = at + 5ms; t < at + 2s && refused == 0s; t += 5ms)
    if (!only<Reject>(router.handle(t, {TimerFired{1}})).empty()) refused = t - at;
  EXPECT_GT(refused, 500ms);
  EXPECT_LT(refused, 1s);
}

// Requests of clients that wait less than they take were counted as overload, and others shed for it.
TEST_F(Trio, ImpatientClientsAreNoOverload) {
  Micros now = 11s;
  RequestId id = 0;
  std::size_t sent = 0;
  for (int i = 0; i < 600; ++i, now += 50ms) {
    bool impatient = i % 3 != 0;
    auto actions = router.handle(now, {probed(1, now, true), probed(2, now, false), probed(3, now, false),
                                       request(++id, kBounded, now + (impatient ? 20ms : 2s))});
    sent += impatient ? 0 : only<Send>(actions).size();
    for (auto& send : only<Send>(actions)) {
      auto o = outcome(send, 0, impatient ? Status::kTimedOut : Status::kSuccess);
      o.taken = impatient ? 20ms : 60ms;
      router.handle(now + o.taken, {o});
    }
  }
  EXPECT_EQ(sent, 200u);
}

TEST_F(Trio, NothingIsKeptForGroupsThatClientsMakeUp) {
  auto r = request(1, kAny, 12s);
  r.group = 77;
  EXPECT_EQ(only<Reject>(router.handle(10s + 50ms, {r})).size(), 1u);
}

TEST_F(Trio, AfterItsOwnPauseItRefusesTheHopelessAndBlamesNoMember) {
  auto sends = only<Send>(router.handle(10s + 50ms, {request(1, kAny, 12s + 50ms)}));
  ASSERT_EQ(sends.size(), 1u);
  auto late = outcome(sends[0], 0, Status::kSuccess, Role::kReplica);
  late.taken = 20ms;
  auto actions = router.handle(
      11s + 550ms, {TimerFired{1}, request(2, kAny, 12s + 150ms), request(3, kAny, 13s + 450ms), late});
  EXPECT_EQ(only<Reject>(actions).size(), 1u) << "came 1.4 s ago, wanted within 0.4";
  sends = only<Send>(actions);
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_EQ(sends[0].id, 3u);
  EXPECT_TRUE(only<Probe>(actions).empty()) << "nobody was silent";
}

// A proxy feeds one event a call: only the first call of a turn knew of the pause, and requests come last.
TEST_F(Trio, APauseCountsForEveryCallOfTheSameMoment) {
  auto sends = only<Send>(router.handle(10s + 50ms, {request(1, kAny, 12s + 50ms)}));
  ASSERT_EQ(sends.size(), 1u);
  auto late = outcome(sends[0], 0, Status::kSuccess, Role::kReplica);
  late.taken = 20ms;
  router.handle(11s + 550ms, {late});
  auto actions = router.handle(11s + 550ms, {request(3, kAny, 12s + 150ms)});
  EXPECT_EQ(only<Reject>(actions).size(), 1u) << "came 1.4 s ago, wanted within 0.4";
}

TEST(Settings, ImpossibleOnesAreRejectedByName) {
  auto rejects = [](auto change, const char* name) {
    auto s = settings();
    change(s);
    try {
      Router router(s, 1);
      return false;
    } catch (const std::invalid_argument& e) {
      return std::string(e.what()).find(name) != std::string::npos;
    }
  };
  EXPECT_TRUE(rejects([](Settings& s) { s.classes.clear(); }, "classes"));
  EXPECT_TRUE(rejects([](Settings& s) { s.max_attempts = 0; }, "maxAttempts"));
  EXPECT_TRUE(rejects([](Settings& s) { s.step = 0ms; }, "step"));
  EXPECT_TRUE(rejects([](Settings& s) { s.initial_capacity_share = 0; }, "coldShare"));
  EXPECT_TRUE(rejects([](Settings& s) { s.classes[0].latency_objective = 0ms; }, "aim"));
  EXPECT_TRUE(rejects([](Settings& s) { s.routers = 0; }, "router"));
  EXPECT_TRUE(rejects([](Settings& s) { s.classes[kKeyedWrite].key_window = 0ms; }, "key window"));
}

TEST_F(Trio, UnknownAndClosedThingsAreIgnored) {
  Send never{77, 2, 0ms};
  auto actions =
      router.handle(10s + 10ms, {outcome(never, 3, Status::kFailure), ClientGone{99}, TimerFired{5},
                                 probed(44, 1s, true), StreamStarted{1, 1}, PeerMessage{2, "x"}});
  EXPECT_TRUE(only<Send>(actions).empty());
  EXPECT_TRUE(only<Fail>(actions).empty());
}

TEST_F(Trio, ARequestForAnUnknownGroupOrPastItsTimeIsAnswered) {
  auto r = request(1, kAny, 10s + 300ms);
  r.group = 5;
  std::size_t answers = 0;
  for (Micros at = 10s + 10ms; at < 10s + 400ms; at += 25ms) {
    std::vector<Event> events{TimerFired{1}};
    if (at == 10s + 10ms) events.push_back(r);
    answers += only<Reject>(router.handle(at, events)).size();
  }
  EXPECT_EQ(answers, 1u);
  EXPECT_EQ(only<Reject>(router.handle(11s, {request(2, kAny, 10s)})).size(), 1u);
}

// A primary in zone a, and two replicas in each of a, b and c; the router stands in a.
struct Zoned : ::testing::Test {
  Zoned() : router(zoned(), 7) {
    std::vector<MemberEntry> entries;
    for (MemberId m = 1; m <= 7; ++m) {
      auto e = entry(m, m == 1);
      e.zone = zone_of(m);
      entries.push_back(e);
    }
    router.handle(10s, {list(ListKind::kFull, entries)});
  }
  static Settings zoned() {
    auto s = settings();
    s.zone = "a";
    s.classes[kAny].priority_weight = 1;
    s.classes[kBounded].priority_weight = 5;
    return s;
  }
  static std::string zone_of(MemberId m) { return m <= 3 ? "a" : m <= 5 ? "b" : "c"; }
  void plan(std::vector<ZoneShare> shares) { router.handle(now, {Plan{{{1, std::move(shares)}}}}); }
  void hear(Micros at) {
    for (MemberId m = 1; m <= 7; ++m) router.handle(at, {probed(m, at - 5ms, m == 1)});
  }
  // So many reads, each answered at once; the sends by zone, and under "" what was refused.
  std::map<std::string, int> reads(int count, Class request_class, std::set<std::string> silent = {}) {
    std::map<std::string, int> went;
    for (int i = 0; i < count; ++i) {
      now += 5ms;
      if (i % 20 == 0) hear(now);
      auto actions = router.handle(now, {request(next++, request_class, now + 2s)});
      went[""] += static_cast<int>(only<Reject>(actions).size());
      for (auto& send : only<Send>(actions)) {
        ++went[zone_of(send.member)];
        auto status = silent.count(zone_of(send.member)) ? Status::kUnreachable : Status::kSuccess;
        for (auto& again : only<Send>(router.handle(now + 1ms, {outcome(send, 0, status)}))) {
          ++went[zone_of(again.member)];
          router.handle(now + 2ms, {outcome(again, 1, Status::kSuccess)});
        }
      }
    }
    return went;
  }
  Router router;
  Micros now = 10s + 5ms;
  RequestId next = 1;
};

TEST_F(Zoned, ReadsGoWhereThePlanSaysInItsShares) {
  plan({{"a", 0.25, 0}, {"b", 0.75, 0}});
  auto went = reads(800, kBounded);
  EXPECT_NEAR(went["a"], 200, 60);
  EXPECT_NEAR(went["b"], 600, 60);
  EXPECT_EQ(went["c"], 0);  // closed
  EXPECT_EQ(went[""], 0);
  plan({{"c", 1, 0}});  // the next one replaces it whole
  went = reads(100, kBounded);
  EXPECT_EQ(went["c"], 100);
  router.handle(now, {Plan{}});  // on its own again: by its own rule, the near ones first
  went = reads(100, kBounded);
  EXPECT_GT(went["a"], 50);
  EXPECT_EQ(went[""], 0);
}

TEST_F(Zoned, APlanIsForReadsAndNeverLeadsToOldData) {
  plan({{"c", 1, 0}});
  hear(now);
  auto sends = only<Send>(router.handle(now + 5ms, {request(9001, kWrite, 12s), request(9002, kFresh, 12s)}));
  ASSERT_EQ(sends.size(), 2u);
  EXPECT_EQ(sends[0].member, 1u);  // wherever the primary is
  EXPECT_EQ(sends[1].member, 1u);
  // Those of c lag by 2 s; the reads wait for them, though a and b are fresh.
  auto then = now + 1s;
  for (MemberId m = 1; m <= 7; ++m) router.handle(then, {probed(m, m >= 6 ? then - 2s : then, m == 1)});
  EXPECT_TRUE(only<Send>(router.handle(then + 5ms, {request(9003, kBounded, then + 2s)})).empty());
  auto late = only<Send>(router.handle(then + 20ms, {probed(7, then + 10ms, false)}));
  ASSERT_EQ(late.size(), 1u);
  EXPECT_EQ(late[0].member, 7u);
}

TEST_F(Zoned, WhatNoZoneBearsIsRefusedAtOnceTheLeastWorthFirst) {
  plan({{"a", 0.4, 0}, {"b", 0.2, 0}});
  int cheap = 0, dear = 0;
  for (int i = 0; i < 600; ++i) {
    (i % 2 ? dear : cheap) += reads(1, i % 2 ? kBounded : kAny)[""];
    if (i == 199) cheap = dear = 0;  // by then it knows what comes
  }
  EXPECT_NEAR(cheap, 160, 30);  // four in ten of all, which is eight in ten of these
  EXPECT_EQ(dear, 0);
}

TEST_F(Zoned, WhereItsZoneFailsAReadGoesOnAsFarAsThereIsSpareRoom) {
  plan({{"a", 1, 0}, {"b", 0, 0.3}});
  auto went = reads(600, kBounded, {"a"});
  EXPECT_NEAR(went["b"], 180, 50);
  EXPECT_EQ(went["c"], 0);
}

TEST_F(Zoned, RoomIsWhatALimitLeaves) {
  hear(now);
  auto before = router.room(4);
  EXPECT_GT(before, 0);
  plan({{"b", 1, 0}});
  for (int i = 0; i < 4; ++i) router.handle(now, {request(next++, kBounded, now + 2s)});
  EXPECT_LT(router.room(4) + router.room(5), 2 * before);
  EXPECT_EQ(router.room(99), 0);
}

TEST(PrimaryDiscovery, AWriteToAGroupWhoseMembersAreAllForgottenWaitsForOne) {
  Router router(settings(), 1);
  router.handle(1s, {list(ListKind::kFull, {entry(1), entry(2)})});
  router.handle(2s, {list(ListKind::kFull, {})});
  router.handle(60s, {list(ListKind::kFull, {})});
  ASSERT_EQ(router.members(), 0u);
  for (auto request_class : {kWrite, kKeyedWrite, kFresh}) {
    auto actions = router.handle(60s, {request(1 + request_class, request_class, 62s)});
    EXPECT_TRUE(only<Send>(actions).empty());
  }
  auto sends = only<Send>(router.handle(60s + 10ms, {list(ListKind::kFull, {entry(3, true)})}));
  ASSERT_FALSE(sends.empty());
  EXPECT_EQ(sends[0].member, 3u);
}

}  // namespace
}  // namespace request_router::test
