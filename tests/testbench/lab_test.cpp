// Tests of the testbench itself: with a checker that misses a violation, or a model that does not behave like
// a server, its results would prove nothing.
#include <catch2/catch.hpp>

#include "proxy/rig.h"
#include "testbench/cores.h"
#include "testbench/fake_servers.h"
#include "testbench/load.h"
#include "testbench/report.h"

namespace database_proxy::testbench {
namespace {

std::uint64_t count(const InvariantChecker& invariants, Invariant invariant) {
  for (auto& violation : invariants.violations())
    if (violation.invariant == invariant) return violation.count;
  return 0;
}

constexpr Micros ms(std::int64_t n) { return Micros(n * 1000); }

}  // namespace

TEST_CASE("rules: each breach is counted, and permitted behaviour is not a breach") {
  InvariantChecker invariants;
  // Two attempts of one request: permitted one after the other, a violation when concurrent.
  invariants.on_attempt(ms(1), ms(1), "a", "s1");
  invariants.on_attempt_end("a");
  invariants.on_attempt(ms(2), ms(2), "a", "s2");
  CHECK(invariants.total() == 0);
  invariants.on_attempt(ms(3), ms(3), "a", "s1");
  CHECK(count(invariants, Invariant::kConcurrentAttempts) == 1);
  // A request may have eight attempts; the ninth is a violation.
  for (int i = 0; i < 8; ++i) {
    invariants.on_attempt(ms(4), ms(4), "b", "s1");
    invariants.on_attempt_end("b");
  }
  CHECK(count(invariants, Invariant::kTooManyAttempts) == 0);
  invariants.on_attempt(ms(4), ms(4), "b", "s1");
  CHECK(count(invariants, Invariant::kTooManyAttempts) == 1);
  // After a drain notice, an attempt is judged by the time of its first byte, which may come until the grace
  // period (1,050 ms) ends. A notice that the server takes work again ends the drain.
  invariants.on_listed(ms(1000), "s1", false);
  invariants.on_attempt(ms(2060), ms(2040), "c", "s1");
  CHECK(count(invariants, Invariant::kSentAfterDrain) == 0);
  CHECK(invariants.drain_last_send_ms().at("s1") == Approx(1040));
  invariants.on_listed(ms(2050), "s1", false);  // a repeated notice does not restart the grace period
  invariants.on_attempt(ms(2070), ms(2070), "d", "s1");
  CHECK(count(invariants, Invariant::kSentAfterDrain) == 1);
  invariants.on_listed(ms(2080), "s1", true);
  invariants.on_attempt(ms(4000), ms(4000), "e", "s1");
  CHECK(count(invariants, Invariant::kSentAfterDrain) == 1);
}

TEST_CASE("rules: a member in slow start may get at most the overload multiple of its share") {
  auto count_overloads = [](int warming_requests) {
    InvariantChecker invariants;
    for (int i = 0; i < 300; ++i) invariants.on_request(ms(i), 1, i % 2 ? "w1" : "w2", 1);
    for (int i = 0; i < warming_requests; ++i) invariants.on_request(ms(i), 1, "c", 0.2);
    invariants.on_request(ms(1100), 1, "w1", 1);  // ends the window
    return count(invariants, Invariant::kSlowStartOverload);
  };
  // Counting begins with the first request to a member in slow start; that request comes before the 300 here.
  InvariantChecker invariants;
  invariants.on_request(ms(0), 1, "c", 0.2);
  for (int i = 0; i < 300; ++i) invariants.on_request(ms(i), 1, i % 2 ? "w1" : "w2", 1);
  for (int i = 0; i < 80; ++i) invariants.on_request(ms(i), 1, "c", 0.2);
  invariants.on_request(ms(1100), 1, "w1", 1);
  // 81 requests, where a warm member gets 150: within 3 times 0.2 of that.
  CHECK(count(invariants, Invariant::kSlowStartOverload) == 0);
  for (int i = 0; i < 300; ++i) invariants.on_request(ms(1200 + i), 1, i % 2 ? "w1" : "w2", 1);
  for (int i = 0; i < 120; ++i) invariants.on_request(ms(1200 + i), 1, "c", 0.2);
  invariants.on_request(ms(2300), 1, "w1", 1);
  CHECK(count(invariants, Invariant::kSlowStartOverload) == 1);
  CHECK(count_overloads(0) == 0);
}

TEST_CASE("rules: small request counts at a member in slow start are checked, with a wider tolerance") {
  auto count_overloads = [](int warming_requests) {
    InvariantChecker invariants;
    invariants.on_request(ms(0), 1, "c", 0.2);
    for (int i = 0; i < 40; ++i) invariants.on_request(ms(i), 1, i % 2 ? "w1" : "w2", 1);
    for (int i = 1; i < warming_requests; ++i) invariants.on_request(ms(i), 1, "c", 0.2);
    invariants.on_request(ms(1100), 1, "w1", 1);
    return count(invariants, Invariant::kSlowStartOverload);
  };
  // 3 times 0.2 of 20 is 12; plus 3 times its square root and 3, the limit is 25.4.
  CHECK(count_overloads(25) == 0);
  CHECK(count_overloads(26) == 1);
}

TEST_CASE(
    "rules: with a known usual rate, a member's slow-start limit does not depend on the load of the others") {
  auto count_overloads = [](int warming_requests, int warm_requests) {
    InvariantLimits limits;
    limits.slow_start.nominal_rate = 150;
    InvariantChecker invariants(limits);
    for (int i = 0; i < warming_requests; ++i) invariants.on_request(ms(i), 1, "c", 0.2);
    for (int i = 0; i < warm_requests; ++i) invariants.on_request(ms(i), 1, "w", 1);
    invariants.on_request(ms(1100), 1, "w", 1);
    return count(invariants, Invariant::kSlowStartOverload);
  };
  // 3 times 0.2 of 150 is 90; plus twice its square root and 2, the limit is 111.
  CHECK(count_overloads(110, 10) == 0);
  CHECK(count_overloads(112, 10) == 1);
  CHECK(count_overloads(112, 900) == 1);
  CHECK(count_overloads(112, 0) == 1);
}

TEST_CASE("model: replication lag, roles, life states, busy cores and a slow server after its start") {
  ModelOptions options;
  options.lag = ms(50);
  options.cores = 2;
  options.service_us = 1000;
  options.service_variation = 0;
  ServerModel primary(options, 1, true), replica(options, 2, false);
  CHECK(primary.position(10'000) == 10'000);
  CHECK(replica.position(10'000) == 9'950);
  ModelRequest write{RequestKind::kWrite, 0}, browse{RequestKind::kBoundedStaleness, 0},
      own{RequestKind::kReadYourWrites, 9'990};
  CHECK(replica.admit(ms(1), 10'000, write).result == AdmissionResult::kNotPrimary);
  CHECK(replica.admit(ms(1), 10'000, own).result == AdmissionResult::kTooOld);
  CHECK(replica.admit(ms(1), 10'040, own).result == AdmissionResult::kRun);
  replica.set_lag(ms(400), 10'050);
  CHECK(replica.position(10'060) == 10'000);  // the position does not go back when the lag grows
  CHECK(replica.admit(ms(1), 10'301, browse).result == AdmissionResult::kTooOld);
  // With two cores, the third job waits until the first one ends.
  CHECK(primary.admit(ms(10), 0, browse).done == ms(11));
  CHECK(primary.admit(ms(10), 0, browse).done == ms(11));
  CHECK(primary.admit(ms(10), 0, browse).done == ms(12));
  primary.restart(ms(20));
  CHECK(primary.speed(ms(20)) == Approx(0.17));
  CHECK(primary.admit(ms(20), 0, browse).done > ms(25));
  CHECK(primary.speed(ms(20) + options.warm_up) == Approx(1));
  primary.set_state(ServerState::kDraining);
  CHECK(primary.admit(ms(30), 0, browse).result == AdmissionResult::kRejected);
  primary.set_state(ServerState::kUnresponsive);
  CHECK(primary.admit(ms(30), 0, browse).result == AdmissionResult::kNoAnswer);
  IdempotencyKeyStore keys(ms(5000));
  CHECK(keys.apply(ms(0), 7) == IdempotencyKeyStore::Applied::kFirst);
  CHECK(keys.apply(ms(5000), 7) == IdempotencyKeyStore::Applied::kRepeat);
  CHECK(keys.apply(ms(5001), 7) == IdempotencyKeyStore::Applied::kTwice);
}

TEST_CASE(
    "fake servers: a stale answer and a repeat after its key window are breaches, unknown actions are "
    "rejected") {
  FakeServersOptions options;
  options.replicas = 1;
  options.key_window = ms(50);
  options.model.check_staleness = false;
  FakeServers fake_servers(options);
  auto members = fake_servers.members();
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
  CHECK(fake_servers.invariants().describe_violations() == "");
  CHECK(replica.query(sql("b", ",after=" + std::to_string(test::unix_ms() + 5000))).row);
  CHECK(count(fake_servers.invariants(), Invariant::kStaleRead) == 1);
  CHECK(primary.query(test::write_sql("w1")).row);
  CHECK(primary.query(test::write_sql("w2")).row);  // the same key again within its window is permitted
  CHECK(count(fake_servers.invariants(), Invariant::kExpiredIdempotencyKey) == 0);
  std::this_thread::sleep_for(std::chrono::milliseconds(80));
  CHECK(primary.query(test::write_sql("w3")).row);
  CHECK(count(fake_servers.invariants(), Invariant::kExpiredIdempotencyKey) == 1);
  CHECK(replica.query(test::write_sql("w4")).code == "25006");
  CHECK(replica.query("DROP TABLE kv").code == "08P01");
  CHECK_THROWS_WITH(fake_servers.control({{"do", "explode"}}), Catch::Contains("explode"));
  CHECK_THROWS_WITH(fake_servers.control({{"do", "drain"}, {"server", "s9-9"}}), Catch::Contains("s9-9"));
  CHECK_THROWS_WITH(FakeServersOptions::parse({{"sest", 1}}), Catch::Contains("sest"));
  CHECK_THROWS_WITH(FakeServersOptions::parse({{"sets", 0}}), Catch::Contains("sets"));
}

TEST_CASE(
    "fake servers: handover moves the primary role, kill resets connections, start begins warm-up, all over "
    "the control socket") {
  FakeServersOptions options;
  options.replicas = 1;
  options.handover_gap = ms(1);
  FakeServers fake_servers(options);
  auto address = fake_servers.control_address();
  test::Peer control_connection = test::Peer::connect_to(std::stoi(address.substr(address.rfind(':') + 1)));
  auto control = [&](const std::string& line) {
    control_connection.send(line + "\n");
    while (control_connection.received.find('\n') == std::string::npos) REQUIRE(control_connection.receive());
    auto answer = nlohmann::json::parse(std::exchange(control_connection.received, {}));
    return answer;
  };
  CHECK(control(R"({"do":"handover","server":"s1-2"})").at("ok") == true);
  auto members = fake_servers.members();
  auto port = [&](std::size_t i) {
    auto a = members.at("instances").at(i).at("hostPort").get<std::string>();
    return std::stoi(a.substr(a.rfind(':') + 1));
  };
  test::Client old(port(0)), next(port(1));
  CHECK(test::eventually([&] { return next.query(test::write_sql("h" + std::to_string(rand()))).row; }));
  CHECK(old.query(test::write_sql("x")).code == "25006");
  CHECK(control(R"({"do":"kill","server":"s1-1"})").at("ok") == true);
  CHECK_FALSE(old.receive());
  CHECK(control(R"({"do":"start","server":"s1-1"})").at("ok") == true);
  CHECK(test::Client(port(0)).query("").tag == "empty");
  CHECK(fake_servers.members().at("instances").at(0).at("startedAtMs") > 0);
  CHECK(control("no JSON").at("ok") == false);
  CHECK(control(R"({"do":"report"})").at("servers").contains("s1-1"));
}

TEST_CASE("load: open-loop latency counts from the intended send time, so a stall shows") {
  FakeServersOptions options;
  options.replicas = 1;
  FakeServers fake_servers(options);
  auto config =
      app::parse_config(test::config_text(fake_servers.discovery_address(), fake_servers.members().dump()));
  // The fixture's proxy serves shard group 2 only; this load goes directly to a data server.
  test::ProxyFixture fixture;
  auto at = fake_servers.members().at("instances").at(0).at("hostPort").get<std::string>();
  LoadOptions load;
  load.target = *net::parse_address(at);
  load.connections = 4;
  load.rate = 500;
  load.duration = ms(800);
  load.book_share = 0;
  std::thread stall([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    fake_servers.control({{"do", "silence"}, {"server", "s1-1"}});
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    fake_servers.control({{"do", "speak"}, {"server", "s1-1"}});
    fake_servers.control({{"do", "kill"}, {"server", "s1-1"}});
    fake_servers.control({{"do", "start"}, {"server", "s1-1"}});
  });
  auto figures = run_load(load);
  stall.join();
  CHECK(figures.served > 150);
  // About 150 arrivals fall into the stall, and a third of the requests wait long. A closed loop would hide
  // this, since it sends nothing new while it waits.
  CHECK(percentile(figures.overall_latency, 0.9) > 50'000);
  CHECK(percentile(figures.overall_latency, 0.1) < 50'000);
  auto unanswered = figures.unanswered - figures.unsent;
  CHECK(unanswered <= 4);  // those in flight when the connections were reset
  CHECK(figures.attempts == figures.served + figures.rejected + figures.failed + unanswered);
}

TEST_CASE("load: a second load with the same seed reuses no idempotency key of the first") {
  FakeServersOptions options;
  options.key_window = ms(50);
  FakeServers fake_servers(options);
  LoadOptions load;
  load.target =
      *net::parse_address(fake_servers.members().at("instances").at(0).at("hostPort").get<std::string>());
  load.connections = 1;
  load.duration = ms(100);
  load.book_share = 1;
  load.own_view_share = 0;
  for (auto prefix : {"first-", "second-"}) {
    load.id_prefix = prefix;
    CHECK(run_load(load).served > 0);
  }
  CHECK(fake_servers.invariants().describe_violations() == "");
}

TEST_CASE("load: a value of another request is a breach, percentiles and medians are correct") {
  InvariantChecker invariants;
  test::ProxyFixture fixture;
  // The value of the reply is always "value", never the request's id.
  fixture.primary.reply = fixture.replica.reply = [](const std::string&) { return test::Reply{}; };
  LoadOptions load;
  load.target = *net::parse_address("127.0.0.1:" + std::to_string(fixture.port));
  load.connections = 2;
  load.duration = ms(100);
  load.shard_groups = {2};
  load.invariants = &invariants;
  auto figures = run_load(load);
  CHECK(figures.served > 0);
  CHECK(count(invariants, Invariant::kWrongValue) >= figures.served);
  auto histogram = make_latencies();
  for (int i = 1; i <= 1000; ++i) histogram(i);
  CHECK(percentile(histogram, 0.5) == Approx(500).epsilon(0.02));
  CHECK(percentile(histogram, 0.99) == Approx(990).epsilon(0.02));
  CHECK(percentile(make_latencies(), 0.5) == 0);
  CHECK(median({3, 1, 2}) == 2);
  CHECK(median({4, 1}) == 2.5);
}

TEST_CASE(
    "layout: parts get separate processors while there are enough, and the layout is marked as crowded if "
    "not") {
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
