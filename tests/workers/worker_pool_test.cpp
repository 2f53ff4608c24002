// Tests of several workers on real sockets, with provoked races and stalls between the threads.
#include "workers/worker_pool.h"

#include <fmt/format.h>

#include <set>

#include "proxy/rig.h"
#include "testbench/fake_servers.h"
#include "testbench/load.h"

namespace database_proxy::test {
namespace {

using workers::DecisionMode;
using workers::WorkerPoolOptions;

WorkerPoolOptions options(std::size_t count, DecisionMode decisions = DecisionMode::kShared) {
  WorkerPoolOptions o;
  o.count = count;
  o.decisions = decisions;
  return o;
}

// A worker pool that runs in a thread of its own, configured by `config`.
class RunningPool {
 public:
  RunningPool(const app::Config& config, const WorkerPoolOptions& o) {
    std::promise<void> started;
    thread_ = std::thread([&, config, o] {
      net::Loop control;
      workers::WorkerPoolConfig pool_config;
      pool_config.settings = config.settings;
      pool_config.seed = config.seed;
      pool_config.options = o;
      pool_config.proxy.listen = config.listen;
      pool_config.proxy.discovery = config.discovery;
      pool_config.proxy.descriptors = config.sockets;
      pool_config.proxy.memory = config.memory;
      pool_config.proxy.pool = config.pool;
      pool_config.proxy.known = config.known;
      pool = std::make_unique<workers::WorkerPool>(
          control, pool_config, [](const std::string&) { return [](net::Level, const std::string&) {}; });
      net::TaskQueue tasks(control);
      port = pool->port();
      started.set_value();
      pool->run();
      stale_decisions = pool->stale_decisions();
      counters = pool->counters();
      stop_requested_.get_future().wait();  // the thread that stops the pool may still be in that call
      pool.reset();
    });
    started.get_future().wait();
  }
  ~RunningPool() { stop(); }
  void stop() {
    if (!thread_.joinable()) return;
    pool->stop_now();
    stop_requested_.set_value();
    thread_.join();
  }
  void shut_down_and_join() {
    pool->shut_down(proxy::ShutdownMode::kLast);
    stop_requested_.set_value();
    thread_.join();
  }
  // Blocks one worker, or the decision thread, for `time`.
  void stall(std::size_t worker, std::chrono::milliseconds time) {
    pool->post(worker, [time](proxy::Proxy&) { std::this_thread::sleep_for(time); });
  }
  void stall_decisions(std::chrono::milliseconds time) {
    pool->post_to_decision_thread([time] { std::this_thread::sleep_for(time); });
  }

  std::unique_ptr<workers::WorkerPool> pool;
  int port = 0;
  std::uint64_t stale_decisions = 0;
  proxy::Counters counters;

 private:
  std::promise<void> stop_requested_;
  std::thread thread_;
};

struct PoolRig {
  explicit PoolRig(const WorkerPoolOptions& o, std::size_t descriptors = 400) {
    discovery.set(list("up"));
    config = app::parse_config(config_text(discovery.address(), discovery.list()));
    config.sockets = descriptors;
    running.emplace(config, o);
    port = running->port;
    REQUIRE(eventually([&] { return Client(port).query(read_sql("first")).row; }));
  }
  std::string list(const std::string& of_second) {
    return endpoint_entry("s-p", primary) + "," + endpoint_entry("s-r", replica) + "," +
           endpoint_entry("s-q", second, of_second);
  }
  Server primary{true}, replica{false}, second{false};
  Discovery discovery;
  app::Config config;
  std::optional<RunningPool> running;
  int port = 0;
};

// A client that knows which worker serves it, from the process number in its BackendKeyData.
struct PlacedClient {
  explicit PlacedClient(int port, std::size_t workers) : client(port, false) {
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

std::vector<std::unique_ptr<PlacedClient>> connect_client_to_each_worker(int port, std::size_t workers) {
  std::vector<std::unique_ptr<PlacedClient>> all(workers);
  for (int tries = 0; tries < 64; ++tries) {
    auto placed = std::make_unique<PlacedClient>(port, workers);
    if (!all[placed->worker]) all[placed->worker] = std::move(placed);
    if (std::all_of(all.begin(), all.end(), [](auto& p) { return p != nullptr; })) return all;
  }
  FAIL("some worker got no client");
  return all;
}

void check_request_counts(const proxy::Counters& c) {
  CHECK(c.accepted == c.served + c.rejected + c.failed + c.disconnected);
}

}  // namespace

TEST_CASE("workers: reads and writes are served on every worker in each decision mode and accept mode") {
  for (auto decisions : {DecisionMode::kShared, DecisionMode::kSplit})
    for (auto accept : {workers::AcceptMode::kBalanced, workers::AcceptMode::kReusePort}) {
      auto o = options(3, decisions);
      o.accept = accept;
      PoolRig rig(o);
      auto placed = connect_client_to_each_worker(rig.port, 3);
      for (std::size_t w = 0; w < 3; ++w) {
        CHECK(placed[w]->client.query(read_sql("r" + std::to_string(w))).value == "value");
        CHECK(placed[w]->client.query(write_sql("w" + std::to_string(w))).row);
      }
      rig.running->shut_down_and_join();
      CHECK(rig.running->counters.served == 7);
      check_request_counts(rig.running->counters);
    }
}

TEST_CASE(
    "workers: a decision that was queued while a drain became known is not carried out, but made again") {
  PoolRig rig(options(4));
  auto placed = connect_client_to_each_worker(rig.port, 4);
  std::atomic<bool> drain_published{false};
  std::atomic<int> sent_after_drain{0};
  rig.second.reply = [&](const std::string&) {
    sent_after_drain += drain_published.load();
    return Reply{};
  };
  // The requests reach the decision thread while it is stalled; it decides while all workers are stalled;
  // then the drain becomes known, and only after that the workers continue, with decisions in their rings.
  rig.running->stall_decisions(80ms);
  for (std::size_t w = 0; w < 4; ++w)
    for (int i = 0; i < 8; ++i)
      placed[w]->client.send(pg::simple_query(read_sql("d" + std::to_string(w) + "-" + std::to_string(i))));
  std::this_thread::sleep_for(40ms);
  for (std::size_t w = 0; w < 4; ++w) rig.running->stall(w, 400ms);
  std::this_thread::sleep_for(100ms);
  auto calls = rig.discovery.calls.load();
  rig.discovery.set(rig.list("draining"));
  REQUIRE(eventually(
      [&] { return rig.discovery.calls > calls; }));  // the pool has the update and polls for the next
  drain_published = true;
  for (std::size_t w = 0; w < 4; ++w)
    for (int i = 0; i < 8; ++i) CHECK(placed[w]->client.answer().row);
  CHECK(sent_after_drain == 0);
  rig.running->shut_down_and_join();
  CHECK(rig.running->stale_decisions > 0);
  check_request_counts(rig.running->counters);
}

TEST_CASE("workers: a request whose id is open in another worker is rejected, in each decision mode") {
  for (auto decisions : {DecisionMode::kShared, DecisionMode::kSplit}) {
    PoolRig rig(options(2, decisions));
    std::atomic<bool> release{false};
    rig.primary.reply = rig.replica.reply = rig.second.reply = [&](const std::string&) {
      eventually([&] { return release.load(); });
      return Reply{};
    };
    auto placed = connect_client_to_each_worker(rig.port, 2);
    auto before = rig.primary.count() + rig.replica.count() + rig.second.count();
    placed[0]->client.send(pg::simple_query(read_sql("same", 1900)));
    REQUIRE(
        eventually([&] { return rig.primary.count() + rig.replica.count() + rig.second.count() > before; }));
    CHECK(placed[1]->client.query(read_sql("same", 1900)).code == "42710");
    release = true;
    CHECK(placed[0]->client.answer().row);
    CHECK(placed[1]->client.query(read_sql("same", 1900)).row);  // the id can be reserved again
  }
}

TEST_CASE("workers: a cancel that arrives at another worker reaches the request, a wrong secret does not") {
  for (std::size_t serving_worker : {0u, 1u}) {
    PoolRig rig(options(2));
    std::atomic<bool> release{false};
    rig.primary.reply = [&](const std::string&) {
      eventually([&] { return release.load(); });
      return Reply{};
    };
    // Once the others leave, the victim's worker has more clients than the other one, so the next clients are
    // assigned to the other one.
    std::vector<std::unique_ptr<PlacedClient>> own, others;
    for (int i = 0; i < 12; ++i) {
      auto placed = std::make_unique<PlacedClient>(rig.port, 2);
      (placed->worker == serving_worker ? own : others).push_back(std::move(placed));
    }
    REQUIRE(own.size() >= 4);
    others.clear();
    auto& victim = *own.front();
    auto before = rig.primary.count();
    victim.client.send(pg::simple_query(write_sql("c", 4000)));
    REQUIRE(eventually([&] { return rig.primary.count() > before; }));
    CHECK(eventually([&] { return rig.running->pool->clients(1 - serving_worker) == 0; }));
    auto wrong = victim.cancel_request();
    wrong.back() = static_cast<char>(wrong.back() ^ 1);
    for (auto& request : {wrong, victim.cancel_request()}) {
      auto canceller = Peer::connect_to(rig.port);
      canceller.send(request);
      CHECK_FALSE(canceller.receive());  // a CancelRequest gets no answer and its connection is closed
      CHECK(rig.running->pool->clients(serving_worker) >= 4);
    }
    CHECK(victim.client.answer().code == "57014");
    release = true;
    rig.running->shut_down_and_join();
    CHECK(rig.running->counters.disconnected == 1);
  }
}

TEST_CASE(
    "workers: a client that disconnects while its decision is pending causes no attempt, leaves no state") {
  PoolRig rig(options(2));
  auto before = rig.primary.count() + rig.replica.count() + rig.second.count();
  {
    auto placed = connect_client_to_each_worker(rig.port, 2);
    rig.running->stall_decisions(150ms);
    for (auto& p : placed) p->client.send(pg::simple_query(read_sql("l" + std::to_string(p->worker))));
    std::this_thread::sleep_for(50ms);
  }
  std::this_thread::sleep_for(200ms);
  auto placed = connect_client_to_each_worker(rig.port, 2);
  for (auto& p : placed) CHECK(p->client.query(read_sql("m" + std::to_string(p->worker))).row);
  CHECK(rig.primary.count() + rig.replica.count() + rig.second.count() == before + 2);
  rig.running->shut_down_and_join();
  CHECK(rig.running->counters.disconnected == 2);
  check_request_counts(rig.running->counters);
}

TEST_CASE(
    "workers: while the decision thread stalls, each request gets one answer in time, and no queue grows") {
  auto o = options(2);
  o.ring_capacity = 8;
  o.max_queued_requests = 8;
  PoolRig rig(o);
  std::vector<std::unique_ptr<PlacedClient>> placed;
  for (int i = 0; i < 4; ++i) placed.push_back(std::make_unique<PlacedClient>(rig.port, 2));
  rig.running->stall_decisions(900ms);
  std::this_thread::sleep_for(20ms);
  auto began = Clock::now();
  for (std::size_t p = 0; p < placed.size(); ++p)
    for (int i = 0; i < 30; ++i)
      placed[p]->client.send(
          pg::simple_query(read_sql("f" + std::to_string(p) + "-" + std::to_string(i), 400)));
  int rejected = 0, failed = 0, served = 0;
  for (auto& p : placed)
    for (int i = 0; i < 30; ++i) {
      auto answer = p->client.answer();
      REQUIRE(answer.end == 'Z');
      served += answer.row;
      rejected += answer.code == "53300";
      failed += answer.code == "57014";
      if (answer.code == "53300") CHECK(std::stoi(answer.detail) > 0);
    }
  CHECK(Clock::now() - began < 800ms);  // shorter than the stall
  CHECK(served == 0);
  CHECK(rejected >= 60);  // two rings and two queues of 8 hold 32 of 120; the rest is rejected at once
  CHECK(failed > 0);
  CHECK(rejected + failed == 120);
  std::this_thread::sleep_for(600ms);
  CHECK(placed[0]->client.query(read_sql("after")).row);
  rig.running->shut_down_and_join();
  check_request_counts(rig.running->counters);
}

TEST_CASE(
    "workers: a stalled worker answers late but once, keeps its decisions, and does not delay the others") {
  PoolRig rig(options(2));
  auto placed = connect_client_to_each_worker(rig.port, 2);
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
  rig.running->shut_down_and_join();
  check_request_counts(rig.running->counters);
}

TEST_CASE(
    "workers: idle clients of one worker that hold all descriptors do not shut out a client of another") {
  for (auto accept : {workers::AcceptMode::kBalanced, workers::AcceptMode::kReusePort}) {
    auto o = options(2);
    o.accept = accept;
    PoolRig rig(o, 150);
    // More clients than may be connected, all on worker 0: its oldest are closed for its newer ones.
    std::vector<std::unique_ptr<PlacedClient>> idle;
    for (int i = 0; i < 600 && idle.size() < 110; ++i) {
      auto placed = std::make_unique<PlacedClient>(rig.port, 2);
      if (placed->worker == 0)
        idle.push_back(std::move(placed));  // else it disconnects: worker 1 stays empty
      if (accept == workers::AcceptMode::kBalanced && idle.size() > 40)
        break;  // assignment evens out the clients, so some are enough
    }
    CHECK(eventually([&] { return rig.running->pool->clients(1) == 0; }));
    int served = 0;
    Clock::duration longest{0};
    for (int i = 0; i < 200 && served < 5; ++i) {
      auto began = Clock::now();
      PlacedClient usual(rig.port, 2);  // waits for its greeting: worker 0 must close a client for worker 1
      if (usual.worker == 1) longest = std::max(longest, Clock::now() - began);
      if (usual.worker == 1) served += usual.client.query(read_sql("u" + std::to_string(i))).row;
    }
    CHECK(served == 5);
    CHECK(longest < 1500ms);  // less than the time after which idle clients are closed
  }
}

TEST_CASE(
    "workers: if a worker has no descriptor left for a server connection, another closes an idle client") {
  auto o = options(2);
  o.accept = workers::AcceptMode::kReusePort;  // balanced accepting would even out the clients
  PoolRig rig(o, 60);
  std::atomic<bool> release{false};
  rig.primary.reply = rig.replica.reply = rig.second.reply = [&](const std::string& sql) {
    if (sql.find("id=hold") != std::string::npos) eventually([&] { return release.load(); });
    return Reply{};
  };
  // Worker 1 gets one client that has sent no request and so has no server connection yet; worker 0 gets 15
  // clients whose requests hold one each, and 4 idle ones. That is slightly above the limit.
  std::vector<std::unique_ptr<PlacedClient>> busy, idle;
  std::unique_ptr<PlacedClient> last;
  for (int i = 0; i < 400 && idle.size() < 4; ++i) {
    auto placed = std::make_unique<PlacedClient>(rig.port, 2);
    if (placed->worker == 1) {
      if (!last) last = std::move(placed);  // else it disconnects
    } else {
      (busy.size() < 15 ? busy : idle).push_back(std::move(placed));
    }
  }
  REQUIRE(last);
  REQUIRE(idle.size() == 4);
  for (std::size_t i = 0; i < busy.size(); ++i)
    busy[i]->client.send(pg::simple_query(read_sql("hold" + std::to_string(i), 4000)));
  auto open = [&] {
    return rig.primary.open_connections + rig.replica.open_connections + rig.second.open_connections;
  };
  REQUIRE(
      eventually([&] { return rig.replica.in_flight + rig.second.in_flight + rig.primary.in_flight >= 15; }));
  auto clients = rig.running->pool->clients(0);
  auto connections = open();
  // Two requests at once: one may find a connection that its worker has kept, the other cannot.
  last->client.send(pg::simple_query(read_sql("hold-a", 4000)) + pg::simple_query(read_sql("hold-b", 4000)));
  CHECK(eventually([&] { return open() > connections; }, 2s));
  CHECK(eventually([&] { return rig.running->pool->clients(0) < clients; }, 1s));
  release = true;
  for (auto& b : busy) CHECK(b->client.answer().row);
  for (int i = 0; i < 2; ++i) CHECK(last->client.answer().row);
}

TEST_CASE("workers: connections to one server stay near their limit over all workers") {
  auto o = options(4);
  o.connections_per_server = 6;
  PoolRig rig(o);
  std::atomic<int> out{0};
  rig.primary.reply = [&](const std::string&) {
    ++out;
    eventually([&] { return out >= 12; }, 300ms);  // many at once, so that each worker opens some
    return Reply{};
  };
  auto placed = connect_client_to_each_worker(rig.port, 4);
  for (int i = 0; i < 3; ++i)
    for (auto& p : placed)
      p->client.send(pg::simple_query(
          "INSERT INTO kv (name, content) VALUES ('n" + std::to_string(i) +
          "', '\\x9f') RETURNING content /* id=n" + std::to_string(i) + "-" + std::to_string(p->worker) +
          ",c=book,d=3000,k=" + std::to_string(i * 10 + static_cast<int>(p->worker)) + ",cluster=2 */"));
  for (int i = 0; i < 3; ++i)
    for (auto& p : placed) CHECK(p->client.answer().row);
  CHECK(eventually(
      [&] { return rig.primary.open_connections <= 7; }));  // the limit of 6, and the connection for probes
}

TEST_CASE("workers: a shutdown answers every request that was accepted, on every worker") {
  PoolRig rig(options(4));
  auto placed = connect_client_to_each_worker(rig.port, 4);
  std::atomic<bool> release{false};
  rig.replica.reply = rig.second.reply = rig.primary.reply = [&](const std::string&) {
    eventually([&] { return release.load(); });
    return Reply{};
  };
  for (auto& p : placed) p->client.send(pg::simple_query(read_sql("e" + std::to_string(p->worker), 1900)));
  REQUIRE(eventually([&] { return rig.replica.count() + rig.second.count() + rig.primary.count() >= 4; }));
  std::thread stopping([&] { rig.running->shut_down_and_join(); });
  std::this_thread::sleep_for(100ms);
  Client late(rig.port);  // new connections are still accepted for a while
  release = true;
  CHECK(late.query(read_sql("late")).row);
  for (auto& p : placed) CHECK(p->client.answer().row);
  stopping.join();
  CHECK(rig.running->counters.served == rig.running->counters.accepted);
}

// Guards against a worker that holds back answers behind an open request when the process is killed.
TEST_CASE("workers: commands behind a request at a hanging server are answered before the kill, on each") {
  constexpr auto kEarliestKill = 3700ms;
  for (auto decisions : {DecisionMode::kShared, DecisionMode::kSplit}) {
    PoolRig rig(options(2, decisions));
    auto placed = connect_client_to_each_worker(rig.port, 2);
    auto hang = [](const std::string&) { return Reply{Reply::kNoAnswer}; };
    rig.primary.reply = rig.replica.reply = rig.second.reply = hang;
    for (auto& p : placed) p->client.send(pg::simple_query(write_sql("h" + std::to_string(p->worker), 9000)));
    REQUIRE(eventually([&] { return rig.primary.unanswered == 2; }));
    auto told = Clock::now();
    std::thread stopping([&] { rig.running->shut_down_and_join(); });
    std::this_thread::sleep_until(told + 1200ms);  // new requests are rejected
    for (auto& p : placed) p->client.send(pg::simple_query(read_sql("b" + std::to_string(p->worker), 2000)));
    for (auto& p : placed) {
      CHECK(p->client.answer().code == "57014");
      CHECK(p->client.answer().code == "57P03");
    }
    stopping.join();
    CHECK(Clock::now() - told < kEarliestKill);
  }
}

// Guards against workers that end while clients wait to be assigned to them.
TEST_CASE("workers: clients that wait to be accepted when the last worker could end are refused") {
  constexpr int kLateClients = 100;
  PoolRig rig(options(2));
  rig.primary.reply = [](const std::string&) { return Reply{Reply::kNoAnswer}; };
  Client busy(rig.port);
  busy.send(pg::simple_query(write_sql("h", 9000)));
  REQUIRE(eventually([&] { return rig.primary.unanswered == 1; }));
  std::promise<void> stalled;
  auto told = Clock::now();
  rig.running->pool->on_unknown_cancel = [&](auto, auto) {  // called in the thread that accepts clients
    stalled.set_value();
    std::this_thread::sleep_until(told + 3320ms);
  };
  std::thread stopping([&] { rig.running->shut_down_and_join(); });
  std::this_thread::sleep_until(told + 3200ms);
  rig.running->pool->cancel(0, 0);
  stalled.get_future().wait();
  std::vector<std::unique_ptr<Client>> late;
  for (int i = 0; i < kLateClients; ++i) {
    late.push_back(std::make_unique<Client>(rig.port, false));
    late.back()->send(pg::startup_message("backend", "store") +
                      pg::simple_query(read_sql(fmt::format("l{}", i), 2000)));
  }
  CHECK(busy.answer().code == "57014");
  int refused = 0;
  for (auto& client : late) {
    client->answer();  // of its startup
    refused += client->answer().code == "57P03";
  }
  CHECK(refused == kLateClients);
  stopping.join();
  CHECK(Clock::now() - told < 3700ms);
}

TEST_CASE("workers: a drain in discovery's list stops new work from every worker at once, under load") {
  for (auto decisions : {DecisionMode::kShared, DecisionMode::kSplit}) {
    testbench::FakeServersOptions servers;
    servers.replicas = 3;
    servers.threads = 1;
    servers.seed = 3;
    testbench::FakeServers fake_servers(servers);
    auto config =
        app::parse_config(config_text(fake_servers.discovery_address(), fake_servers.members().dump()));
    config.sockets = 600;
    RunningPool running(config, options(4, decisions));
    testbench::LoadOptions load;
    load.target = *net::parse_address("127.0.0.1:" + std::to_string(running.port));
    load.connections = 24;
    load.depth = 4;
    load.duration = testbench::Micros(1'200'000);
    load.invariants = &fake_servers.invariants();
    std::thread steering([&] {
      std::this_thread::sleep_for(400ms);
      fake_servers.control({{"do", "drain"}, {"server", "s1-2"}});
    });
    auto figures = testbench::run_load(load);
    steering.join();
    CHECK(figures.served > 100);
    CHECK(figures.failed == 0);
    for (auto& b : fake_servers.invariants().violations())
      FAIL_CHECK(testbench::name_of(b.invariant) << ": " << b.first);
    auto last = fake_servers.invariants().drain_last_send_ms();
    REQUIRE(last.count("s1-2"));
    CHECK(last["s1-2"] < 1000);  // the rule's limit; the objective itself is measured, not tested
  }
}

TEST_CASE("workers: split, all workers together limit load on a cold server, but do not exclude it") {
  testbench::FakeServersOptions servers;
  servers.replicas = 3;
  servers.seed = 4;
  servers.model.cores = 1;
  servers.model.service_us = 1000;
  servers.model.initial_speed = 0.5;
  testbench::FakeServers fake_servers(servers);
  auto config =
      app::parse_config(config_text(fake_servers.discovery_address(), fake_servers.members().dump()));
  config.sockets = 600;
  RunningPool running(config, options(4, DecisionMode::kSplit));
  testbench::LoadOptions load;
  load.target = *net::parse_address("127.0.0.1:" + std::to_string(running.port));
  load.connections = 32;
  load.rate = 1500;
  load.duration = testbench::Micros(3'500'000);
  load.book_share = 0;
  load.invariants = &fake_servers.invariants();
  std::thread steering([&] {
    std::this_thread::sleep_for(300ms);
    fake_servers.control({{"do", "add"}, {"set", 1}});
  });
  auto figures = testbench::run_load(load);
  steering.join();
  CHECK(figures.served > 2000);
  for (auto& b : fake_servers.invariants().violations())
    FAIL_CHECK(testbench::name_of(b.invariant) << ": " << b.first);
  CHECK(fake_servers.counters()["s1-5"].requests > 0);
}

}  // namespace database_proxy::test
