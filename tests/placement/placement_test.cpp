// Tests the placement plan with examples, and in simulated time over a fixed set of a few dozen seeds. The
// simulation must also detect each mutant, in which one safeguard is disabled.
#include "testbench/simulation/placement.h"

#include <gtest/gtest.h>

#include "placement/placement_codec.h"
#include "placement/planner.h"
#include "placement/zone_health_observer.h"

namespace database_proxy::placement {
namespace {

using namespace std::chrono_literals;

ZoneTopology three_zones() {
  ZoneTopology topology;
  topology.set_region("a", "north");
  topology.set_region("b", "north");
  topology.set_region("c", "south");
  return topology;
}

// Returns an input in which each zone has `capacity` and `demand` for shard group 1, and all proxies find all
// zones healthy.
Input healthy_input(double demand, double capacity, Millis now = 1'000'000) {
  Input input;
  input.now = now;
  for (Zone from : {"a", "b", "c"}) {
    input.observation.add_demand(from, 1, static_cast<std::uint64_t>(demand));
    input.supply[{1, from}] = {capacity};
    for (Zone to : {"a", "b", "c"})
      for (int i = 0; i < 4; ++i) input.observation.add_vote(from, to, true);
  }
  return input;
}

// Returns `input` with `unhealthy` of the four proxies of each zone in `by` finding `zone` unhealthy.
Input with_unhealthy_zone(Input input, const Zone& zone, const std::vector<Zone>& by, int unhealthy = 4) {
  Observation observation;
  for (auto& [key, votes] : input.observation.votes()) {
    int bad = key.second == zone && std::count(by.begin(), by.end(), key.first) ? unhealthy : 0;
    for (int i = 0; i < 4; ++i) observation.add_vote(key.first, key.second, i >= bad);
  }
  for (auto& [key, requests] : input.observation.demand())
    observation.add_demand(key.first, key.second, requests);
  ZoneSample lost;
  lost.attempts = lost.timed_out = 100;
  if (unhealthy == 4) observation.record(by[0], 1, zone, lost);
  input.observation = observation;
  return input;
}

Plan run_rounds(const Planner& planner, Plan plan, Input input, Millis duration) {
  for (Millis end = input.now + duration; input.now <= end; input.now += 500)
    plan = planner.next(plan, input);
  return plan;
}

TEST(Observation, SumsAreTheSameInAnyOrderAndOfBoundedSize) {
  Observation first, second, third;
  first.add_vote("a", "b", true);
  second.add_vote("a", "b", false);
  third.add_demand("a", 1, 7);
  ZoneSample sample;
  sample.attempts = 5;
  sample.spare_capacity = 0.5;
  second.record("a", 1, "b", sample);
  third.record("a", 1, "b", sample);
  Observation left, right, first_two, last_two;
  first_two.add(first), first_two.add(second), left.add(first_two), left.add(third);
  last_two.add(third), last_two.add(second), right.add(last_two), right.add(first);
  EXPECT_EQ(left, right);
  EXPECT_EQ(left.samples().at({"a", 1, "b"}).attempts, 10u);
  Observation flood;
  for (int i = 0; i < 20'000; ++i) {
    flood.add_vote("z" + std::to_string(i), "b", true);
    flood.record("z" + std::to_string(i), i, "b", sample);
  }
  EXPECT_LE(flood.votes().size(), kMaxZones * kMaxZones);
  EXPECT_LE(flood.samples().size(), kMaxZones * kMaxShardGroups + 1);
}

TEST(Observation, AFewFailedAttemptsDoNotMakeAZoneUnhealthy) {
  ZoneSample sample;
  EXPECT_EQ(assess(sample, 1000), Opinion::kNone);
  sample.attempts = 10;
  sample.latency_us = 10'000;
  EXPECT_EQ(assess(sample, 1000), Opinion::kHealthy);
  sample.failed = 4;
  EXPECT_EQ(assess(sample, 1000), Opinion::kHealthy);
  sample.failed = 5;
  EXPECT_EQ(assess(sample, 1000), Opinion::kUnhealthy);
  sample.failed = 0;
  sample.latency_us = 100'000;  // ten times as slow as usual: unhealthy or overloaded
  EXPECT_EQ(assess(sample, 1000), Opinion::kLate);
  sample.latency_us = 10'000;
  sample.rejected = 3, sample.timed_out = 2;
  EXPECT_EQ(assess(sample, 1000), Opinion::kLate);
}

TEST(Observation, SurvivesTheCodecUnchangedAndSoDoesAPlan) {
  Observation observation;
  ZoneSample sample;
  sample.attempts = 9, sample.refused = 1, sample.timed_out = 2, sample.failed = 3, sample.rejected = 4,
  sample.latency_us = 5, sample.postponed = 6;
  sample.warming_up = 7, sample.spare_capacity = 8.5;
  observation.record("a", 0, "b", sample);
  observation.add_votes("a", "b", {1, 2, 3});
  observation.add_demand("a", 7, 8);
  observation.add_primary(7, "c");
  observation.add_followers(12, 4);
  EXPECT_EQ(observation_from_json(to_json(observation)), observation);
  EXPECT_EQ(observation_from_json(nlohmann::json::object()), Observation());
  EXPECT_THROW(observation_from_json({{"votes", {{"a", "b", "many", 1, 2}}}}), nlohmann::json::exception);
  Plan plan;
  plan.number = 9;
  plan.zones["a"] = {Phase::kOpening, PhaseReason::kStep, 5, 6, 7, 8, 0.25, true};
  plan.links[{"a", "b"}] = {Phase::kClosed, PhaseReason::kUnhealthy, 1, 2, 3, 4, 0, false};
  plan.shares[{1, "a"}] = {{"a", 0.5}, {"b", 0.25}};
  plan.surplus_capacity[{1, "a"}] = {{"b", 0.125}};
  plan.changes = {{"a", 77}};
  plan.frozen = true;
  auto decoded = plan_from_json(nlohmann::json::parse(to_json(plan).dump()));
  EXPECT_TRUE(decoded.is_equivalent_to(plan));
  EXPECT_EQ(decoded.number, 9u);
  EXPECT_EQ(decoded.zones.at("a"), plan.zones.at("a"));
  EXPECT_EQ(decoded.changes, plan.changes);
}

TEST(Observation, CountsOnlyTheNewestPlansSeparately) {
  Observation observation;
  for (std::uint64_t plan = 1; plan <= 20; ++plan) observation.add_followers(plan);
  EXPECT_EQ(observation.followers().size(), kMaxFollowedPlans);
  EXPECT_EQ(observation.followers().begin()->second, 13u);  // plans 1 to 13 are counted together
  EXPECT_EQ(observation.followers().rbegin()->first, 20u);
}

TEST(Demand, FollowsASignificantRiseAtOnceAndFluctuationsSlowly) {
  Demand demand;
  auto next_half_second = [&](std::uint64_t requests) {
    Observation observation;
    observation.add_demand("a", 1, requests);
    demand.add_interval(observation, 0.5);
    return demand.rates().at({"a", 1});
  };
  EXPECT_EQ(next_half_second(500), 1000);
  EXPECT_LT(next_half_second(520), 1020);
  EXPECT_EQ(next_half_second(1000), 2000);  // a doubled demand is no random fluctuation
  EXPECT_GT(next_half_second(500), 1500);
  for (int i = 0; i < 100; ++i) demand.add_interval(Observation(), 0.5);
  EXPECT_TRUE(demand.rates().empty());
}

struct ZoneHealthObserverTest : ::testing::Test {
  ZoneHealthObserverTest() : observer("a", true) {
    observer.set_locations({{"a1", {1, "a", 0s}}, {"a2", {1, "a", 0s}}, {"b1", {1, "b", 5s}}});
  }
  Observation take_observation() {
    now += 500ms;
    return observer.take_observation(now, 3, [](const std::string&) { return 2.0; });
  }
  void complete_attempts(int count, const std::string& server,
                         ObservedOutcome outcome = ObservedOutcome::kServed, Micros latency = 2ms) {
    for (int i = 0; i < count; ++i) {
      observer.on_attempt_sent(++id, 0, server, now, false);
      observer.on_attempt_ended(id, 0, server, outcome, latency);
    }
  }
  ZoneHealthObserver observer;
  Micros now = 1s;
  std::uint64_t id = 0;
};

TEST_F(ZoneHealthObserverTest, SumsUpTheOutcomesOfRequests) {
  observer.on_read_request(1);
  observer.on_read_request(1);
  complete_attempts(4, "a1");
  complete_attempts(1, "a2", ObservedOutcome::kFailed);
  observer.on_primary_observed("a1");
  auto observation = take_observation();
  EXPECT_EQ(observation.demand().at({"a", 1}), 2u);
  EXPECT_EQ(observation.primaries().at({1, "a"}), 1u);
  EXPECT_EQ(observation.followers().at(3), 1u);
  auto& sample = observation.samples().at({"a", 0, "a"});
  EXPECT_EQ(sample.attempts, 5u);
  EXPECT_EQ(sample.failed, 1u);
  EXPECT_EQ(sample.latency_us, 8000u);
  EXPECT_EQ(sample.spare_capacity, 4.0);
  EXPECT_EQ(observation.samples().at({"a", 0, "b"}).warming_up, 1u);
  EXPECT_EQ(observation.votes().at({"a", "a"}), (HealthVotes{1, 0, 0}));
  EXPECT_FALSE(observation.votes().count({"a", "b"}));  // the proxy sent nothing there
}

TEST_F(ZoneHealthObserverTest, AHangingServerIsLateBeforeItsClientsGiveUp) {
  complete_attempts(5, "a1");
  take_observation();
  for (int i = 0; i < 5; ++i)
    observer.on_attempt_sent(100 + static_cast<std::uint64_t>(i), 0, "a1", now, false);
  auto observation = take_observation();
  EXPECT_EQ(observation.votes().at({"a", "a"}), (HealthVotes{0, 0, 1}));
  // Attempts that end later are not counted again.
  for (int i = 0; i < 5; ++i)
    observer.on_attempt_ended(100 + static_cast<std::uint64_t>(i), 0, "a1", ObservedOutcome::kTimedOut, 2s);
  EXPECT_EQ(take_observation().samples().at({"a", 0, "a"}).attempts, 0u);
}

TEST_F(ZoneHealthObserverTest, ProbesZonesThatGetNoRequests) {
  complete_attempts(5, "a1");
  take_observation();
  EXPECT_TRUE(observer.choose_probe_targets(7).empty());  // no probe in every interval
  for (int round = 0; round < 3; ++round) {
    complete_attempts(5, "a1");
    EXPECT_FALSE(take_observation().votes().count({"a", "b"}));
    ASSERT_EQ(observer.choose_probe_targets(7), std::vector<std::string>{"b1"});
    observer.on_probe_ended("b1", true);
    auto observation = take_observation();
    ASSERT_EQ(observation.votes().count({"a", "b"}), round == 2);  // an opinion takes three attempts
    complete_attempts(5, "a1");
    EXPECT_TRUE(observer.choose_probe_targets(7).empty());
  }
  complete_attempts(5, "a1");
  take_observation();
  ASSERT_EQ(observer.choose_probe_targets(7).size(), 1u);
  observer.on_probe_ended("b1", false);
  complete_attempts(5, "a1");
  take_observation();
  // After a failed probe, enough probes for an opinion are sent at once.
  auto targets = observer.choose_probe_targets(7);
  ASSERT_EQ(targets.size(), 3u);
  for (auto& server : targets) observer.on_probe_ended(server, false);
  EXPECT_EQ(take_observation().votes().at({"a", "b"}), (HealthVotes{0, 0, 1}));
  ZoneHealthObserver other("a", false);
  other.set_locations({{"b1", {1, "b", 0s}}});
  EXPECT_TRUE(other.choose_probe_targets(7).empty());
}

TEST(Plan, NoZoneIsClosedWhereAllAreLate) {
  Planner planner(three_zones());
  auto input = healthy_input(300, 1000);
  input.observation = input.observation.demand_only();
  // The proxies themselves are slow: demand is low, and all answers are late.
  for (Zone from : {"a", "b", "c"})
    for (Zone to : {"a", "b", "c"}) input.observation.add_votes(from, to, {0, 0, 4});
  auto plan = run_rounds(planner, {}, input, 20'000);
  for (Zone zone : {"a", "b", "c"}) EXPECT_EQ(plan.zones.at(zone).phase, Phase::kOpen) << zone;
  EXPECT_TRUE(plan.links.empty());
}

TEST(Plan, AZoneThatServesItsOwnClientsLosesLinksAndStaysOpen) {
  Planner planner(three_zones());
  auto input = healthy_input(300, 1000);
  input.observation = input.observation.demand_only();
  // Every link between zones is cut, and each zone's own proxies find it healthy. Closing a zone would help
  // no client.
  for (Zone from : {"a", "b", "c"})
    for (Zone to : {"a", "b", "c"})
      input.observation.add_votes(from, to, from == to ? HealthVotes{4, 0, 0} : HealthVotes{0, 4, 0});
  auto plan = run_rounds(planner, {}, input, 10'000);
  for (Zone zone : {"a", "b", "c"}) {
    EXPECT_EQ(plan.zones.at(zone).phase, Phase::kOpen) << zone;
    EXPECT_EQ(plan.shares.at({1, zone}), (std::map<Zone, double>{{zone, 1.0}}));
  }
  EXPECT_EQ(plan.links.size(), 6u);
  EXPECT_EQ((plan.links.at({"a", "b"}).phase), Phase::kClosed);
}

TEST(Plan, AZoneThatIsLateUnderLoadIsNotClosed) {
  Planner planner(three_zones());
  auto input = healthy_input(300, 1000);
  input.observation = {};
  for (Zone from : {"a", "b", "c"}) {
    input.observation.add_demand(from, 1, 500);
    for (Zone to : {"a", "b", "c"})
      input.observation.add_votes(from, to, {to == "b" ? 0u : 4u, 0, to == "b" ? 4u : 0u});
  }
  ZoneSample busy;
  busy.attempts = 900;
  input.observation.record("b", 0, "b", busy);  // it serves nine tenths of its capacity
  EXPECT_EQ(run_rounds(planner, {}, input, 10'000).zones.at("b").phase, Phase::kOpen);
  input.observation = [&] {
    auto observation = input.observation.demand_only();
    for (auto& [key, votes] : input.observation.votes()) observation.add_votes(key.first, key.second, votes);
    ZoneSample slow;
    slow.attempts = 100;
    observation.record("b", 0, "b", slow);  // late although it serves very little
    return observation;
  }();
  EXPECT_EQ(run_rounds(planner, {}, input, 10'000).zones.at("b").phase, Phase::kClosed);
}

TEST(Plan, SurplusCapacityCoversTheLossOfAnyOneZone) {
  Planner planner(three_zones());
  auto input = healthy_input(300, 1000);
  auto plan = run_rounds(planner, {}, input, 10'000);
  auto surplus_share = [&](const Zone& from, const Zone& to) {
    auto it = plan.surplus_capacity.find({1, from});
    return it == plan.surplus_capacity.end() || !it->second.count(to) ? 0.0 : it->second.at(to);
  };
  EXPECT_EQ(surplus_share("a", "a"), 0);    // the plan already sends all of its reads there
  EXPECT_EQ(surplus_share("a", "b"), 1.0);  // 300 more fit into 950, the limit, of which 300 are used
  input = healthy_input(600, 1000);
  plan = run_rounds(planner, {}, input, 10'000);
  EXPECT_NEAR(surplus_share("a", "b"), 350.0 / 600, 0.02);
  EXPECT_NEAR(surplus_share("a", "c"), 1 - 350.0 / 600,
              0.02);  // the far zone takes what exceeds the near zone's capacity
  for (auto& [key, supply] : input.supply) supply.warming_up = key.second == "b";
  plan = run_rounds(planner, {}, input, 10'000);
  EXPECT_EQ(surplus_share("a", "b"), 0);  // a zone that is warming up has no surplus
}

TEST(Plan, TrafficStaysNearWhileThereIsCapacity) {
  Planner planner(three_zones());
  auto plan = run_rounds(planner, {}, healthy_input(700, 1000), 5000);
  for (Zone zone : {"a", "b", "c"}) EXPECT_NEAR(plan.shares.at({1, zone}).at(zone), 1, 1e-5) << zone;
  auto next = planner.next(plan, healthy_input(705, 1000, 1'010'000));
  EXPECT_EQ(next.number, plan.number);  // a random fluctuation makes no new plan
}

TEST(Plan, TrafficGoesNoFurtherThanNeeded) {
  Planner planner(three_zones());
  auto input = healthy_input(300, 1000);
  input.observation.add_demand("a", 1, 700);  // total demand 1000, of which zone a may serve 800
  auto plan = run_rounds(planner, {}, input, 10'000);
  EXPECT_NEAR(plan.shares.at({1, "a"}).at("a"), 0.8, 0.01);
  EXPECT_NEAR(plan.shares.at({1, "a"}).at("b"), 0.2, 0.01);  // a zone of the same region is used first
  EXPECT_EQ(plan.shares.at({1, "a"}).count("c"), 0u);
  EXPECT_NEAR(plan.rejected_share(1, "a"), 0, 1e-5);
}

TEST(Plan, AZoneThatSeveralZonesFindUnhealthyIsClosedAndOpensInSteps) {
  Planner planner(three_zones());
  auto plan = run_rounds(planner, {}, healthy_input(400, 1000), 5000);
  auto input = with_unhealthy_zone(healthy_input(400, 1000, 1'010'000), "a", {"a", "b", "c"});
  auto lost = run_rounds(planner, plan, input, 2500);
  EXPECT_EQ(lost.zones.at("a").phase, Phase::kClosed);
  EXPECT_EQ(lost.shares.at({1, "a"}).count("a"), 0u);
  EXPECT_NEAR(lost.rejected_share(1, "a"), 0, 0.01);
  auto healthy = healthy_input(400, 1000, 1'013'000);
  auto reopening = run_rounds(planner, lost, healthy, 4000);
  EXPECT_EQ(reopening.zones.at("a").phase, Phase::kClosed);
  double before = 0;
  bool stepped = false;
  for (; healthy.now < 1'060'000; healthy.now += 500) {
    reopening = planner.next(reopening, healthy);
    double fraction = reopening.zones.at("a").capacity_fraction;
    EXPECT_LE(fraction, std::max(0.1, before * 2) + 1e-9);
    stepped = stepped || (fraction > 0 && fraction < 1);
    before = fraction;
  }
  EXPECT_TRUE(stepped);
  EXPECT_EQ(reopening.zones.at("a").phase, Phase::kOpen);
  EXPECT_GT(reopening.shares.at({1, "a"}).at("a"), 0.95);
}

TEST(Plan, OneProxyClosesNothingAndOneZoneClosesOnlyALink) {
  Planner planner(three_zones());
  auto plan = run_rounds(planner, {}, healthy_input(400, 1000), 5000);
  auto single_proxy =
      run_rounds(planner, plan,
                 with_unhealthy_zone(healthy_input(400, 1000, 1'010'000), "a", {"a", "b", "c"}, 1), 20'000);
  EXPECT_EQ(single_proxy.zones.at("a").phase, Phase::kOpen);
  EXPECT_TRUE(single_proxy.links.empty());
  auto single_zone =
      run_rounds(planner, plan, with_unhealthy_zone(healthy_input(900, 1000, 1'010'000), "a", {"b"}), 10'000);
  EXPECT_EQ(single_zone.zones.at("a").phase, Phase::kOpen);
  EXPECT_EQ((single_zone.links.at({"b", "a"}).phase), Phase::kClosed);
  EXPECT_EQ(single_zone.shares.at({1, "b"}).count("a"), 0u);
  EXPECT_GT(single_zone.shares.at({1, "a"}).at("a"), 0.7);
}

TEST(Plan, AZoneStaysOpenWithoutCapacityElsewhereAndOnlyItsClientsAreRejected) {
  Planner planner(three_zones());
  auto plan = run_rounds(planner, {}, healthy_input(900, 1000), 5000);
  auto partly_failed = with_unhealthy_zone(healthy_input(900, 1000, 1'010'000), "a", {"a", "b", "c"},
                                           3);  // unhealthy, but still serving
  auto still_open = run_rounds(planner, plan, partly_failed, 10'000);
  EXPECT_EQ(still_open.zones.at("a").phase, Phase::kOpen);
  EXPECT_EQ(still_open.zones.at("a").reason, PhaseReason::kInsufficientCapacity);
  auto failed = run_rounds(
      planner, plan, with_unhealthy_zone(healthy_input(900, 1000, 1'010'000), "a", {"a", "b", "c"}), 10'000);
  EXPECT_EQ(failed.zones.at("a").phase, Phase::kClosed);
  // The other zones are not overloaded: requests of zone a's clients beyond the capacity are rejected.
  EXPECT_GT(failed.rejected_share(1, "a"), 0.7);
  EXPECT_LT(failed.rejected_share(1, "b"), 0.05);
}

TEST(Plan, AnEvacuationGoesInStepsWithinCapacityAndOutlivesItsLeaseHolder) {
  auto input = healthy_input(500, 1000);
  Plan plan = run_rounds(Planner(three_zones()), {}, input, 5000);
  input.now += 10'000;
  EXPECT_NE(Planner(three_zones()).evacuate(&plan, "nowhere", false, input), "");
  EXPECT_EQ(Planner(three_zones()).evacuate(&plan, "a", false, input), "");
  double before = 1;
  for (int i = 0; i < 40; ++i, input.now += 500) {
    plan = Planner(three_zones()).next(plan, input);  // another lease holder in each round
    EXPECT_GE(plan.zones.at("a").capacity_fraction, before - 0.25 - 1e-9);
    before = plan.zones.at("a").capacity_fraction;
  }
  EXPECT_EQ(plan.zones.at("a").phase, Phase::kEvacuated);
  EXPECT_EQ(plan.shares.at({1, "a"}).count("a"), 0u);
  EXPECT_NE(Planner(three_zones()).evacuate(&plan, "a", false, input), "");
  EXPECT_EQ(Planner(three_zones()).restore(&plan, "a", input), "");
  plan = run_rounds(Planner(three_zones()), plan, input, 30'000);
  EXPECT_EQ(plan.zones.at("a").phase, Phase::kOpen);
  auto full = healthy_input(900, 1000, input.now);
  EXPECT_NE(Planner(three_zones()).evacuate(&plan, "a", false, full), "");
  EXPECT_EQ(Planner(three_zones()).evacuate(&plan, "a", true, full), "");
}

TEST(Plan, AnUnknownZoneIsReportedAndFar) {
  Planner planner(three_zones());
  auto input = healthy_input(400, 1000);
  input.supply[{1, "x"}] = {1000};
  EXPECT_EQ(planner.unknown_zones(input), std::vector<Zone>{"x"});
  input.supply[{1, "a"}] = {0};
  auto plan = run_rounds(planner, {}, input, 5000);
  EXPECT_EQ(plan.shares.at({1, "a"}).count("x"), 0u);  // zone b is nearer
}

TEST(Plan, AFrozenPlanDoesNotChange) {
  Planner planner(three_zones());
  auto plan = run_rounds(planner, {}, healthy_input(400, 1000), 5000);
  plan.frozen = true;
  auto after = run_rounds(
      planner, plan, with_unhealthy_zone(healthy_input(400, 1000, 1'010'000), "a", {"a", "b", "c"}), 5000);
  EXPECT_EQ(after.number, plan.number);
  EXPECT_EQ(after.zones.at("a").phase, Phase::kOpen);
}

TEST(Simulation, ThePlanBreaksNoRuleInAFixedFewDozenSeeds) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    auto result = testbench::simulation::run_placement(seed, testbench::simulation::PlanMutant::kNone);
    ASSERT_EQ(result.violation, "") << "seed " << seed;
  }
}

TEST(Simulation, FindsTheMutantsOfThePlan) {
  for (auto& [mutant, name] : testbench::simulation::plan_mutants()) {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 60 && !found; ++seed)
      found = !testbench::simulation::run_placement(seed, mutant).violation.empty();
    EXPECT_TRUE(found) << name;
  }
}

}  // namespace
}  // namespace database_proxy::placement
