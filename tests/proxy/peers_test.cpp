// Peers that violate the protocol, on real sockets: each gets the answer that the protocol requires, and no
// other client or server is affected.
#include "rig.h"

namespace database_proxy::test {
namespace {

std::string frame(char type, std::uint32_t length, const std::string& body) {
  std::string out(1, type);
  for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>(length >> shift & 0xff));
  return out + body;
}

std::string error_53300() { return pg::error_response("ERROR", "53300", "full"); }

// Keeps the result of one probe.
struct ProbeRecorder : proxy::ServerEvents {
  void attempt_ended(proxy::AttemptEnd) override {}
  void probe_ended(routing::ProbeResult ended) override { result = std::move(ended); }
  proxy::ClientPort* client_of(routing::RequestId) override { return nullptr; }
  void attempt_begins(routing::RequestId, const std::string&) override {}
  std::optional<routing::ProbeResult> result;
};

}  // namespace

TEST_CASE("bad servers: an invalid answer fails the attempt at once, and a read is retried elsewhere") {
  auto valid = row("value") + pg::ready_for_query();
  auto text = GENERATE_COPY(
      as<std::string>{}, "\x01\x02 noise", std::string(5000, 'z'),
      frame('D', 0xC0000000u, std::string(4000, 'x')), frame('T', 3, ""),
      valid.substr(0, valid.size() / 2),                // truncated
      frame('T', 150000, valid),                        // a length that includes all that follows
      valid.substr(0, valid.size() - 6) + "\x05noise",  // noise in place of the end: the row is complete
      error_53300() + "\x01noise", pg::ready_for_query());
  CAPTURE(text.size());
  ProxyFixture fixture;
  fixture.replica.reply = [&](const std::string&) { return Reply{Reply::kRaw, text, 0}; };
  Client client(fixture.port);
  auto before = Clock::now();
  for (int i = 0; i < 3; ++i) {
    auto answer = client.query(read_sql("g" + std::to_string(i), 9000));
    CHECK(answer.row);
    CHECK(answer.value == "value");
  }
  CHECK(Clock::now() - before < 4s);
  CHECK(eventually([&] { return fixture.replica.open_connections <= 1; }));  // one may be kept for a probe
}

TEST_CASE("bad servers: an error code followed by noise proves nothing, so a write is not rejected for it") {
  ProxyFixture fixture;
  fixture.primary.reply = [&](const std::string&) {
    return Reply{Reply::kRaw, error_53300() + "\x01noise", 0};
  };
  fixture.replica.reply = [](const std::string&) { return Reply{Reply::kError, "25006", 0}; };
  Client client(fixture.port);
  auto answer = client.query(write_sql("sw", 800));
  CHECK(answer.end == 'Z');
  CHECK_FALSE(answer.row);
  CHECK_FALSE(answer.code == "53300");
  CHECK(fixture.primary.count() >= 1);
  CHECK(fixture.primary.max_in_flight <= 1);
}

TEST_CASE("bad servers: bytes after a valid answer reach no client, and the connection is not reused") {
  ProxyFixture fixture;
  auto trailing = GENERATE(as<std::string>{}, "\x01noise", row("wrong") + pg::ready_for_query());
  fixture.primary.reply = fixture.replica.reply = [&](const std::string&) {
    return Reply{Reply::kTrailingBytes, trailing, 0};
  };
  Client client(fixture.port);
  for (int i = 0; i < 8; ++i) CHECK(client.query(write_sql("x" + std::to_string(i))).value == "value");
  CHECK(fixture.primary.connections >= 8);
}

TEST_CASE("bad servers: an unreadable load report does not invalidate the answer") {
  ProxyFixture fixture;
  auto text = row("value") + frame('S', 9, "usage") + pg::ready_for_query();
  fixture.primary.reply = fixture.replica.reply = [&](const std::string&) {
    return Reply{Reply::kRaw, text, 0};
  };
  Client client(fixture.port);
  CHECK(client.query(write_sql("u1")).row);
  CHECK(fixture.primary.count() == 1);
}

TEST_CASE("bad clients: silence and an incomplete command end the connection, whatever was sent before") {
  ProxyFixture fixture;
  auto startup = pg::startup_message("backend", "store");
  auto partial = pg::simple_query(read_sql("h1")).substr(0, 40);
  std::vector<std::unique_ptr<Client>> clients;
  for (auto& sent : {std::string(), startup.substr(0, 9), startup, startup + partial,
                     startup + pg::simple_query("SET a = 1") + partial}) {
    clients.push_back(std::make_unique<Client>(fixture.port, false));
    clients.back()->send(sent);
  }
  Client well_behaved(fixture.port);
  CHECK(well_behaved.query(read_sql("h2")).row);
  auto before = Clock::now();
  for (auto& client : clients)
    while (client->receive()) {
    }
  CHECK(Clock::now() - before < 5s);
  CHECK(well_behaved.query(read_sql("h3")).row);  // being idle between requests is allowed
}

TEST_CASE("bad clients: an error arrives although the client keeps sending bytes that are not read") {
  ProxyFixture fixture;
  auto first_bytes = GENERATE(as<std::string>{}, frame('Q', 60'000'000, "INSERT"), frame('Q', 3, ""),
                              frame('Q', 130'000, "DELETE FROM kv"), "\x01noise");
  Client client(fixture.port);
  CHECK(client.send(first_bytes + std::string(8'000'000, 'x')));
  auto answer = client.answer();
  CHECK((answer.code == "08P01" || answer.code == "42601"));
  CHECK(answer.end == 0);
  CHECK(fixture.primary.count() + fixture.replica.count() == 0);
}

TEST_CASE("bad clients: one that requests encryption again and again is rejected") {
  ProxyFixture fixture;
  Client client(fixture.port, false);
  std::string ssl("\0\0\0\x08\x04\xd2\x16\x2f", 8), all;
  for (int i = 0; i < 100; ++i) all += ssl;
  client.send(all);
  while (client.receive()) {
  }
  CHECK(client.received.starts_with("NNNN"));
  CHECK(client.received.find("08P01") != std::string::npos);
}

TEST_CASE("bad clients: a request with the id of an open one is rejected, and the open one continues") {
  ProxyFixture fixture;
  std::atomic<bool> release{false};
  fixture.primary.reply = [&](const std::string&) {
    eventually([&] { return release.load(); });
    return Reply{};
  };
  Client client(fixture.port), other(fixture.port);
  client.send(pg::simple_query(write_sql("same", 9000)));
  REQUIRE(eventually([&] { return fixture.primary.count() == 1; }));
  CHECK(other.query(write_sql("same", 9000)).code == "42710");
  CHECK(fixture.primary.count() == 1);
  release = true;
  CHECK(client.answer().row);
  CHECK(other.query(write_sql("same", 9000)).row);  // the first request has ended: its id is free again
}

TEST_CASE("bad clients: hundreds of silent ones cost no server connection and no well-behaved client") {
  ProxyFixture fixture(64);
  auto query_of_new_client = [&](int i) {
    return Client(fixture.port).query(write_sql("n" + std::to_string(i)));
  };
  REQUIRE(query_of_new_client(0).row);
  auto before = fixture.primary.connections.load();
  std::vector<std::unique_ptr<Client>> silent_clients;
  for (int i = 0; i < 150; ++i) {
    silent_clients.push_back(std::make_unique<Client>(fixture.port, false));
    if (i % 30 == 0) REQUIRE(query_of_new_client(i + 1).row);
  }
  CHECK(query_of_new_client(200).row);
  CAPTURE(fixture.primary.probes.load(), fixture.primary.count(), before);
  CHECK(fixture.primary.connections <= before + 1);  // a probe may have needed one
}

TEST_CASE("buffers release their memory after a large value") {
  int ends[2];
  REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) == 0);
  net::Fd a(ends[0]), b(ends[1]);
  net::InBuffer in;
  std::string value(50'000, 'v');
  REQUIRE(send(a.get(), value.data(), value.size(), 0) == 50'000);
  CHECK(in.fill(b.get(), 1 << 20, 20'000) == net::IoResult::kFull);
  CHECK(in.view().size() == 20'000);
  CHECK(in.fill(b.get(), 1 << 20) == net::IoResult::kAgain);
  CHECK(in.memory() >= 50'000);
  in.consume(50'000);
  CHECK(in.memory() <= 4096);
}

TEST_CASE("loop: a handler passed to again is called in the next iteration, unless it was removed") {
  net::Loop loop;
  struct CountingHandler : net::Handler {
    int calls = 0;
    void on_ready(std::uint32_t) override { ++calls; }
  } registered, removed;
  loop.call_again(&registered);
  loop.call_again(&removed);
  loop.remove(-1, &removed);
  int iterations = 0;
  loop.run([&] {
    if (++iterations == 3) loop.stop();
    if (iterations < 3) loop.at(loop.now(), [] {});
  });
  CHECK(registered.calls == 1);
  CHECK(removed.calls == 0);
}

// ---- effects of a large fleet on one proxy -------------------------------------------------------------

TEST_CASE(
    "fleet: a discovery that rejects calls gets none for the full list, and the last list stays in use") {
  ProxyFixture fixture;
  Client client(fixture.port);
  CHECK(client.query(read_sql("d0", 900)).row);
  auto full_list_calls = fixture.discovery.full_list_calls.load();
  fixture.discovery.calls_to_reject = 4;
  REQUIRE(eventually([&] { return fixture.discovery.calls_to_reject == 0; }));
  CHECK(client.query(read_sql("d1", 900)).row);
  Server new_server(true);
  fixture.discovery.set(endpoint_entry("s-n", new_server));
  CHECK(eventually([&] { return client.query(read_sql("d2", 400)).row && new_server.count() > 0; }));
  CHECK(fixture.discovery.full_list_calls == full_list_calls);
}

TEST_CASE("fleet: with a discovery that is unresponsive from the start, the known list is used") {
  ProxyFixture fixture(200, "", true);
  Client client(fixture.port);
  CHECK(client.query(read_sql("q1", 900)).row);
  CHECK(client.query(write_sql("q2", 900)).row);
  fixture.discovery.unresponsive = false;
}

// Guards against a primary that is taken for unreachable because this machine was short of descriptors.
TEST_CASE("fleet: a probe that lacks a descriptor for a moment is made later and does not fail") {
  for (int shortages : {3, 1 << 20}) {
    Server server(true);
    net::Loop loop;
    ProbeRecorder recorder;
    proxy::ServerPool pool(loop, {}, recorder, [](net::Level, const std::string&) {});
    discovery::EndpointListUpdate list;
    list.endpoints.push_back({});
    list.endpoints[0].id = "s";
    list.endpoints[0].address = server.address();
    pool.update(list);
    pool.has_descriptor = [&shortages] { return shortages-- <= 0; };
    pool.probe("s");
    CHECK_FALSE(recorder.result);
    loop.run([&] {
      pool.start_ready_attempts();
      pool.free_closed();
      if (recorder.result) loop.stop();
    });
    bool ended_in_time = shortages < 0;  // otherwise the shortage lasts longer than a probe
    CHECK(recorder.result->ok == ended_in_time);
  }
}

TEST_CASE("fleet: a server at its connection limit costs one attempt, and a read is retried elsewhere") {
  ProxyFixture fixture;
  fixture.replica.rejects_connections = true;
  Client client(fixture.port);
  for (int i = 0; i < 6; ++i) CHECK(client.query(read_sql("f" + std::to_string(i), 1500)).row);
  CHECK(fixture.replica.count() == 0);
  CHECK(fixture.replica.connections <= 12);  // no connection storm: one attempt per request, and probes
  fixture.replica.rejects_connections = false;
  CHECK(eventually([&] { return client.query(read_sql("g", 900)).row && fixture.replica.count() > 0; }));
}

TEST_CASE("fleet: a full list of mostly new servers, one of them unreachable, moves all requests") {
  ProxyFixture fixture;
  Client client(fixture.port);
  CHECK(client.query(write_sql("w0", 900)).row);
  Server primary(true), one(false), two(false);
  std::string unreachable_entry;
  {
    Server stopped(false);
    unreachable_entry = endpoint_entry("s-x", stopped);  // no longer listening
  }
  fixture.discovery.set(unreachable_entry + "," + endpoint_entry("s-1", one) + "," +
                        endpoint_entry("s-2", two) + "," + endpoint_entry("s-0", primary));
  REQUIRE(eventually([&] { return client.query(write_sql("w", 900)).row && primary.count() > 0; }));
  auto requests_before = fixture.primary.count() + fixture.replica.count();
  for (int i = 0; i < 10; ++i) {
    CHECK(client.query(write_sql("w" + std::to_string(i + 1), 1500)).row);
    CHECK(client.query(read_sql("r" + std::to_string(i), 1500)).row);
  }
  CHECK(fixture.primary.count() + fixture.replica.count() == requests_before);
}

}  // namespace database_proxy::test
