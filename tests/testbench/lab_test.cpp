// The lab itself: a checker that misses a breach, or a model that no server resembles, would prove nothing.
#include <catch2/catch.hpp>

#include "proxy/rig.h"
#include "testbench/cores.h"
#include "testbench/fake_servers.h"
#include "testbench/load.h"
#include "testbench/report.h"

namespace database_proxy::testbench {
namespace {

std::uint64_t count(const RuleChecker& rules, Rule rule) {
  for (auto& b : rules.breaches())
    if (b.rule == rule) return b.count;
  return 0;
}

constexpr Micros ms(std::int64_t n) { return Micros(n * 1000); }

}  // namespace

TEST_CASE("rules: each breach is seen, and what is allowed is none") {
  RuleChecker rules;
  // Two attempts of one request, one behind the other, then at once.
  rules.attempt(ms(1), ms(1), "a", "s1");
  rules.ended("a");
  rules.attempt(ms(2), ms(2), "a", "s2");
  CHECK(rules.total() == 0);
  rules.attempt(ms(3), ms(3), "a", "s1");
  CHECK(count(rules, Rule::kTwoOut) == 1);
  // Eight attempts are allowed, the ninth is not.
  for (int i = 0; i < 8; ++i) {
    rules.attempt(ms(4), ms(4), "b", "s1");
    rules.ended("b");
  }
  CHECK(count(rules, Rule::kTooMany) == 0);
  rules.attempt(ms(4), ms(4), "b", "s1");
  CHECK(count(rules, Rule::kTooMany) == 1);
  // A drain: the first byte counts, up to the grace; up again opens.
  rules.told(ms(1000), "s1", false);
  rules.attempt(ms(2060), ms(2040), "c", "s1");
  CHECK(count(rules, Rule::kDrained) == 0);
  CHECK(rules.drain_last_send_ms().at("s1") == Approx(1040));
  rules.told(ms(2050), "s1", false);  // the same word again changes nothing
  rules.attempt(ms(2070), ms(2070), "d", "s1");
  CHECK(count(rules, Rule::kDrained) == 1);
  rules.told(ms(2080), "s1", true);
  rules.attempt(ms(4000), ms(4000), "e", "s1");
  CHECK(count(rules, Rule::kDrained) == 1);
}

TEST_CASE("rules: a cold member may have its multiple of what its age allows, and no more") {
  auto play = [](int cold) {
    RuleChecker rules;
    for (int i = 0; i < 300; ++i) rules.share(ms(i), 1, i % 2 ? "w1" : "w2", 1);
    for (int i = 0; i < cold; ++i) rules.share(ms(i), 1, "c", 0.2);
    rules.share(ms(1100), 1, "w1", 1);  // the window ends
    return count(rules, Rule::kCold);
  };
  // Before any cold member is seen nothing is counted: the first 300 are, once one is.
  RuleChecker rules;
  rules.share(ms(0), 1, "c", 0.2);
  for (int i = 0; i < 300; ++i) rules.share(ms(i), 1, i % 2 ? "w1" : "w2", 1);
  for (int i = 0; i < 80; ++i) rules.share(ms(i), 1, "c", 0.2);
  rules.share(ms(1100), 1, "w1", 1);
  CHECK(count(rules, Rule::kCold) == 0);  // 81 of an equal 150: within 3 times 0.2
  for (int i = 0; i < 300; ++i) rules.share(ms(1200 + i), 1, i % 2 ? "w1" : "w2", 1);
  for (int i = 0; i < 120; ++i) rules.share(ms(1200 + i), 1, "c", 0.2);
  rules.share(ms(2300), 1, "w1", 1);
  CHECK(count(rules, Rule::kCold) == 1);
  CHECK(play(0) == 0);
}

TEST_CASE("rules: few requests at a cold member are judged too, with the slack that few are allowed") {
  auto breaches = [](int cold) {
    RuleChecker rules;
    rules.share(ms(0), 1, "c", 0.2);
    for (int i = 0; i < 40; ++i) rules.share(ms(i), 1, i % 2 ? "w1" : "w2", 1);
    for (int i = 1; i < cold; ++i) rules.share(ms(i), 1, "c", 0.2);
    rules.share(ms(1100), 1, "w1", 1);
    return count(rules, Rule::kCold);
  };
  CHECK(breaches(25) == 0);  // 3 times 0.2 of 20 are 12, with 3 times the root and 3 more 25.4
  CHECK(breaches(26) == 1);
}

TEST_CASE("rules: where the usual load is known, a cold member's part is of that, whoever else is out") {
  auto breaches = [](int cold, int warm) {
    RuleLimits limits;
    limits.slow_start.usual_rate = 150;
    RuleChecker rules(limits);
    for (int i = 0; i < cold; ++i) rules.share(ms(i), 1, "c", 0.2);
    for (int i = 0; i < warm; ++i) rules.share(ms(i), 1, "w", 1);
    rules.share(ms(1100), 1, "w", 1);
    return count(rules, Rule::kCold);
  };
  CHECK(breaches(110, 10) == 0);  // 3 times 0.2 of 150 are 90, with twice the root and 2 more 111
  CHECK(breaches(112, 10) == 1);
  CHECK(breaches(112, 900) == 1);
  CHECK(breaches(112, 0) == 1);
}

TEST_CASE("model: replicas lag, roles and lives decide, cores fill up, a cold server is slow") {
  ModelOptions o;
  o.lag = ms(50);
  o.cores = 2;
  o.service_us = 1000;
  o.spread = 0;
  ServerModel primary(o, 1, true), replica(o, 2, false);
  CHECK(primary.position(10'000) == 10'000);
  CHECK(replica.position(10'000) == 9'950);
  Job write{Kind::kWrite, 0}, browse{Kind::kBounded, 0}, own{Kind::kOwn, 9'990};
  CHECK(replica.arrive(ms(1), 10'000, write).verdict == Verdict::kNotPrimary);
  CHECK(replica.arrive(ms(1), 10'000, own).verdict == Verdict::kTooOld);
  CHECK(replica.arrive(ms(1), 10'040, own).verdict == Verdict::kRun);
  replica.set_lag(ms(400), 10'050);
  CHECK(replica.position(10'060) == 10'000);  // what was applied stays
  CHECK(replica.arrive(ms(1), 10'301, browse).verdict == Verdict::kTooOld);
  // Two cores: the third waits for the first to end.
  CHECK(primary.arrive(ms(10), 0, browse).done == ms(11));
  CHECK(primary.arrive(ms(10), 0, browse).done == ms(11));
  CHECK(primary.arrive(ms(10), 0, browse).done == ms(12));
  primary.restart(ms(20));
  CHECK(primary.speed(ms(20)) == Approx(0.17));
  CHECK(primary.arrive(ms(20), 0, browse).done > ms(25));
  CHECK(primary.speed(ms(20) + o.warm_up) == Approx(1));
  primary.set_life(Life::kDraining);
  CHECK(primary.arrive(ms(30), 0, browse).verdict == Verdict::kRejected);
  primary.set_life(Life::kSilent);
  CHECK(primary.arrive(ms(30), 0, browse).verdict == Verdict::kNever);
  KeyStore keys(ms(5000));
  CHECK(keys.apply(ms(0), 7) == KeyStore::Applied::kFirst);
  CHECK(keys.apply(ms(5000), 7) == KeyStore::Applied::kRepeat);
  CHECK(keys.apply(ms(5001), 7) == KeyStore::Applied::kTwice);
}

TEST_CASE(
    "stand-in: a stale answer and a repeat beyond its key are reported, and unknown actions turned down") {
  FakeServersOptions o;
  o.replicas = 1;
  o.key_window = ms(50);
  o.model.check_age = false;
  FakeServers stand_in(o);
  auto members = stand_in.members();
  REQUIRE(members.at("instances").size() == 2);
  auto port = [&](std::size_t i) {
    auto address = members.at("instances").at(i).at("hostPort").get<std::string>();
    return std::stoi(address.substr(address.rfind(':') + 1));
  };
  test::Client primary(port(0)), replica(port(1));
  auto sql = [](const std::string& id, const std::string& rest) {
    return "SELECT content FROM kv WHERE name = 'k' /* id=" + id + ",c=own-view,d=900,cluster=1" + rest +
           " */";
  };
  CHECK(replica.query(sql("a", "")).value == "a");
  CHECK(stand_in.rules().breaches_in_words() == "");
  CHECK(replica.query(sql("b", ",after=" + std::to_string(test::unix_ms() + 5000))).row);
  CHECK(count(stand_in.rules(), Rule::kStale) == 1);
  CHECK(primary.query(test::write_sql("w1")).row);
  CHECK(primary.query(test::write_sql("w2")).row);  // the same key within its window
  CHECK(count(stand_in.rules(), Rule::kKey) == 0);
  std::this_thread::sleep_for(std::chrono::milliseconds(80));
  CHECK(primary.query(test::write_sql("w3")).row);
  CHECK(count(stand_in.rules(), Rule::kKey) == 1);
  CHECK(replica.query(test::write_sql("w4")).code == "25006");
  CHECK(replica.query("DROP TABLE kv").code == "08P01");
  CHECK_THROWS_WITH(stand_in.steer({{"do", "explode"}}), Catch::Contains("explode"));
  CHECK_THROWS_WITH(stand_in.steer({{"do", "drain"}, {"server", "s9-9"}}), Catch::Contains("s9-9"));
  CHECK_THROWS_WITH(FakeServersOptions::parse({{"sest", 1}}), Catch::Contains("sest"));
  CHECK_THROWS_WITH(FakeServersOptions::parse({{"sets", 0}}), Catch::Contains("sets"));
}

TEST_CASE(
    "stand-in: a hand-over moves the role, a kill resets and a start is cold, steered over its socket") {
  FakeServersOptions o;
  o.replicas = 1;
  o.handover_gap = ms(1);
  FakeServers stand_in(o);
  auto address = stand_in.steering();
  test::Peer steering = test::Peer::connect_to(std::stoi(address.substr(address.rfind(':') + 1)));
  auto steer = [&](const std::string& line) {
    steering.send(line + "\n");
    while (steering.received.find('\n') == std::string::npos) REQUIRE(steering.receive());
    auto answer = nlohmann::json::parse(std::exchange(steering.received, {}));
    return answer;
  };
  CHECK(steer(R"({"do":"handover","server":"s1-2"})").at("ok") == true);
  auto members = stand_in.members();
  auto port = [&](std::size_t i) {
    auto a = members.at("instances").at(i).at("hostPort").get<std::string>();
    return std::stoi(a.substr(a.rfind(':') + 1));
  };
  test::Client old(port(0)), next(port(1));
  CHECK(test::eventually([&] { return next.query(test::write_sql("h" + std::to_string(rand()))).row; }));
  CHECK(old.query(test::write_sql("x")).code == "25006");
  CHECK(steer(R"({"do":"kill","server":"s1-1"})").at("ok") == true);
  CHECK_FALSE(old.receive());
  CHECK(steer(R"({"do":"start","server":"s1-1"})").at("ok") == true);
  CHECK(test::Client(port(0)).query("").tag == "empty");
  CHECK(stand_in.members().at("instances").at(0).at("startedAtMs") > 0);
  CHECK(steer("no JSON").at("ok") == false);
  CHECK(steer(R"({"do":"report"})").at("servers").contains("s1-1"));
}

TEST_CASE("load: open loop counts from the intended time, so a stall is not hidden") {
  FakeServersOptions o;
  o.replicas = 1;
  FakeServers stand_in(o);
  auto config = app::parse_config(test::config_text(stand_in.discovery(), stand_in.members().dump()));
  test::ProxyFixture rig;  // its proxy serves set 2 only; this load asks a data server directly
  auto at = stand_in.members().at("instances").at(0).at("hostPort").get<std::string>();
  LoadOptions load;
  load.target = *net::parse_address(at);
  load.connections = 4;
  load.rate = 500;
  load.duration = ms(800);
  load.book_share = 0;
  std::thread stall([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    stand_in.steer({{"do", "silence"}, {"server", "s1-1"}});
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    stand_in.steer({{"do", "speak"}, {"server", "s1-1"}});
    stand_in.steer({{"do", "kill"}, {"server", "s1-1"}});
    stand_in.steer({{"do", "start"}, {"server", "s1-1"}});
  });
  auto figures = run_load(load);
  stall.join();
  CHECK(figures.served > 150);
  // Some 150 arrivals fell into the stall: a third waited long, which a closed loop would have hidden.
  CHECK(percentile(figures.overall_latency, 0.9) > 50'000);
  CHECK(percentile(figures.overall_latency, 0.1) < 50'000);
  auto unanswered = figures.unanswered - figures.unsent;
  CHECK(unanswered <= 4);  // those that were out when the connection was reset
  CHECK(figures.attempts == figures.served + figures.rejected + figures.failed + unanswered);
}

TEST_CASE("load: a second load of the same seed repeats no key of the first") {
  FakeServersOptions o;
  o.key_window = ms(50);
  FakeServers stand_in(o);
  LoadOptions load;
  load.target =
      *net::parse_address(stand_in.members().at("instances").at(0).at("hostPort").get<std::string>());
  load.connections = 1;
  load.duration = ms(100);
  load.book_share = 1;
  load.own_view_share = 0;
  for (auto prefix : {"first-", "second-"}) {
    load.id_prefix = prefix;
    CHECK(run_load(load).served > 0);
  }
  CHECK(stand_in.rules().breaches_in_words() == "");
}

TEST_CASE("load: a value of another request is a breach, percentiles and medians are right") {
  RuleChecker rules;
  test::ProxyFixture rig;
  rig.primary.reply =
      rig.replica.reply = [](const std::string&) { return test::Reply{}; };  // "value", never the id
  LoadOptions load;
  load.target = *net::parse_address("127.0.0.1:" + std::to_string(rig.port));
  load.connections = 2;
  load.duration = ms(100);
  load.shard_groups = {2};
  load.rules = &rules;
  auto figures = run_load(load);
  CHECK(figures.served > 0);
  CHECK(count(rules, Rule::kWrongValue) >= figures.served);
  auto h = make_latencies();
  for (int i = 1; i <= 1000; ++i) h(i);
  CHECK(percentile(h, 0.5) == Approx(500).epsilon(0.02));
  CHECK(percentile(h, 0.99) == Approx(990).epsilon(0.02));
  CHECK(percentile(make_latencies(), 0.5) == 0);
  CHECK(median({3, 1, 2}) == 2);
  CHECK(median({4, 1}) == 2.5);
}

TEST_CASE("layout: parts get processors of their own while there are enough, and say when not") {
  auto eight = assign_cpus({0, 1, 2, 3, 4, 5, 6, 7}, 4, true, 4);
  CHECK(eight.proxy == std::vector<int>{0, 1, 2, 3, 4});
  CHECK(eight.fake_servers == std::vector<int>{5, 6});
  CHECK(eight.load == std::vector<int>{7});
  CHECK_FALSE(eight.shares_cpus);
  CHECK(assign_cpus({0, 1, 2, 3, 4, 5, 6, 7}, 1, false, 3).fake_servers == std::vector<int>{4, 5, 6});
  auto four = assign_cpus({0, 1, 2, 3}, 2, true, 2);
  CHECK(four.proxy == std::vector<int>{0, 1, 2});
  CHECK(four.shares_cpus);
  CHECK(assign_cpus({5}, 2, true, 2).load == std::vector<int>{5});
}

}  // namespace database_proxy::testbench
