// Several workers on real sockets: what goes wrong between threads, caused on purpose.
#include "workers/worker_pool.h"

#include <set>

#include "proxy/rig.h"
#include "testbench/fake_servers.h"
#include "testbench/load.h"

namespace database_proxy::test {
namespace {

using workers::Decisions;
using workers::WorkerPoolOptions;

WorkerPoolOptions options(std::size_t count, Decisions decisions = Decisions::kShared) {
  WorkerPoolOptions o;
  o.count = count;
  o.decisions = decisions;
  return o;
}

// A group in a thread of its own, on what `config` says.
class RunningGroup {
 public:
  RunningGroup(const app::Config& config, const WorkerPoolOptions& o) {
    std::promise<void> started;
    thread_ = std::thread([&, config, o] {
      net::Loop control;
      workers::WorkerPoolConfig g;
      g.settings = config.settings;
      g.seed = config.seed;
      g.options = o;
      g.proxy.listen = config.listen;
      g.proxy.discovery = config.discovery;
      g.proxy.descriptors = config.sockets;
      g.proxy.memory = config.memory;
      g.proxy.pool = config.pool;
      g.proxy.known = config.known;
      group = std::make_unique<workers::WorkerPool>(
          control, g, [](const std::string&) { return [](net::Level, const std::string&) {}; });
      net::TaskQueue mailbox(control);
      port = group->port();
      started.set_value();
      group->run();
      returned = group->returned();
      counters = group->counters();
      told_.get_future().wait();  // whoever had it stop may still be in that call
      group.reset();
    });
    started.get_future().wait();
  }
  ~RunningGroup() { stop(); }
  void stop() {
    if (!thread_.joinable()) return;
    group->stop_now();
    told_.set_value();
    thread_.join();
  }
  void stop_gently() {
    group->shut_down(proxy::ShutdownMode::kLast);
    told_.set_value();
    thread_.join();
  }
  // Holds one worker, or the decision thread, still for so long.
  void stall(std::size_t worker, std::chrono::milliseconds time) {
    group->post(worker, [time](proxy::Proxy&) { std::this_thread::sleep_for(time); });
  }
  void stall_decisions(std::chrono::milliseconds time) {
    group->post_decisions([time] { std::this_thread::sleep_for(time); });
  }

  std::unique_ptr<workers::WorkerPool> group;
  int port = 0;
  std::uint64_t returned = 0;
  proxy::Counters counters;

 private:
  std::promise<void> told_;
  std::thread thread_;
};

struct GroupRig {
  explicit GroupRig(const WorkerPoolOptions& o, std::size_t descriptors = 400) {
    discovery.set(list("up"));
    config = app::parse_config(config_text(discovery.address(), discovery.list()));
    config.sockets = descriptors;
    running.emplace(config, o);
    port = running->port;
    REQUIRE(eventually([&] { return Client(port).query(read_sql("first")).row; }));
  }
  std::string list(const std::string& of_second) {
    return endpoint_entry("s-p", primary) + "," + endpoint_entry("s-r", replica) + "," + endpoint_entry("s-q", second, of_second);
  }
  Server primary{true}, replica{false}, second{false};
  Discovery discovery;
  app::Config config;
  std::optional<RunningGroup> running;
  int port = 0;
};

// A client that knows which worker has it, from the number that CancelRequests name.
struct Placed {
  explicit Placed(int port, std::size_t workers) : client(port, false) {
    client.send(pg::startup_message("backend", "store"));
    while (true) {
      auto [type, body] = client.next_message();
      REQUIRE(type != 0);
      if (type == 'K') {
        for (int i = 0; i < 4; ++i)
          number = number << 8 | static_cast<unsigned char>(body[static_cast<std::size_t>(i)]);
        for (int i = 4; i < 8; ++i)
          secret = secret << 8 | static_cast<unsigned char>(body[static_cast<std::size_t>(i)]);
      }
      if (type == 'Z') break;
    }
    worker = number % workers;
  }
  std::string cancel_request() const {
    std::string out("\0\0\0\x10\x04\xd2\x16\x2e", 8);
    for (auto value : {number, secret})
      for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>(value >> shift & 0xff));
    return out;
  }
  Client client;
  std::uint32_t number = 0, secret = 0;
  std::size_t worker = 0;
};

std::vector<std::unique_ptr<Placed>> one_on_each(int port, std::size_t workers) {
  std::vector<std::unique_ptr<Placed>> all(workers);
  for (int tries = 0; tries < 64; ++tries) {
    auto placed = std::make_unique<Placed>(port, workers);
    if (!all[placed->worker]) all[placed->worker] = std::move(placed);
    if (std::all_of(all.begin(), all.end(), [](auto& p) { return p != nullptr; })) return all;
  }
  FAIL("some worker got no client");
  return all;
}

void balances(const proxy::Counters& c) {
  CHECK(c.accepted == c.served + c.rejected + c.failed + c.disconnected);
}

}  // namespace

TEST_CASE("workers: both ways of deciding and of accepting serve reads and writes on every worker") {
  for (auto decisions : {Decisions::kShared, Decisions::kSplit})
    for (auto accept : {workers::Accept::kBalanced, workers::Accept::kReusePort}) {
      auto o = options(3, decisions);
      o.accept = accept;
      GroupRig rig(o);
      auto placed = one_on_each(rig.port, 3);
      for (std::size_t w = 0; w < 3; ++w) {
        CHECK(placed[w]->client.query(read_sql("r" + std::to_string(w))).value == "value");
        CHECK(placed[w]->client.query(write_sql("w" + std::to_string(w))).row);
      }
      rig.running->stop_gently();
      CHECK(rig.running->counters.served == 7);
      balances(rig.running->counters);
    }
}

TEST_CASE("workers: a decision that waited while word of a drain came is not carried out, and made anew") {
  GroupRig rig(options(4));
  auto placed = one_on_each(rig.port, 4);
  std::atomic<bool> told{false};
  std::atomic<int> after{0};
  rig.second.reply = [&](const std::string&) {
    after += told.load();
    return Reply{};
  };
  // The requests reach the decision thread while that stands still; it decides while all workers do; then
  // comes the word, and only then the workers go on, with decisions in their rings.
  rig.running->stall_decisions(80ms);
  for (std::size_t w = 0; w < 4; ++w)
    for (int i = 0; i < 8; ++i)
      placed[w]->client.send(pg::simple_query(read_sql("d" + std::to_string(w) + "-" + std::to_string(i))));
  std::this_thread::sleep_for(40ms);
  for (std::size_t w = 0; w < 4; ++w) rig.running->stall(w, 400ms);
  std::this_thread::sleep_for(100ms);
  auto calls = rig.discovery.calls.load();
  rig.discovery.set(rig.list("draining"));
  REQUIRE(eventually([&] { return rig.discovery.calls > calls; }));  // it has the word and asks for the next
  told = true;
  for (std::size_t w = 0; w < 4; ++w)
    for (int i = 0; i < 8; ++i) CHECK(placed[w]->client.answer().row);
  CHECK(after == 0);
  rig.running->stop_gently();
  CHECK(rig.running->returned > 0);
  balances(rig.running->counters);
}

TEST_CASE("workers: one id open at two workers is turned away at the second, in both ways of deciding") {
  for (auto decisions : {Decisions::kShared, Decisions::kSplit}) {
    GroupRig rig(options(2, decisions));
    std::atomic<bool> release{false};
    rig.primary.reply = rig.replica.reply = rig.second.reply = [&](const std::string&) {
      eventually([&] { return release.load(); });
      return Reply{};
    };
    auto placed = one_on_each(rig.port, 2);
    auto before = rig.primary.count() + rig.replica.count() + rig.second.count();
    placed[0]->client.send(pg::simple_query(read_sql("same", 1900)));
    REQUIRE(eventually([&] { return rig.primary.count() + rig.replica.count() + rig.second.count() > before; }));
    CHECK(placed[1]->client.query(read_sql("same", 1900)).code == "42710");
    release = true;
    CHECK(placed[0]->client.answer().row);
    CHECK(placed[1]->client.query(read_sql("same", 1900)).row);  // it is free again
  }
}

TEST_CASE("workers: a cancel that arrives at another worker reaches the request, a wrong secret does not") {
  for (std::size_t owner : {0u, 1u}) {
    GroupRig rig(options(2));
    std::atomic<bool> release{false};
    rig.primary.reply = [&](const std::string&) {
      eventually([&] { return release.load(); });
      return Reply{};
    };
    // Its worker has more clients than the other once these leave, so whoever comes next is dealt to the
    // other.
    std::vector<std::unique_ptr<Placed>> own, others;
    for (int i = 0; i < 12; ++i) {
      auto placed = std::make_unique<Placed>(rig.port, 2);
      (placed->worker == owner ? own : others).push_back(std::move(placed));
    }
    REQUIRE(own.size() >= 4);
    others.clear();
    auto& victim = *own.front();
    auto before = rig.primary.count();
    victim.client.send(pg::simple_query(write_sql("c", 4000)));
    REQUIRE(eventually([&] { return rig.primary.count() > before; }));
    CHECK(eventually([&] { return rig.running->group->clients(1 - owner) == 0; }));
    auto wrong = victim.cancel_request();
    wrong.back() = static_cast<char>(wrong.back() ^ 1);
    for (auto& request : {wrong, victim.cancel_request()}) {
      auto canceller = Peer::connect_to(rig.port);
      canceller.send(request);
      CHECK_FALSE(canceller.receive());  // it gets no answer, and its connection ends
      CHECK(rig.running->group->clients(owner) >= 4);
    }
    CHECK(victim.client.answer().code == "57014");
    release = true;
    rig.running->stop_gently();
    CHECK(rig.running->counters.disconnected == 1);
  }
}

TEST_CASE("workers: a client that leaves while its decision is on the way leaves nothing behind") {
  GroupRig rig(options(2));
  auto before = rig.primary.count() + rig.replica.count() + rig.second.count();
  {
    auto placed = one_on_each(rig.port, 2);
    rig.running->stall_decisions(150ms);
    for (auto& p : placed) p->client.send(pg::simple_query(read_sql("l" + std::to_string(p->worker))));
    std::this_thread::sleep_for(50ms);
  }
  std::this_thread::sleep_for(200ms);
  auto placed = one_on_each(rig.port, 2);
  for (auto& p : placed) CHECK(p->client.query(read_sql("m" + std::to_string(p->worker))).row);
  CHECK(rig.primary.count() + rig.replica.count() + rig.second.count() == before + 2);
  rig.running->stop_gently();
  CHECK(rig.running->counters.disconnected == 2);
  balances(rig.running->counters);
}

TEST_CASE(
    "workers: while the decisions stand still each request gets one answer in time, and no queue grows") {
  auto o = options(2);
  o.ring = 8;
  o.most_queued_requests = 8;
  GroupRig rig(o);
  std::vector<std::unique_ptr<Placed>> placed;
  for (int i = 0; i < 4; ++i) placed.push_back(std::make_unique<Placed>(rig.port, 2));
  rig.running->stall_decisions(900ms);
  std::this_thread::sleep_for(20ms);
  auto began = Clock::now();
  for (std::size_t p = 0; p < placed.size(); ++p)
    for (int i = 0; i < 30; ++i)
      placed[p]->client.send(
          pg::simple_query(read_sql("f" + std::to_string(p) + "-" + std::to_string(i), 400)));
  int refused = 0, failed = 0, served = 0;
  for (auto& p : placed)
    for (int i = 0; i < 30; ++i) {
      auto answer = p->client.answer();
      REQUIRE(answer.end == 'Z');
      served += answer.row;
      refused += answer.code == "53300";
      failed += answer.code == "57014";
      if (answer.code == "53300") CHECK(std::stoi(answer.detail) > 0);
    }
  CHECK(Clock::now() - began < 800ms);  // the stall was not waited out
  CHECK(served == 0);
  CHECK(refused >= 60);  // two rings and two queues of 8 hold 32 of 120, the rest is told at once
  CHECK(failed > 0);
  CHECK(refused + failed == 120);
  std::this_thread::sleep_for(600ms);
  CHECK(placed[0]->client.query(read_sql("after")).row);
  rig.running->stop_gently();
  balances(rig.running->counters);
}

TEST_CASE("workers: one that stalls answers late but once, keeps its decisions, and holds nobody else up") {
  GroupRig rig(options(2));
  auto placed = one_on_each(rig.port, 2);
  std::atomic<bool> release{false};
  rig.replica.reply = rig.second.reply = [&](const std::string&) {
    eventually([&] { return release.load(); });
    return Reply{};
  };
  for (int i = 0; i < 6; ++i)
    placed[0]->client.send(pg::simple_query(read_sql("s" + std::to_string(i), 1800)));
  REQUIRE(eventually([&] { return rig.replica.count() + rig.second.count() >= 2; }));
  rig.running->stall(0, 300ms);
  std::this_thread::sleep_for(20ms);
  release = true;
  auto began = Clock::now();
  for (int i = 0; i < 5; ++i) CHECK(placed[1]->client.query(read_sql("o" + std::to_string(i))).row);
  CHECK(Clock::now() - began < 250ms);
  for (int i = 0; i < 6; ++i) CHECK(placed[0]->client.answer().row);
  CHECK(placed[0]->client.query(read_sql("again")).row);
  CHECK(rig.replica.max_in_flight <= 6);
  rig.running->stop_gently();
  balances(rig.running->counters);
}

TEST_CASE(
    "workers: silent clients on one worker, and all places taken, do not shut out a client of another") {
  for (auto accept : {workers::Accept::kBalanced, workers::Accept::kReusePort}) {
    auto o = options(2);
    o.accept = accept;
    GroupRig rig(o, 150);
    // As many as all clients may hold, and more, all on worker 0: its own oldest give way to its newer ones.
    std::vector<std::unique_ptr<Placed>> silent;
    for (int i = 0; i < 600 && silent.size() < 110; ++i) {
      auto placed = std::make_unique<Placed>(rig.port, 2);
      if (placed->worker == 0) silent.push_back(std::move(placed));  // else it leaves: worker 1 stays empty
      if (accept == workers::Accept::kBalanced && silent.size() > 40)
        break;  // dealing evens out: some are enough
    }
    CHECK(eventually([&] { return rig.running->group->clients(1) == 0; }));
    int served = 0;
    Clock::duration longest{0};
    for (int i = 0; i < 200 && served < 5; ++i) {
      auto began = Clock::now();
      Placed usual(rig.port, 2);  // waits for its greeting: worker 1 has to have one of worker 0 closed
      if (usual.worker == 1) longest = std::max(longest, Clock::now() - began);
      if (usual.worker == 1) served += usual.client.query(read_sql("u" + std::to_string(i))).row;
    }
    CHECK(served == 5);
    CHECK(longest < 1500ms);  // it did not have to wait until the silent ones were closed for their silence
  }
}

TEST_CASE("workers: where one has no descriptor left for a server, another gives up a silent client") {
  auto o = options(2);
  o.accept = workers::Accept::kReusePort;  // dealing would even out what is to be uneven here
  GroupRig rig(o, 60);
  std::atomic<bool> release{false};
  rig.primary.reply = rig.replica.reply = rig.second.reply = [&](const std::string& sql) {
    if (sql.find("id=hold") != std::string::npos) eventually([&] { return release.load(); });
    return Reply{};
  };
  // Worker 1 gets one client that has asked nothing and so has no connection to a server yet; worker 0 gets
  // 15 whose requests hold one each, and 4 silent ones. That is a little over the limit.
  std::vector<std::unique_ptr<Placed>> busy, silent;
  std::unique_ptr<Placed> last;
  for (int i = 0; i < 400 && silent.size() < 4; ++i) {
    auto placed = std::make_unique<Placed>(rig.port, 2);
    if (placed->worker == 1) {
      if (!last) last = std::move(placed);  // else it leaves
    } else {
      (busy.size() < 15 ? busy : silent).push_back(std::move(placed));
    }
  }
  REQUIRE(last);
  REQUIRE(silent.size() == 4);
  for (std::size_t i = 0; i < busy.size(); ++i)
    busy[i]->client.send(pg::simple_query(read_sql("hold" + std::to_string(i), 4000)));
  auto open = [&] { return rig.primary.open_connections + rig.replica.open_connections + rig.second.open_connections; };
  REQUIRE(eventually([&] { return rig.replica.in_flight + rig.second.in_flight + rig.primary.in_flight >= 15; }));
  auto clients = rig.running->group->clients(0);
  auto connections = open();
  // Two at once: one of them may find a connection that its worker has kept, the other cannot.
  last->client.send(pg::simple_query(read_sql("hold-a", 4000)) + pg::simple_query(read_sql("hold-b", 4000)));
  CHECK(eventually([&] { return open() > connections; }, 2s));
  CHECK(eventually([&] { return rig.running->group->clients(0) < clients; }, 1s));
  release = true;
  for (auto& b : busy) CHECK(b->client.answer().row);
  for (int i = 0; i < 2; ++i) CHECK(last->client.answer().row);
}

TEST_CASE("workers: connections to one server stay near their cap over all workers") {
  auto o = options(4);
  o.connections_per_server = 6;
  GroupRig rig(o);
  std::atomic<int> out{0};
  rig.primary.reply = [&](const std::string&) {
    ++out;
    eventually([&] { return out >= 12; }, 300ms);  // many at once, so that each worker opens some
    return Reply{};
  };
  auto placed = one_on_each(rig.port, 4);
  for (int i = 0; i < 3; ++i)
    for (auto& p : placed)
      p->client.send(pg::simple_query(
          "INSERT INTO kv (name, content) VALUES ('n" + std::to_string(i) +
          "', '\\x9f') RETURNING content /* id=n" + std::to_string(i) + "-" + std::to_string(p->worker) +
          ",c=book,d=3000,k=" + std::to_string(i * 10 + static_cast<int>(p->worker)) + ",cluster=2 */"));
  for (int i = 0; i < 3; ++i)
    for (auto& p : placed) CHECK(p->client.answer().row);
  CHECK(eventually([&] { return rig.primary.open_connections <= 7; }));  // 6, and the probe's own
}

TEST_CASE("workers: a whole shutdown answers what was taken on every worker") {
  GroupRig rig(options(4));
  auto placed = one_on_each(rig.port, 4);
  std::atomic<bool> release{false};
  rig.replica.reply = rig.second.reply = rig.primary.reply = [&](const std::string&) {
    eventually([&] { return release.load(); });
    return Reply{};
  };
  for (auto& p : placed) p->client.send(pg::simple_query(read_sql("e" + std::to_string(p->worker), 1900)));
  REQUIRE(eventually([&] { return rig.replica.count() + rig.second.count() + rig.primary.count() >= 4; }));
  std::thread stopping([&] { rig.running->stop_gently(); });
  std::this_thread::sleep_for(100ms);
  Client late(rig.port);  // new connections keep coming for a while
  release = true;
  CHECK(late.query(read_sql("late")).row);
  for (auto& p : placed) CHECK(p->client.answer().row);
  stopping.join();
  CHECK(rig.running->counters.served == rig.running->counters.accepted);
}

TEST_CASE("workers: discovery's word of a drain stops new work from every worker at once, under load") {
  for (auto decisions : {Decisions::kShared, Decisions::kSplit}) {
    testbench::FakeServersOptions servers;
    servers.replicas = 3;
    servers.threads = 1;
    servers.seed = 3;
    testbench::FakeServers stand_in(servers);
    auto config = app::parse_config(config_text(stand_in.discovery(), stand_in.members().dump()));
    config.sockets = 600;
    RunningGroup running(config, options(4, decisions));
    testbench::LoadOptions load;
    load.target = *net::parse_address("127.0.0.1:" + std::to_string(running.port));
    load.connections = 24;
    load.depth = 4;
    load.length = testbench::Micros(1'200'000);
    load.rules = &stand_in.rules();
    std::thread steering([&] {
      std::this_thread::sleep_for(400ms);
      stand_in.steer({{"do", "drain"}, {"server", "s1-2"}});
    });
    auto figures = testbench::run_load(load);
    steering.join();
    CHECK(figures.served > 100);
    CHECK(figures.failed == 0);
    for (auto& b : stand_in.rules().breaches()) FAIL_CHECK(testbench::name_of(b.rule) << ": " << b.first);
    auto last = stand_in.rules().drain_last_send_ms();
    REQUIRE(last.count("s1-2"));
    CHECK(last["s1-2"] < 1000);  // the rule; what is aimed at is measured, not tested
  }
}

TEST_CASE("workers: split, all workers together spare a cold server, and do not shut it out") {
  testbench::FakeServersOptions servers;
  servers.replicas = 3;
  servers.seed = 4;
  servers.model.cores = 1;
  servers.model.service_us = 1000;
  servers.model.cold_share = 0.5;
  testbench::FakeServers stand_in(servers);
  auto config = app::parse_config(config_text(stand_in.discovery(), stand_in.members().dump()));
  config.sockets = 600;
  RunningGroup running(config, options(4, Decisions::kSplit));
  testbench::LoadOptions load;
  load.target = *net::parse_address("127.0.0.1:" + std::to_string(running.port));
  load.connections = 32;
  load.rate = 1500;
  load.length = testbench::Micros(3'500'000);
  load.book = 0;
  load.rules = &stand_in.rules();
  std::thread steering([&] {
    std::this_thread::sleep_for(300ms);
    stand_in.steer({{"do", "add"}, {"set", 1}});
  });
  auto figures = testbench::run_load(load);
  steering.join();
  CHECK(figures.served > 2000);
  for (auto& b : stand_in.rules().breaches()) FAIL_CHECK(testbench::name_of(b.rule) << ": " << b.first);
  CHECK(stand_in.figures()["s1-5"].requests > 0);
}

}  // namespace database_proxy::test
