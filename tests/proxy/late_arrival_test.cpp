// A statement that its server reads slowly must not become complete there after the proxy has given it up:
// the server would run it then, whatever its client was told.
#include "rig.h"

namespace database_proxy::test {
namespace {

constexpr std::size_t kLongValue = 64'000;

// A primary with a small receive buffer that may read long statements slowly.
class SlowPrimary {
 public:
  SlowPrimary() : listener_([this](Peer& peer) { serve(peer); }, kReceiveBuffer) {}

  std::atomic<int> reading_ms{0};  // the time over which a long statement is read
  // While above 0, the next long write runs and is not answered; long ones are read over this time then.
  std::atomic<int> disconnect_and_read_ms{0};
  std::atomic<int> short_writes{0};
  std::atomic<int> begun{0}, complete{0}, ended_early{0};  // statements with a long value
  std::string entry() const {
    return "{\"instanceId\":\"s-slow\",\"hostPort\":\"" + listener_.address() +
           "\",\"zone\":\"a\",\"cell\":2,\"lifecycle\":\"up\",\"startedAtMs\":0}";
  }

 private:
  static constexpr int kReceiveBuffer = 4096, kPieces = 40;
  static constexpr std::size_t kHeader = 5, kShort = 1000;

  void serve(Peer& peer) {
    pg::FirstMessage first;
    while (pg::parse_first_message(peer.received, &first) != pg::ParseStatus::kOk)
      if (!peer.receive()) return;
    peer.send(pg::greeting(1, 2));
    while (auto statement = read_statement(peer)) {
      if (statement->starts_with("SHOW")) {
        peer.send(row("x0=" + std::to_string(unix_ms() / 1000.0) + ",x1=1") + pg::ready_for_query());
        continue;
      }
      bool is_long = statement->size() > kShort;
      short_writes += !is_long;
      if (is_long && disconnect_and_read_ms > 0) {
        reading_ms = disconnect_and_read_ms.exchange(0);
        return;
      }
      peer.send(row("value") + pg::ready_for_query());
    }
  }
  std::optional<std::string> read_statement(Peer& peer) {
    std::string header;
    if (!read_exactly(peer, kHeader, &header)) return std::nullopt;
    std::size_t size = 0;
    for (std::size_t i = 1; i < kHeader; ++i) size = size * 256 + static_cast<unsigned char>(header[i]);
    size -= kHeader - 1;
    std::string text;
    bool is_long = size > kShort;
    begun += is_long;
    auto began = Clock::now();
    for (int piece = 1; piece <= kPieces; ++piece) {
      if (is_long)
        std::this_thread::sleep_until(began + piece * std::chrono::milliseconds(reading_ms) / kPieces);
      if (read_exactly(peer, size * piece / kPieces, &text)) continue;
      ended_early += is_long;
      return std::nullopt;
    }
    complete += is_long;
    return text;
  }
  static bool read_exactly(Peer& peer, std::size_t size, std::string* text) {
    while (text->size() < size) {
      char chunk[4096];
      auto n = recv(peer.fd(), chunk, std::min(sizeof chunk, size - text->size()), 0);
      if (n <= 0) return false;
      text->append(chunk, static_cast<std::size_t>(n));
    }
    return true;
  }

  TestListener listener_;
};

struct SlowPrimaryFixture {
  explicit SlowPrimaryFixture(std::chrono::milliseconds key_window = 5s)
      : proxy(std::make_unique<ProxyFixture>(200, "", false, [&](app::Config& config) {
          for (auto& c : config.settings.classes) c.key_window = key_window;
        })) {
    proxy->discovery.set(primary.entry());
    Client client(proxy->port);
    int number = 0;
    REQUIRE(eventually([&] {
      client.query(write_sql("i" + std::to_string(number++), 500));
      return primary.short_writes > 0;
    }));
  }
  // Waits until the outcome of the statement that is being read slowly is certain.
  void wait_until_read() {
    REQUIRE(eventually([&] { return primary.complete + primary.ended_early == primary.begun; }));
  }

  SlowPrimary primary;
  std::unique_ptr<ProxyFixture> proxy;
};

}  // namespace

// Guards against a repeat that begins within its key's window and becomes complete after it, when the server
// has forgotten the key and applies the write again.
TEST_CASE("late arrival: a repeat that its server reads slowly does not arrive after its key's window") {
  constexpr auto kWindow = 1000ms;
  SlowPrimaryFixture fixture(kWindow);
  Client client(fixture.proxy->port);
  fixture.primary.disconnect_and_read_ms = 1080;
  auto statement = pg::simple_query(long_write_sql("r1", "one", kLongValue, 3000));
  auto began = Clock::now();
  client.send(statement);
  auto answer = client.answer();
  CHECK(answer.code == "57014");
  CHECK(Clock::now() - began < kWindow + kSocketSlack);
  fixture.wait_until_read();
  CHECK(fixture.primary.begun >= 2);
  CHECK(fixture.primary.complete == 1);
}

// Guards against withdrawing what arrives in time.
TEST_CASE("late arrival: a repeat that its server reads slowly, and within the window, is served") {
  SlowPrimaryFixture fixture(2000ms);
  Client client(fixture.proxy->port);
  fixture.primary.disconnect_and_read_ms = 1000;
  client.send(pg::simple_query(long_write_sql("s1", "one", kLongValue, 4000)));
  CHECK(client.answer().row);
  CHECK(fixture.primary.complete == 2);
}

// Guards against a write that becomes complete, and runs, long after its client was told that it failed.
TEST_CASE("late arrival: a write that its server reads slowly ends in time and does not arrive later") {
  SlowPrimaryFixture fixture;
  Client client(fixture.proxy->port);
  fixture.primary.reading_ms = 1500;
  auto statement = pg::simple_query(long_write_sql("t1", "one", kLongValue, 600));
  auto began = Clock::now();  // the client's time begins when it sends
  client.send(statement);
  CHECK(client.answer().end == 'Z');
  CHECK(Clock::now() - began < 600ms + kSocketSlack);
  fixture.wait_until_read();
  CHECK(fixture.primary.begun >= 1);
  CHECK(fixture.primary.complete == 0);
}

// Guards against a write that runs after its client has left, or after the end of the process: what the
// socket still holds must go with it.
TEST_CASE(
    "late arrival: a write that its server reads slowly does not arrive after client or proxy have gone") {
  bool does_client_leave = GENERATE(true, false);
  SlowPrimaryFixture fixture;
  fixture.primary.reading_ms = 1000;
  auto client = std::make_unique<Client>(fixture.proxy->port);
  client->send(pg::simple_query(long_write_sql("u1", "one", kLongValue, 4000)));
  REQUIRE(eventually([&] { return fixture.primary.begun == 1; }));
  does_client_leave ? client.reset() : fixture.proxy.reset();
  fixture.wait_until_read();
  CHECK(fixture.primary.complete == 0);
}

namespace {

// A proxy whose data servers answer reads whatever the age of their data. The replica's data stays at the
// position of the time of the construction, which the proxy knows, and no connection to it is idle.
struct LaggingReplicaFixture {
  explicit LaggingReplicaFixture(std::chrono::milliseconds bound)
      : proxy(200, "", false, [&](app::Config& config) {
          config.settings.lag_check = request_router::LagCheck::kOff;
          config.settings.cancel = false;  // nothing but the age of data ends the attempt
          for (auto& c : config.settings.classes) c.bound = bound;
          config.pool.idle = 20ms;
        }) {
    Client client(proxy.port);
    for (int i = 0; i < 20; ++i) client.query(read_sql("warm" + std::to_string(i)));
    proxy.replica.position = unix_ms();
    known_since = Clock::now();
    int number = 0;
    REQUIRE(eventually([&] {
      auto served = proxy.replica.count();
      client.query(read_sql("known" + std::to_string(number++)));
      return proxy.replica.count() > served;
    }));
    REQUIRE(eventually([&] { return proxy.replica.open_connections == 0; }));
  }

  ProxyFixture proxy;
  Clock::time_point known_since;
};

}  // namespace

// Guards against a bounded read that is decided in time and sent on a connection that comes up when the known
// data of its server is too old. Such a read is decided again and served elsewhere.
TEST_CASE("late arrival: a bounded read is not sent on a connection that comes up after its bound") {
  auto bound = GENERATE(300ms, 900ms);
  LaggingReplicaFixture fixture(bound);
  auto& replica = fixture.proxy.replica;
  auto reads_before = replica.count();
  replica.hold_greeting = true;
  std::this_thread::sleep_until(fixture.known_since + bound - 100ms);
  Client client(fixture.proxy.port);
  client.send(pg::simple_query(read_sql("late")));
  std::this_thread::sleep_until(fixture.known_since + bound + kSocketSlack + 20ms);
  CHECK(replica.count() == reads_before);
  replica.hold_greeting = false;
  CHECK(client.answer().row);
  CHECK(replica.count() == reads_before);
}

// Guards against a limit that turns away reads whose data is still recent enough when the connection comes
// up.
TEST_CASE("late arrival: a bounded read is sent on a connection that comes up late within its bound") {
  LaggingReplicaFixture fixture(2000ms);
  auto& replica = fixture.proxy.replica;
  auto reads_before = replica.count();
  replica.hold_greeting = true;
  Client client(fixture.proxy.port);
  client.send(pg::simple_query(read_sql("in-time")));
  std::this_thread::sleep_for(100ms);
  replica.hold_greeting = false;
  CHECK(client.answer().row);
  CHECK(replica.count() == reads_before + 1);
}

}  // namespace database_proxy::test
