// Tests of the consensus group as separate processes, with faults from the fault injection harness. Tests
// wait for conditions; fixed times are only the durations of the faults themselves.
#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <thread>

#include "peers/codec.h"
#include "testbench/fault_injection/rig.h"
#include "testbench/fault_injection/script.h"
#include "testbench/load.h"
#include "testbench/temporary_directory.h"

namespace database_proxy::testbench::faults {
namespace {

using namespace std::chrono_literals;

// Runs a group of voters and followers (proxies without a vote) in a temporary directory.
struct GroupFixture {
  explicit GroupFixture(
      int voters = 3, int followers = 0, std::function<void(FaultHarnessOptions&)> change = [](auto&) {}) {
    FaultHarnessOptions o;
    o.program = DATABASE_PROXY_PROGRAM;
    o.folder = scratch.path();
    o.voters = voters;
    o.followers = followers;
    change(o);
    harness = std::make_unique<FaultHarness>(o);
  }
  FaultHarness* operator->() { return harness.get(); }
  FaultHarness& operator*() { return *harness; }

  bool put(const std::string& key, const std::string& value) {
    return harness->wait_until([&] {
      try {
        return harness->send_command(harness->leader(), {{"do", "put"}, {"key", key}, {"value", value}})
            .value("ok", false);
      } catch (const std::exception&) {
        return false;
      }
    });
  }
  std::string get(const std::string& key) {
    std::string value = "(none)";
    harness->wait_until([&] {
      try {
        auto a = harness->send_command(harness->leader(), {{"do", "get"}, {"key", key}});
        value = a.value("value", "");
        return a.value("ok", false);
      } catch (const std::exception&) {
        return false;
      }
    });
    return value;
  }
  bool wait_for_lease_holder(const std::string& job) {
    return harness->wait_until([&] { return !harness->lease_holder(job).empty(); });
  }
  // Returns whether the node is the leader or knows the current leader, so that its vote counts again.
  bool follows_or_leads(const std::string& name) {
    auto leader = harness->leader();
    auto status = harness->status(name);
    return !leader.empty() && status && status->value("leader", "") == leader;
  }
  std::uint64_t status_number(const std::string& name, const char* key) {
    auto s = harness->status(name, 3000);
    return s ? s->value(key, std::uint64_t{0}) : 0;
  }
  std::string voter_other_than(const std::string& excluded) {
    for (auto& name : harness->voters())
      if (name != excluded) return name;
    return "";
  }
  bool holds_lease(const std::string& name, const std::string& job) {
    auto s = harness->status(name, 3000);
    if (!s) return false;
    for (auto& h : s->at("holds"))
      if (h.at(0) == job) return true;
    return false;
  }

  // Writes `count` values from 16 concurrent clients.
  void write_many(int count) {
    std::vector<std::thread> writers;
    std::atomic<int> left{count}, lost{0};
    auto to = harness->address(harness->leader());
    for (int w = 0; w < 16; ++w)
      writers.emplace_back([&, w] {
        try {
          app::FleetConnection call(to, "lab");
          while (left-- > 0)
            if (!call.send_request(
                         {{"do", "put"}, {"key", "k" + std::to_string(w)}, {"value", std::to_string(left)}})
                     .value("ok", false))
              ++lost;
        } catch (const std::runtime_error&) {
          ++lost;
        }
      });
    for (auto& t : writers) t.join();
    CHECK(lost == 0);
  }

  TemporaryDirectory scratch;
  std::unique_ptr<FaultHarness> harness;
};

std::size_t count_occurrences(const std::string& text, const std::string& what) {
  std::size_t n = 0;
  for (auto at = text.find(what); at != std::string::npos; at = text.find(what, at + 1)) ++n;
  return n;
}

}  // namespace

TEST_CASE(
    "group: no acknowledged write is lost when the leader is killed, paused or cut off in one direction") {
  GroupFixture f;
  REQUIRE(f.put("k", "0"));
  int n = 0;
  auto expect_kept_under_new_leader = [&](const std::string& what, const std::string& old) {
    INFO(what);
    auto value = std::to_string(++n);
    REQUIRE(f.harness->wait_until([&] { return f->leader() != old && !f->leader().empty(); }));
    CHECK(f.get("k") == std::to_string(n - 1));
    CHECK(f.put("k", value));
  };
  auto leader = f->leader();
  f->kill(leader);
  expect_kept_under_new_leader("killed", leader);
  f->start(leader);
  for (auto span : {200ms, 2000ms, 20'000ms}) {
    INFO(span.count());
    leader = f->leader();
    auto at = net::monotonic_now();
    f->pause(leader);
    if (span > 1s) expect_kept_under_new_leader("paused", leader);
    f->wait_until([&] { return net::monotonic_now() - at > span; }, Micros(40'000'000));
    f->resume(leader);
    // The old leader considers itself leader at most until it finds that nobody answers. Writes that it
    // accepts until then are not committed.
    CHECK(f->wait_until([&] {
      auto s = f->status(leader);
      return s && !f->leader().empty() &&
             s->value("applied", std::uint64_t{0}) == f.status_number(f->leader(), "applied");
    }));
    CHECK(f.get("k") == std::to_string(n));
  }
  // A write that the leader accepts while it is cut off in one direction is never acknowledged, though it may
  // still be committed later.
  auto acknowledged_by = [&](const std::string& old) {
    try {
      return f->send_command(old, {{"do", "put"}, {"key", "old"}, {"value", "x"}}, 700).value("ok", false);
    } catch (const std::runtime_error&) {
      return false;
    }
  };
  leader = f->leader();
  f->block_outgoing(leader);
  CHECK_FALSE(acknowledged_by(leader));
  expect_kept_under_new_leader("outgoing messages are lost", leader);
  f->heal();
  leader = f->leader();
  f->block_incoming(leader);
  CHECK_FALSE(acknowledged_by(leader));
  expect_kept_under_new_leader("incoming messages are lost", leader);
  f->heal();
  CHECK(f.get("k") == std::to_string(n));
}

// Guards against split brain: a leader that is cut off from the others still considers itself leader after
// they have elected a new one.
TEST_CASE("group: of two processes that consider themselves leader, only one commits") {
  GroupFixture f;
  REQUIRE(f.put("k", "before"));
  auto old = f->leader();
  f->isolate(old);
  // The old leader still accepts the write but cannot commit it.
  bool acknowledged = true;
  try {
    acknowledged =
        f->send_command(old, {{"do", "put"}, {"key", "k"}, {"value", "lost"}}, 500).value("ok", false);
  } catch (const std::runtime_error&) {
    acknowledged = false;
  }
  CHECK_FALSE(acknowledged);
  REQUIRE(f->wait_until([&] { return !f->leader().empty() && f->leader() != old; }));
  CHECK(f.put("k", "after"));
  // A read must return the new leader's value: the old leader cannot confirm reads.
  auto read = f->send_command(f->leader(), {{"do", "get"}, {"key", "k"}});
  CHECK(read.value("value", "") == "after");
  f->heal();
  CHECK(f->wait_until(
      [&] { return f.status_number(old, "applied") == f.status_number(f->leader(), "applied"); }));
  CHECK(f.get("k") == "after");
}

TEST_CASE("group: a paused lease holder resumes after three successors and no longer holds its old lease") {
  GroupFixture f;
  REQUIRE(f.wait_for_lease_holder("list"));
  auto first = f->lease_holder("list");
  REQUIRE(f->wait_until([&] { return f.holds_lease(first, "list"); }));
  std::uint64_t token = 0;
  f->pause(first);
  // The lease passes between the other two nodes, twice.
  for (int i = 0; i < 2; ++i) {
    std::string now;
    REQUIRE(f->wait_until([&] {
      now = f->lease_holder("list");
      return !now.empty() && now != first && f.holds_lease(now, "list");
    }));
    for (auto& o : f->lease_holders())
      if (o.at("job") == "list") token = o.at("token");
    f->terminate(now);
    f->start(now);
    REQUIRE(f->wait_until([&] {
      for (auto& o : f->lease_holders())
        if (o.at("job") == "list" && o.value("owner", "") != "" &&
            o.at("token").get<std::uint64_t>() > token) {
          token = o.at("token");
          return true;
        }
      return false;
    }));
  }
  f->resume(first);
  CHECK(f->wait_until([&] { return f->status(first).has_value(); }));
  INFO(f->log(first));
  // Any lease that it holds from now on must have a newer fencing token.
  auto s = f->status(first, 3000);
  REQUIRE(s);
  for (auto& h : s->at("holds"))
    if (h.at(0) == "list") CHECK(h.at(1).get<std::uint64_t>() >= token);
  CHECK(f->wait_until([&] { return f->log(first).find("its lease has run out") != std::string::npos; }));
}

// Guards against effects of a former lease holder that were delayed on the network and arrive after another
// process has been granted the lease.
TEST_CASE(
    "group: late effects of a former lease holder, with an old fencing token, are rejected and counted") {
  GroupFixture f;
  std::uint64_t stale = 0;
  // Messages of the lease holder to the third node are held back on the link until another node holds the
  // lease. A link without traffic for too long is closed, so on a very busy machine another turn may be
  // needed.
  for (int turn = 0; turn < 10 && stale == 0; ++turn) {
    REQUIRE(f.wait_for_lease_holder("list"));
    auto holder = f->lease_holder("list");
    if (f->leader() == holder) {
      f->send_command(holder, {{"do", "transfer"}, {"name", f.voter_other_than(holder)}});
      REQUIRE(f->wait_until([&] { return !f->leader().empty() && f->leader() != holder; }));
    }
    std::string third;
    for (auto& name : f->voters())
      if (name != holder && name != f->leader()) third = name;
    REQUIRE(f->wait_until([&] {
      return f.status_number(third, "list_generation") < 1000;
    }));  // -1 (wraps to a huge value) before the first list
    auto generation = f.status_number(third, "list_generation");
    LinkState held;
    held.hold_forward = true;
    f->shape(holder, third, held);
    std::this_thread::sleep_for(700ms);  // the lease holder sends its status every 500 ms
    CHECK(f->terminate(holder) == 0);
    REQUIRE(f->wait_until([&] {
      auto now = f->lease_holder("list");
      return !now.empty() && now != holder;
    }));
    f->heal();
    f->wait_until([&] { return (stale = f.status_number(third, "stale_effects")) > 0; }, Micros(1'500'000));
    CHECK(f.status_number(third, "list_generation") >= generation);
    f->start(holder);
  }
  CHECK(stale > 0);
}

TEST_CASE(
    "group: without a majority no lease is granted, lease holders stop in time, and proxies continue to "
    "serve") {
  GroupFixture f(3, 1, [](FaultHarnessOptions& o) { o.group = {{"fallback_ms", 1500}}; });
  REQUIRE(f.wait_for_lease_holder("list"));
  REQUIRE(f.wait_for_lease_holder("probe 1"));
  auto survivor = f->lease_holder("list");
  REQUIRE(f->wait_until([&] { return f.holds_lease(survivor, "list"); }));
  for (auto& name : f->voters())
    if (name != survivor) f->kill(name);
  // Its leases expire by its own clock.
  CHECK(
      f->wait_until([&] { return !f.holds_lease(survivor, "list") && !f.holds_lease(survivor, "probe 1"); }));
  CHECK(f->wait_until(
      [&] { return f->status(survivor) && f->status(survivor)->value("role", "") != "leader"; }));
  // It polls the discovery service for itself and for the proxy that follows it.
  CHECK(f->wait_until(
      [&] { return f->log(survivor).find("asks the list service for all") != std::string::npos; }));
  CHECK(f->wait_until([&] { return f->fake_servers().report().at("list_calls").get<int>() > 0; }));
  auto granted = count_occurrences(f->log(survivor), "is granted to");
  LoadOptions load;
  load.target = *net::parse_address("127.0.0.1:" + std::to_string(f->port("p1")));
  load.connections = 4;
  load.rate = 50;
  load.duration = 1s;
  load.invariants = &f->fake_servers().invariants();
  // A drain must reach the proxy although no node holds the lease of the list.
  f->fake_servers().control({{"do", "drain"}, {"server", "s1-3"}});
  auto figures = run_load(load);
  // While it searched for a live voter, the proxy may have begun to poll the discovery service itself; by now
  // it must have stopped.
  CHECK(f->wait_until([&] {
    return count_occurrences(f->log("p1"), "asks by itself") ==
           count_occurrences(f->log("p1"), "heard of again");
  }));
  CHECK(figures.served > 20);
  CHECK(figures.served == figures.attempts);
  CHECK(count_occurrences(f->log(survivor), "is granted to") == granted);
  for (auto& name : f->voters())
    if (name != survivor) f->start(name);
  CHECK(f.wait_for_lease_holder("list"));
  CHECK(f->wait_until([&] { return f->log(survivor).find("heard of again") != std::string::npos; }));
  CHECK(f->fake_servers().invariants().describe_violations() == "");
}

// Guards against a second vote in one term: a voter that lost its directory no longer knows its term, its
// vote and its log, so it returns under a new id and has no vote until an operator adds it.
TEST_CASE(
    "group: a voter that restarts with an emptied or corrupt directory has no vote until it is added again") {
  GroupFixture f;
  REQUIRE(f.put("k", "kept"));
  auto victim = f.voter_other_than(f->leader());
  auto id = f.status_number(victim, "id");
  for (std::string how : {"emptied", "corrupt"}) {
    INFO(how);
    f->kill(victim);
    if (how == "emptied")
      f->empty_directory(victim);
    else
      f->corrupt_store(victim);
    f->start(victim);
    auto fresh = f.status_number(victim, "id");
    CHECK(fresh != id);
    CHECK((f->log(victim).find("was set aside") != std::string::npos) == (how == "corrupt"));
    // With one of the other two nodes down there is no majority, and the vote of the victim must not make
    // one.
    auto third = f->voters()[0];
    for (auto& name : f->voters())
      if (name != victim && name != f->leader()) third = name;
    auto leader = f->leader();
    f->kill(third);
    CHECK(
        f->wait_until([&] { return f->status(leader) && f->status(leader)->value("role", "") != "leader"; }));
    bool acknowledged = true;
    try {
      acknowledged =
          f->send_command(leader, {{"do", "put"}, {"key", "k"}, {"value", "never"}}, 1500).value("ok", false);
    } catch (const std::runtime_error&) {
      acknowledged = false;
    }
    CHECK_FALSE(acknowledged);
    f->start(third);
    REQUIRE(f->wait_until([&] { return !f->leader().empty(); }));
    // The operator removes the old member and adds the new one.
    REQUIRE(f->wait_until([&] {
      return f->send_command(f->leader(), {{"do", "remove"}, {"name", victim}, {"id", id}})
          .value("ok", false);
    }));
    REQUIRE(f->wait_until([&] {
      return f->send_command(f->leader(), {{"do", "add"}, {"name", victim}, {"id", fresh}})
          .value("ok", false);
    }));
    REQUIRE(f->wait_until([&] {
      return f->send_command(f->leader(), {{"do", "promote"}, {"name", victim}, {"id", fresh}})
          .value("ok", false);
    }));
    CHECK(f->wait_until(
        [&] { return f.status_number(victim, "applied") == f.status_number(f->leader(), "applied"); }));
    CHECK(f.get("k") == "kept");
    id = fresh;
  }
}

TEST_CASE("group: a node whose disk is full steps down and reports it, and the others continue") {
  GroupFixture f;
  auto victim = f.voter_other_than(f->leader());
  f->kill(victim);
  f->limit_file_size(victim, 256 * 1024);
  f->start(victim);
  REQUIRE(f->wait_until(
      [&] { return f.status_number(victim, "applied") == f.status_number(f->leader(), "applied"); }));
  std::string big(8000, 'x');
  for (int i = 0; i < 60; ++i) REQUIRE(f.put("big" + std::to_string(i), big));
  CHECK(f->wait_until([&] {
    auto s = f->status(victim);
    return s && s->value("role", "") == "halted" && s->contains("disk");
  }));
  CHECK(f->running(victim));  // it continues to serve clients
  CHECK(f->log(victim).find("its disk failed, it steps down") != std::string::npos);
  CHECK(f.put("k", "on"));
  // With free space again the node restarts with its earlier state.
  f->kill(victim);
  f->limit_file_size(victim, 0);
  f->start(victim);
  CHECK(f->wait_until(
      [&] { return f.status_number(victim, "applied") == f.status_number(f->leader(), "applied"); }));
}

TEST_CASE("group: a leader whose disk takes seconds does not delay the others") {
  GroupFixture f;
  auto leader = f->leader();
  f->set_sync_delay(leader, 2000);
  CHECK(f.put("k", "quick"));  // committed by the other two nodes, or by a new leader
  CHECK(f.get("k") == "quick");
  f->set_sync_delay(leader, 0);
  CHECK(f->wait_until(
      [&] { return f.status_number(leader, "applied") == f.status_number(f->leader(), "applied"); }));
}

TEST_CASE("group: nodes killed during writes, snapshots and membership changes recover completely") {
  GroupFixture f(3, 0, [](FaultHarnessOptions& o) { o.group = {{"jobs", json::array()}}; });
  f.write_many(900);
  std::atomic<bool> stop{false};
  std::atomic<int> acknowledged{0};
  auto write = [&](int from) {
    for (int i = from; !stop; ++i) {
      try {
        for (auto& name : f->voters()) {
          auto a = app::FleetConnection(f->address(name), "lab", 500)
                       .send_request({{"do", "put"},
                                      {"key", "w" + std::to_string(i % 50)},
                                      {"value", std::string(4000, 'a' + i % 26)}});
          if (a.value("ok", false)) {
            ++acknowledged;
            break;
          }
        }
      } catch (const std::runtime_error&) {
      }
    }
  };
  std::vector<std::thread> writers;
  for (int i = 0; i < 8; ++i) writers.emplace_back(write, i * 7);
  // The first snapshot (after 1,024 entries) is taken while nodes are being killed.
  for (int i = 0; i < 8 || acknowledged < 200; ++i) {
    auto victim = f->voters()[static_cast<std::size_t>(i) % 3];
    f->kill(victim);
    std::this_thread::sleep_for(20ms * (i % 5));
    f->start(victim);
    REQUIRE(f->wait_until([&] { return !f->leader().empty(); }));
    std::this_thread::sleep_for(30ms * (i % 7));
    REQUIRE(i < 400);
  }
  // The leader is killed during a membership change.
  auto changed_member = f.voter_other_than(f->leader());
  auto id = f.status_number(changed_member, "id");
  auto leader = f->leader();
  auto removed = f->send_command(leader, {{"do", "remove"}, {"name", changed_member}, {"id", id}});
  f->kill(leader);
  f->start(leader);
  REQUIRE(f->wait_until([&] { return !f->leader().empty(); }));
  stop = true;
  for (auto& t : writers) t.join();
  REQUIRE(f->wait_until([&] {
    for (auto what : {"remove", "add", "promote"}) {
      if (std::string(what) == "remove") continue;
      auto a = f->send_command(f->leader(), {{"do", what}, {"name", changed_member}, {"id", id}});
      if (!a.value("ok", false) && a.value("why", "").find("already") == std::string::npos) return false;
    }
    return true;
  }));
  CHECK(f->wait_until([&] {
    auto applied = f.status_number(f->leader(), "applied");
    for (auto& name : f->voters())
      if (f.status_number(name, "applied") != applied) return false;
    return true;
  }));
  for (auto& name : f->voters()) CHECK(f->log(name).find("set aside") == std::string::npos);
  CHECK(removed.value("ok", false));
}

// Guards against an isolated follower that raises its term by repeated elections and deposes a healthy leader
// when it reconnects.
TEST_CASE("group: a link that flaps every 300 ms causes no election storm") {
  GroupFixture f;
  auto leader = f->leader();
  auto other = f.voter_other_than(leader);
  auto term = f.status_number(leader, "term");
  for (int i = 0; i < 10; ++i) {
    f->cut(leader, other);
    std::this_thread::sleep_for(300ms);
    f->heal();
    std::this_thread::sleep_for(300ms);
  }
  CHECK(f.put("k", "on"));
  CHECK(f.status_number(leader, "term") <= term + 1);
  // A follower isolated for longer than an election timeout becomes a candidate. When it reconnects, it must
  // not bring a higher term that would depose the leader.
  leader = f->leader();
  term = f.status_number(leader, "term");
  other = f.voter_other_than(leader);
  for (int i = 0; i < 3; ++i) {
    f->isolate(other);
    CHECK(f->wait_until([&] {
      auto s = f->status(other);
      return s && s->value("role", "") != "follower";
    }));
    f->heal();
    CHECK(f->wait_until([&] {
      auto s = f->status(other);
      return s && s->value("role", "") == "follower" && s->value("leader", "") != "";
    }));
  }
  CHECK(f.status_number(f->leader(), "term") <= term + 1);
}

TEST_CASE(
    "group: noise, a frame of a gigabyte, an unknown peer and a foreign installation are logged and closed") {
  GroupFixture f;
  auto to = *net::parse_address(f->address("n1"));
  auto send_bytes = [&](const std::string& bytes) {
    net::Fd fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    REQUIRE(connect(fd.get(), reinterpret_cast<sockaddr*>(&to.storage), to.length) == 0);
    [[maybe_unused]] auto sent = send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    timeval receive_timeout{10, 0};
    setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
    std::array<char, 4096> answer;
    ssize_t n;
    while ((n = recv(fd.get(), answer.data(), answer.size(), 0)) > 0) {
    }
    return n == 0 || errno != EAGAIN;  // closed
  };
  // The connection is closed at once for its malformed frame, not later for being idle.
  auto malformed_frames_logged = [&](std::size_t count) {
    return f->wait_until([&] {
      return count_occurrences(f->log("n1"), "closed a connection: it sent a malformed frame") == count;
    });
  };
  std::mt19937_64 random(7);
  std::string noise;
  for (int i = 0; i < 100000; ++i) noise.push_back(static_cast<char>(random()));
  CHECK(send_bytes(noise));
  CHECK(malformed_frames_logged(1));
  auto gigabyte = std::string("\x40\0\0\0", 4) + std::string(1000, 'x');
  CHECK(send_bytes(gigabyte));
  CHECK(malformed_frames_logged(2));
  auto hello = database_proxy::peers::frame({{"t", "hello"},
                                             {"v", database_proxy::peers::kVersion},
                                             {"least", database_proxy::peers::kMinVersion},
                                             {"installation", "lab"},
                                             {"name", "x"},
                                             {"id", 0},
                                             {"kind", "tool"}});
  CHECK(send_bytes(hello + gigabyte));  // also after a valid greeting
  CHECK(malformed_frames_logged(3));
  CHECK(send_bytes(database_proxy::peers::frame({{"t", "raft"}, {"k", 2}})));  // before any greeting
  CHECK(f->wait_until(
      [&] { return count_occurrences(f->log("n1"), "it sent a message before its greeting") == 1; }));
  CHECK_THROWS_WITH(app::FleetConnection(f->address("n1"), "elsewhere"),
                    Catch::Contains("it is of the installation 'elsewhere'"));
  CHECK_THROWS_WITH(
      [&] {
        app::FleetConnection call(f->address("n1"), "lab");
        call.send_request({{"t", "hello"},
                           {"v", 99},
                           {"least", 98},
                           {"installation", "lab"},
                           {"name", "x"},
                           {"id", 5},
                           {"kind", "voter"}});
        auto a = call.send_request({{"do", "status"}});
        throw std::runtime_error(a.dump());
      }(),
      Catch::Contains("speaks versions") || Catch::Contains("ended") || Catch::Contains("broke"));
  CHECK(f->running("n1"));
  CHECK(f.put("k", "on"));
  CHECK(f->daemon("n1")->usage().rss_mb < 200);
}

TEST_CASE("group: message types and keys of a newer version are ignored") {
  GroupFixture f;
  app::FleetConnection call(f->address("n1"), "lab");
  // Unknown requests are answered and unknown keys ignored, and the connection stays open.
  auto status = call.send_request({{"do", "status"}, {"more", {{"of", "this"}}}});
  CHECK(status.contains("status"));
  // A follower of a newer version that still supports this protocol version is accepted.
  app::FleetConnection newer(f->address("n1"), "lab");
  json hello = {{"t", "hello"},  {"v", 2},  {"least", 1},         {"installation", "lab"},
                {"name", "new"}, {"id", 0}, {"kind", "follower"}, {"tomorrow", {1, 2}}};
  CHECK(newer.send_request(hello).value("t", "") == "welcome");
  CHECK(call.send_request({{"do", "something new"}}).value("why", "").find("not known") != std::string::npos);
  CHECK(call.send_request({{"do", "status"}}).contains("status"));
}

// Guards against a burst of polls at the discovery service: followers that were paused find on resuming that
// the last message of the group is old, though the group was available all the time.
TEST_CASE("group: a voter far behind and dozens of followers that return at once catch up completely") {
  // The followers are away for longer than they wait for the list before they fall back to the discovery
  // service.
  GroupFixture f(3, 24, [](FaultHarnessOptions& o) { o.group = {{"fallback_ms", 1500}}; });
  REQUIRE(f.wait_for_lease_holder("list"));
  auto fallbacks_started = [&] {
    std::size_t n = 0;
    for (auto& name : f->followers()) n += count_occurrences(f->log(name), "asks by itself");
    return n;
  };
  auto fallbacks_ended = [&] {
    std::size_t n = 0;
    for (auto& name : f->followers()) n += count_occurrences(f->log(name), "heard of again");
    return n;
  };
  REQUIRE(f->wait_until([&] { return f.status_number(f->leader(), "list_generation") < 1000; }));
  REQUIRE(f->wait_until([&] {
    return fallbacks_started() == fallbacks_ended();
  }));  // some may have fallen back before the first lease was granted
  for (auto& name : f->followers()) f->pause(name);
  auto before = fallbacks_started();
  auto paused = net::monotonic_now();
  REQUIRE(f.wait_for_lease_holder("list"));
  f.write_many(3000);
  auto voter_behind = f.voter_other_than(f->leader());
  f->kill(voter_behind);
  f.write_many(3000);
  f->wait_until([&] { return net::monotonic_now() - paused > 3s; });
  auto calls = f->fake_servers().report().at("list_calls").get<std::uint64_t>();
  for (auto& name : f->followers()) f->resume(name);
  f->start(voter_behind);  // by a snapshot, as the leader's log no longer has the entries it needs
  CHECK(f->wait_until(
      [&] { return f.status_number(voter_behind, "applied") == f.status_number(f->leader(), "applied"); }));
  CHECK(f->wait_until([&] {
    std::uint64_t connected_followers = 0;
    for (auto& name : f->voters()) connected_followers += f.status_number(name, "followers");
    return connected_followers == f->followers().size();
  }));
  // No follower may mistake its own absence for an outage of the group and fall back to the discovery
  // service.
  CHECK(f->fake_servers().report().at("list_calls").get<std::uint64_t>() - calls < 8);
  CHECK(fallbacks_started() == before);
}

TEST_CASE("group: SIGTERM hands jobs and leadership over at once, and a rolling restart loses nothing") {
  GroupFixture f(3, 1);
  REQUIRE(f.wait_for_lease_holder("list"));
  REQUIRE(f.put("k", "kept"));
  LoadFigures sum;
  std::jthread load([&](std::stop_token stop) {
    for (int i = 0; !stop.stop_requested(); ++i) {
      LoadOptions l;
      l.target = *net::parse_address("127.0.0.1:" + std::to_string(f->port("p1")));
      l.connections = 4;
      l.rate = 40;
      l.duration = 1s;
      l.id_prefix = "r" + std::to_string(i) + "-";
      l.invariants = &f->fake_servers().invariants();
      sum.add(run_load(l));
    }
  });
  for (auto& name : f->voters()) {
    bool led = f->leader() == name;
    CHECK(f->terminate(name) == 0);
    if (led) CHECK(f->log(name).find("hands leadership over") != std::string::npos);
    f->start(name);
    REQUIRE(f->wait_until([&] { return f.follows_or_leads(name) && !f->lease_holder("list").empty(); }));
    // Meanwhile a member is removed and added again.
    auto member = f.voter_other_than(f->leader());
    for (std::string what : {"remove", "add", "promote"})
      REQUIRE(f->wait_until([&] {
        auto leader = f->leader();
        return !leader.empty() &&
               f->send_command(leader,
                               {{"do", what}, {"name", member}, {"id", f.status_number(member, "id")}})
                   .value("ok", false);
      }));
  }
  load.request_stop();
  load.join();
  CHECK(f.get("k") == "kept");
  CHECK(sum.served == sum.attempts);
  CHECK(sum.served > 0);
  CHECK(f->fake_servers().invariants().describe_violations() == "");
}

TEST_CASE("group: faults of a script are applied in order and recorded in the history") {
  GroupFixture f(3, 1);
  REQUIRE(f.put("k", "kept"));
  auto script = parse_script(json::parse(R"([
    [{"do": "pause", "node": "leader"}, {"do": "wait", "ms": 50}, {"do": "resume", "node": "victim"}],
    [{"do": "kill", "node": "p1"}, {"do": "start", "node": "victim"}, {"do": "settle"}],
    [{"do": "kill", "node": "owner nothing"}]])"));
  std::string victim;
  auto leader = f->leader();
  CHECK(run_fault(*f, script[0], &victim) == "pause leader, wait, resume victim");
  CHECK(victim == leader);
  run_fault(*f, script[1], &victim);
  CHECK(victim == "p1");
  CHECK(f->running("p1"));
  CHECK_THROWS_WITH(run_fault(*f, script[2], &victim), "script: there is no owner nothing now");
  std::vector<std::string> seen;
  for (auto& e : f->history().events())
    if (e.contains("node"))
      seen.push_back(e.at("what").get<std::string>() + " " + e.at("node").get<std::string>());
  const std::vector<std::string> expected{"pause " + leader, "resume " + leader, "kill p1", "start p1"};
  CHECK(std::search(seen.begin(), seen.end(), expected.begin(), expected.end()) != seen.end());
  CHECK(f.get("k") == "kept");
}

TEST_CASE(
    "group: when all start at once without a list or a majority, one voter polls the list service for all") {
  GroupFixture f(3, 12, [](FaultHarnessOptions& o) { o.group = {{"fallback_ms", 1500}}; });
  REQUIRE(f.wait_for_lease_holder("list"));
  REQUIRE(f->wait_until([&] {
    auto s = f->status("n1");
    return s && s->value("list_generation", std::int64_t{-1}) > 0;
  }));
  for (auto& name : f->all()) f->kill(name);
  auto before = f->fake_servers().report();
  // The last published list is on the voters' disks; the proxies have none.
  std::vector<std::string> restarted = f->followers();
  restarted.push_back("n1");
  f->launch(restarted, {{"generation", 0}, {"reset", true}, {"instances", json::array()}});
  CHECK(f->wait_until(
      [&] {
        return std::all_of(restarted.begin(), restarted.end(),
                           [&](auto& name) { return f->daemon(name)->ready(); });
      },
      Micros(40'000'000)));
  auto increase_of = [&](const char* key) {
    return f->fake_servers().report().at(key).get<std::uint64_t>() - before.at(key).get<std::uint64_t>();
  };
  CHECK(
      f->wait_until([&] { return f->log("n1").find("asks the list service for all") != std::string::npos; }));
  CHECK(f->wait_until([&] {
    std::size_t asking = 0;
    for (auto& name : f->followers())
      asking += count_occurrences(f->log(name), "asks by itself") -
                count_occurrences(f->log(name), "heard of again");
    return asking == 0;
  }));
  CHECK(increase_of("whole_list_calls") <= 1);  // 0 if n1 had stored the last list on its disk in time
  // Notice of a drain reaches the proxies through the same voter.
  std::atomic<bool> stop{false};
  std::vector<std::thread> loads;
  for (auto& name : f->followers())
    loads.emplace_back([&, port = f->port(name), name] {
      for (int i = 0; !stop; ++i) {
        LoadOptions l;
        l.target = *net::parse_address("127.0.0.1:" + std::to_string(port));
        l.connections = 2;
        l.rate = 20;
        l.duration = 500ms;
        l.id_prefix = name + "-" + std::to_string(i) + "-";
        l.invariants = &f->fake_servers().invariants();
        run_load(l);
      }
    });
  f->fake_servers().control({{"do", "drain"}, {"server", "s1-2"}});
  auto drain_time = net::monotonic_now();
  f->wait_until([&] { return net::monotonic_now() - drain_time > 1500ms; });
  stop = true;
  for (auto& t : loads) t.join();
  CHECK(f->fake_servers().invariants().describe_violations() == "");
  // The other voters return, and the group continues from its stored state.
  f->start("n2");
  f->start("n3");
  CHECK(f.wait_for_lease_holder("list"));
  CHECK(f->wait_until([&] { return f->log("n1").find("heard of again") != std::string::npos; }));
}

// Guards against a job that nobody does: its lease holder renews the lease but cannot do the work.
TEST_CASE("group: a lease holder that does no work loses its lease") {
  // The discovery service stops answering, so the lease holder of the list gets no update.
  GroupFixture f(3, 0, [](FaultHarnessOptions& o) { o.group = {{"lease_ms", 1300}}; });
  REQUIRE(f.wait_for_lease_holder("list"));
  f->fake_servers().control({{"do", "discovery"}, {"mute", true}});
  auto holder = f->lease_holder("list");
  CHECK(f->wait_until(
      [&] { return f->log(f->leader()).find("holds the lease but does no work") != std::string::npos; },
      Micros(40'000'000)));
  f->fake_servers().control({{"do", "discovery"}, {"mute", false}});
  CHECK(f.wait_for_lease_holder("list"));
  CHECK(f->wait_until([&] { return f->status(f->lease_holder("list"))->value("list_generation", -1) >= 0; }));
}

TEST_CASE("group: word of a drain reaches all through the lease holder, which alone polls the list service") {
  GroupFixture f(3, 8);
  REQUIRE(f.wait_for_lease_holder("list"));
  REQUIRE(f->wait_until([&] { return f.status_number(f->voters()[0], "list_generation") > 0; }));
  // If the group takes longer to start than the fallback timeout, a voter polls the discovery service until
  // it has the published list. These calls belong to the start and must have ended before calls are counted.
  auto count_in_voter_logs = [&](const char* text) {
    std::size_t count = 0;
    for (auto& name : f->voters()) count += count_occurrences(f->log(name), text);
    return count;
  };
  REQUIRE(f->wait_until([&] {
    return count_in_voter_logs("asks the list service for all") == count_in_voter_logs("heard of again");
  }));
  auto fallbacks = count_in_voter_logs("asks the list service for all");
  auto calls = f->fake_servers().report().at("list_calls").get<std::uint64_t>();
  std::vector<std::thread> loads;
  std::atomic<std::uint64_t> asked{0}, served{0};
  std::atomic<bool> stop{false};
  for (auto& name : f->followers())
    loads.emplace_back([&, port = f->port(name), name] {
      for (int i = 0; !stop; ++i) {
        LoadOptions l;
        l.target = *net::parse_address("127.0.0.1:" + std::to_string(port));
        l.connections = 2;
        l.rate = 40;
        l.duration = 700ms;
        l.id_prefix = name + "-" + std::to_string(i) + "-";
        l.invariants = &f->fake_servers().invariants();
        auto x = run_load(l);
        asked += x.attempts;
        served += x.served;
      }
    });
  f->wait_until([&] { return served > 100; });
  f->fake_servers().control({{"do", "drain"}, {"server", "s1-2"}});
  auto drain_time = net::monotonic_now();
  f->wait_until([&] { return net::monotonic_now() - drain_time > 1300ms; });
  stop = true;
  for (auto& t : loads) t.join();
  CHECK(served == asked);
  CHECK(f->fake_servers().invariants().describe_violations() == "");
  CHECK(f->fake_servers().invariants().drain_last_send_ms().at("s1-2") < 1000);
  CHECK(f->fake_servers().report().at("list_calls").get<std::uint64_t>() - calls <= 3);
  for (auto& name : f->followers()) CHECK(f->log(name).find("asks by itself") == std::string::npos);
  CHECK(count_in_voter_logs("asks the list service for all") == fallbacks);
}

TEST_CASE(
    "group: recovery from a lost majority requires its consequence as confirmation and keeps this node's "
    "state") {
  GroupFixture f;
  REQUIRE(f.wait_for_lease_holder("list"));
  // Makes fencing tokens large: a lease is granted anew when the log is already long.
  f.write_many(300);
  auto holder = f->lease_holder("list");
  f->terminate(holder);
  f->start(holder);
  REQUIRE(f.wait_for_lease_holder("list"));
  REQUIRE(f.put("k", "kept"));
  auto survivor =
      f.voter_other_than(f->lease_holder("list"));  // the lease holder of the list is among the lost nodes
  REQUIRE(f->wait_until(
      [&] { return f.status_number(survivor, "applied") == f.status_number(f->leader(), "applied"); }));
  CHECK(
      f->send_command(survivor, {{"do", "recover"}, {"consequence", "what only the lost nodes knew is gone"}})
          .value("why", "")
          .find("a leader is heard of") != std::string::npos);
  for (auto& name : f->voters())
    if (name != survivor) f->kill(name);
  CHECK(f->wait_until([&] { return f->status(survivor) && f->status(survivor)->value("leader", "") == ""; }));
  CHECK_FALSE(f->send_command(survivor, {{"do", "recover"}}).value("ok", true));
  auto tokens = f->send_command(survivor, {{"do", "owners"}}).at("owners");
  CHECK(f->wait_until([&] {
    return f
        ->send_command(survivor,
                       {{"do", "recover"}, {"consequence", "what only the lost nodes knew is gone"}})
        .value("ok", false);
  }));
  CHECK(f->wait_until([&] { return f->status(survivor)->value("role", "") == "leader"; }));
  CHECK(f->send_command(survivor, {{"do", "get"}, {"key", "k"}}).value("value", "") == "kept");
  // Each lease that a lost node held is granted again with a higher fencing token than before.
  std::size_t lost = 0;
  for (auto& before : tokens) lost += before.at("owner") != survivor && before.at("owner") != "";
  CHECK(lost > 0);
  CHECK(f->wait_until([&] {
    std::size_t renewed = 0;
    auto now = f->send_command(survivor, {{"do", "owners"}}).at("owners");
    for (auto& o : now)
      for (auto& before : tokens)
        renewed += o.at("job") == before.at("job") && before.at("owner") != survivor &&
                   before.at("owner") != "" &&
                   o.at("token").get<std::uint64_t>() > before.at("token").get<std::uint64_t>();
    return renewed == lost;
  }));
}

TEST_CASE("group: an invalid configuration is one line and exit 1, and on SIGHUP the last valid one stays") {
  GroupFixture f;
  auto start = [&](const json& group) {
    ProcessUnderTestOptions d;
    d.program = DATABASE_PROXY_PROGRAM;
    TemporaryDirectory scratch;
    d.folder = scratch.path();
    d.discovery = f->fake_servers().discovery_address();
    d.known_members = f->fake_servers().members();
    d.operator_file = {{"group", group}};
    try {
      ProcessUnderTest daemon(d);
    } catch (const std::runtime_error& e) {
      std::string line = e.what();
      return line.substr(line.find(": ") + 2);
    }
    return std::string("the process started");
  };
  json nodes = {{{"name", "a"}, {"address", "127.0.0.1:11001"}},
                {{"name", "b"}, {"address", "127.0.0.1:11002"}},
                {{"name", "c"}, {"address", "127.0.0.1:11003"}}};
  json good = {{"installation", "lab"},
               {"name", "a"},
               {"nodes", nodes},
               {"listen", "127.0.0.1:11001"},
               {"directory", f.scratch.path() + "/a"}};
  auto with = [&](json change) {
    auto g = good;
    g.merge_patch(change);
    return start(g);
  };
  CHECK_THAT(with({{"nodes", {nodes[0], nodes[1]}}}), Catch::Contains("names 2 voters"));
  CHECK_THAT(with({{"directory", nullptr}}), Catch::Contains("group.directory of the voter a is missing"));
  CHECK_THAT(with({{"name", "z"}}), Catch::Contains("z is none of group.nodes"));
  CHECK_THAT(with({{"name", nullptr}}), Catch::Contains("name"));
  CHECK_THAT(with({{"listen", f->address("n1")}}), Catch::Contains("cannot listen on"));
  CHECK_THAT(with({{"directory", f->folder("n1") + "/state"}}), Catch::Contains("in use by another process"));
  f->kill("n1");
  CHECK_THAT(with({{"directory", f->folder("n1") + "/state"}, {"installation", "other"}}),
             Catch::Contains("belongs to the installation 'lab', not 'other'"));
  f->start("n1");
  auto file = json::parse(std::ifstream(f->operator_file("n1")));
  file["group"]["nodes"].erase(2);
  f->daemon("n1")->write_operator_file(file);
  f->daemon("n1")->signal(SIGHUP);
  CHECK(f->wait_until(
      [&] { return f->log("n1").find("the configuration in force stays") != std::string::npos; }));
  CHECK(f.put("k", "on"));
}

}  // namespace database_proxy::testbench::faults
