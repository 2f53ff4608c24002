// Peers that break the protocol, each on real sockets: what they are owed, and that nobody else is harmed.
#include "rig.h"

namespace database_proxy::test {
namespace {

std::string frame(char type, std::uint32_t length, const std::string& body) {
  std::string out(1, type);
  for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>(length >> shift & 0xff));
  return out + body;
}

std::string error_53300() { return pg::error_response("ERROR", "53300", "full"); }

}  // namespace

TEST_CASE("bad servers: a spoilt answer is a failed attempt, over at once, and a read goes on elsewhere") {
  auto good = row("value") + pg::ready_for_query();
  auto text = GENERATE_COPY(
      as<std::string>{}, "\x01\x02 noise", std::string(5000, 'z'),
      frame('D', 0xC0000000u, std::string(4000, 'x')), frame('T', 3, ""),
      good.substr(0, good.size() / 2),                // stops short
      frame('T', 150000, good),                       // a length that swallows all that follows
      good.substr(0, good.size() - 6) + "\x05noise",  // noise in place of the end: the row is whole
      error_53300() + "\x01noise", pg::ready_for_query());
  CAPTURE(text.size());
  Rig rig;
  rig.replica.reply = [&](const std::string&) { return Reply{Reply::kRaw, text, 0}; };
  Client client(rig.port);
  auto before = Clock::now();
  for (int i = 0; i < 3; ++i) {
    auto answer = client.query(read_sql("g" + std::to_string(i), 9000));
    CHECK(answer.row);
    CHECK(answer.value == "value");
  }
  CHECK(Clock::now() - before < 4s);
  CHECK(soon([&] { return rig.replica.open <= 1; }));  // one may be kept for a probe
}

TEST_CASE("bad servers: an error code with noise behind it proves nothing, so a write is not refused by it") {
  Rig rig;
  rig.primary.reply = [&](const std::string&) { return Reply{Reply::kRaw, error_53300() + "\x01noise", 0}; };
  rig.replica.reply = [](const std::string&) { return Reply{Reply::kError, "25006", 0}; };
  Client client(rig.port);
  auto answer = client.query(write_sql("sw", 800));
  CHECK(answer.end == 'Z');
  CHECK_FALSE(answer.row);
  CHECK_FALSE(answer.code == "53300");
  CHECK(rig.primary.count() >= 1);
  CHECK(rig.primary.most_out <= 1);
}

TEST_CASE("bad servers: what stands behind a good answer reaches nobody, that connection is not used again") {
  Rig rig;
  auto behind = GENERATE(as<std::string>{}, "\x01noise", row("wrong") + pg::ready_for_query());
  rig.primary.reply = rig.replica.reply = [&](const std::string&) {
    return Reply{Reply::kBehind, behind, 0};
  };
  Client client(rig.port);
  for (int i = 0; i < 8; ++i) CHECK(client.query(write_sql("x" + std::to_string(i))).value == "value");
  CHECK(rig.primary.connections >= 8);
}

TEST_CASE("bad servers: a report that cannot be read spoils only the report") {
  Rig rig;
  auto text = row("value") + frame('S', 9, "usage") + pg::ready_for_query();
  rig.primary.reply = rig.replica.reply = [&](const std::string&) { return Reply{Reply::kRaw, text, 0}; };
  Client client(rig.port);
  CHECK(client.query(write_sql("u1")).row);
  CHECK(rig.primary.count() == 1);
}

TEST_CASE("bad clients: silence and half a command are ended, whatever was sent before") {
  Rig rig;
  auto startup = pg::startup_message("backend", "store");
  auto half = pg::simple_query(read_sql("h1")).substr(0, 40);
  std::vector<std::unique_ptr<Client>> clients;
  for (auto& sent : {std::string(), startup.substr(0, 9), startup, startup + half,
                     startup + pg::simple_query("SET a = 1") + half}) {
    clients.push_back(std::make_unique<Client>(rig.port, false));
    clients.back()->send(sent);
  }
  Client usual(rig.port);
  CHECK(usual.query(read_sql("h2")).row);
  auto before = Clock::now();
  for (auto& client : clients)
    while (client->more()) {
    }
  CHECK(Clock::now() - before < 5s);
  CHECK(usual.query(read_sql("h3")).row);  // idle between requests is no fault
}

TEST_CASE("bad clients: an error arrives although the client goes on sending what is not read") {
  Rig rig;
  auto begun = GENERATE(as<std::string>{}, frame('Q', 60'000'000, "INSERT"), frame('Q', 3, ""),
                        frame('Q', 130'000, "DELETE FROM kv"), "\x01noise");
  Client client(rig.port);
  CHECK(client.send(begun + std::string(8'000'000, 'x')));
  auto answer = client.answer();
  CHECK((answer.code == "08P01" || answer.code == "42601"));
  CHECK(answer.end == 0);
  CHECK(rig.primary.count() + rig.replica.count() == 0);
}

TEST_CASE("bad clients: one that asks for encryption again and again is turned away") {
  Rig rig;
  Client client(rig.port, false);
  std::string ssl("\0\0\0\x08\x04\xd2\x16\x2f", 8), all;
  for (int i = 0; i < 100; ++i) all += ssl;
  client.send(all);
  while (client.more()) {
  }
  CHECK(client.in.starts_with("NNNN"));
  CHECK(client.in.find("08P01") != std::string::npos);
}

TEST_CASE("bad clients: the id of an open request is turned away, and that request goes on") {
  Rig rig;
  std::atomic<bool> release{false};
  rig.primary.reply = [&](const std::string&) {
    soon([&] { return release.load(); });
    return Reply{};
  };
  Client client(rig.port), other(rig.port);
  client.send(pg::simple_query(write_sql("same", 9000)));
  REQUIRE(soon([&] { return rig.primary.count() == 1; }));
  CHECK(other.query(write_sql("same", 9000)).code == "42710");
  CHECK(rig.primary.count() == 1);
  release = true;
  CHECK(client.answer().row);
  CHECK(other.query(write_sql("same", 9000)).row);  // over: the name is free again
}

TEST_CASE("bad clients: hundreds that say nothing cost no connection to a data server and no usual client") {
  Rig rig(64);
  auto usual = [&](int i) { return Client(rig.port).query(write_sql("n" + std::to_string(i))); };
  REQUIRE(usual(0).row);
  auto before = rig.primary.connections.load();
  std::vector<std::unique_ptr<Client>> silent;
  for (int i = 0; i < 150; ++i) {
    silent.push_back(std::make_unique<Client>(rig.port, false));
    if (i % 30 == 0) REQUIRE(usual(i + 1).row);
  }
  CHECK(usual(200).row);
  CAPTURE(rig.primary.probes.load(), rig.primary.count(), before);
  CHECK(rig.primary.connections <= before + 1);  // a probe may have needed one
}

TEST_CASE("buffers give their memory back after a large value") {
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

TEST_CASE("loop: what asked to go on is called in the next turn, unless it has gone") {
  net::Loop loop;
  struct Counts : net::Handler {
    int calls = 0;
    void on_ready(std::uint32_t) override { ++calls; }
  } stays, goes;
  loop.call_again(&stays);
  loop.call_again(&goes);
  loop.remove(-1, &goes);
  int turns = 0;
  loop.run([&] {
    if (++turns == 3) loop.stop();
    if (turns < 3) loop.at(loop.now(), [] {});
  });
  CHECK(stays.calls == 1);
  CHECK(goes.calls == 0);
}

// ---- what a large fleet does to one proxy --------------------------------------------------------------

TEST_CASE("fleet: a discovery that refuses is not asked for the whole list, and the last list serves on") {
  Rig rig;
  Client client(rig.port);
  CHECK(client.query(read_sql("d0", 900)).row);
  auto wholes = rig.discovery.wholes.load();
  rig.discovery.refusals = 4;
  REQUIRE(soon([&] { return rig.discovery.refusals == 0; }));
  CHECK(client.query(read_sql("d1", 900)).row);
  Server fresh(true);
  rig.discovery.set(entry("s-n", fresh));
  CHECK(soon([&] { return client.query(read_sql("d2", 400)).row && fresh.count() > 0; }));
  CHECK(rig.discovery.wholes == wholes);
}

TEST_CASE("fleet: with a discovery that is silent from the start, the known list serves") {
  Rig rig(200, "", true);
  Client client(rig.port);
  CHECK(client.query(read_sql("q1", 900)).row);
  CHECK(client.query(write_sql("q2", 900)).row);
  rig.discovery.silent = false;
}

TEST_CASE(
    "fleet: a server whose table of connections is full costs one attempt, and a read goes on elsewhere") {
  Rig rig;
  rig.replica.full = true;
  Client client(rig.port);
  for (int i = 0; i < 6; ++i) CHECK(client.query(read_sql("f" + std::to_string(i), 1500)).row);
  CHECK(rig.replica.count() == 0);
  CHECK(rig.replica.connections <= 12);  // it is not stormed: one attempt a request, and probes
  rig.replica.full = false;
  CHECK(soon([&] { return client.query(read_sql("g", 900)).row && rig.replica.count() > 0; }));
}

TEST_CASE("fleet: a whole list in which most servers are new, with one that refuses, moves all work") {
  Rig rig;
  Client client(rig.port);
  CHECK(client.query(write_sql("w0", 900)).row);
  Server primary(true), one(false), two(false);
  std::string on_client_disconnected;
  {
    Server dead(false);
    on_client_disconnected = entry("s-x", dead);  // nobody listens there any more
  }
  rig.discovery.set(on_client_disconnected + "," + entry("s-1", one) + "," + entry("s-2", two) + "," +
                    entry("s-0", primary));
  REQUIRE(soon([&] { return client.query(write_sql("w", 900)).row && primary.count() > 0; }));
  auto old = rig.primary.count() + rig.replica.count();
  for (int i = 0; i < 10; ++i) {
    CHECK(client.query(write_sql("w" + std::to_string(i + 1), 1500)).row);
    CHECK(client.query(read_sql("r" + std::to_string(i), 1500)).row);
  }
  CHECK(rig.primary.count() + rig.replica.count() == old);
}

}  // namespace database_proxy::test
