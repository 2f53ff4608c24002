// The plan of zones as processes: three zones in two regions, each with proxies, servers and clients, and the
// hard cases between them. Waits are for conditions; the only times are those that faults last.
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

constexpr Micros kPatience{40'000'000};

// Voters n1 and n2 stand in a and b, n3 in c; proxies p1 to p6 in turn in a, b, c. One set: its primary and
// two replicas in a, three replicas in b and in c.
struct Zones {
  explicit Zones(std::function<void(RigOptions&)> change = [](auto&) {}) {
    RigOptions o;
    o.program = DATABASE_PROXY_PROGRAM;
    o.folder = scratch.path();
    o.voters = 3;
    o.followers = 6;
    o.zones = {{"a", "north"}, {"b", "north"}, {"c", "south"}};
    o.placement = true;
    o.per_weight = 200;
    o.group = {{"placement", quick()}};
    o.stand_in.replicas = 8;
    o.stand_in.model.cores = 1;
    o.stand_in.model.service_us = 1000;
    o.stand_in.model.warm_up = 4s;
    o.settings = {{"Guarantees", {{"WarmUpMs", 4000.0}}}};
    change(o);
    rig = std::make_unique<Rig>(o);
    REQUIRE(rig->soon([&] { return !rig->owner("placement").empty() && !rig->owner("list").empty(); },
                      kPatience));
  }
  // Shorter than shipped, so that a test is not all waiting.
  static json quick() { return {{"dwell_ms", 3000}, {"open_after_ms", 1500}, {"step_ms", 500}}; }
  ~Zones() { end_load(); }
  Rig* operator->() { return rig.get(); }

  // Some load at every proxy until end_load().
  void load(double rate_each = 30) {
    for (auto& name : rig->all())
      loads.emplace_back([this, name, rate_each, port = rig->port(name)] {
        for (int i = 0; !stop; ++i) {
          LoadOptions l;
          l.target = *net::parse_address("127.0.0.1:" + std::to_string(port));
          l.connections = 4;
          l.rate = rate_each;
          l.duration = 500ms;
          l.book_share = 0.02;
          l.seed = std::hash<std::string>{}(name) + static_cast<std::uint64_t>(i);
          l.id_prefix = name + "-" + std::to_string(i) + "-";
          l.rules = &rig->stand_in().rules();
          try {
            auto f = run_load(l);
            std::lock_guard lock(mutex);
            sum.add(f);
          } catch (const std::runtime_error&) {
            std::this_thread::sleep_for(50ms);  // it is being restarted
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

  json tool(const std::string& what, json more = json::object(), const std::string& at = "") {
    more["do"] = "placement";
    more["what"] = what;
    for (auto& name : rig->voters()) {
      if (!at.empty() && name != at) continue;
      try {
        return rig->ask(name, more, 3000);
      } catch (const std::exception&) {
      }
    }
    return {{"ok", false}, {"why", "nobody answered"}};
  }
  pl::Plan plan() {
    auto answer = tool("show");
    return answer.contains("plan") && answer.at("plan").is_object() ? pl::plan_from_json(answer.at("plan"))
                                                                    : pl::Plan{};
  }
  std::string phase(const std::string& zone) {
    auto p = plan();
    auto it = p.zones.find(zone);
    return it == p.zones.end() ? "" : pl::text_of(it->second.phase);
  }
  bool becomes(const std::string& zone, const std::string& wanted) {
    if (rig->soon([&] { return phase(zone) == wanted; }, kPatience)) return true;
    auto shown = tool("show");
    if (shown.contains("plan")) shown["plan"].erase("shares"), shown["plan"].erase("spares");
    WARN(zone << " is not " << wanted << ": " << shown.dump());
    return false;
  }
  std::uint64_t following(const std::string& name) {
    auto s = rig->status(name, 2000);
    return s ? s->value("plan", std::uint64_t{0}) : 0;
  }
  bool all_follow(const std::vector<std::string>& names) {
    return rig->soon(
        [&] {
          auto number = plan().number;
          return number > 0 &&
                 std::all_of(names.begin(), names.end(), [&](auto& n) { return following(n) >= number; });
        },
        kPatience);
  }
  bool ready() {  // observed, planned, and all voters follow
    return rig->soon(
               [&] {
                 return plan().shares.count({1, "b"}) > 0;
               },
               kPatience) &&
           all_follow(rig->voters());
  }
  void servers(const std::string& what, const std::string& zone, json more = json::object()) {
    more["do"] = what;
    more["zone"] = zone;
    rig->stand_in().steer(more);
  }
  std::uint64_t requests(const std::string& zone) {
    std::uint64_t n = 0;
    auto members = rig->stand_in().members();
    auto figures = rig->stand_in().figures();
    for (auto& m : members.at("instances"))
      if (m.at("zone") == zone) n += figures[m.at("instanceId")].requests;
    return n;
  }
  // Nothing goes there any more for a second.
  bool rests(const std::string& zone) {
    std::uint64_t last = requests(zone);
    auto since = net::monotonic_now();
    return rig->soon(
        [&] {
          auto now = requests(zone);
          if (now != last) last = now, since = net::monotonic_now();
          return net::monotonic_now() - since > 1s;
        },
        kPatience);
  }
  void nothing_broken() {
    end_load();
    auto report = rig->stand_in().report();
    INFO(report.at("breaches").dump());
    CHECK(rig->stand_in().rules().breaches_in_words() == "");
    CHECK(sum.served > 0);
  }

  TemporaryDirectory scratch;
  std::unique_ptr<Rig> rig;
  std::vector<std::thread> loads;
  std::atomic<bool> stop{false};
  std::mutex mutex;
  LoadFigures sum;
};

}  // namespace

TEST_CASE("zones: one whose servers die, hang or get slow is closed by agreement and opened again in steps") {
  for (std::string how : {"kill", "silence", "slow"}) {  // a zone each: four changes a minute are the most
    INFO(how);
    Zones z;
    z.load();
    REQUIRE(z.ready());
    auto number = z.plan().number;
    z.servers(how, "b", how == "slow" ? json{{"times", 60}} : json::object());
    if (how == "slow") {
      // Reads leave it by their cost, as far as there is spare room, whether or not a plan closes it.
      CHECK(z.rig->soon(
          [&] {
            auto from = z.requests("b"), others = z.requests("a") + z.requests("c");
            auto at = net::monotonic_now();
            z.rig->soon([&] { return net::monotonic_now() - at > 1s; });
            return (z.requests("b") - from) * 10 < z.requests("a") + z.requests("c") - others;
          },
          kPatience));
    } else {
      CHECK(z.becomes("b", "closed"));
    }
    if (how != "slow") {
      CHECK(z.plan().number > number);
      CHECK(z.all_follow(z->voters()));
      CHECK(z.rests("b"));
    }
    z.servers(how == "kill"      ? "start"
              : how == "silence" ? "speak"
                                 : "slow",
              "b", how == "slow" ? json{{"times", 1}} : json::object());
    if (how == "kill") CHECK(z.becomes("b", "opening"));
    CHECK(z.becomes("b", "open"));
    CHECK(z.rig->soon([&] { return z.plan().links.empty(); }, kPatience));
    z.nothing_broken();
  }
}

TEST_CASE("zones: one request in five that fails, or one proxy that sees all as dead, closes nothing") {
  Zones z([](RigOptions& o) { o.own_ways = {"p1"}; });
  z.load();
  REQUIRE(z.ready());
  z.servers("fail", "b", {{"share", 0.2}});
  auto number = z.plan().number;
  auto seen = [&] {
    auto answer = z.tool("show");
    return answer.contains("seen") ? pl::observation_from_json(answer.at("seen")) : pl::Observation{};
  };
  CHECK(z.rig->soon([&] {
    auto o = seen();
    for (auto& [key, s] : o.seen())
      if (std::get<2>(key) == "b" && s.failed > 0) return true;
    return false;
  }));
  auto until = net::monotonic_now() + 6s;
  z.rig->soon([&] { return net::monotonic_now() > until; });
  CHECK(z.phase("b") == "open");
  CHECK(z.plan().links.empty());
  z.servers("fail", "b", {{"share", 0}});
  CHECK(z.plan().number >= number);
  // A bad network card: p1, which stands in a, reaches no server at all; everybody else does.
  for (auto zone : {"a", "b", "c"}) z->cut_zone_way("p1", zone);
  CHECK(z.rig->soon(
      [&] {
        std::uint64_t doubts = 0;
        auto o = seen();
        for (auto& [key, v] : o.votes())
          if (key.first == "a") doubts += v.unhealthy + v.late > 0;
        return doubts >= 2;
      },
      kPatience));
  until = net::monotonic_now() + 6s;
  z.rig->soon([&] { return net::monotonic_now() > until; });
  for (auto zone : {"a", "b", "c"}) CHECK(z.phase(zone) == "open");
  CHECK(z.plan().links.empty());
  z->heal();
  z.nothing_broken();
}

TEST_CASE("zones: a zone cut from the others serves its own on, follows the last plan, then goes on alone") {
  Zones z([](RigOptions& o) { o.group["placement"]["keep_ms"] = 3000; });
  z.load();
  REQUIRE(z.ready());
  REQUIRE(z.all_follow(z->voters()));
  if (z->leader() == "n2") z->ask("n2", {{"do", "transfer"}, {"name", "n1"}});
  REQUIRE(z.rig->soon([&] { return !z->leader().empty() && z->leader() != "n2"; }));
  z->isolate_zone("b");
  // By its own eyes b is well; the others' ways there are closed, or the zone.
  CHECK(z.rig->soon([&] { return z->log("n2").find("this proxy goes on alone") != std::string::npos; },
                    kPatience));
  CHECK(z.rig->soon([&] { return !z->owner("placement").empty() && z->owner("placement") != "n2"; },
                    kPatience));
  auto before = z.requests("b");
  CHECK(z.rig->soon([&] { return z.requests("b") > before + 50; }));  // its own clients are served there
  z->heal();
  CHECK(z.rig->soon([&] { return z->log("n2").find("this proxy follows plan") != std::string::npos; },
                    kPatience));
  CHECK(z.becomes("b", "open"));
  CHECK(z.all_follow(z->voters()));
  z.nothing_broken();
}

TEST_CASE("zones: a way that fails is told from a zone that fails") {
  Zones z;
  z.load();
  REQUIRE(z.ready());
  z->cut_zone_way("c", "b");  // proxies of c reach b's servers no more; a and b see it well
  CHECK(z.rig->soon(
      [&] {
        auto p = z.plan();
        auto it = p.links.find({"c", "b"});
        return it != p.links.end() && it->second.phase == pl::Phase::kClosed;
      },
      kPatience));
  CHECK(z.phase("b") == "open");
  z->heal();
  CHECK(z.rig->soon([&] { return z.plan().links.empty(); }, kPatience));
  z.nothing_broken();
}

TEST_CASE("zones: the owner's zone lost, then the majority's, and no old plan comes after a newer one") {
  Zones z;
  z.load();
  REQUIRE(z.ready());
  auto owner = z->owner("placement");
  auto zone = z->zone_of(owner);
  auto number = z.plan().number;
  // Its servers die and its processes stop, together.
  z.servers("kill", zone);
  for (auto& name : z->in_zone(zone)) z->pause(name);
  CHECK(z.rig->soon([&] { return !z->owner("placement").empty() && z->owner("placement") != owner; },
                    kPatience));
  CHECK(z.becomes(zone, "closed"));
  auto then = z.plan().number;
  CHECK(then > number);
  for (auto& name : z->in_zone(zone)) z->resume(name);
  z.servers("start", zone);
  CHECK(z.becomes(zone, "open"));
  CHECK(z.rig->soon([&] { return z.following(owner) >= then; }, kPatience));
  // The majority: nobody plans, all that live keep the last one, later they go on alone.
  std::string left = z->voters()[0];
  auto last = z.plan().number;
  for (auto& name : z->voters())
    if (name != left) z->kill(name);
  CHECK(z.rig->soon([&] { return z->log(left).find("this proxy goes on alone") != std::string::npos; },
                    kPatience));
  CHECK(z.following(left) == 0);
  for (auto& name : z->voters())
    if (name != left) z->start(name);
  CHECK(z.rig->soon([&] { return z.following(left) >= last; }, kPatience));
  z.nothing_broken();
}

TEST_CASE("zones: cut from the owner of the plan alone, the others go on, and all follow one plan again") {
  Zones z;
  z.load();
  REQUIRE(z.ready());
  auto owner = z->owner("placement"), leader = z->leader();
  for (auto& other : z->voters()) {
    if (other == owner) continue;
    INFO(other << " cut from " << owner << ", leader " << leader);
    z->cut(owner, other);
    // One still hears the group by the third: a plan goes on being made, wherever the owner is now.
    auto number = z.plan().number;
    z.servers("kill", "c");
    CHECK(z.rig->soon(
        [&] {
          for (auto& name : z->voters()) {
            auto s = z->status(name);
            if (s && s->value("plan", std::uint64_t{0}) > number) return true;
          }
          return false;
        },
        kPatience));
    z.servers("start", "c");
    z->heal();
    CHECK(z.all_follow(z->voters()));
    CHECK(z.becomes("c", "open"));
    break;  // the one that is cut is drawn by who owns the job
  }
  z.nothing_broken();
}

TEST_CASE("zones: two lost in turn, the second while the first returns cold, and no cold server falls") {
  Zones z([](RigOptions& o) { o.stand_in.model.fall_inside = 40; });
  z.load(20);
  REQUIRE(z.ready());
  z.servers("kill", "b");
  REQUIRE(z.becomes("b", "closed"));
  z.servers("start", "b");
  REQUIRE(z.becomes("b", "opening"));
  z.servers("kill", "c");
  CHECK(z.becomes("c", "closed"));
  z.servers("start", "c");
  CHECK(z.becomes("b", "open"));
  CHECK(z.becomes("c", "open"));
  for (auto& [id, f] : z->stand_in().figures()) CHECK(f.falls == 0);
  z.nothing_broken();
}

TEST_CASE("zones: one that flaps every 2 s changes at most four times a minute") {
  Zones z([](RigOptions& o) { o.group = json::object(); });  // the times as shipped
  z.load();
  REQUIRE(z.ready());
  auto changes = [&] {
    std::size_t n = 0;
    auto p = z.plan();
    for (auto& [zone, at] : p.changes) n += zone == "b";
    return n;
  };
  std::size_t most = 0;
  for (int i = 0; i < 7; ++i) {
    z.servers("silence", "b");
    auto at = net::monotonic_now();
    z.rig->soon([&] { return net::monotonic_now() - at > 2s; });
    z.servers("speak", "b");
    at = net::monotonic_now();
    z.rig->soon([&] { return net::monotonic_now() - at > 2s; });
    most = std::max(most, changes());
  }
  CHECK(most <= 4);
  CHECK(z.becomes("b", "open"));
  z.nothing_broken();
}

TEST_CASE(
    "zones: an evacuation by hand survives its owner's stop, refuses what the rest cannot carry, and "
    "freezes") {
  Zones z;
  z.load();
  REQUIRE(z.ready());
  auto answer = z.tool("evacuate", {{"zone", "nowhere"}});
  CHECK(answer.value("why", "").find("no server stands in zone 'nowhere'") != std::string::npos);
  auto owner = z->owner("placement");
  answer = z.tool("evacuate", {{"zone", "c"}});
  CHECK(answer.value("ok", false));
  CHECK(answer.value("takes_ms", 0) >= 1000);
  REQUIRE(z.becomes("c", "evacuating"));
  z->pause(owner);
  CHECK(z.rig->soon([&] { return !z->owner("placement").empty() && z->owner("placement") != owner; },
                    kPatience));
  CHECK(z.becomes("c", "evacuated"));
  auto number = z.plan().number;
  z->resume(owner);
  CHECK(z.rig->soon([&] { return z.following(owner) >= number; }, kPatience));
  CHECK(z.phase("c") == "evacuated");
  CHECK(z.rests("c"));
  // Another zone fails meanwhile: what is evacuated stays so.
  z.servers("kill", "b");
  CHECK(z.becomes("b", "closed"));
  CHECK(z.phase("c") == "evacuated");
  z.servers("start", "b");
  CHECK(z.becomes("b", "open"));
  // All of the group restarts.
  for (auto& name : z->voters()) {
    z->terminate(name);
    z->start(name);
    REQUIRE(z.rig->soon([&] { return !z->leader().empty(); }));
  }
  CHECK(z.rig->soon([&] { return z.phase("c") == "evacuated"; }, kPatience));
  CHECK(z.rig->soon([&] { return z.tool("restore", {{"zone", "c"}}).value("ok", false); }, kPatience));
  CHECK(z.becomes("c", "open"));
  // Frozen: a loss changes nothing until it is resumed.
  CHECK(z.rig->soon([&] { return z.tool("freeze").value("ok", false); }, kPatience));
  CHECK(z.tool("freeze").value("why", "").find("frozen already") != std::string::npos);
  z.servers("kill", "b");
  auto until = net::monotonic_now() + 4s;
  z.rig->soon([&] { return net::monotonic_now() > until; });
  CHECK(z.phase("b") == "open");
  CHECK(z.rig->soon([&] { return z.tool("resume").value("ok", false); }, kPatience));
  CHECK(z.becomes("b", "closed"));
  z.nothing_broken();
}

TEST_CASE("zones: what the rest cannot carry is refused near home and not pushed onto the next zone") {
  Zones z([](RigOptions& o) { o.per_weight = 60; });
  z.load(40);
  REQUIRE(z.ready());
  CHECK(z.rig->soon([&] {
    double all = 0;
    for (auto& r : z.tool("explain", {{"set", 1}}).value("asked", json::array()))
      all += r.at(2).get<double>();
    return all > 320;  // 60 for each of five replicas outside of c is less
  }));
  auto answer = z.tool("evacuate", {{"zone", "c"}});
  CHECK(answer.value("why", "").find("cannot carry") != std::string::npos);
  z.servers("kill", "b");
  CHECK(z.becomes("b", "closed"));
  CHECK(z.rig->soon(
      [&] {
        auto p = z.plan();
        return p.rejected_share(1, "a") + p.rejected_share(1, "b") + p.rejected_share(1, "c") > 0.05;
      },
      kPatience));
  auto explained = z.tool("explain", {{"set", 1}});
  CHECK(explained.contains("asked"));
  CHECK(z.tool("evacuate", {{"zone", "c"}, {"force", true}}).value("ok", false));
  z.servers("start", "b");
  CHECK(z.rig->soon([&] { return z.tool("restore", {{"zone", "c"}}).value("ok", false); }, kPatience));
  CHECK(z.becomes("c", "open"));
  CHECK(z.becomes("b", "open"));
  z.nothing_broken();
  CHECK(z.sum.rejected > 0);
}

TEST_CASE("zones: the primary moves to another zone and half of the proxies restart during a failover") {
  Zones z;
  z.load();
  REQUIRE(z.ready());
  z.servers("kill", "b");
  REQUIRE(z.becomes("b", "closed"));
  z->stand_in().steer({{"do", "handover"}, {"server", "s1-3"}});  // into c, the other region
  for (auto& name : {"p1", "p2", "p3"}) {
    z->terminate(name);
    z->start(name);
  }
  auto written = [&] { return z->stand_in().figures().at("s1-3").requests; };
  auto before = written();
  CHECK(z.rig->soon([&] { return written() > before + 20; }, kPatience));
  CHECK(z.rig->soon([&] { return z->log("p1").find("linked with") != std::string::npos && z.rests("b"); },
                    kPatience));
  z.servers("start", "b");
  CHECK(z.becomes("b", "open"));
  z.nothing_broken();
}

}  // namespace database_proxy::testbench::faults
