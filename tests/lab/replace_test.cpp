// Operation of real processes: the door, cordons that hold, two processes behind one socket, little memory.
#include <fcntl.h>
#include <fmt/format.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "lab/daemon.h"
#include "lab/folder.h"
#include "lab/load.h"
#include "lab/stand_in.h"
#include "net/rig.h"

namespace linenwinch::lab {
namespace {

using namespace std::chrono_literals;

net::Fd listening() {
  std::string error;
  auto fd = net::listen_on(*net::parse_address("127.0.0.1:0"), &error);
  REQUIRE(fd);
  return fd;
}

std::string free_address() { return "127.0.0.1:" + std::to_string(net::local_port(listening().get())); }

// `socket`: which it inherits; -1: it opens its own.
DaemonOptions options_for(StandIn& stand_in, const Folder& folder, const std::string& name, int socket = -1) {
  DaemonOptions d;
  d.program = LINENWINCH_PROGRAM;
  d.folder = d.shared_folder = folder.path;
  d.name = name;
  d.discovery = stand_in.discovery();
  d.known = stand_in.members();
  d.operators = free_address();
  d.listen_fd = socket;
  return d;
}

double figure(const std::string& counters, const std::string& name) {
  auto at = counters.find("proxy." + name + ":");
  REQUIRE(at != std::string::npos);
  return std::atof(counters.c_str() + at + name.size() + 7);
}

LoadOptions load_for(const Daemon& daemon, StandIn& stand_in, Micros length) {
  LoadOptions load;
  load.target = *net::parse_address("127.0.0.1:" + std::to_string(daemon.port()));
  load.connections = 24;
  load.rate = 400;
  load.length = length;
  load.rules = &stand_in.rules();
  return load;
}

// Data servers of the rig's, and a listening socket that processes of ours inherit.
struct Place {
  Place() { discovery.set(test::entry("s-p", primary) + "," + test::entry("s-r", replica)); }
  DaemonOptions options(const std::string& name, int workers = 1) {
    DaemonOptions d;
    d.program = LINENWINCH_PROGRAM;
    d.folder = d.shared_folder = folder.path;
    d.name = name;
    d.discovery = discovery.address();
    d.known = nlohmann::json::parse(discovery.list());
    d.operators = free_address();
    if (workers > 1) d.operator_file = {{"workers", {{"count", workers}}}};
    return d;
  }
  std::unique_ptr<Daemon> start(const std::string& name, int workers = 1) {
    auto d = options(name, workers);
    d.listen_fd = socket.get();
    return std::make_unique<Daemon>(d);
  }
  std::size_t asked() { return static_cast<std::size_t>(primary.count() + replica.count()); }

  std::string value;  // outlives the servers, which may give it
  test::Server primary{true}, replica{false};
  test::Discovery discovery;
  Folder folder;
  net::Fd socket = listening();
};

}  // namespace

TEST_CASE("door: cordon, uncordon and figures of a process under load, with one worker and with three",
          "[alone]") {
  for (int workers : {1, 3}) {
    StandInOptions sets;
    sets.replicas = 3;
    StandIn stand_in(sets);
    Folder folder;
    auto d = options_for(stand_in, folder, "one");
    if (workers > 1) d.operator_file = {{"workers", {{"count", workers}}}};
    Daemon daemon(d);
    REQUIRE(test::soon([&] { return daemon.call("health") == "YES\n"; }));
    LoadFigures figures;
    std::thread load([&] { figures = run_load(load_for(daemon, stand_in, Micros(4'500'000))); });
    std::this_thread::sleep_for(500ms);
    // The replica that is used most: where costs are equal, a router has its own order and may need only one.
    std::string victim;
    std::uint64_t most = 20;
    auto used = stand_in.figures();
    for (auto& [id, f] : used)
      if (id != stand_in.servers().front() && f.requests > most) most = f.requests, victim = id;
    std::string all;
    for (auto& [id, f] : used) all += id + " " + std::to_string(f.requests) + " ";
    INFO(all << daemon.log());
    CHECK_FALSE(victim.empty());
    CHECK(daemon.call("cordon nobody").starts_with("NO "));
    CHECK(daemon.call("uncordon nobody").starts_with("NO "));
    CHECK(daemon.call("cordon " + victim).starts_with("YES"));
    CHECK(daemon.call("cordon " + victim).starts_with("YES"));
    auto before = stand_in.figures()[victim].requests;
    CHECK(test::soon([&] { return figure(daemon.call("counters"), "out_of_rotation") >= 1; }));
    std::this_thread::sleep_for(700ms);
    // What was on its way at the yes may still have arrived behind it.
    CHECK(stand_in.figures()[victim].requests <= before + 2);
    before = stand_in.figures()[victim].requests;
    CHECK(daemon.call("uncordon " + victim).starts_with("YES"));
    CHECK(test::soon([&] { return stand_in.figures()[victim].requests > before; }));
    load.join();
    auto counters = daemon.call("counters");
    INFO(counters);
    CHECK(counters.ends_with("END\n"));
    CHECK(figure(counters, "open_requests") == 0);
    CHECK(figure(counters, "registry_entries") == 4);
    auto served = figure(counters, "fulfilled.browse") + figure(counters, "fulfilled.own-view") +
                  figure(counters, "fulfilled.book");
    CHECK(served == static_cast<double>(figures.served));
    CHECK(figures.failed + figures.unanswered == 0);
    CHECK(stand_in.rules().total() == 0);
    // Without a data server that it may use, it cannot serve.
    for (auto& id : stand_in.servers()) CHECK(daemon.call("cordon " + id).starts_with("YES"));
    CHECK(daemon.call("health").starts_with("NO no data server"));
    CHECK(daemon.call("uncordon " + victim).starts_with("YES"));
    CHECK(daemon.call("health") == "YES\n");
  }
}

TEST_CASE("door: it answers at once while some workers have ended and others still serve", "[alone]") {
  Place place;
  place.primary.reply = place.replica.reply = [&](const std::string&) {
    std::this_thread::sleep_for(2500ms);
    return test::Reply{};
  };
  Daemon daemon(place.options("one", 3));
  test::Client slow(daemon.port());
  slow.send(pg::simple_query(test::read_sql("slow", 3500)));
  REQUIRE(test::soon([&] { return place.asked() == 1; }));
  daemon.signal(SIGTERM);
  std::this_thread::sleep_for(1200ms);  // those without clients end after 0.7 s
  auto began = test::Clock::now();
  CHECK(daemon.call("counters").ends_with("END\n"));
  CHECK(daemon.call("cordon s-r").starts_with("YES"));
  CHECK(test::Clock::now() - began < 1s);
  CHECK(slow.answer().row);
  CHECK(daemon.wait() == 0);
}

TEST_CASE("replace: two upgrades under load behind one socket lose nothing, and a cordon holds through both",
          "[alone]") {
  for (int workers : {1, 2}) {
    StandInOptions sets;
    sets.replicas = 3;
    sets.model.service_us = 20'000;  // so that some requests are out at any moment
    StandIn stand_in(sets);
    Folder folder;
    auto socket = listening();
    auto start = [&](const std::string& name) {
      auto d = options_for(stand_in, folder, name, socket.get());
      d.settings = {{"RequestClasses",
                     {{{"Name", "browse"}, {"Effect", "pure"}, {"TargetMs", 500.0}, {"DeadlineMs", 1000.0}},
                      {{"Name", "own-view"}, {"Effect", "pure"}, {"TargetMs", 500.0}, {"DeadlineMs", 1000.0}},
                      {{"Name", "book"},
                       {"Effect", "token"},
                       {"Group", "cell"},
                       {"KeyTtlMs", 5000.0},
                       {"TargetMs", 900.0},
                       {"DeadlineMs", 1000.0}}}}};
      if (workers > 1) d.operator_file = {{"workers", {{"count", workers}}}};
      return std::make_unique<Daemon>(d);
    };
    auto running = start("first");
    auto victim = stand_in.servers().back();
    LoadFigures figures;
    auto options = load_for(*running, stand_in, Micros(5'500'000));
    options.wait_ms = 900;
    options.rate = 250;
    std::thread load([&] { figures = run_load(options); });
    std::this_thread::sleep_for(300ms);
    CHECK(running->call("cordon " + victim).starts_with("YES"));
    auto before = stand_in.figures()[victim].requests;
    for (std::string name : {"second", "third"}) {
      auto next = start(name);
      REQUIRE(test::soon([&] { return next->call("health") == "YES\n"; }));
      CHECK(figure(next->call("counters"), "out_of_rotation") >= 1);
      CHECK(next->log().find("what it has learned of") != std::string::npos);
      running->signal(SIGTERM);
      CHECK(running->wait() == 0);
      running = std::move(next);
      std::this_thread::sleep_for(300ms);
    }
    CHECK(stand_in.figures()[victim].requests <= before + 2);
    // Made at one while two serve, a cordon holds at the other as well.
    auto last = start("fourth");
    CHECK(running->call("uncordon " + victim).starts_with("YES"));
    CHECK(test::soon([&] { return figure(last->call("counters"), "out_of_rotation") == 0; }));
    load.join();
    CHECK(figures.served > 700);
    CHECK(figures.failed == 0);
    CHECK(figures.unanswered <= 2);  // of a request that crosses a close, its client hears at once
    CHECK(stand_in.rules().total() == 0);
  }
}

TEST_CASE("replace: a cordon made just before the old process ends holds at the new one", "[alone]") {
  StandIn stand_in(StandInOptions{});
  Folder folder;
  auto socket = listening();
  auto start = [&](const std::string& name) {
    return std::make_unique<Daemon>(options_for(stand_in, folder, name, socket.get()));
  };
  auto old = start("old"), next = start("next");
  REQUIRE(test::soon([&] { return next->call("health") == "YES\n"; }));
  // Between two looks of the new one at the pages; without clients the old one ends at once. Some of these
  // fall so that nothing but the page it leaves can tell.
  for (int i = 0; i < 4; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(150 + 30 * i));
    CHECK(old->call("cordon " + stand_in.servers().back()).starts_with("YES"));
    old->signal(SIGTERM);
    CHECK(old->wait() == 0);
    CHECK(test::soon([&] { return figure(next->call("counters"), "out_of_rotation") == 1; }, 2s));
    CHECK(next->call("uncordon " + stand_in.servers().back()).starts_with("YES"));
    old = std::move(next);
    next = start("again" + std::to_string(i));
    REQUIRE(test::soon([&] { return next->call("health") == "YES\n"; }));
  }
}

TEST_CASE("replace: one killed while it starts, two successors at once and SIGHUP lose nothing under load",
          "[alone]") {
  StandInOptions sets;
  sets.model.service_us = 5'000;
  StandIn stand_in(sets);
  Folder folder;
  auto socket = listening();
  auto options = [&](const std::string& name) { return options_for(stand_in, folder, name, socket.get()); };
  auto pages = [&] {
    int count = 0;
    for (auto& file : std::filesystem::directory_iterator(folder.path))
      count += file.path().extension() == ".page";
    return count;
  };
  Daemon old(options("old"));
  LoadFigures figures;
  auto load_options = load_for(old, stand_in, Micros(5'000'000));
  load_options.rate = 250;
  load_options.wait_ms = 900;
  std::thread load([&] { figures = run_load(load_options); });
  {
    // It knows of no data server and never will: it must not take a client.
    auto d = options("dead");
    d.known = nlohmann::json::parse(R"({"generation":1,"reset":true,"instances":[]})");
    d.discovery = free_address();
    d.await = false;
    Daemon dead(d);
    CHECK(test::soon([&] { return dead.call("health").starts_with("NO"); }));
    CHECK(test::soon([&] { return pages() == 2; }));
    std::this_thread::sleep_for(200ms);
    dead.signal(SIGKILL);
    CHECK(dead.wait() == 128 + SIGKILL);
    CHECK(test::soon([&] { return pages() == 1; }));  // what it held is given back
  }
  Daemon second(options("second")), third(options("third"));
  for (auto* d : {&old, &second}) d->signal(SIGHUP);
  REQUIRE(test::soon([&] { return second.call("health") == "YES\n" && third.call("health") == "YES\n"; }));
  for (auto* d : {&old, &second}) d->signal(SIGTERM);
  CHECK(old.wait() == 0);
  CHECK(second.wait() == 0);
  CHECK(third.call("health") == "YES\n");
  load.join();
  CHECK(old.log().find("configuration read again") != std::string::npos);
  CHECK(figures.served > 700);
  CHECK(figures.failed == 0);
  CHECK(figures.unanswered <= 4);  // of a request that crosses a close, its client hears at once
  CHECK(stand_in.rules().total() == 0);
  CHECK(pages() == 1);
}

TEST_CASE("replace: who leaves gives long answers whole, and a booking out there may be asked at the next",
          "[alone]") {
  Place place;
  place.value = std::string(6 << 20, 'v');
  place.primary.reply = place.replica.reply = [&](const std::string& sql) {
    bool booking = sql.find("INSERT") != std::string::npos;
    if (booking) std::this_thread::sleep_for(500ms);
    return test::Reply{test::Reply::kRow, booking ? "booked" : place.value, 0};
  };
  auto old = place.start("old");
  test::Client reader(old->port(), true, 16 * 1024), first(old->port());
  reader.send(pg::simple_query(test::read_sql("long", 1900)));
  CHECK(reader.more());
  first.send(pg::simple_query(test::write_sql("w1")));
  // Asked at the replica or not, where no primary is known yet: what counts is that it is out at the primary.
  REQUIRE(test::soon([&] {
    auto asked = place.primary.statements();
    return std::any_of(asked.begin(), asked.end(), [](auto& sql) { return sql.starts_with("INSERT"); });
  }));
  auto next = place.start("next");
  REQUIRE(test::soon([&] { return next->call("health") == "YES\n"; }));
  old->signal(SIGTERM);
  std::this_thread::sleep_for(100ms);
  test::Client second(next->port());  // the old one accepts no more
  second.send(pg::simple_query(test::write_sql("w1")));
  // Each process answers what it has taken; that the booking counts once is the data server's part, by its
  // key.
  CHECK(first.answer().value == "booked");
  CHECK(second.answer().value == "booked");
  CHECK(reader.answer().value == place.value);
  CHECK(old->wait() == 0);
  CHECK(next->call("health") == "YES\n");
  CHECK(second.ask(test::write_sql("w2")).value == "booked");
}

TEST_CASE("replace: who asks on to the very end is refused, which it may repeat, and not failed", "[alone]") {
  for (int workers : {1, 2}) {
    Place place;
    place.primary.reply = place.replica.reply = [&](const std::string&) {
      std::this_thread::sleep_for(60ms);
      return test::Reply{};
    };
    auto old = place.start("old", workers);
    test::Client client(old->port());
    auto next = place.start("next", workers);
    REQUIRE(test::soon([&] { return next->call("health") == "YES\n"; }));
    auto ask = [&](int i) { client.send(pg::simple_query(test::read_sql("a" + std::to_string(i), 900))); };
    ask(0);
    old->signal(SIGTERM);
    // Two are out at any moment, so it is never idle and stays until the end.
    std::map<std::string, int> ends;
    for (int i = 1;; ++i) {
      ask(i);
      auto answer = client.answer();
      if (answer.end == 0) break;
      ++ends[answer.row ? "served" : answer.code];
    }
    CHECK(old->wait() == 0);
    CHECK(ends["served"] > 5);
    CHECK(ends["53300"] > 0);
    ends.erase("served");
    ends.erase("53300");
    INFO(old->log());
    CHECK(ends.empty());
  }
}

TEST_CASE("replace: a bad descriptor is told in one line, torn and foreign pages cost a line each",
          "[alone]") {
  StandIn stand_in(StandInOptions{});
  Folder folder;
  {
    auto d = options_for(stand_in, folder, "bad");
    net::Fd file(open("/dev/null", O_RDONLY | O_CLOEXEC));
    d.listen_fd = file.get();
    CHECK_THROWS_WITH(Daemon(d), Catch::Contains("no listening TCP socket"));
  }
  std::ofstream(folder.path + "/linenwinch-1.page") << "linenwinch-page 1 0000000000000000\n{\"process\":1";
  std::ofstream(folder.path + "/linenwinch-2.page") << "something else";
  auto socket = listening();
  auto d = options_for(stand_in, folder, "good", socket.get());
  Daemon daemon(d);
  CHECK(test::soon([&] { return daemon.call("health") == "YES\n"; }));
  CHECK(daemon.log().find("linenwinch-1.page is passed over: it is torn") != std::string::npos);
  CHECK(daemon.log().find("linenwinch-2.page is passed over: it is not of this program") !=
        std::string::npos);
}

// A process with half the usual memory and data servers that give every read this value.
struct LittleMemory : Place {
  explicit LittleMemory(std::string v) {
    value = std::move(v);
    primary.reply = replica.reply = [this](const std::string& sql) {
      return test::Reply{test::Reply::kRow, sql.find("id=short") != std::string::npos ? "short" : value, 0};
    };
    auto d = options("one");
    d.memory_mb = 24;
    d.sockets = 192;
    daemon.emplace(d);
  }
  void look() { most = std::max(most, daemon->usage().rss_mb); }
  ~LittleMemory() {
    look();
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)  // their own memory is larger
    CHECK(most < 24);
#endif
  }
  std::optional<Daemon> daemon;
  double most = 0;
};

TEST_CASE("little memory: many long answers to slow readers stay within a fraction of their size",
          "[alone]") {
  LittleMemory place(std::string(8 << 20, 'v'));
#if defined(__SANITIZE_THREAD__)
  constexpr int kReaders = 4;  // so slow that the last of more would have taken nothing for 5 s
#else
  constexpr int kReaders = 24;  // 192 MiB in all, of which the kernel takes 2 to 3 each
#endif
  std::vector<std::unique_ptr<test::Client>> readers;
  for (int i = 0; i < kReaders; ++i) {
    readers.push_back(std::make_unique<test::Client>(place.daemon->port(), true, 16 * 1024));
    readers.back()->send(pg::simple_query(test::read_sql("m" + std::to_string(i), 1900)));
    CHECK(readers.back()->more());  // it has begun, and waits for its reader with all the others
    place.look();
  }
  // A piece at a time each: whoever takes nothing for 5 s is gone.
  for (bool more = true; more; place.look()) {
    more = false;
    for (auto& reader : readers) more |= reader->in.size() < place.value.size() && reader->more();
  }
  int whole = 0;
  for (auto& reader : readers) whole += reader->answer().value == place.value;
  CHECK(whole == kReaders);
}

TEST_CASE("little memory: many answers that nobody reads yield to those who read theirs", "[alone]") {
  LittleMemory place(std::string(60'000, 'v'));  // not yet a long one
  std::vector<std::unique_ptr<test::Client>> silent;
  for (int i = 0; i < 40; ++i)
    silent.push_back(std::make_unique<test::Client>(place.daemon->port(), true, 16 * 1024));
  for (int wave = 0; wave < 4; ++wave) {  // the kernel takes what the first two bring, 70 MiB are left
    for (int i = 0; i < 40; ++i) {
      std::string all;
      for (int k = 0; k < 30; ++k)
        all += pg::simple_query(test::read_sql(fmt::format("{}-{}-{}", wave, i, k), 1900));
      silent[i]->send(all);
    }
    for (int i = 0; i < 10; ++i, std::this_thread::sleep_for(50ms)) place.look();
    test::Client reader(place.daemon->port());
    int tries = 0;  // one that comes in the middle of a wave may be refused
    CHECK(test::soon([&] {
      return reader.ask(test::read_sql(fmt::format("short{}-{}", wave, ++tries))).value == "short";
    }));
  }
}

}  // namespace linenwinch::lab
