// One test for each rule that the proxy follows, with real sockets.
#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <sstream>

#include "app/logger.h"
#include "discovery_steps.h"
#include "rig.h"

namespace database_proxy::test {

TEST_CASE(
    "clients: after an SSLRequest, the startup message and a query right after it arrive in single bytes") {
  ProxyFixture fixture;
  Client client(fixture.port, false);
  std::string ssl("\0\0\0\x08\x04\xd2\x16\x2f", 8);
  client.send(ssl);
  REQUIRE(client.receive());
  CHECK(client.received == "N");
  client.received.clear();
  auto all = pg::startup_message("backend", "store") + pg::simple_query(read_sql("a1"));
  for (char c : all) client.send(std::string_view(&c, 1));
  CHECK(client.answer().end == 'Z');
  auto answer = client.answer();
  CHECK(answer.row);
  CHECK(answer.value == "value");
}

TEST_CASE("clients: pipelined commands are answered in order, each once") {
  ProxyFixture fixture;
  fixture.primary.reply = fixture.replica.reply = [](const std::string& sql) {
    return Reply{Reply::kRow, sql.substr(sql.find("id="), 5), 0};
  };
  Client client(fixture.port);
  client.send(pg::simple_query(read_sql("p1")) + pg::simple_query("SET x = 1") + pg::simple_query("") +
              pg::simple_query(read_sql("p2")) + pg::simple_query("DELETE FROM kv"));
  CHECK(client.answer().value == "id=p1");
  CHECK(client.answer().tag == "SET");
  CHECK(client.answer().tag == "empty");
  CHECK(client.answer().value == "id=p2");
  CHECK(client.answer().code == "42601");
}

TEST_CASE("clients: pipelined requests are in flight at the same time, and answered in order") {
  ProxyFixture fixture;
  fixture.primary.reply = fixture.replica.reply = [&](const std::string& sql) {
    bool are_concurrent =
        eventually([&] { return fixture.primary.max_in_flight + fixture.replica.max_in_flight >= 3; }, 1s);
    if (sql.find("id=q1") != std::string::npos) std::this_thread::sleep_for(50ms);
    return Reply{Reply::kRow, are_concurrent ? sql.substr(sql.find("id="), 5) : "alone", 0};
  };
  Client client(fixture.port);
  client.send(pg::simple_query(read_sql("q1", 1900)) + pg::simple_query(read_sql("q2", 1900)) +
              pg::simple_query("SET x = 1") + pg::simple_query(read_sql("q3", 1900)) + "\x01noise");
  CHECK(client.answer().value == "id=q1");
  CHECK(client.answer().value == "id=q2");
  CHECK(client.answer().tag == "SET");
  CHECK(client.answer().value == "id=q3");
  CHECK(client.answer().code == "08P01");  // after the answers to the commands before it
}

TEST_CASE(
    "clients: a read after a write of the same key waits for it, some of hundreds at once are rejected") {
  ProxyFixture fixture;
  std::atomic<bool> release{false};
  fixture.primary.reply = [&](const std::string&) {
    eventually([&] { return release.load(); });
    return Reply{};
  };
  Client client(fixture.port);
  client.send(pg::simple_query(write_sql("o1", 4000)) + pg::simple_query(read_sql("o2", 4000)));
  REQUIRE(eventually([&] { return fixture.primary.count() == 1; }));
  std::this_thread::sleep_for(50ms);
  for (auto& statement :
       fixture.replica.statements())  // the write may have been attempted there while no primary was known
    CHECK_FALSE(statement.starts_with("SELECT"));
  release = true;
  CHECK(client.answer().row);
  CHECK(client.answer().row);
  // No read is answered before the proxy has read all of them.
  release = false;
  fixture.replica.reply = fixture.primary.reply = [&](const std::string&) {
    eventually([&] { return release.load(); });
    return Reply{};
  };
  std::thread release_later([&] {
    std::this_thread::sleep_for(1s);
    release = true;
  });
  std::string statements;
  for (int i = 0; i < 300; ++i) statements += pg::simple_query(read_sql("m" + std::to_string(i), 4000));
  client.send(statements);
  int rejected = 0;
  for (int i = 0; i < 300; ++i) rejected += client.answer().code == "53300";
  release_later.join();
  CHECK(rejected > 0);
  CHECK(rejected < 300);
}

TEST_CASE(
    "clients: malformed statements get an SQLSTATE and reach no server, invalid bytes end one connection") {
  ProxyFixture fixture;
  Client client(fixture.port), other(fixture.port);
  for (std::string sql : {"SELECT 1", "select content from kv", "SELECT content FROM kv WHERE name = 'k1'",
                          "SELECT content FROM kv WHERE name = 'k1' /* id=1,c=browse,d=x,cluster=2 */",
                          "SELECT content FROM kv WHERE name = 'k1' /* id=1,c=other,d=9,cluster=2 */",
                          "SELECT content FROM kv WHERE name = 'k1' /* id=1,c=book,d=9,k=1,cluster=2 */",
                          "INSERT INTO kv (name, content) VALUES ('k', 'v') RETURNING content /* "
                          "id=1,c=book,d=9,cluster=2 */"}) {
    auto answer = client.query(sql);
    CHECK(answer.end == 'Z');
    CHECK(answer.code.size() == 5);
    CHECK_FALSE(answer.code == "08P01");
  }
  auto parse = pg::simple_query("");
  parse[0] = 'P';
  auto sync = std::string("S\0\0\0\4", 5);
  client.send(parse + sync);
  CHECK(client.answer().code == "0A000");
  client.send("\x01garbage that is no message");
  auto last = client.answer();
  CHECK(last.code == "08P01");
  CHECK(last.end == 0);
  CHECK(other.query(read_sql("b1")).row);
  CHECK(fixture.primary.count() + fixture.replica.count() == 1);
}

TEST_CASE("servers: statement, id and k are forwarded unchanged, d is the proxy's own timeout") {
  ProxyFixture fixture;
  Client client(fixture.port);
  CHECK(client.query(write_sql("w1", 1500)).row);
  REQUIRE(fixture.primary.count() == 1);
  auto received = fixture.primary.statements()[0], sent = write_sql("w1", 1500);
  auto timeout_begin = sent.find("d=1500") + 2;
  CHECK(received.substr(0, timeout_begin) == sent.substr(0, timeout_begin));
  auto timeout_end = received.find(",k=77");
  CHECK(received.substr(timeout_end) == sent.substr(timeout_begin + 4));
  int timeout = std::stoi(received.substr(timeout_begin, timeout_end - timeout_begin));
  CHECK(timeout > 0);
  CHECK(timeout < 1500);
}

TEST_CASE("servers: a client's short timeout is forwarded nearly in full") {
  ProxyFixture fixture;
  Client client(fixture.port);
  REQUIRE(client.query(write_sql("w0")).row);
  client.query(write_sql("w1", 40));  // may fail, as the machine may be slow
  for (auto& sql : fixture.primary.statements())
    if (auto at = sql.find("id=w1,c=book,d="); at != std::string::npos)
      CHECK(std::stoi(sql.substr(at + 15)) >= 36);
}

TEST_CASE(
    "effects: a write that may have run is never rejected, has one attempt at a time and at most 8 in all") {
  ProxyFixture fixture;
  fixture.primary.reply = [](const std::string&) { return Reply{Reply::kReset, "", 0}; };
  fixture.replica.reply = [](const std::string&) { return Reply{Reply::kError, "25006", 0}; };
  Client client(fixture.port);
  auto answer = client.query(write_sql("w2", 800));
  CHECK(answer.end == 'Z');
  CHECK_FALSE(answer.row);
  CHECK_FALSE(answer.code == "53300");
  CHECK_FALSE(answer.code == "57P03");
  CHECK(fixture.primary.max_in_flight <= 1);
  CHECK(fixture.primary.count() >= 1);
  CHECK(fixture.primary.count() + fixture.replica.count() <= 8);
}

TEST_CASE("answers: a rejection is sent at once, with Retry-After in field D") {
  ProxyFixture fixture;
  fixture.discovery.set("");  // the list has no servers
  Client client(fixture.port);
  REQUIRE(eventually([&] { return fixture.discovery.calls >= 2; }));
  auto answer = client.query(read_sql("r1", 1900));
  CHECK(answer.code == "53300");
  CHECK(std::stoi(answer.detail) > 0);
  CHECK(fixture.primary.count() + fixture.replica.count() == 0);
}

TEST_CASE("answers: with unresponsive servers, the answer still arrives before the client's timeout") {
  ProxyFixture fixture;
  fixture.primary.reply = fixture.replica.reply = [](const std::string&) {
    return Reply{Reply::kNoAnswer, "", 0};
  };
  Client client(fixture.port);
  auto before = Clock::now();
  auto answer = client.query(read_sql("s1", 1500));
  CHECK(Clock::now() - before < 1500ms);
  CHECK(answer.end == 'Z');
  CHECK_FALSE(answer.code.empty());
}

TEST_CASE("clients: a disconnect cancels the attempt in flight") {
  ProxyFixture fixture;
  fixture.primary.reply = fixture.replica.reply = [](const std::string&) {
    return Reply{Reply::kNoAnswer, "", 0};
  };
  Client client(fixture.port);
  client.send(pg::simple_query(write_sql("g1", 60000)));
  REQUIRE(eventually([&] { return fixture.primary.unanswered == 1; }));
  client.close();
  CHECK(eventually([&] { return fixture.primary.unanswered == 0; }));
  CHECK(fixture.primary.count() == 1);
}

TEST_CASE("clients: a CancelRequest ends only the request that its key identifies, with one answer") {
  ProxyFixture fixture;
  fixture.primary.reply = [](const std::string&) { return Reply{Reply::kNoAnswer, "", 0}; };
  Client client(fixture.port, false);
  auto key = client.start();
  client.send(pg::simple_query(write_sql("x1", 60000)));
  REQUIRE(eventually([&] { return fixture.primary.count() == 1; }));
  auto wrong_key = key;
  wrong_key.back() = static_cast<char>(wrong_key.back() + 1);
  for (auto& requested_key : {wrong_key, key}) {
    Client canceller(fixture.port, false);
    canceller.send(cancel_request(requested_key));
    CHECK_FALSE(canceller.receive());
    CHECK(fixture.primary.open_connections >= (requested_key == key ? 0 : 1));
  }
  CHECK(client.answer().code == "57014");
  CHECK(eventually([&] { return fixture.primary.in_flight == 0; }));
  CHECK(client.query("SET a = 1").tag == "SET");
}

TEST_CASE("reads: one that a replica declines because it lags too far is retried on another server") {
  ProxyFixture fixture;
  fixture.replica.reply = [](const std::string&) { return Reply{Reply::kError, "72000", unix_ms() - 5000}; };
  Client client(fixture.port);
  auto answer = client.query(read_sql("f1", 1900));
  CHECK(answer.row);
  CHECK(fixture.primary.count() == 1);
}

TEST_CASE("draining: no new requests later than 1 s after the notification") {
  ProxyFixture fixture;
  Client client(fixture.port);
  REQUIRE(client.query(read_sql("d0")).row);
  fixture.discovery.set(endpoint_entry("s-p", fixture.primary) + "," +
                        endpoint_entry("s-r", fixture.replica, "draining"));
  auto calls_before = fixture.discovery.calls.load();
  REQUIRE(eventually([&] { return fixture.discovery.calls >= calls_before + 2; }));
  std::this_thread::sleep_for(1s);
  auto before = fixture.replica.count();
  for (int i = 1; i <= 5; ++i) CHECK(client.query(read_sql("d" + std::to_string(i), 1900)).row);
  CHECK(fixture.replica.count() == before);
}

TEST_CASE("values: 64 KiB are forwarded in full, also to a client that reads late") {
  ProxyFixture fixture;
  std::string value(65536, '\0');
  for (std::size_t i = 0; i < value.size(); ++i) value[i] = static_cast<char>(i * 7);
  fixture.primary.reply = fixture.replica.reply = [&](const std::string&) {
    return Reply{Reply::kRow, value, 0};
  };
  Client client(fixture.port);
  std::string all;
  for (int i = 0; i < 30; ++i) all += pg::simple_query(read_sql("v" + std::to_string(i), 8000));
  client.send(all);
  CHECK(eventually([&] { return fixture.primary.count() + fixture.replica.count() >= 10; }));
  for (int i = 0; i < 30; ++i) {
    auto answer = client.answer();
    REQUIRE(answer.row);
    REQUIRE(answer.value == value);
  }
  std::string big = "INSERT INTO kv (name, content) VALUES ('k1', '\\x" + std::string(131072, 'a') +
                    "') RETURNING content /* id=v1,c=book,d=4000,k=7,cluster=2 */";
  CHECK(client.query(big).value == value);
}

TEST_CASE("values: a truncated one never reaches the client, and the read is retried on another server") {
  ProxyFixture fixture;
  std::string value(40000, 'h');
  fixture.replica.reply = [&](const std::string&) { return Reply{Reply::kTruncated, value, 0}; };
  fixture.primary.reply = [&](const std::string&) { return Reply{Reply::kRow, value, 0}; };
  Client client(fixture.port);
  for (int i = 0; i < 3; ++i) {
    auto answer = client.query(read_sql("h" + std::to_string(i), 1900));
    CHECK(answer.end == 'Z');
    CHECK((answer.row ? answer.value == value : !answer.code.empty()));
  }
  CHECK(fixture.primary.count() + fixture.replica.count() > 0);
}

TEST_CASE(
    "facade: an attempt whose client disconnects before it is fetched does not stay in flight for ever") {
  ProxyFixture fixture;
  net::Loop loop;
  auto now = loop.now();
  routing::DecisionFacade facade(fixture.config.settings, 1, routing::UnixClock::measured(),
                                 [](const std::string&) {});
  facade.update(now, fixture.config.known);
  for (auto name : {"s-p", "s-r"})
    facade.report(
        now, routing::ProbeResult{name, true, routing::Micros(1000),
                                  fmt::format("x0={},x1={}", double(unix_ms()) / 1000, *(name + 2) == 'p')});
  // Each write is reset by the primary; the module decides on a retry, and the client disconnects before that
  // decision is fetched.
  int attempts = 0;
  for (routing::RequestId id = 1; id <= 400; ++id) {
    auto at = now + routing::Micros(id * 40000);
    routing::Request request;
    request.id = id;
    request.request_class = facade.find_class("book")->index;
    request.shard_group = 2;
    request.expires = at + routing::Micros(3'000'000);
    auto decision = facade.pick(at, request);
    if (decision.kind == routing::Decision::Kind::kSend) {
      ++attempts;
      routing::AttemptResult result;
      result.request = id;
      result.server = decision.server;
      result.outcome = routing::AttemptOutcome::kReset;
      result.duration = routing::Micros(100);
      result.role = routing::ServerRole::kPrimary;
      facade.report(at, result);
    }
    facade.on_client_disconnected(at, id);
    facade.tick(at);
  }
  CHECK(attempts > 200);
}

TEST_CASE("endpoints: servers that are added and removed over a long time leave no state behind") {
  ProxyFixture fixture;
  Client client(fixture.port);
  REQUIRE(client.query(write_sql("l0")).row);
  net::Loop loop;
  routing::DecisionFacade facade(fixture.config.settings, 1, routing::UnixClock::measured(),
                                 [](const std::string&) {});
  auto now = loop.now();
  for (int i = 0; i < 2000; ++i, now += routing::Micros(1'000'000)) {
    discovery::EndpointListUpdate update;
    discovery::Endpoint endpoint;
    endpoint.id = "s-" + std::to_string(i);
    endpoint.address = fixture.primary.address();
    endpoint.shard_group = 2;
    update.endpoints.push_back(endpoint);
    endpoint.id = "s-" + std::to_string(i - 10);
    endpoint.lifecycle = discovery::Lifecycle::kRemoved;
    update.endpoints.push_back(endpoint);
    facade.update(now, update);
    facade.report(now, routing::ProbeResult{endpoint.id, false, routing::Micros(1000), ""});
  }
  CHECK(facade.ready());
  CHECK(facade.servers_known() < 200);
  CHECK(facade.members_known() < 200);
  std::size_t known = 0;
  for (int i = 0; i < 50; ++i) {
    fixture.with_proxy([&](proxy::Proxy& p) {
      discovery::EndpointListUpdate update;
      discovery::Endpoint endpoint;
      endpoint.id = "s-" + std::to_string(i);
      endpoint.address = fixture.primary.address();
      endpoint.shard_group = 2;
      update.endpoints.push_back(endpoint);
      p.pool().update(update);
      update.endpoints[0].lifecycle = discovery::Lifecycle::kRemoved;
      p.pool().update(update);
      known = p.pool().servers_known();
    });
  }
  CHECK(known <= 2);
}

TEST_CASE("connections: reused between requests, and closed before the server's idle limit") {
  ProxyFixture fixture(200, R"(,"Extra":{"New":1})");
  Client client(fixture.port);
  for (int i = 0; i < 6; ++i) REQUIRE(client.query(write_sql("c" + std::to_string(i))).row);
  CHECK(fixture.primary.connections <= 2);  // a probe may have needed the second
  CHECK(fixture.config.pool.idle < 30s);
}

TEST_CASE("discovery: closed connections are reopened, and a full list replaces the old one") {
  ProxyFixture fixture;
  fixture.discovery.calls_to_cut = 3;
  REQUIRE(eventually([&] { return fixture.discovery.calls_to_cut == 0; }));
  Server new_server(true);
  fixture.discovery.set(endpoint_entry("s-n", new_server));
  Client client(fixture.port);
  CHECK(eventually([&] { return client.query(read_sql("n1", 400)).row && new_server.count() > 0; }));
}

TEST_CASE("discovery: a new address takes effect once it has sent its list, whatever the list's version") {
  ProxyFixture fixture;
  Client client(fixture.port);
  for (int i = 0; i < 9; ++i) fixture.discovery.set(endpoint_entry("s-p", fixture.primary));
  Discovery new_discovery, failing_discovery;
  Server new_server(true);
  new_discovery.set(endpoint_entry("s-n", new_server));  // its version is far lower than the old one's
  failing_discovery.calls_to_cut = 1 << 20;
  // It sends no list: the old address stays in effect.
  set_discovery_address(fixture, failing_discovery.address());
  REQUIRE(eventually([&] { return failing_discovery.calls >= 2; }));
  Server old_address_server(true);
  fixture.discovery.set(endpoint_entry("s-l", old_address_server));
  CHECK(eventually([&] { return client.query(read_sql("o1", 400)).row && old_address_server.count() > 0; }));
  set_discovery_address(fixture, new_discovery.address());
  CHECK(eventually([&] { return client.query(read_sql("o2", 400)).row && new_server.count() > 0; }));
  auto old_calls = fixture.discovery.calls.load();
  set_discovery_address(fixture, new_discovery.address());  // unchanged address: the watch continues
  Server changed_server(true);
  new_discovery.set(endpoint_entry("s-q", changed_server));  // sent as a change on the same watch
  CHECK(eventually([&] { return client.query(read_sql("o3", 400)).row && changed_server.count() > 0; }));
  CHECK(fixture.discovery.calls == old_calls);
  set_discovery_address(fixture, fixture.discovery.address());  // back to the first address
  CHECK(eventually([&] { return fixture.discovery.calls > old_calls; }));
}

TEST_CASE("descriptors: idle clients are closed in favour of new ones") {
  ProxyFixture fixture(40);
  std::vector<std::unique_ptr<Client>> idle;
  for (int i = 0; i < 40; ++i) idle.push_back(std::make_unique<Client>(fixture.port));
  CHECK(idle.back()->query(read_sql("e1", 1900)).row);
}

TEST_CASE("descriptors: clients that stay after one request are closed long before the limit, oldest first") {
  ProxyFixture fixture(200);
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 60; ++i) {
    clients.push_back(std::make_unique<Client>(fixture.port));
    REQUIRE(clients.back()->query(read_sql("k" + std::to_string(i), 1900)).row);
  }
  std::this_thread::sleep_for(100ms);
  Client last(fixture.port);
  REQUIRE(last.query(read_sql("k60", 1900)).row);
  auto has_ended = [](Client& client) {
    pollfd p{client.fd(), POLLIN, 0};
    return poll(&p, 1, 0) == 1;
  };
  CHECK(eventually([&] { return has_ended(*clients[0]) && has_ended(*clients[5]); }));
  CHECK_FALSE(has_ended(*clients[59]));
  CHECK(last.query(read_sql("k61", 1900)).row);
}

TEST_CASE("shutdown: accepted requests and new connections are answered, then the proxy ends by itself") {
  ProxyFixture fixture;
  std::atomic<bool> release{false};
  fixture.primary.reply = [&](const std::string&) {
    eventually([&] { return release.load(); });
    return Reply{};
  };
  Client client(fixture.port), idle(fixture.port);
  client.send(pg::simple_query(write_sql("t1", 9000)));
  REQUIRE(eventually([&] { return fixture.primary.count() == 1; }));
  fixture.shut_down_gracefully();
  Client new_client(fixture.port);
  CHECK(new_client.query(read_sql("t2")).row);
  CHECK_FALSE(idle.receive());  // closed between requests
  CHECK_FALSE(fixture.ended);
  release = true;
  CHECK(client.answer().row);
  CHECK(eventually([&] { return fixture.ended.load(); }));
}

TEST_CASE("readiness: the empty query waits until a server is known") {
  ProxyFixture fixture;
  auto text = config_text(fixture.discovery.address(), R"({"generation":0,"reset":true,"instances":[]})");
  auto config = app::parse_config(text);
  net::Loop loop;
  routing::DecisionFacade facade(config.settings, 1, routing::UnixClock::measured(),
                                 [](const std::string&) {});
  CHECK_FALSE(facade.ready());
  facade.update(loop.now(), discovery::parse_endpoint_list(fixture.discovery.list()));
  CHECK(facade.ready());
}

TEST_CASE("logging: an unread pipe blocks nothing, and a flood of lines is cut off") {
  int ends[2];
  REQUIRE(pipe2(ends, O_CLOEXEC) == 0);
  net::Fd out(ends[0]), in(ends[1]);
  fcntl(in.get(), F_SETPIPE_SZ, 4096);
  app::Logger logger("t", {}, in.get());
  for (int i = 0; i < 1000; ++i) logger.write(net::Level::kInfo, std::string(300, 'x') + "\nsecond line");
  logger.flush();
  char output[65536];
  auto n = read(out.get(), output, sizeof output);
  REQUIRE(n > 0);
  std::istringstream text(std::string(output, static_cast<std::size_t>(n)));
  int lines = 0;
  for (std::string line; std::getline(text, line); ++lines) {
    // If the writing thread ran late, the oldest lines were dropped, and the next line reports that.
    if (auto note = line.find(" ("); note != std::string::npos) {
      CHECK(line.ends_with(" lines dropped before this one)"));
      line.resize(note);
    }
    CHECK(line.ends_with("t info " + std::string(300, 'x') + "?second line"));
  }
  CHECK(lines >= 1);
  CHECK(lines <= 40);
}

}  // namespace database_proxy::test
