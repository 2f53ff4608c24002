// The group as processes: the hard cases, each caused by the fault rig. Waits are for conditions; the only
// times are those that the faults themselves last.
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

struct Fleet {
  explicit Fleet(
      int voters = 3, int followers = 0, std::function<void(RigOptions&)> change = [](auto&) {}) {
    RigOptions o;
    o.program = DATABASE_PROXY_PROGRAM;
    o.folder = scratch.path();
    o.voters = voters;
    o.followers = followers;
    change(o);
    rig = std::make_unique<Rig>(o);
  }
  Rig* operator->() { return rig.get(); }
  Rig& operator*() { return *rig; }

  bool put(const std::string& key, const std::string& value) {
    return rig->soon([&] {
      try {
        return rig->ask(rig->leader(), {{"do", "put"}, {"key", key}, {"value", value}}).value("ok", false);
      } catch (const std::exception&) {
        return false;
      }
    });
  }
  std::string get(const std::string& key) {
    std::string value = "(none)";
    rig->soon([&] {
      try {
        auto a = rig->ask(rig->leader(), {{"do", "get"}, {"key", key}});
        value = a.value("value", "");
        return a.value("ok", false);
      } catch (const std::exception&) {
        return false;
      }
    });
    return value;
  }
  bool owned(const std::string& job) {
    return rig->soon([&] { return !rig->owner(job).empty(); });
  }
  // The group's leader has heard of it, so that its vote counts again.
  bool follows_or_leads(const std::string& name) {
    auto leader = rig->leader();
    auto status = rig->status(name);
    return !leader.empty() && status && status->value("leader", "") == leader;
  }
  std::uint64_t number(const std::string& name, const char* key) {
    auto s = rig->status(name, 3000);
    return s ? s->value(key, std::uint64_t{0}) : 0;
  }
  std::string other(const std::string& but) {
    for (auto& name : rig->voters())
      if (name != but) return name;
    return "";
  }
  bool holds(const std::string& name, const std::string& job) {
    auto s = rig->status(name, 3000);
    if (!s) return false;
    for (auto& h : s->at("holds"))
      if (h.at(0) == job) return true;
    return false;
  }

  // So many writes, by several clients at once.
  void fill(int count) {
    std::vector<std::thread> writers;
    std::atomic<int> left{count}, lost{0};
    auto to = rig->address(rig->leader());
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
  std::unique_ptr<Rig> rig;
};

std::size_t times(const std::string& text, const std::string& what) {
  std::size_t n = 0;
  for (auto at = text.find(what); at != std::string::npos; at = text.find(what, at + 1)) ++n;
  return n;
}

}  // namespace

TEST_CASE("group: a leader that is killed, stopped or cut one way loses nothing that was acknowledged") {
  Fleet f;
  REQUIRE(f.put("k", "0"));
  int n = 0;
  auto again = [&](const std::string& what, const std::string& old) {
    INFO(what);
    auto value = std::to_string(++n);
    REQUIRE(f.rig->soon([&] { return f->leader() != old && !f->leader().empty(); }));
    CHECK(f.get("k") == std::to_string(n - 1));
    CHECK(f.put("k", value));
  };
  auto leader = f->leader();
  f->kill(leader);
  again("killed", leader);
  f->start(leader);
  for (auto span : {200ms, 2000ms, 20'000ms}) {
    INFO(span.count());
    leader = f->leader();
    auto at = net::monotonic_now();
    f->pause(leader);
    if (span > 1s) again("stopped", leader);
    f->soon([&] { return net::monotonic_now() - at > span; }, Micros(40'000'000));
    f->resume(leader);
    // It believes in itself at most until it hears that nobody answers; what it takes meanwhile is not
    // committed.
    CHECK(f->soon([&] {
      auto s = f->status(leader);
      return s && !f->leader().empty() &&
             s->value("applied", std::uint64_t{0}) == f.number(f->leader(), "applied");
    }));
    CHECK(f.get("k") == std::to_string(n));
  }
  // What it takes while it is cut one way is never acknowledged; whether it lasts is another matter.
  auto at_the_old_one = [&](const std::string& old) {
    try {
      return f->ask(old, {{"do", "put"}, {"key", "old"}, {"value", "x"}}, 700).value("ok", false);
    } catch (const std::runtime_error&) {
      return false;
    }
  };
  leader = f->leader();
  f->mute(leader);
  CHECK_FALSE(at_the_old_one(leader));
  again("heard by none", leader);
  f->heal();
  leader = f->leader();
  f->deafen(leader);
  CHECK_FALSE(at_the_old_one(leader));
  again("hears none", leader);
  f->heal();
  CHECK(f.get("k") == std::to_string(n));
}

TEST_CASE("group: of two that believe they lead, one only commits") {
  Fleet f;
  REQUIRE(f.put("k", "before"));
  auto old = f->leader();
  f->isolate(old);
  // The old one still takes the write and can not commit it.
  bool taken = true;
  try {
    taken = f->ask(old, {{"do", "put"}, {"key", "k"}, {"value", "lost"}}, 500).value("ok", false);
  } catch (const std::runtime_error&) {
    taken = false;
  }
  CHECK_FALSE(taken);
  REQUIRE(f->soon([&] { return !f->leader().empty() && f->leader() != old; }));
  CHECK(f.put("k", "after"));
  // Reads at the old one are not confirmed.
  auto read = f->ask(f->leader(), {{"do", "get"}, {"key", "k"}});
  CHECK(read.value("value", "") == "after");
  f->heal();
  CHECK(f->soon([&] { return f.number(old, "applied") == f.number(f->leader(), "applied"); }));
  CHECK(f.get("k") == "after");
}

TEST_CASE(
    "group: an owner that was stopped comes back to find that it owns nothing, after three successors") {
  Fleet f;
  REQUIRE(f.owned("list"));
  auto first = f->owner("list");
  REQUIRE(f->soon([&] { return f.holds(first, "list"); }));
  std::uint64_t token = 0;
  f->pause(first);
  // Its leases go from one to the other, twice.
  for (int i = 0; i < 2; ++i) {
    std::string now;
    REQUIRE(f->soon([&] {
      now = f->owner("list");
      return !now.empty() && now != first && f.holds(now, "list");
    }));
    for (auto& o : f->owners())
      if (o.at("job") == "list") token = o.at("token");
    f->terminate(now);
    f->start(now);
    REQUIRE(f->soon([&] {
      for (auto& o : f->owners())
        if (o.at("job") == "list" && o.value("owner", "") != "" &&
            o.at("token").get<std::uint64_t>() > token) {
          token = o.at("token");
          return true;
        }
      return false;
    }));
  }
  f->resume(first);
  CHECK(f->soon([&] { return f->status(first).has_value(); }));
  INFO(f->log(first));
  // Whatever it holds from now on, it holds by a newer token.
  auto s = f->status(first, 3000);
  REQUIRE(s);
  for (auto& h : s->at("holds"))
    if (h.at(0) == "list") CHECK(h.at(1).get<std::uint64_t>() >= token);
  CHECK(f->soon([&] { return f->log(first).find("its lease has run out") != std::string::npos; }));
}

TEST_CASE("group: effects of an owner that arrive late, with an old token, are turned down and counted") {
  Fleet f;
  std::uint64_t stale = 0;
  // What the owner says to the third node stays on the way until another owns the job. A link that says
  // nothing for too long is closed, so on a very busy machine it takes another turn.
  for (int turn = 0; turn < 10 && stale == 0; ++turn) {
    REQUIRE(f.owned("list"));
    auto owner = f->owner("list");
    if (f->leader() == owner) {
      f->ask(owner, {{"do", "transfer"}, {"name", f.other(owner)}});
      REQUIRE(f->soon([&] { return !f->leader().empty() && f->leader() != owner; }));
    }
    std::string third;
    for (auto& name : f->voters())
      if (name != owner && name != f->leader()) third = name;
    REQUIRE(f->soon([&] { return f.number(third, "list_generation") < 1000; }));  // -1 before the first
    auto generation = f.number(third, "list_generation");
    LinkState held;
    held.hold_there = true;
    f->shape(owner, third, held);
    std::this_thread::sleep_for(700ms);  // its word that it lives comes every 500 ms
    CHECK(f->terminate(owner) == 0);
    REQUIRE(f->soon([&] {
      auto now = f->owner("list");
      return !now.empty() && now != owner;
    }));
    f->heal();
    f->soon([&] { return (stale = f.number(third, "stale_effects")) > 0; }, Micros(1'500'000));
    CHECK(f.number(third, "list_generation") >= generation);
    f->start(owner);
  }
  CHECK(stale > 0);
}

TEST_CASE("group: without a majority nothing is granted, owners stop in time, and proxies serve on") {
  Fleet f(3, 1, [](RigOptions& o) { o.group = {{"fallback_ms", 1500}}; });
  REQUIRE(f.owned("list"));
  REQUIRE(f.owned("probe 1"));
  auto one = f->owner("list");
  REQUIRE(f->soon([&] { return f.holds(one, "list"); }));
  for (auto& name : f->voters())
    if (name != one) f->kill(name);
  // Its own clock ends what it holds.
  CHECK(f->soon([&] { return !f.holds(one, "list") && !f.holds(one, "probe 1"); }));
  CHECK(f->soon([&] { return f->status(one) && f->status(one)->value("role", "") != "leader"; }));
  // It asks the list service for itself and for the proxy below it.
  CHECK(f->soon([&] { return f->log(one).find("asks the list service for all") != std::string::npos; }));
  CHECK(f->soon([&] { return f->stand_in().report().at("list_calls").get<int>() > 0; }));
  auto granted = times(f->log(one), "is granted to");
  LoadOptions load;
  load.target = *net::parse_address("127.0.0.1:" + std::to_string(f->port("p1")));
  load.connections = 4;
  load.rate = 50;
  load.duration = 1s;
  load.rules = &f->stand_in().rules();
  // A drain reaches it, though there is no owner.
  f->stand_in().steer({{"do", "drain"}, {"server", "s1-3"}});
  auto figures = run_load(load);
  // Where it had to look for a voter that lives, it may have begun to ask itself, and has stopped.
  CHECK(f->soon(
      [&] { return times(f->log("p1"), "asks by itself") == times(f->log("p1"), "heard of again"); }));
  CHECK(figures.served > 20);
  CHECK(figures.served == figures.attempts);
  CHECK(times(f->log(one), "is granted to") == granted);
  for (auto& name : f->voters())
    if (name != one) f->start(name);
  CHECK(f.owned("list"));
  CHECK(f->soon([&] { return f->log(one).find("heard of again") != std::string::npos; }));
  CHECK(f->stand_in().rules().breaches_in_words() == "");
}

TEST_CASE(
    "group: one that comes back with an emptied or torn directory votes for nothing until it is taken in") {
  Fleet f;
  REQUIRE(f.put("k", "kept"));
  auto victim = f.other(f->leader());
  auto id = f.number(victim, "id");
  for (std::string how : {"emptied", "torn"}) {
    INFO(how);
    f->kill(victim);
    if (how == "emptied")
      f->empty_directory(victim);
    else
      f->tear_directory(victim);
    f->start(victim);
    auto fresh = f.number(victim, "id");
    CHECK(fresh != id);
    CHECK((f->log(victim).find("was set aside") != std::string::npos) == (how == "torn"));
    // With one of the two others gone there is no majority: its vote must not make one.
    auto third = f->voters()[0];
    for (auto& name : f->voters())
      if (name != victim && name != f->leader()) third = name;
    auto leader = f->leader();
    f->kill(third);
    CHECK(f->soon([&] { return f->status(leader) && f->status(leader)->value("role", "") != "leader"; }));
    bool taken = true;
    try {
      taken = f->ask(leader, {{"do", "put"}, {"key", "k"}, {"value", "never"}}, 1500).value("ok", false);
    } catch (const std::runtime_error&) {
      taken = false;
    }
    CHECK_FALSE(taken);
    f->start(third);
    REQUIRE(f->soon([&] { return !f->leader().empty(); }));
    // The operator takes the old one out and the new one in.
    REQUIRE(f->soon([&] {
      return f->ask(f->leader(), {{"do", "remove"}, {"name", victim}, {"id", id}}).value("ok", false);
    }));
    REQUIRE(f->soon([&] {
      return f->ask(f->leader(), {{"do", "add"}, {"name", victim}, {"id", fresh}}).value("ok", false);
    }));
    REQUIRE(f->soon([&] {
      return f->ask(f->leader(), {{"do", "promote"}, {"name", victim}, {"id", fresh}}).value("ok", false);
    }));
    CHECK(f->soon([&] { return f.number(victim, "applied") == f.number(f->leader(), "applied"); }));
    CHECK(f.get("k") == "kept");
    id = fresh;
  }
}

TEST_CASE("group: a full disk makes a node step down and say so, and the others go on") {
  Fleet f;
  auto victim = f.other(f->leader());
  f->kill(victim);
  f->limit_files(victim, 256 * 1024);
  f->start(victim);
  REQUIRE(f->soon([&] { return f.number(victim, "applied") == f.number(f->leader(), "applied"); }));
  std::string big(8000, 'x');
  for (int i = 0; i < 60; ++i) REQUIRE(f.put("big" + std::to_string(i), big));
  CHECK(f->soon([&] {
    auto s = f->status(victim);
    return s && s->value("role", "") == "halted" && s->contains("disk");
  }));
  CHECK(f->running(victim));  // it serves on
  CHECK(f->log(victim).find("its disk failed, it steps down") != std::string::npos);
  CHECK(f.put("k", "on"));
  // With room again it comes back with what it had.
  f->kill(victim);
  f->limit_files(victim, 0);
  f->start(victim);
  CHECK(f->soon([&] { return f.number(victim, "applied") == f.number(f->leader(), "applied"); }));
}

TEST_CASE("group: a leader whose disk takes seconds does not hold the others up") {
  Fleet f;
  auto leader = f->leader();
  f->slow_disk(leader, 2000);
  CHECK(f.put("k", "quick"));  // committed by the two others, or by a successor
  CHECK(f.get("k") == "quick");
  f->slow_disk(leader, 0);
  CHECK(f->soon([&] { return f.number(leader, "applied") == f.number(f->leader(), "applied"); }));
}

TEST_CASE("group: killed in the middle of writes, snapshots and changes of members, it comes back whole") {
  Fleet f(3, 0, [](RigOptions& o) { o.group = {{"jobs", json::array()}}; });
  f.fill(900);
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
  // The snapshot (after 1,024 entries) falls among the kills.
  for (int i = 0; i < 8 || acknowledged < 200; ++i) {
    auto victim = f->voters()[static_cast<std::size_t>(i) % 3];
    f->kill(victim);
    std::this_thread::sleep_for(20ms * (i % 5));
    f->start(victim);
    REQUIRE(f->soon([&] { return !f->leader().empty(); }));
    std::this_thread::sleep_for(30ms * (i % 7));
    REQUIRE(i < 400);
  }
  // During a change of members.
  auto out = f.other(f->leader());
  auto id = f.number(out, "id");
  auto leader = f->leader();
  auto removed = f->ask(leader, {{"do", "remove"}, {"name", out}, {"id", id}});
  f->kill(leader);
  f->start(leader);
  REQUIRE(f->soon([&] { return !f->leader().empty(); }));
  stop = true;
  for (auto& t : writers) t.join();
  REQUIRE(f->soon([&] {
    for (auto what : {"remove", "add", "promote"}) {
      if (std::string(what) == "remove") continue;
      auto a = f->ask(f->leader(), {{"do", what}, {"name", out}, {"id", id}});
      if (!a.value("ok", false) && a.value("why", "").find("already") == std::string::npos) return false;
    }
    return true;
  }));
  CHECK(f->soon([&] {
    auto applied = f.number(f->leader(), "applied");
    for (auto& name : f->voters())
      if (f.number(name, "applied") != applied) return false;
    return true;
  }));
  for (auto& name : f->voters()) CHECK(f->log(name).find("set aside") == std::string::npos);
  CHECK(removed.value("ok", false));
}

TEST_CASE("group: a link that flaps every 300 ms brings no storm of elections") {
  Fleet f;
  auto leader = f->leader();
  auto other = f.other(leader);
  auto term = f.number(leader, "term");
  for (int i = 0; i < 10; ++i) {
    f->cut(leader, other);
    std::this_thread::sleep_for(300ms);
    f->heal();
    std::this_thread::sleep_for(300ms);
  }
  CHECK(f.put("k", "on"));
  CHECK(f.number(leader, "term") <= term + 1);
  // Cut for longer than an election each time, it has tried for itself, and comes back without a term that
  // would end the leader's.
  leader = f->leader();
  term = f.number(leader, "term");
  other = f.other(leader);
  for (int i = 0; i < 3; ++i) {
    f->isolate(other);
    CHECK(f->soon([&] {
      auto s = f->status(other);
      return s && s->value("role", "") != "follower";
    }));
    f->heal();
    CHECK(f->soon([&] {
      auto s = f->status(other);
      return s && s->value("role", "") == "follower" && s->value("leader", "") != "";
    }));
  }
  CHECK(f.number(f->leader(), "term") <= term + 1);
}

TEST_CASE(
    "group: noise, a message of a gigabyte, a stranger and one of another installation are told and closed") {
  Fleet f;
  auto to = *net::parse_address(f->address("n1"));
  auto send_bytes = [&](const std::string& bytes) {
    net::Fd fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    REQUIRE(connect(fd.get(), reinterpret_cast<sockaddr*>(&to.storage), to.length) == 0);
    [[maybe_unused]] auto sent = send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    timeval patience{10, 0};
    setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    std::array<char, 4096> answer;
    ssize_t n;
    while ((n = recv(fd.get(), answer.data(), answer.size(), 0)) > 0) {
    }
    return n == 0 || errno != EAGAIN;  // closed
  };
  // At once, and for what it said, not since it said no more.
  auto told = [&](std::size_t count) {
    return f->soon(
        [&] { return times(f->log("n1"), "closed a connection: it sent a malformed frame") == count; });
  };
  std::mt19937_64 random(7);
  std::string noise;
  for (int i = 0; i < 100000; ++i) noise.push_back(static_cast<char>(random()));
  CHECK(send_bytes(noise));
  CHECK(told(1));
  auto gigabyte = std::string("\x40\0\0\0", 4) + std::string(1000, 'x');
  CHECK(send_bytes(gigabyte));
  CHECK(told(2));
  auto hello = database_proxy::peers::frame({{"t", "hello"},
                                             {"v", database_proxy::peers::kVersion},
                                             {"least", database_proxy::peers::kMinVersion},
                                             {"installation", "lab"},
                                             {"name", "x"},
                                             {"id", 0},
                                             {"kind", "tool"}});
  CHECK(send_bytes(hello + gigabyte));  // also from one that greeted well
  CHECK(told(3));
  CHECK(send_bytes(database_proxy::peers::frame({{"t", "raft"}, {"k", 2}})));  // before any greeting
  CHECK(f->soon([&] { return times(f->log("n1"), "it sent a message before its greeting") == 1; }));
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

TEST_CASE("group: kinds and keys of a newer version are passed over") {
  Fleet f;
  app::FleetConnection call(f->address("n1"), "lab");
  // On one connection: what is not known is answered or passed over, and the link stays.
  auto status = call.send_request({{"do", "status"}, {"more", {{"of", "this"}}}});
  CHECK(status.contains("status"));
  // A newer version that still speaks ours is let in, also as a follower.
  app::FleetConnection newer(f->address("n1"), "lab");
  json hello = {{"t", "hello"},  {"v", 2},  {"least", 1},         {"installation", "lab"},
                {"name", "new"}, {"id", 0}, {"kind", "follower"}, {"tomorrow", {1, 2}}};
  CHECK(newer.send_request(hello).value("t", "") == "welcome");
  CHECK(call.send_request({{"do", "something new"}}).value("why", "").find("not known") != std::string::npos);
  CHECK(call.send_request({{"do", "status"}}).contains("status"));
}

TEST_CASE("group: a follower far behind, and dozens that come back at once, are fed whole") {
  // They were away for longer than they would wait for word of the list.
  Fleet f(3, 24, [](RigOptions& o) { o.group = {{"fallback_ms", 1500}}; });
  REQUIRE(f.owned("list"));
  auto alone = [&] {
    std::size_t n = 0;
    for (auto& name : f->followers()) n += times(f->log(name), "asks by itself");
    return n;
  };
  auto back = [&] {
    std::size_t n = 0;
    for (auto& name : f->followers()) n += times(f->log(name), "heard of again");
    return n;
  };
  REQUIRE(f->soon([&] { return f.number(f->leader(), "list_generation") < 1000; }));
  REQUIRE(f->soon([&] { return alone() == back(); }));  // some may have begun before the group had an owner
  for (auto& name : f->followers()) f->pause(name);
  auto before = alone();
  auto paused = net::monotonic_now();
  REQUIRE(f.owned("list"));
  f.fill(3000);
  auto voter_behind = f.other(f->leader());
  f->kill(voter_behind);
  f.fill(3000);
  f->soon([&] { return net::monotonic_now() - paused > 3s; });
  auto calls = f->stand_in().report().at("list_calls").get<std::uint64_t>();
  for (auto& name : f->followers()) f->resume(name);
  f->start(voter_behind);  // by a snapshot: the leader's log does not reach back so far
  CHECK(f->soon([&] { return f.number(voter_behind, "applied") == f.number(f->leader(), "applied"); }));
  CHECK(f->soon([&] {
    std::uint64_t fed = 0;
    for (auto& name : f->voters()) fed += f.number(name, "followers");
    return fed == f->followers().size();
  }));
  // None of them took its own absence for the group's.
  CHECK(f->stand_in().report().at("list_calls").get<std::uint64_t>() - calls < 8);
  CHECK(alone() == before);
}

TEST_CASE("group: SIGTERM hands jobs and leadership over at once, and a rolling restart loses nothing") {
  Fleet f(3, 1);
  REQUIRE(f.owned("list"));
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
      l.rules = &f->stand_in().rules();
      sum.add(run_load(l));
    }
  });
  for (auto& name : f->voters()) {
    bool led = f->leader() == name;
    CHECK(f->terminate(name) == 0);
    if (led) CHECK(f->log(name).find("hands leadership over") != std::string::npos);
    f->start(name);
    REQUIRE(f->soon([&] { return f.follows_or_leads(name) && !f->owner("list").empty(); }));
    // Members change meanwhile: out and in again.
    auto member = f.other(f->leader());
    for (std::string what : {"remove", "add", "promote"})
      REQUIRE(f->soon([&] {
        auto leader = f->leader();
        return !leader.empty() &&
               f->ask(leader, {{"do", what}, {"name", member}, {"id", f.number(member, "id")}})
                   .value("ok", false);
      }));
  }
  load.request_stop();
  load.join();
  CHECK(f.get("k") == "kept");
  CHECK(sum.served == sum.attempts);
  CHECK(sum.served > 0);
  CHECK(f->stand_in().rules().breaches_in_words() == "");
}

TEST_CASE("group: faults from a script are played in order and found in the history") {
  Fleet f(3, 1);
  REQUIRE(f.put("k", "kept"));
  auto script = parse_script(json::parse(R"([
    [{"do": "pause", "node": "leader"}, {"do": "wait", "ms": 50}, {"do": "resume", "node": "victim"}],
    [{"do": "kill", "node": "p1"}, {"do": "start", "node": "victim"}, {"do": "settle"}],
    [{"do": "kill", "node": "owner nothing"}]])"));
  std::string victim;
  auto leader = f->leader();
  CHECK(play(*f, script[0], &victim) == "pause leader, wait, resume victim");
  CHECK(victim == leader);
  play(*f, script[1], &victim);
  CHECK(victim == "p1");
  CHECK(f->running("p1"));
  CHECK_THROWS_WITH(play(*f, script[2], &victim), "script: there is no owner nothing now");
  std::vector<std::string> seen;
  for (auto& e : f->history().events())
    if (e.contains("node"))
      seen.push_back(e.at("what").get<std::string>() + " " + e.at("node").get<std::string>());
  const std::vector<std::string> wanted{"pause " + leader, "resume " + leader, "kill p1", "start p1"};
  CHECK(std::search(seen.begin(), seen.end(), wanted.begin(), wanted.end()) != seen.end());
  CHECK(f.get("k") == "kept");
}

TEST_CASE(
    "group: all start at once and know nothing, without a majority: one voter asks the list service for "
    "all") {
  Fleet f(3, 12, [](RigOptions& o) { o.group = {{"fallback_ms", 1500}}; });
  REQUIRE(f.owned("list"));
  REQUIRE(f->soon([&] {
    auto s = f->status("n1");
    return s && s->value("list_generation", std::int64_t{-1}) > 0;
  }));
  for (auto& name : f->all()) f->kill(name);
  auto before = f->stand_in().report();
  // The list that the group had published lies on the voters' disks; the proxies have none.
  std::vector<std::string> back = f->followers();
  back.push_back("n1");
  f->launch(back, {{"generation", 0}, {"reset", true}, {"instances", json::array()}});
  CHECK(f->soon(
      [&] {
        return std::all_of(back.begin(), back.end(), [&](auto& name) { return f->daemon(name)->ready(); });
      },
      Micros(40'000'000)));
  auto grown = [&](const char* key) {
    return f->stand_in().report().at(key).get<std::uint64_t>() - before.at(key).get<std::uint64_t>();
  };
  CHECK(f->soon([&] { return f->log("n1").find("asks the list service for all") != std::string::npos; }));
  CHECK(f->soon([&] {
    std::size_t asking = 0;
    for (auto& name : f->followers())
      asking += times(f->log(name), "asks by itself") - times(f->log(name), "heard of again");
    return asking == 0;
  }));
  CHECK(grown("whole_list_calls") <= 1);  // none, where n1 had its last list on the disk in time
  // Word of a drain comes by the same way.
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
        l.rules = &f->stand_in().rules();
        run_load(l);
      }
    });
  f->stand_in().steer({{"do", "drain"}, {"server", "s1-2"}});
  auto word = net::monotonic_now();
  f->soon([&] { return net::monotonic_now() - word > 1500ms; });
  stop = true;
  for (auto& t : loads) t.join();
  CHECK(f->stand_in().rules().breaches_in_words() == "");
  // The others come back, and the group goes on from where it was.
  f->start("n2");
  f->start("n3");
  CHECK(f.owned("list"));
  CHECK(f->soon([&] { return f->log("n1").find("heard of again") != std::string::npos; }));
}

TEST_CASE("group: an owner that holds the lease but does no work is relieved") {
  // The list service is out of reach of one process only: its owner hears nothing of it.
  Fleet f(3, 0, [](RigOptions& o) { o.group = {{"lease_ms", 1300}}; });
  REQUIRE(f.owned("list"));
  f->stand_in().steer({{"do", "discovery"}, {"mute", true}});
  auto owner = f->owner("list");
  CHECK(f->soon(
      [&] { return f->log(f->leader()).find("holds the lease but does no work") != std::string::npos; },
      Micros(40'000'000)));
  f->stand_in().steer({{"do", "discovery"}, {"mute", false}});
  CHECK(f.owned("list"));
  CHECK(f->soon([&] { return f->status(f->owner("list"))->value("list_generation", -1) >= 0; }));
}

TEST_CASE("group: word of a drain reaches all by the owner, who alone asks the list service") {
  Fleet f(3, 8);
  REQUIRE(f.owned("list"));
  REQUIRE(f->soon([&] { return f.number(f->voters()[0], "list_generation") > 0; }));
  auto calls = f->stand_in().report().at("list_calls").get<std::uint64_t>();
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
        l.rules = &f->stand_in().rules();
        auto x = run_load(l);
        asked += x.attempts;
        served += x.served;
      }
    });
  f->soon([&] { return served > 100; });
  f->stand_in().steer({{"do", "drain"}, {"server", "s1-2"}});
  auto word = net::monotonic_now();
  f->soon([&] { return net::monotonic_now() - word > 1300ms; });
  stop = true;
  for (auto& t : loads) t.join();
  CHECK(served == asked);
  CHECK(f->stand_in().rules().breaches_in_words() == "");
  CHECK(f->stand_in().rules().drain_last_send_ms().at("s1-2") < 1000);
  CHECK(f->stand_in().report().at("list_calls").get<std::uint64_t>() - calls <= 3);
  for (auto& name : f->followers()) CHECK(f->log(name).find("asks by itself") == std::string::npos);
}

TEST_CASE("group: recovery from a lost majority demands the consequence, and keeps what this node knew") {
  Fleet f;
  REQUIRE(f.owned("list"));
  // Tokens of some height: a job changes hands when the log is long already.
  f.fill(300);
  auto owner = f->owner("list");
  f->terminate(owner);
  f->start(owner);
  REQUIRE(f.owned("list"));
  REQUIRE(f.put("k", "kept"));
  auto one = f.other(f->owner("list"));  // the list's owner is among the lost
  REQUIRE(f->soon([&] { return f.number(one, "applied") == f.number(f->leader(), "applied"); }));
  CHECK(f->ask(one, {{"do", "recover"}, {"consequence", "what only the lost nodes knew is gone"}})
            .value("why", "")
            .find("a leader is heard of") != std::string::npos);
  for (auto& name : f->voters())
    if (name != one) f->kill(name);
  CHECK(f->soon([&] { return f->status(one) && f->status(one)->value("leader", "") == ""; }));
  CHECK_FALSE(f->ask(one, {{"do", "recover"}}).value("ok", true));
  auto tokens = f->ask(one, {{"do", "owners"}}).at("owners");
  CHECK(f->soon([&] {
    return f->ask(one, {{"do", "recover"}, {"consequence", "what only the lost nodes knew is gone"}})
        .value("ok", false);
  }));
  CHECK(f->soon([&] { return f->status(one)->value("role", "") == "leader"; }));
  CHECK(f->ask(one, {{"do", "get"}, {"key", "k"}}).value("value", "") == "kept");
  // Whatever the lost ones owned is granted by tokens above all of theirs.
  std::size_t lost = 0;
  for (auto& before : tokens) lost += before.at("owner") != one && before.at("owner") != "";
  CHECK(lost > 0);
  CHECK(f->soon([&] {
    std::size_t risen = 0;
    auto now = f->ask(one, {{"do", "owners"}}).at("owners");
    for (auto& o : now)
      for (auto& before : tokens)
        risen += o.at("job") == before.at("job") && before.at("owner") != one && before.at("owner") != "" &&
                 o.at("token").get<std::uint64_t>() > before.at("token").get<std::uint64_t>();
    return risen == lost;
  }));
}

TEST_CASE("group: what cannot be is one line and exit 1, and a bad file on SIGHUP leaves the last good one") {
  Fleet f;
  auto start = [&](const json& group) {
    ProcessUnderTestOptions d;
    d.program = DATABASE_PROXY_PROGRAM;
    TemporaryDirectory scratch;
    d.folder = scratch.path();
    d.discovery = f->stand_in().discovery();
    d.known_members = f->stand_in().members();
    d.operator_file = {{"group", group}};
    try {
      ProcessUnderTest daemon(d);
    } catch (const std::runtime_error& e) {
      std::string line = e.what();
      return line.substr(line.find(": ") + 2);
    }
    return std::string("it started");
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
  CHECK(f->soon([&] { return f->log("n1").find("the configuration in force stays") != std::string::npos; }));
  CHECK(f.put("k", "on"));
}

}  // namespace database_proxy::testbench::faults
