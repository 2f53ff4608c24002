// The plan of zones: what must hold as tables, and in simulated time over a fixed few dozen seeds; each guard
// taken away is found.
#include "testbench/simulation/placement.h"

#include <gtest/gtest.h>

#include "placement/placement_codec.h"
#include "placement/plan.h"
#include "placement/zone_health_observer.h"

namespace database_proxy::placement {
namespace {

using namespace std::chrono_literals;

ZoneTopology three() {
  ZoneTopology p;
  p.put("a", "north");
  p.put("b", "north");
  p.put("c", "south");
  return p;
}

// Each zone bears `bears` of set 1 and is asked for `asked`; all see all as well.
Input calm(double asked, double capacity, Millis now = 1'000'000) {
  Input in;
  in.now = now;
  for (Zone from : {"a", "b", "c"}) {
    in.seen.asked(from, 1, static_cast<std::uint64_t>(asked));
    in.supply[{1, from}] = {capacity};
    for (Zone to : {"a", "b", "c"})
      for (int i = 0; i < 4; ++i) in.seen.vote(from, to, true);
  }
  return in;
}

// `ill`: as so many of the four observers of each zone in `by` see it.
Input seen_ill(Input in, const Zone& zone, const std::vector<Zone>& by, int unhealthy = 4) {
  Observation o;
  for (auto& [key, votes] : in.seen.votes()) {
    int bad = key.second == zone && std::count(by.begin(), by.end(), key.first) ? unhealthy : 0;
    for (int i = 0; i < 4; ++i) o.vote(key.first, key.second, i >= bad);
  }
  for (auto& [key, n] : in.seen.demand()) o.asked(key.first, key.second, n);
  ZoneSample lost;
  lost.attempts = lost.timed_out = 100;
  if (unhealthy == 4) o.record(by[0], 1, zone, lost);
  in.seen = o;
  return in;
}

Plan settle(const Planner& planner, Plan plan, Input in, Millis span) {
  for (Millis end = in.now + span; in.now <= end; in.now += 500) plan = planner.next(plan, in);
  return plan;
}

TEST(Observation, SumsAreTheSameInAnyOrderAndOfBoundedSize) {
  Observation a, b, c;
  a.vote("a", "b", true);
  b.vote("a", "b", false);
  c.asked("a", 1, 7);
  ZoneSample s;
  s.attempts = 5;
  s.room = 0.5;
  b.record("a", 1, "b", s);
  c.record("a", 1, "b", s);
  Observation left, right, ab, bc;
  ab.add(a), ab.add(b), left.add(ab), left.add(c);
  bc.add(c), bc.add(b), right.add(bc), right.add(a);
  EXPECT_EQ(left, right);
  EXPECT_EQ(left.seen().at({"a", 1, "b"}).attempts, 10u);
  Observation flood;
  for (int i = 0; i < 20'000; ++i) {
    flood.vote("z" + std::to_string(i), "b", true);
    flood.record("z" + std::to_string(i), i, "b", s);
  }
  EXPECT_LE(flood.votes().size(), kMostZones * kMostZones);
  EXPECT_LE(flood.seen().size(), kMostZones * kMostSets + 1);
}

TEST(Observation, AFewThatFailedAreNoVoiceAgainstAZone) {
  ZoneSample s;
  EXPECT_EQ(assess(s, 1000), Opinion::kNone);
  s.attempts = 10;
  s.latency_us = 10'000;
  EXPECT_EQ(assess(s, 1000), Opinion::kHealthy);
  s.failed = 4;
  EXPECT_EQ(assess(s, 1000), Opinion::kHealthy);
  s.failed = 5;
  EXPECT_EQ(assess(s, 1000), Opinion::kUnhealthy);
  s.failed = 0;
  s.latency_us = 100'000;  // ten times slower: ill, or too much to do
  EXPECT_EQ(assess(s, 1000), Opinion::kLate);
  s.latency_us = 10'000;
  s.full = 3, s.timed_out = 2;
  EXPECT_EQ(assess(s, 1000), Opinion::kLate);
}

TEST(Observation, AndPlansKeepTheirWholeOnTheWay) {
  Observation o;
  ZoneSample s;
  s.attempts = 9, s.refused = 1, s.timed_out = 2, s.failed = 3, s.full = 4, s.latency_us = 5, s.postponed = 6;
  s.cold = 7, s.room = 8.5;
  o.record("a", 0, "b", s);
  o.voted("a", "b", {1, 2, 3});
  o.asked("a", 7, 8);
  o.leads(7, "c");
  o.follows(12, 4);
  EXPECT_EQ(observation_from_json(to_json(o)), o);
  EXPECT_EQ(observation_from_json(nlohmann::json::object()), Observation());
  EXPECT_THROW(observation_from_json({{"votes", {{"a", "b", "many", 1, 2}}}}), nlohmann::json::exception);
  Plan p;
  p.number = 9;
  p.zones["a"] = {Phase::kOpening, PhaseReason::kStep, 5, 6, 7, 8, 0.25, true};
  p.links[{"a", "b"}] = {Phase::kClosed, PhaseReason::kUnhealthy, 1, 2, 3, 4, 0, false};
  p.shares[{1, "a"}] = {{"a", 0.5}, {"b", 0.25}};
  p.surplus_capacity[{1, "a"}] = {{"b", 0.125}};
  p.changes = {{"a", 77}};
  p.frozen = true;
  auto back = plan_from_json(nlohmann::json::parse(to_json(p).dump()));
  EXPECT_TRUE(back.same_but_number(p));
  EXPECT_EQ(back.number, 9u);
  EXPECT_EQ(back.zones.at("a"), p.zones.at("a"));
  EXPECT_EQ(back.changes, p.changes);
}

TEST(Observation, OnlyTheNewestPlansAreToldApart) {
  Observation o;
  for (std::uint64_t plan = 1; plan <= 20; ++plan) o.follows(plan);
  EXPECT_EQ(o.followers().size(), kMostPlans);
  EXPECT_EQ(o.followers().begin()->second, 13u);  // 1 to 13 together
  EXPECT_EQ(o.followers().rbegin()->first, 20u);
}

TEST(Demand, FollowsARiseAtOnceAndChanceSlowly) {
  Demand d;
  auto second = [&](std::uint64_t n) {
    Observation o;
    o.asked("a", 1, n);
    d.debounce(o, 0.5);
    return d.rates().at({"a", 1});
  };
  EXPECT_EQ(second(500), 1000);
  EXPECT_LT(second(520), 1020);
  EXPECT_EQ(second(1000), 2000);  // twice as many is no chance
  EXPECT_GT(second(500), 1500);
  for (int i = 0; i < 100; ++i) d.debounce(Observation(), 0.5);
  EXPECT_TRUE(d.rates().empty());
}

struct Eyes : ::testing::Test {
  Eyes() : watcher("a", true) {
    watcher.servers({{"a1", {1, "a", 0s}}, {"a2", {1, "a", 0s}}, {"b1", {1, "b", 5s}}});
  }
  Observation take() {
    now += 500ms;
    return watcher.take(now, 3, [](const std::string&) { return 2.0; });
  }
  void serve(int count, const std::string& server, RequestOutcome how = RequestOutcome::kServed,
             Micros took = 2ms) {
    for (int i = 0; i < count; ++i) {
      watcher.sent(++id, 0, server, now, false);
      watcher.ended(id, 0, server, how, took);
    }
  }
  ZoneHealthObserver watcher;
  Micros now = 1s;
  std::uint64_t id = 0;
};

TEST_F(Eyes, SumUpWhatBecameOfRequests) {
  watcher.asked(1);
  watcher.asked(1);
  serve(4, "a1");
  serve(1, "a2", RequestOutcome::kFailed);
  watcher.leads("a1");
  auto o = take();
  EXPECT_EQ(o.demand().at({"a", 1}), 2u);
  EXPECT_EQ(o.primaries().at({1, "a"}), 1u);
  EXPECT_EQ(o.followers().at(3), 1u);
  auto& s = o.seen().at({"a", 0, "a"});
  EXPECT_EQ(s.attempts, 5u);
  EXPECT_EQ(s.failed, 1u);
  EXPECT_EQ(s.latency_us, 8000u);
  EXPECT_EQ(s.room, 4.0);
  EXPECT_EQ(o.seen().at({"a", 0, "b"}).cold, 1u);
  EXPECT_EQ(o.votes().at({"a", "a"}), (HealthVotes{1, 0, 0}));
  EXPECT_FALSE(o.votes().count({"a", "b"}));  // it sent nothing there
}

TEST_F(Eyes, AHangingServerIsLateBeforeItsClientsGiveUp) {
  serve(5, "a1");
  take();
  for (int i = 0; i < 5; ++i) watcher.sent(100 + static_cast<std::uint64_t>(i), 0, "a1", now, false);
  auto o = take();
  EXPECT_EQ(o.votes().at({"a", "a"}), (HealthVotes{0, 0, 1}));
  // Its end, whenever it comes, is not counted once more.
  for (int i = 0; i < 5; ++i)
    watcher.ended(100 + static_cast<std::uint64_t>(i), 0, "a1", RequestOutcome::kTimedOut, 2s);
  EXPECT_EQ(take().seen().at({"a", 0, "a"}).attempts, 0u);
}

TEST_F(Eyes, LookIntoZonesWhereNothingGoes) {
  serve(5, "a1");
  take();
  EXPECT_TRUE(watcher.blind(7).empty());  // not each time
  for (int round = 0; round < 3; ++round) {
    serve(5, "a1");
    EXPECT_FALSE(take().votes().count({"a", "b"}));
    ASSERT_EQ(watcher.blind(7), std::vector<std::string>{"b1"});
    watcher.probed("b1", true);
    auto o = take();
    ASSERT_EQ(o.votes().count({"a", "b"}), round == 2);  // three make an opinion
    serve(5, "a1");
    EXPECT_TRUE(watcher.blind(7).empty());
  }
  serve(5, "a1");
  take();
  ASSERT_EQ(watcher.blind(7).size(), 1u);
  watcher.probed("b1", false);
  serve(5, "a1");
  take();
  // One that failed: enough for an opinion of its own at once.
  auto closer = watcher.blind(7);
  ASSERT_EQ(closer.size(), 3u);
  for (auto& server : closer) watcher.probed(server, false);
  EXPECT_EQ(take().votes().at({"a", "b"}), (HealthVotes{0, 0, 1}));
  ZoneHealthObserver other("a", false);
  other.servers({{"b1", {1, "b", 0s}}});
  EXPECT_TRUE(other.blind(7).empty());
}

TEST(Plan, WhereAllAreLateNobodyIsClosed) {
  Planner planner(three());
  auto in = calm(300, 1000);
  in.seen = in.seen.demand_only();
  // The proxies' own machines stand still now and then; a little is asked for, and answered late everywhere.
  for (Zone from : {"a", "b", "c"})
    for (Zone to : {"a", "b", "c"}) in.seen.voted(from, to, {0, 0, 4});
  auto plan = settle(planner, {}, in, 20'000);
  for (Zone zone : {"a", "b", "c"}) EXPECT_EQ(plan.zones.at(zone).phase, Phase::kOpen) << zone;
  EXPECT_TRUE(plan.links.empty());
}

TEST(Plan, AZoneThatServesItsOwnIsCutOffAndNotIll) {
  Planner planner(three());
  auto in = calm(300, 1000);
  in.seen = in.seen.demand_only();
  // No zone sees another, all are well by their own eyes: closing any would serve fewer.
  for (Zone from : {"a", "b", "c"})
    for (Zone to : {"a", "b", "c"})
      in.seen.voted(from, to, from == to ? HealthVotes{4, 0, 0} : HealthVotes{0, 4, 0});
  auto plan = settle(planner, {}, in, 10'000);
  for (Zone zone : {"a", "b", "c"}) {
    EXPECT_EQ(plan.zones.at(zone).phase, Phase::kOpen) << zone;
    EXPECT_EQ(plan.shares.at({1, zone}), (std::map<Zone, double>{{zone, 1.0}}));
  }
  EXPECT_EQ(plan.links.size(), 6u);
  EXPECT_EQ((plan.links.at({"a", "b"}).phase), Phase::kClosed);
}

TEST(Plan, AZoneThatIsLateForItsLoadIsNotClosed) {
  Planner planner(three());
  auto in = calm(300, 1000);
  in.seen = {};
  for (Zone from : {"a", "b", "c"}) {
    in.seen.asked(from, 1, 500);
    for (Zone to : {"a", "b", "c"}) in.seen.voted(from, to, {to == "b" ? 0u : 4u, 0, to == "b" ? 4u : 0u});
  }
  ZoneSample busy;
  busy.attempts = 900;
  in.seen.record("b", 0, "b", busy);  // it answers nine tenths of what it bears
  EXPECT_EQ(settle(planner, {}, in, 10'000).zones.at("b").phase, Phase::kOpen);
  in.seen = [&] {
    auto o = in.seen.demand_only();
    for (auto& [key, votes] : in.seen.votes()) o.voted(key.first, key.second, votes);
    ZoneSample slow;
    slow.attempts = 100;
    o.record("b", 0, "b", slow);  // late, and doing next to nothing
    return o;
  }();
  EXPECT_EQ(settle(planner, {}, in, 10'000).zones.at("b").phase, Phase::kClosed);
}

TEST(Plan, SpareIsForTheLossOfAnyOneZone) {
  Planner planner(three());
  auto in = calm(300, 1000);
  auto plan = settle(planner, {}, in, 10'000);
  auto of = [&](const Zone& from, const Zone& to) {
    auto it = plan.surplus_capacity.find({1, from});
    return it == plan.surplus_capacity.end() || !it->second.count(to) ? 0.0 : it->second.at(to);
  };
  EXPECT_EQ(of("a", "a"), 0);    // all of its reads go there anyway
  EXPECT_EQ(of("a", "b"), 1.0);  // 300 fit beside 300 in 950
  in = calm(600, 1000);
  plan = settle(planner, {}, in, 10'000);
  EXPECT_NEAR(of("a", "b"), 350.0 / 600, 0.02);
  EXPECT_NEAR(of("a", "c"), 1 - 350.0 / 600, 0.02);  // the far one gets what the near one cannot take
  for (auto& [key, supply] : in.supply) supply.cold = key.second == "b";
  plan = settle(planner, {}, in, 10'000);
  EXPECT_EQ(of("a", "b"), 0);  // a cold zone has nothing to spare
}

TEST(Plan, KeepsTrafficNearWhileThereIsRoom) {
  Planner planner(three());
  auto plan = settle(planner, {}, calm(700, 1000), 5000);
  for (Zone z : {"a", "b", "c"}) EXPECT_NEAR(plan.shares.at({1, z}).at(z), 1, 1e-5) << z;
  auto again = planner.next(plan, calm(705, 1000, 1'010'000));
  EXPECT_EQ(again.number, plan.number);  // noise makes no new plan
}

TEST(Plan, LeavesNoFurtherThanNeeded) {
  Planner planner(three());
  auto in = calm(300, 1000);
  in.seen.asked("a", 1, 700);  // 1000 of its own, of which it takes 800
  auto plan = settle(planner, {}, in, 10'000);
  EXPECT_NEAR(plan.shares.at({1, "a"}).at("a"), 0.8, 0.01);
  EXPECT_NEAR(plan.shares.at({1, "a"}).at("b"), 0.2, 0.01);  // the same region first
  EXPECT_EQ(plan.shares.at({1, "a"}).count("c"), 0u);
  EXPECT_NEAR(plan.refused(1, "a"), 0, 1e-5);
}

TEST(Plan, ClosesAZoneThatSeveralZonesSeeIllAndGoesBackInSteps) {
  Planner planner(three());
  auto plan = settle(planner, {}, calm(400, 1000), 5000);
  auto in = seen_ill(calm(400, 1000, 1'010'000), "a", {"a", "b", "c"});
  auto lost = settle(planner, plan, in, 2500);
  EXPECT_EQ(lost.zones.at("a").phase, Phase::kClosed);
  EXPECT_EQ(lost.shares.at({1, "a"}).count("a"), 0u);
  EXPECT_NEAR(lost.refused(1, "a"), 0, 0.01);
  auto healthy = calm(400, 1000, 1'013'000);
  auto still = settle(planner, lost, healthy, 4000);
  EXPECT_EQ(still.zones.at("a").phase, Phase::kClosed);
  double before = 0;
  bool stepped = false;
  for (; healthy.now < 1'060'000; healthy.now += 500) {
    still = planner.next(still, healthy);
    double part = still.zones.at("a").part;
    EXPECT_LE(part, std::max(0.1, before * 2) + 1e-9);
    stepped = stepped || (part > 0 && part < 1);
    before = part;
  }
  EXPECT_TRUE(stepped);
  EXPECT_EQ(still.zones.at("a").phase, Phase::kOpen);
  EXPECT_GT(still.shares.at({1, "a"}).at("a"), 0.95);
}

TEST(Plan, OneProxysWordClosesNothingAndALinkIsToldFromAZone) {
  Planner planner(three());
  auto plan = settle(planner, {}, calm(400, 1000), 5000);
  auto one = settle(planner, plan, seen_ill(calm(400, 1000, 1'010'000), "a", {"a", "b", "c"}, 1), 20'000);
  EXPECT_EQ(one.zones.at("a").phase, Phase::kOpen);
  EXPECT_TRUE(one.links.empty());
  auto link = settle(planner, plan, seen_ill(calm(900, 1000, 1'010'000), "a", {"b"}), 10'000);
  EXPECT_EQ(link.zones.at("a").phase, Phase::kOpen);
  EXPECT_EQ((link.links.at({"b", "a"}).phase), Phase::kClosed);
  EXPECT_EQ(link.shares.at({1, "b"}).count("a"), 0u);
  EXPECT_GT(link.shares.at({1, "a"}).at("a"), 0.7);
}

TEST(Plan, ClosesNoMoreThanTheRestCarriesAndRefusesNearHome) {
  Planner planner(three());
  auto plan = settle(planner, {}, calm(900, 1000), 5000);
  auto grey = seen_ill(calm(900, 1000, 1'010'000), "a", {"a", "b", "c"}, 3);  // ill, and still serving
  auto kept = settle(planner, plan, grey, 10'000);
  EXPECT_EQ(kept.zones.at("a").phase, Phase::kOpen);
  EXPECT_EQ(kept.zones.at("a").reason, PhaseReason::kInsufficientCapacity);
  auto dead = settle(planner, plan, seen_ill(calm(900, 1000, 1'010'000), "a", {"a", "b", "c"}), 10'000);
  EXPECT_EQ(dead.zones.at("a").phase, Phase::kClosed);
  // Nobody pushes the others over: what has no room is refused, by a's clients.
  EXPECT_GT(dead.refused(1, "a"), 0.7);
  EXPECT_LT(dead.refused(1, "b"), 0.05);
}

TEST(Plan, EvacuatesInStepsAsFarAsTheRestCarriesAndOutlivesItsOwner) {
  auto in = calm(500, 1000);
  Plan plan = settle(Planner(three()), {}, in, 5000);
  in.now += 10'000;
  EXPECT_NE(Planner(three()).evacuate(&plan, "nowhere", false, in), "");
  EXPECT_EQ(Planner(three()).evacuate(&plan, "a", false, in), "");
  double before = 1;
  for (int i = 0; i < 40; ++i, in.now += 500) {
    plan = Planner(three()).next(plan, in);  // another owner each time
    EXPECT_GE(plan.zones.at("a").part, before - 0.25 - 1e-9);
    before = plan.zones.at("a").part;
  }
  EXPECT_EQ(plan.zones.at("a").phase, Phase::kEvacuated);
  EXPECT_EQ(plan.shares.at({1, "a"}).count("a"), 0u);
  EXPECT_NE(Planner(three()).evacuate(&plan, "a", false, in), "");
  EXPECT_EQ(Planner(three()).restore(&plan, "a", in), "");
  plan = settle(Planner(three()), plan, in, 30'000);
  EXPECT_EQ(plan.zones.at("a").phase, Phase::kOpen);
  auto full = calm(900, 1000, in.now);
  EXPECT_NE(Planner(three()).evacuate(&plan, "a", false, full), "");
  EXPECT_EQ(Planner(three()).evacuate(&plan, "a", true, full), "");
}

TEST(Plan, AnUnknownZoneIsToldAndFar) {
  Planner planner(three());
  auto in = calm(400, 1000);
  in.supply[{1, "x"}] = {1000};
  EXPECT_EQ(planner.unknown(in), std::vector<Zone>{"x"});
  in.supply[{1, "a"}] = {0};
  auto plan = settle(planner, {}, in, 5000);
  EXPECT_EQ(plan.shares.at({1, "a"}).count("x"), 0u);  // b first
}

TEST(Plan, AFrozenOneStays) {
  Planner planner(three());
  auto plan = settle(planner, {}, calm(400, 1000), 5000);
  plan.frozen = true;
  auto after = settle(planner, plan, seen_ill(calm(400, 1000, 1'010'000), "a", {"a", "b", "c"}), 5000);
  EXPECT_EQ(after.number, plan.number);
  EXPECT_EQ(after.zones.at("a").phase, Phase::kOpen);
}

TEST(Simulation, AFixedFewDozenSeedsOfThePlanHold) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    auto r = testbench::simulation::run_placement(seed, testbench::simulation::PlanMutant::kNone);
    ASSERT_EQ(r.broken, "") << "seed " << seed;
  }
}

TEST(Simulation, FindsTheMutantsOfThePlan) {
  for (auto& [mutant, name] : testbench::simulation::plan_mutants()) {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 60 && !found; ++seed)
      found = !testbench::simulation::run_placement(seed, mutant).broken.empty();
    EXPECT_TRUE(found) << name;
  }
}

}  // namespace
}  // namespace database_proxy::placement
