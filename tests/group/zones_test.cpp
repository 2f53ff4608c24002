// Tests of the placement plan with separate processes: three zones in two regions, each with proxies, servers
// and clients, and faults within and between zones. Tests wait for conditions; fixed times are only the
// durations of the faults themselves and the spans over which a state must not change.
#include <catch2/catch.hpp>
#include <functional>
#include <thread>

#include "placement/placement_codec.h"
#include "testbench/fault_injection/rig.h"
#include "testbench/load.h"
#include "testbench/temporary_directory.h"

namespace database_proxy::testbench::faults {
namespace {

using namespace std::chrono_literals;
namespace pl = placement;

constexpr Micros kWaitTimeout{40'000'000};

// Voters n1, n2 and n3 run in zones a, b and c; proxies p1 to p6 in a, b, c in turn. There is one shard
// group: its primary and two replicas are in a, three replicas each in b and c.
struct ZonesFixture {
  explicit ZonesFixture(std::function<void(FaultHarnessOptions&)> change = [](auto&) {}) {
    FaultHarnessOptions o;
    o.program = DATABASE_PROXY_PROGRAM;
    o.folder = scratch.path();
    o.voters = 3;
    o.followers = 6;
    o.zones = {{"a", "north"}, {"b", "north"}, {"c", "south"}};
    o.placement = true;
    o.requests_per_weight = 200;
    o.group = {{"placement", short_times()}};
    o.fake_servers.replicas = 8;
    o.fake_servers.model.cores = 1;
    o.fake_servers.model.service_us = 1000;
    o.fake_servers.model.warm_up = 4s;
    o.settings = {{"Guarantees", {{"WarmUpMs", 4000.0}}}};
    change(o);
    harness = std::make_unique<FaultHarness>(o);
    REQUIRE(harness->wait_until(
        [&] { return !harness->lease_holder("placement").empty() && !harness->lease_holder("list").empty(); },
        kWaitTimeout));
  }
  // Returns placement times shorter than the defaults, to keep the tests short.
  static json short_times() { return {{"dwell_ms", 3000}, {"open_after_ms", 1500}, {"step_ms", 500}}; }
  ~ZonesFixture() { end_load(); }
  FaultHarness* operator->() { return harness.get(); }

  // Sends load to every proxy until end_load().
  void start_load(double rate_each = 30) {
    for (auto& name : harness->all())
      loads.emplace_back([this, name, rate_each, port = harness->port(name)] {
        for (int i = 0; !stop; ++i) {
          LoadOptions l;
          l.target = *net::parse_address("127.0.0.1:" + std::to_string(port));
          l.connections = 4;
          l.rate = rate_each;
          l.duration = 500ms;
          l.book_share = 0.02;
          l.seed = std::hash<std::string>{}(name) + static_cast<std::uint64_t>(i);
          l.id_prefix = name + "-" + std::to_string(i) + "-";
          l.invariants = &harness->fake_servers().invariants();
          try {
            auto f = run_load(l);
            std::lock_guard lock(mutex);
            total.add(f);
          } catch (const std::runtime_error&) {
            std::this_thread::sleep_for(50ms);  // the proxy is being restarted
          }
        }
      });
  }
  void end_load() {
    stop = true;
    for (auto& t : loads)
      if (t.joinable()) t.join();
    loads.clear();
  }

  json placement_command(const std::string& what, json fields = json::object(), const std::string& at = "") {
    fields["do"] = "placement";
    fields["what"] = what;
    for (auto& name : harness->voters()) {
      if (!at.empty() && name != at) continue;
      try {
        return harness->send_command(name, fields, 3000);
      } catch (const std::exception&) {
      }
    }
    return {{"ok", false}, {"why", "nobody answered"}};
  }
  pl::Plan plan() {
    auto answer = placement_command("show");
    return answer.contains("plan") && answer.at("plan").is_object() ? pl::plan_from_json(answer.at("plan"))
                                                                    : pl::Plan{};
  }
  std::string phase(const std::string& zone) {
    auto p = plan();
    auto it = p.zones.find(zone);
    return it == p.zones.end() ? "" : pl::text_of(it->second.phase);
  }
  bool wait_for_phase(const std::string& zone, const std::string& expected) {
    if (harness->wait_until([&] { return phase(zone) == expected; }, kWaitTimeout)) return true;
    auto shown = placement_command("show");
    if (shown.contains("plan")) shown["plan"].erase("shares"), shown["plan"].erase("spares");
    WARN(zone << " is not " << expected << ": " << shown.dump());
    return false;
  }
  std::uint64_t followed_plan(const std::string& name) {
    auto s = harness->status(name, 2000);
    return s ? s->value("plan", std::uint64_t{0}) : 0;
  }
  bool wait_until_followed_by(const std::vector<std::string>& names) {
    return harness->wait_until(
        [&] {
          auto number = plan().number;
          return number > 0 &&
                 std::all_of(names.begin(), names.end(), [&](auto& n) { return followed_plan(n) >= number; });
        },
        kWaitTimeout);
  }
  bool wait_until_ready() {  // servers observed, a plan made, and all voters follow it
    return harness->wait_until(
               [&] {
                 return plan().shares.count({1, "b"}) > 0;
               },
               kWaitTimeout) &&
           wait_until_followed_by(harness->voters());
  }
  void control_servers(const std::string& what, const std::string& zone, json fields = json::object()) {
    fields["do"] = what;
    fields["zone"] = zone;
    harness->fake_servers().control(fields);
  }
  std::uint64_t requests(const std::string& zone) {
    std::uint64_t n = 0;
    auto members = harness->fake_servers().members();
    auto figures = harness->fake_servers().counters();
    for (auto& m : members.at("instances"))
      if (m.at("zone") == zone) n += figures[m.at("instanceId")].requests;
    return n;
  }
  // Waits until the zone has received no request for a second.
  bool wait_until_no_requests(const std::string& zone) {
    std::uint64_t last = requests(zone);
    auto since = net::monotonic_now();
    return harness->wait_until(
        [&] {
          auto now = requests(zone);
          if (now != last) last = now, since = net::monotonic_now();
          return net::monotonic_now() - since > 1s;
        },
        kWaitTimeout);
  }
  void check_no_breaches() {
    end_load();
    auto report = harness->fake_servers().report();
    INFO(report.at("breaches").dump());
    CHECK(harness->fake_servers().invariants().describe_violations() == "");
    CHECK(total.served > 0);
  }

  TemporaryDirectory scratch;
  std::unique_ptr<FaultHarness> harness;
  std::vector<std::thread> loads;
  std::atomic<bool> stop{false};
  std::mutex mutex;
  LoadFigures total;
};

}  // namespace

TEST_CASE("zones: a zone whose servers die, hang or get slow is closed by agreement and reopened in steps") {
  for (std::string fault :
       {"kill", "silence", "slow"}) {  // a new fixture each: a zone changes at most four times a minute
    INFO(fault);
    ZonesFixture z;
    z.start_load();
    REQUIRE(z.wait_until_ready());
    auto number = z.plan().number;
    z.control_servers(fault, "b", fault == "slow" ? json{{"times", 60}} : json::object());
    if (fault == "slow") {
      // The cost of the slow servers moves reads to other zones as far as these have surplus capacity,
      // whether or not a plan closes the zone.
      CHECK(z.harness->wait_until(
          [&] {
            auto from = z.requests("b"), others = z.requests("a") + z.requests("c");
            auto at = net::monotonic_now();
            z.harness->wait_until([&] { return net::monotonic_now() - at > 1s; });
            return (z.requests("b") - from) * 10 < z.requests("a") + z.requests("c") - others;
          },
          kWaitTimeout));
    } else {
      CHECK(z.wait_for_phase("b", "closed"));
    }
    if (fault != "slow") {
      CHECK(z.plan().number > number);
      CHECK(z.wait_until_followed_by(z->voters()));
      CHECK(z.wait_until_no_requests("b"));
    }
    z.control_servers(fault == "kill"      ? "start"
                      : fault == "silence" ? "speak"
                                           : "slow",
                      "b", fault == "slow" ? json{{"times", 1}} : json::object());
    if (fault == "kill") CHECK(z.wait_for_phase("b", "opening"));
    CHECK(z.wait_for_phase("b", "open"));
    CHECK(z.harness->wait_until([&] { return z.plan().links.empty(); }, kWaitTimeout));
    z.check_no_breaches();
  }
}

// Guards against closing a healthy zone: a partial failure, or the view of a single proxy with a faulty
// network, must not be taken for the failure of a zone.
TEST_CASE("zones: one request in five failing, or one proxy that finds all servers dead, closes nothing") {
  ZonesFixture z([](FaultHarnessOptions& o) { o.own_sources = {"p1"}; });
  z.start_load();
  REQUIRE(z.wait_until_ready());
  z.control_servers("fail", "b", {{"share", 0.2}});
  auto number = z.plan().number;
  auto seen = [&] {
    auto answer = z.placement_command("show");
    return answer.contains("seen") ? pl::observation_from_json(answer.at("seen")) : pl::Observation{};
  };
  CHECK(z.harness->wait_until([&] {
    auto o = seen();
    for (auto& [key, s] : o.samples())
      if (std::get<2>(key) == "b" && s.failed > 0) return true;
    return false;
  }));
  auto until = net::monotonic_now() + 6s;
  z.harness->wait_until([&] { return net::monotonic_now() > until; });
  CHECK(z.phase("b") == "open");
  CHECK(z.plan().links.empty());
  z.control_servers("fail", "b", {{"share", 0}});
  CHECK(z.plan().number >= number);
  // Faulty network card: p1, in zone a, reaches no server at all, while all other processes do.
  for (auto zone : {"a", "b", "c"}) z->cut_zone_direction("p1", zone);
  CHECK(z.harness->wait_until(
      [&] {
        std::uint64_t unhealthy_votes = 0;
        auto o = seen();
        for (auto& [key, v] : o.votes())
          if (key.first == "a") unhealthy_votes += v.unhealthy + v.late > 0;
        return unhealthy_votes >= 2;
      },
      kWaitTimeout));
  until = net::monotonic_now() + 6s;
  z.harness->wait_until([&] { return net::monotonic_now() > until; });
  for (auto zone : {"a", "b", "c"}) CHECK(z.phase(zone) == "open");
  CHECK(z.plan().links.empty());
  z->heal();
  z.check_no_breaches();
}

TEST_CASE(
    "zones: a zone cut from the others serves its own clients, first by the last plan, then without one") {
  ZonesFixture z([](FaultHarnessOptions& o) { o.group["placement"]["keep_ms"] = 3000; });
  z.start_load();
  REQUIRE(z.wait_until_ready());
  REQUIRE(z.wait_until_followed_by(z->voters()));
  if (z->leader() == "n2") z->send_command("n2", {{"do", "transfer"}, {"name", "n1"}});
  REQUIRE(z.harness->wait_until([&] { return !z->leader().empty() && z->leader() != "n2"; }));
  z->isolate_zone("b");
  // Processes in b find b healthy; the other zones close their links to b, or zone b itself.
  CHECK(z.harness->wait_until(
      [&] { return z->log("n2").find("this proxy goes on alone") != std::string::npos; }, kWaitTimeout));
  CHECK(z.harness->wait_until(
      [&] { return !z->lease_holder("placement").empty() && z->lease_holder("placement") != "n2"; },
      kWaitTimeout));
  auto before = z.requests("b");
  CHECK(z.harness->wait_until(
      [&] { return z.requests("b") > before + 50; }));  // the servers of b still serve b's own clients
  z->heal();
  CHECK(z.harness->wait_until(
      [&] { return z->log("n2").find("this proxy follows plan") != std::string::npos; }, kWaitTimeout));
  CHECK(z.wait_for_phase("b", "open"));
  CHECK(z.wait_until_followed_by(z->voters()));
  z.check_no_breaches();
}

// Guards against closing a zone for everybody when only the link from one other zone to it has failed.
TEST_CASE("zones: a way that fails is distinguished from a zone that fails") {
  ZonesFixture z;
  z.start_load();
  REQUIRE(z.wait_until_ready());
  z->cut_zone_direction("c",
                        "b");  // proxies in c no longer reach b's servers; those in a and b find b healthy
  CHECK(z.harness->wait_until(
      [&] {
        auto p = z.plan();
        auto it = p.links.find({"c", "b"});
        return it != p.links.end() && it->second.phase == pl::Phase::kClosed;
      },
      kWaitTimeout));
  CHECK(z.phase("b") == "open");
  z->heal();
  CHECK(z.harness->wait_until([&] { return z.plan().links.empty(); }, kWaitTimeout));
  z.check_no_breaches();
}

TEST_CASE(
    "zones: the lease holder's zone is lost, then the majority, and no older plan replaces a newer one") {
  ZonesFixture z;
  z.start_load();
  REQUIRE(z.wait_until_ready());
  auto holder = z->lease_holder("placement");
  auto zone = z->zone_of(holder);
  auto number = z.plan().number;
  // The servers of the zone die and its processes are paused, together.
  z.control_servers("kill", zone);
  for (auto& name : z->in_zone(zone)) z->pause(name);
  CHECK(z.harness->wait_until(
      [&] { return !z->lease_holder("placement").empty() && z->lease_holder("placement") != holder; },
      kWaitTimeout));
  CHECK(z.wait_for_phase(zone, "closed"));
  auto closing_plan = z.plan().number;
  CHECK(closing_plan > number);
  for (auto& name : z->in_zone(zone)) z->resume(name);
  z.control_servers("start", zone);
  CHECK(z.wait_for_phase(zone, "open"));
  CHECK(z.harness->wait_until([&] { return z.followed_plan(holder) >= closing_plan; }, kWaitTimeout));
  // Without a majority nobody makes plans. The survivor keeps the last plan, and later routes without a plan.
  std::string survivor = z->voters()[0];
  auto last = z.plan().number;
  for (auto& name : z->voters())
    if (name != survivor) z->kill(name);
  CHECK(z.harness->wait_until(
      [&] { return z->log(survivor).find("this proxy goes on alone") != std::string::npos; }, kWaitTimeout));
  CHECK(z.followed_plan(survivor) == 0);
  for (auto& name : z->voters())
    if (name != survivor) z->start(name);
  CHECK(z.harness->wait_until([&] { return z.followed_plan(survivor) >= last; }, kWaitTimeout));
  z.check_no_breaches();
}

TEST_CASE(
    "zones: cut from the placement lease holder only, planning continues, and all follow one plan again") {
  ZonesFixture z;
  z.start_load();
  REQUIRE(z.wait_until_ready());
  auto holder = z->lease_holder("placement"), leader = z->leader();
  for (auto& other : z->voters()) {
    if (other == holder) continue;
    INFO(other << " cut from " << holder << ", leader " << leader);
    z->cut(holder, other);
    // The cut voter still reaches the group through the third. Plans continue to be made, whichever node
    // holds the lease now.
    auto number = z.plan().number;
    z.control_servers("kill", "c");
    CHECK(z.harness->wait_until(
        [&] {
          for (auto& name : z->voters()) {
            auto s = z->status(name);
            if (s && s->value("plan", std::uint64_t{0}) > number) return true;
          }
          return false;
        },
        kWaitTimeout));
    z.control_servers("start", "c");
    z->heal();
    CHECK(z.wait_until_followed_by(z->voters()));
    CHECK(z.wait_for_phase("c", "open"));
    break;  // one voter is enough; which one depends on who holds the lease
  }
  z.check_no_breaches();
}

// Guards against overloading servers that are warming up: a second zone is lost while the first one has just
// returned, and its requests must not all move to the cold servers.
TEST_CASE(
    "zones: two zones lost in turn, the second while the first warms up, and no cold server is overloaded") {
  ZonesFixture z([](FaultHarnessOptions& o) { o.fake_servers.model.overload_in_flight = 40; });
  z.start_load(20);
  REQUIRE(z.wait_until_ready());
  z.control_servers("kill", "b");
  REQUIRE(z.wait_for_phase("b", "closed"));
  z.control_servers("start", "b");
  REQUIRE(z.wait_for_phase("b", "opening"));
  z.control_servers("kill", "c");
  CHECK(z.wait_for_phase("c", "closed"));
  z.control_servers("start", "c");
  CHECK(z.wait_for_phase("b", "open"));
  CHECK(z.wait_for_phase("c", "open"));
  for (auto& [id, f] : z->fake_servers().counters()) CHECK(f.overloads == 0);
  z.check_no_breaches();
}

// Guards against moving the load back and forth: servers that stop and resume answering every 2 s would
// change the phase of their zone each time without the limit per minute.
TEST_CASE("zones: a zone that flaps every 2 s changes its phase at most four times a minute") {
  ZonesFixture z([](FaultHarnessOptions& o) { o.group = json::object(); });  // the default times
  z.start_load();
  REQUIRE(z.wait_until_ready());
  auto changes = [&] {
    std::size_t n = 0;
    auto p = z.plan();
    for (auto& [zone, at] : p.changes) n += zone == "b";
    return n;
  };
  std::size_t max_changes = 0;
  for (int i = 0; i < 7; ++i) {
    z.control_servers("silence", "b");
    auto at = net::monotonic_now();
    z.harness->wait_until([&] { return net::monotonic_now() - at > 2s; });
    z.control_servers("speak", "b");
    at = net::monotonic_now();
    z.harness->wait_until([&] { return net::monotonic_now() - at > 2s; });
    max_changes = std::max(max_changes, changes());
  }
  CHECK(max_changes <= 4);
  CHECK(z.wait_for_phase("b", "open"));
  z.check_no_breaches();
}

TEST_CASE(
    "zones: an evacuation by an operator survives a new lease holder and restarts, and a frozen plan does "
    "not "
    "change") {
  ZonesFixture z;
  z.start_load();
  REQUIRE(z.wait_until_ready());
  auto answer = z.placement_command("evacuate", {{"zone", "nowhere"}});
  CHECK(answer.value("why", "").find("no server stands in zone 'nowhere'") != std::string::npos);
  auto holder = z->lease_holder("placement");
  answer = z.placement_command("evacuate", {{"zone", "c"}});
  CHECK(answer.value("ok", false));
  CHECK(answer.value("takes_ms", 0) >= 1000);
  REQUIRE(z.wait_for_phase("c", "evacuating"));
  z->pause(holder);
  CHECK(z.harness->wait_until(
      [&] { return !z->lease_holder("placement").empty() && z->lease_holder("placement") != holder; },
      kWaitTimeout));
  CHECK(z.wait_for_phase("c", "evacuated"));
  auto number = z.plan().number;
  z->resume(holder);
  CHECK(z.harness->wait_until([&] { return z.followed_plan(holder) >= number; }, kWaitTimeout));
  CHECK(z.phase("c") == "evacuated");
  CHECK(z.wait_until_no_requests("c"));
  // Another zone fails meanwhile: the evacuated zone stays evacuated.
  z.control_servers("kill", "b");
  CHECK(z.wait_for_phase("b", "closed"));
  CHECK(z.phase("c") == "evacuated");
  z.control_servers("start", "b");
  CHECK(z.wait_for_phase("b", "open"));
  // All voters restart, one after the other.
  for (auto& name : z->voters()) {
    z->terminate(name);
    z->start(name);
    REQUIRE(z.harness->wait_until([&] { return !z->leader().empty(); }));
  }
  CHECK(z.harness->wait_until([&] { return z.phase("c") == "evacuated"; }, kWaitTimeout));
  CHECK(z.harness->wait_until(
      [&] {
        return z.placement_command("restore", {{"zone", "c"}}).value("ok", false);
      },
      kWaitTimeout));
  CHECK(z.wait_for_phase("c", "open"));
  // While the plan is frozen, the loss of a zone changes nothing until planning is resumed.
  CHECK(
      z.harness->wait_until([&] { return z.placement_command("freeze").value("ok", false); }, kWaitTimeout));
  CHECK(z.placement_command("freeze").value("why", "").find("frozen already") != std::string::npos);
  z.control_servers("kill", "b");
  auto until = net::monotonic_now() + 4s;
  z.harness->wait_until([&] { return net::monotonic_now() > until; });
  CHECK(z.phase("b") == "open");
  CHECK(
      z.harness->wait_until([&] { return z.placement_command("resume").value("ok", false); }, kWaitTimeout));
  CHECK(z.wait_for_phase("b", "closed"));
  z.check_no_breaches();
}

// Guards against a cascade: when a zone is lost and the others lack capacity, its excess load must be
// rejected instead of overloading the next zone.
TEST_CASE("zones: what the rest cannot carry is rejected in its home zone and not moved to the next zone") {
  ZonesFixture z([](FaultHarnessOptions& o) { o.requests_per_weight = 60; });
  z.start_load(40);
  REQUIRE(z.wait_until_ready());
  CHECK(z.harness->wait_until([&] {
    double all = 0;
    for (auto& r : z.placement_command("explain", {{"set", 1}}).value("asked", json::array()))
      all += r.at(2).get<double>();
    return all > 320;  // more than the five replicas outside c can serve, at 60 each
  }));
  auto answer = z.placement_command("evacuate", {{"zone", "c"}});
  CHECK(answer.value("why", "").find("cannot carry") != std::string::npos);
  z.control_servers("kill", "b");
  CHECK(z.wait_for_phase("b", "closed"));
  CHECK(z.harness->wait_until(
      [&] {
        auto p = z.plan();
        return p.rejected_share(1, "a") + p.rejected_share(1, "b") + p.rejected_share(1, "c") > 0.05;
      },
      kWaitTimeout));
  auto explained = z.placement_command("explain", {{"set", 1}});
  CHECK(explained.contains("asked"));
  CHECK(z.placement_command("evacuate", {{"zone", "c"}, {"force", true}}).value("ok", false));
  z.control_servers("start", "b");
  CHECK(z.harness->wait_until(
      [&] {
        return z.placement_command("restore", {{"zone", "c"}}).value("ok", false);
      },
      kWaitTimeout));
  CHECK(z.wait_for_phase("c", "open"));
  CHECK(z.wait_for_phase("b", "open"));
  z.check_no_breaches();
  CHECK(z.total.rejected > 0);
}

TEST_CASE("zones: the primary moves to another zone and half of the proxies restart during a failover") {
  ZonesFixture z;
  z.start_load();
  REQUIRE(z.wait_until_ready());
  z.control_servers("kill", "b");
  REQUIRE(z.wait_for_phase("b", "closed"));
  z->fake_servers().control({{"do", "handover"}, {"server", "s1-3"}});  // into zone c, in the other region
  for (auto& name : {"p1", "p2", "p3"}) {
    z->terminate(name);
    z->start(name);
  }
  auto primary_requests = [&] { return z->fake_servers().counters().at("s1-3").requests; };
  auto before = primary_requests();
  CHECK(z.harness->wait_until([&] { return primary_requests() > before + 20; }, kWaitTimeout));
  CHECK(z.harness->wait_until(
      [&] { return z->log("p1").find("linked with") != std::string::npos && z.wait_until_no_requests("b"); },
      kWaitTimeout));
  z.control_servers("start", "b");
  CHECK(z.wait_for_phase("b", "open"));
  z.check_no_breaches();
}

}  // namespace database_proxy::testbench::faults
