// Pairs of events that arrive at the same time. Each test makes both ready before the event loop fetches
// events, so that the order under test occurs in every run. docs/design/lifecycles.md names the pair of each
// test.
#include "discovery_steps.h"
#include "rig.h"

namespace database_proxy::test {
namespace {

// Returns the timeout that a data server received with a statement, in milliseconds.
int forwarded_timeout(const std::string& statement) {
  auto at = statement.find(",d=");
  REQUIRE(at != std::string::npos);
  return std::stoi(statement.substr(at + 3));
}

// Holds back a server's answers until open() is called.
class Gate {
 public:
  std::function<Reply(const std::string&)> hold(Reply reply) {
    return [this, reply](const std::string&) {
      eventually([&] { return open_.load(); });
      return reply;
    };
  }
  void open() { open_ = true; }
  ~Gate() { open(); }

 private:
  std::atomic<bool> open_{false};
};

// Opens `count` idle connections to the primary, by having that many writes in flight at once.
void open_idle_connections(ProxyFixture& fixture, int count) {
  {
    Client client(fixture.port);
    REQUIRE(client.query(write_sql("v")).row);  // the primary is known from now on
  }
  Gate gate;
  fixture.primary.reply = gate.hold(Reply{});
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < count; ++i) {
    clients.push_back(std::make_unique<Client>(fixture.port));
    clients.back()->send(pg::simple_query(write_sql("w" + std::to_string(i), 30000)));
  }
  REQUIRE(eventually([&] { return fixture.primary.in_flight == count; }));
  gate.open();
  for (auto& client : clients) REQUIRE(client->answer().row);
  fixture.primary.reply = [](const std::string&) { return Reply{}; };
}

// Runs the proxy's loop until it has handled all events that were ready before the call.
void run_pending_events(ProxyFixture& fixture) {
  for (int i = 0; i < 2; ++i) {
    std::promise<void> iteration_began;
    fixture.with_proxy([&](proxy::Proxy&) { iteration_began.set_value(); });
    REQUIRE(iteration_began.get_future().wait_for(8s) == std::future_status::ready);
  }
}

void set_long_connect_timeout(ProxyFixture& fixture) {
  fixture.with_proxy([](proxy::Proxy& p) {
    proxy::PoolLimits limits;
    limits.connect_timeout = limits.probe_timeout = 10s;
    p.pool().set_limits(limits);
  });
}

// Accepts one connection after another and resets each after it has been served.
class ResettingListener {
 public:
  explicit ResettingListener(std::function<void(Peer&)> serve) : serve_(std::move(serve)) {
    int error = 0;
    fd_ = net::listen_on(*net::parse_address("127.0.0.1:0"), &error);
    REQUIRE(fd_);
    thread_ = std::thread([this] {
      while (!stop_) {
        pollfd p{fd_.get(), POLLIN, 0};
        poll(&p, 1, 10);
        int fd = accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        Peer peer(fd);
        serve_(peer);
        linger reset{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      }
    });
  }
  ~ResettingListener() {
    stop_ = true;
    thread_.join();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(net::local_port(fd_.get())); }

 private:
  std::function<void(Peer&)> serve_;
  net::Fd fd_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace

// ---- a client disconnects while its request waits ------------------------------------------------------

TEST_CASE("crossing: a client disconnects as the connection for its request is established") {
  ProxyFixture fixture;
  set_long_connect_timeout(fixture);
  Gate gate;
  Client first(fixture.port);
  REQUIRE(first.query(write_sql("a0")).row);  // the primary is known from now on
  fixture.primary.reply = gate.hold(Reply{});
  first.send(pg::simple_query(write_sql("a1", 9000)));
  REQUIRE(eventually([&] { return fixture.primary.count() == 2; }));
  fixture.primary.hold_greeting = true;
  auto open_before = fixture.primary.open_connections.load(),
       greeted_before = fixture.primary.greetings_sent.load();
  std::vector<std::unique_ptr<Client>> clients;
  std::size_t sent = 0;
  do {  // a probe may have left an idle connection, which is used first
    sent = fixture.primary.count();
    clients.push_back(std::make_unique<Client>(fixture.port));
    clients.back()->send(pg::simple_query(write_sql("a" + std::to_string(sent), 9000)));
    REQUIRE(eventually(
        [&] { return fixture.primary.count() > sent || fixture.primary.open_connections > open_before; }));
  } while (fixture.primary.count() > sent);
  REQUIRE(fixture.primary.open_connections == open_before + 1);
  {
    ProxyFixture::PausedLoop paused(fixture);
    fixture.primary.hold_greeting = false;
    REQUIRE(eventually([&] { return fixture.primary.greetings_sent == greeted_before + 1; }));
    clients.back()->close();
  }
  // The attempt's connection is closed, and nothing was sent on it.
  CHECK(eventually([&] { return fixture.primary.open_connections == open_before; }));
  CHECK(fixture.primary.count() == sent);
  gate.open();
  CHECK(first.answer().row);
}

TEST_CASE("crossing: a client disconnects as a server declines its read") {
  ProxyFixture fixture;
  Gate gate;
  Client client(fixture.port), other(fixture.port);
  REQUIRE(client.query(read_sql("b0")).row);
  auto decline = gate.hold(Reply{Reply::kError, "72000", 0});
  fixture.primary.reply = fixture.replica.reply = decline;
  auto before = fixture.primary.count() + fixture.replica.count();
  auto answered_before = fixture.primary.answers_sent + fixture.replica.answers_sent;
  client.send(pg::simple_query(read_sql("b1", 9000)));
  REQUIRE(eventually([&] { return fixture.primary.count() + fixture.replica.count() == before + 1; }));
  {
    ProxyFixture::PausedLoop paused(fixture);
    gate.open();
    REQUIRE(eventually(
        [&] { return fixture.primary.answers_sent + fixture.replica.answers_sent == answered_before + 1; }));
    client.close();
  }
  run_pending_events(fixture);
  fixture.primary.reply = fixture.replica.reply = [](const std::string&) { return Reply{}; };
  CHECK(other.query(write_sql("b2", 1900)).row);
  CHECK(fixture.primary.count() + fixture.replica.count() ==
        before + 2);  // only b2 followed b1's first attempt
}

TEST_CASE("crossing: a client sends more than one iteration reads and disconnects at once") {
  ProxyFixture fixture;
  Client client(fixture.port), other(fixture.port);
  open_idle_connections(fixture, 6);
  auto before = fixture.primary.count() + fixture.replica.count();
  std::string statements;
  for (int i = 1; statements.size() < 100'000; ++i)
    statements += pg::simple_query(long_write_sql("c" + std::to_string(i), "c" + std::to_string(i), 8, 9000));
  {
    ProxyFixture::PausedLoop paused(fixture);
    REQUIRE(client.send(statements));
    client.close();
  }
  run_pending_events(fixture);
  CHECK(other.query(write_sql("cw", 1900)).row);
  CHECK(fixture.primary.count() + fixture.replica.count() == before + 1);
}

TEST_CASE("crossing: a client disconnects after the iteration that retries its read has fetched events") {
  ProxyFixture fixture;
  Client client(fixture.port), other(fixture.port);
  // Each server gets an idle connection, so that no connection has to be established later.
  REQUIRE(eventually([&] {
    return other.query(read_sql("d" + std::to_string(fixture.replica.count()), 900)).row &&
           fixture.replica.count() > 0;
  }));
  REQUIRE(other.query(write_sql("d", 9000)).row);
  Gate gate;
  fixture.primary.reply = fixture.replica.reply = gate.hold(Reply{Reply::kError, "72000", 0});
  auto before = fixture.primary.count() + fixture.replica.count();
  auto answered_before = fixture.primary.answers_sent + fixture.replica.answers_sent;
  client.send(pg::simple_query(read_sql("dd", 9000)));
  REQUIRE(eventually([&] { return fixture.primary.count() + fixture.replica.count() == before + 1; }));
  std::promise<void> fetched, client_closed;
  {
    ProxyFixture::PausedLoop paused(fixture, [&](proxy::Proxy& p) {
      p.before_iteration_end = [&, iteration = 0]() mutable {
        if (++iteration != 2) return;  // the first iteration is the paused one
        fetched.set_value();
        client_closed.get_future().wait();
      };
    });
    gate.open();
    REQUIRE(eventually(
        [&] { return fixture.primary.answers_sent + fixture.replica.answers_sent == answered_before + 1; }));
  }
  fetched.get_future().wait();
  client.close();
  client_closed.set_value();
  run_pending_events(fixture);
  fixture.with_proxy([](proxy::Proxy& p) { p.before_iteration_end = [] {}; });
  run_pending_events(fixture);
  fixture.primary.reply = fixture.replica.reply = [](const std::string&) { return Reply{}; };
  CHECK(other.query(write_sql("d2", 9000)).row);
  CHECK(fixture.primary.count() + fixture.replica.count() ==
        before + 2);  // only d2 followed the first attempt of dd
}

TEST_CASE("crossing: a canceller closes its connection right after the CancelRequest") {
  ProxyFixture fixture;
  fixture.primary.reply = [](const std::string&) { return Reply{Reply::kNoAnswer, "", 0}; };
  Client client(fixture.port, false);
  auto key = client.start();
  client.send(pg::simple_query(write_sql("e1", 60000)));
  REQUIRE(eventually([&] { return fixture.primary.count() == 1; }));
  {
    ProxyFixture::PausedLoop paused(fixture);
    Client canceller(fixture.port, false);
    canceller.send(cancel_request(key));
    canceller.close();
  }
  CHECK(client.answer().code == "57014");
}

// ---- attempts -----------------------------------------------------------------------------------------

TEST_CASE("crossing: a repeat's key window ends while its connection comes up") {
  constexpr auto kWindow = 400ms;
  ProxyFixture fixture(200, "", false, [&](app::Config& config) {
    for (auto& c : config.settings.classes) c.key_window = kWindow;
    config.pool.connect_timeout = 10s;
  });
  Client client(fixture.port);
  REQUIRE(client.query(write_sql("m0")).row);
  fixture.primary.reply = [](const std::string&) { return Reply{Reply::kReset, "", 0}; };
  auto before = fixture.primary.count();
  auto connections = fixture.primary.connections.load();
  fixture.primary.hold_greeting = true;
  client.send(pg::simple_query(write_sql("m1", 3000)));
  REQUIRE(eventually([&] { return fixture.primary.count() > before; }));           // it may have run
  REQUIRE(eventually([&] { return fixture.primary.connections > connections; }));  // and is being retried
  std::this_thread::sleep_for(kWindow + 50ms);                                     // the time under test
  // A probe may have left another idle connection, on which a repeat goes out at once, inside the window.
  auto sent_in_window = fixture.primary.count();
  fixture.primary.reply = [](const std::string&) { return Reply{}; };
  fixture.primary.hold_greeting = false;
  auto answer = client.answer();
  CHECK_FALSE(answer.row);
  CHECK(answer.code == "57014");
  CHECK(fixture.primary.count() == sent_in_window);
}

// ---- the proxy closes a connection ---------------------------------------------------------------------

TEST_CASE("crossing: a request arrives as its connection is to be closed for being idle") {
  constexpr std::size_t kDescriptors = 64, kRetained = kDescriptors / 4;
  constexpr auto kTrimInterval = 5ms;  // between two searches for idle clients
  ProxyFixture fixture(kDescriptors);
  std::vector<std::unique_ptr<Client>> clients;
  for (std::size_t i = 0; i < kRetained; ++i) {
    clients.push_back(std::make_unique<Client>(fixture.port));
    REQUIRE(clients.back()->query(read_sql("x" + std::to_string(i))).row);
  }
  std::this_thread::sleep_for(60ms);  // clients with a request in the last 50 ms are not closed
  std::promise<void> fetched, requests_sent;
  Client surplus(fixture.port, false);
  {
    // The request of one client more than the proxy retains is read in the iteration after the paused one,
    // which therefore closes the oldest client.
    ProxyFixture::PausedLoop paused(fixture, [&](proxy::Proxy& p) {
      p.before_iteration_end = [&, iterations = 0]() mutable {
        if (p.clients() <= kRetained) return;
        if (++iterations == 1) return std::this_thread::sleep_for(2 * kTrimInterval);
        if (iterations > 2) return;
        fetched.set_value();
        requests_sent.get_future().wait();
      };
    });
    surplus.send(pg::startup_message("backend", "store") + pg::simple_query(read_sql("y")));
  }
  // The events of the iteration that closes the oldest client are fetched; now all clients send a request.
  fetched.get_future().wait();
  for (std::size_t i = 0; i < clients.size(); ++i)
    REQUIRE(clients[i]->send(pg::simple_query(read_sql("z" + std::to_string(i)))));
  requests_sent.set_value();
  for (auto& client : clients) CHECK(client->answer().row);
  CHECK(surplus.answer().end == 'Z');  // of its startup
  CHECK(surplus.answer().row);
  fixture.with_proxy([](proxy::Proxy& p) { p.before_iteration_end = [] {}; });
  run_pending_events(fixture);
}

// ---- the time for which a client still waits -----------------------------------------------------------

TEST_CASE("crossing: a request that waited to be accepted forwards the remaining timeout") {
  ProxyFixture fixture;
  Client accepted(fixture.port);
  REQUIRE(accepted.query(read_sql("f0")).row);
  std::unique_ptr<Client> waiting_to_be_accepted;
  {
    ProxyFixture::PausedLoop paused(fixture);
    waiting_to_be_accepted = std::make_unique<Client>(fixture.port, false);
    waiting_to_be_accepted->send(pg::startup_message("backend", "store") +
                                 pg::simple_query(write_sql("f1", 1500)));
    accepted.send(pg::simple_query(write_sql("f2", 1500)));
    std::this_thread::sleep_for(500ms);  // the time under test: both requests wait this long
  }
  CHECK(accepted.answer().row);
  CHECK(waiting_to_be_accepted->answer().end == 'Z');  // the greeting
  CHECK(waiting_to_be_accepted->answer().row);
  std::size_t checked = 0;
  for (auto& statement : fixture.primary.statements()) {
    if (!statement.starts_with("INSERT")) continue;
    CHECK(forwarded_timeout(statement) <= 1500 - 500 + 150);
    ++checked;
  }
  CHECK(checked == 2);
}

TEST_CASE("crossing: a request that waited unread behind a large one forwards the remaining timeout") {
  ProxyFixture fixture;
  Client client(fixture.port);
  REQUIRE(client.query(write_sql("g0")).row);
  Gate gate;
  fixture.primary.reply = gate.hold(Reply{});
  auto before = fixture.primary.count();
  auto sent = Clock::now();
  REQUIRE(client.send(pg::simple_query(long_write_sql("g1", "one", 64'000, 3000)) +
                      pg::simple_query(long_write_sql("g2", "two", 64'000, 3000))));
  REQUIRE(eventually([&] { return fixture.primary.count() > before; }));
  std::this_thread::sleep_for(600ms);  // the time under test
  gate.open();
  CHECK(client.answer().row);
  CHECK(client.answer().row);
  auto statements = fixture.primary.statements();
  REQUIRE(statements.size() == before + 2);
  CHECK(forwarded_timeout(statements.back()) <= 3000 - 600 + 150);
  CHECK(Clock::now() - sent < 3s);
}

// ---- shutdown -----------------------------------------------------------------------------------------

TEST_CASE("crossing: a request read after the end of service is rejected at once and not forwarded") {
  ProxyFixture fixture;
  Client pipelining(fixture.port), partial(fixture.port);
  REQUIRE(partial.query(write_sql("h0")).row);
  Gate gate;
  fixture.primary.reply = gate.hold(Reply{});
  auto before = fixture.primary.count() + fixture.replica.count();
  pipelining.send(pg::simple_query(write_sql("h1", 9000)));
  REQUIRE(eventually([&] { return fixture.primary.count() + fixture.replica.count() == before + 1; }));
  auto statement = pg::simple_query(read_sql("h2"));
  REQUIRE(partial.send(statement.substr(0, 40)));
  auto shutdown_began = Clock::now();
  fixture.shut_down_gracefully();
  std::this_thread::sleep_until(shutdown_began + 900ms);  // service ends after 0.7 s
  REQUIRE(partial.send(statement.substr(40)));
  REQUIRE(pipelining.send(pg::simple_query(read_sql("h3"))));
  CHECK(partial.answer().code == "57P03");
  CHECK_FALSE(partial.receive());
  CHECK_FALSE(fixture.ended);
  gate.open();
  CHECK(pipelining.answer().row);
  CHECK(pipelining.answer().code == "57P03");
  CHECK_FALSE(pipelining.receive());
  CHECK(fixture.primary.count() + fixture.replica.count() == before + 1);
  CHECK(eventually([&] { return fixture.ended.load(); }));
}

// ---- discovery ----------------------------------------------------------------------------------------

TEST_CASE("crossing: an unresponsive watch is reopened before the notification deadline") {
  ProxyFixture fixture;
  Client client(fixture.port);
  REQUIRE(client.query(read_sql("i0")).row);
  REQUIRE(eventually([&] { return fixture.discovery.calls >= 2; }));
  Server new_server(true);
  fixture.discovery.stop_answering_open_connections();
  fixture.discovery.set(endpoint_entry("s-n", new_server));
  CHECK(time_until_used(fixture, new_server) < 4500ms);  // the deadline of a notification is 6 s
}

TEST_CASE("crossing: a watch that receives single bytes is reopened before the notification deadline") {
  ProxyFixture fixture;
  Client client(fixture.port);
  REQUIRE(client.query(read_sql("j0")).row);
  fixture.discovery.trickle = true;
  auto calls = fixture.discovery.calls.load();
  REQUIRE(eventually([&] { return fixture.discovery.calls > calls; }));
  Server new_server(true);
  fixture.discovery.set(endpoint_entry("s-n", new_server));
  fixture.discovery.trickle = false;
  fixture.discovery.stop_answering_open_connections();
  CHECK(time_until_used(fixture, new_server) < 4500ms);
}

TEST_CASE("crossing: after SIGHUP, a lost first call leaves time for a second one") {
  ProxyFixture fixture;
  Client client(fixture.port);
  REQUIRE(client.query(read_sql("k0")).row);
  Discovery new_discovery;
  Server new_server(true);
  new_discovery.set(endpoint_entry("s-n", new_server));
  new_discovery.unresponsive = true;
  set_discovery_address(fixture, new_discovery.address());
  REQUIRE(eventually([&] { return new_discovery.calls == 1; }));
  new_discovery.stop_answering_open_connections();
  new_discovery.unresponsive = false;
  CHECK(time_until_used(fixture, new_server) < 3s);  // the deadline after SIGHUP is 4 s
}

TEST_CASE("crossing: a list without a length that ends with a reset is not applied") {
  ProxyFixture fixture;
  Client client(fixture.port);
  REQUIRE(client.query(read_sql("l0")).row);
  Server unlisted(true);
  std::atomic<int> calls{0};
  // The body is a complete list, followed by a reset. Without a length, the proxy cannot know whether the
  // reset has truncated the body.
  ResettingListener truncating_discovery([&](Peer& peer) {
    while (peer.received.find("\r\n\r\n") == std::string::npos)
      if (!peer.receive()) return;
    peer.send("HTTP/1.1 200 OK\r\n\r\n{\"generation\":9,\"reset\":true,\"instances\":[" +
              endpoint_entry("s-w", unlisted) + "]}");
    ++calls;
  });
  set_discovery_address(fixture, truncating_discovery.address());
  REQUIRE(eventually([&] { return calls >= 3; }));
  CHECK(client.query(write_sql("l1", 900)).row);
  CHECK(unlisted.count() == 0);
}

}  // namespace database_proxy::test
