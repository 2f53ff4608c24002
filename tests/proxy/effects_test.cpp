// A write that may have run does not run again when it comes again under its id, and nothing is sent for a
// client that has left.
#include "handover/shared_memory_file.h"
#include "proxy/effect_memory.h"
#include "rig.h"

namespace database_proxy::test {
namespace {

using proxy::EffectMemory;
using request_router::Effect;

std::size_t count_writes(Server& server) {
  auto statements = server.statements();
  return static_cast<std::size_t>(std::count_if(statements.begin(), statements.end(),
                                                [](auto& text) { return text.starts_with("INSERT"); }));
}

// Makes a server answer once open() is called, and as long as it waits for at most 8 s.
class HeldServers {
 public:
  explicit HeldServers(ProxyFixture& fixture) {
    fixture.primary.reply = fixture.replica.reply = [this](const std::string&) {
      eventually([&] { return is_open_.load(); });
      return Reply{};
    };
  }
  ~HeldServers() { open(); }
  void open() { is_open_ = true; }

 private:
  std::atomic<bool> is_open_{false};
};

}  // namespace

// Guards against a write that is out running a second time, when its client leaves and its id comes again.
TEST_CASE("effects: a write whose client has left does not run again under its id") {
  auto effect = GENERATE(Effect::kKeyed, Effect::kUnsafe);
  ProxyFixture fixture(200, "", false, [effect](app::Config& config) {
    for (auto& c : config.settings.classes)
      if (c.effect == Effect::kKeyed) c.effect = effect;
  });
  Client other(fixture.port);
  REQUIRE(other.query(write_sql("e0")).row);
  HeldServers servers(fixture);
  auto before = fixture.primary.count();
  {
    Client client(fixture.port);
    client.send(pg::simple_query(write_sql("e1", 4000)));
    REQUIRE(eventually([&] { return fixture.primary.count() == before + 1; }));
    other.send(pg::simple_query(write_sql("e1", 4000)));
    CHECK(other.answer().code == "42710");  // while it is out
  }
  std::this_thread::sleep_for(50ms);  // the proxy learns that the client has left
  CHECK(other.query(write_sql("e1", 4000)).code == "42710");
  servers.open();
  CHECK(other.query(write_sql("e1", 4000)).code == "42710");
  CHECK(other.query(write_sql("e2", 4000)).row);
  CHECK(fixture.primary.count() == before + 2);
}

// Guards against a request that never ran being taken for one that may have.
TEST_CASE("effects: a read may come again under its id") {
  ProxyFixture fixture;
  Client client(fixture.port);
  CHECK(client.query(read_sql("r1")).row);
  CHECK(client.query(read_sql("r1")).row);
}

// Guards against a command that waits behind a full buffer, with the end of the connection behind it, being
// sent when an earlier answer makes room.
TEST_CASE("effects: a write behind a full buffer is not sent after its client has left") {
  ProxyFixture fixture;
  Client other(fixture.port);
  REQUIRE(other.query(write_sql("b0")).row);
  HeldServers servers(fixture);
  auto before = count_writes(fixture.primary);
  std::string commands;
  for (int i = 0; i < 60; ++i)  // each waits for the one before it, which is of the same key
    commands += pg::simple_query(long_write_sql("w" + std::to_string(i), "k1", 4096, 7000));
  {
    Client client(fixture.port);
    REQUIRE(client.send(commands));
    REQUIRE(eventually([&] { return count_writes(fixture.primary) == before + 1; }));
  }
  std::this_thread::sleep_for(200ms);  // the time under test: 0.1 s is allowed
  servers.open();
  CHECK(other.query(write_sql("b1", 3000)).row);
  std::this_thread::sleep_for(200ms);
  CHECK(count_writes(fixture.primary) == before + 2);
}

// Guards against a client that sends much at once, and stays, being taken for gone.
TEST_CASE("effects: a client that sends more than is read from it is served") {
  ProxyFixture fixture;
  Client client(fixture.port);
  REQUIRE(client.query(write_sql("c0")).row);
  std::string commands;
  constexpr int kWrites = 100;
  for (int i = 0; i < kWrites; ++i)
    commands += pg::simple_query(long_write_sql("w" + std::to_string(i), "k1", 4096, 7000));
  std::thread sender([&] { client.send(commands); });
  int served = 0;
  for (int i = 0; i < kWrites; ++i) served += client.answer().row;
  sender.join();
  CHECK(served == kWrites);
}

TEST_CASE("effects: the memory forgets a name after its lifetime, and the oldest ones when it is full") {
  using std::chrono::microseconds;
  EffectMemory memory;
  const microseconds start{1'000'000};
  CHECK_FALSE(memory.contains("a", start));
  CHECK(memory.record("a", start));
  CHECK_FALSE(memory.record("a", start + 1s));
  CHECK(memory.contains("a", start + EffectMemory::kLifetime - 1us));
  CHECK_FALSE(memory.contains("a", start + EffectMemory::kLifetime));
  memory.forget("a", start + 1s);
  CHECK(memory.record("a", start + 1s));
  constexpr int kMany = 200'000;
  for (int i = 0; i < kMany; ++i) REQUIRE(memory.record("n" + std::to_string(i), start + microseconds(i)));
  CHECK(memory.contains("n" + std::to_string(kMany - 1), start + microseconds(kMany)));
  CHECK_FALSE(memory.contains("n0", start + microseconds(kMany)));
}

TEST_CASE("effects: processes that open the memory file of one name share what is recorded") {
  auto name = "database-proxy-test-" + std::to_string(getpid());
  auto open = [&] { return handover::open_shared_memory_file(name, EffectMemory::size_in_bytes()); };
  auto first_file = open();
  REQUIRE(first_file);
  EffectMemory first(std::move(first_file)), second(open());
  CHECK(first.record("w1", 1s));
  CHECK(second.contains("w1", 2s));
  CHECK_FALSE(second.record("w1", 2s));
  CHECK_FALSE(second.contains("w2", 2s));
}

}  // namespace database_proxy::test
