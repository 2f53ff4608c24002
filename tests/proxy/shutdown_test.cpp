// Shutdown: what a proxy owes its clients between the signal to stop and the platform's kill.
#include <fmt/format.h>

#include <algorithm>
#include <future>

#include "proxy/shutdown_schedule.h"
#include "rig.h"

namespace database_proxy::test {
namespace {

using proxy::ShutdownMode;

// The platform kills the process no earlier than this after the signal, with the fixture's settings.
constexpr auto kEarliestKill = 3700ms;
// Answers for want of time are not given earlier than this: a data server may still answer.
constexpr auto kEarliestGivingUp = 3200ms;
// A time after which new requests are rejected.
constexpr auto kServiceEnded = 1200ms;

void begin_shutdown(ProxyFixture& fixture, ShutdownMode mode) {
  if (mode == ShutdownMode::kLast) return fixture.shut_down_gracefully();
  fixture.with_proxy([](proxy::Proxy& proxy) { proxy.shut_down(ShutdownMode::kSuccessorServes); });
}

std::string read_of(const std::string& key, const std::string& id, int timeout_ms) {
  return fmt::format("SELECT content FROM kv WHERE name = '{}' /* id={},c=browse,d={},cluster=2 */", key, id,
                     timeout_ms);
}

// The codes of the answers to `count` commands, with "row" for a row and the tag of a command without rows.
std::vector<std::string> outcomes(Client& client, int count) {
  std::vector<std::string> result;
  for (int i = 0; i < count; ++i) {
    auto answer = client.answer();
    result.push_back(answer.end == 0        ? "none"
                     : !answer.code.empty() ? answer.code
                     : answer.row           ? "row"
                                            : answer.tag);
  }
  return result;
}

// A fixture whose data servers hang with every request from now on.
struct HangingServers : ProxyFixture {
  explicit HangingServers(std::size_t descriptors = 200) : ProxyFixture(descriptors) {
    Client client(port);
    REQUIRE(client.query(write_sql("w0")).row);  // the primary is known from now on
    REQUIRE(client.query(read_sql("r0")).row);
    primary.reply = replica.reply = [](const std::string&) { return Reply{Reply::kNoAnswer}; };
  }
  ~HangingServers() {
    primary.reply = replica.reply = [](const std::string&) { return Reply{}; };
  }
  // Sends a request that stays open at a data server.
  void send_open(Client& client, const std::string& statement) {
    auto before = primary.unanswered + replica.unanswered;
    client.send(pg::simple_query(statement));
    REQUIRE(eventually([&] { return primary.unanswered + replica.unanswered > before; }));
  }
};

}  // namespace

// Guards against answers that are ready behind an open request, and are not written when the process is
// killed.
TEST_CASE("shutdown: commands behind a request at a hanging server are answered in order before the kill") {
  for (auto mode : {ShutdownMode::kLast, ShutdownMode::kSuccessorServes}) {
    HangingServers fixture;
    Client behind_write(fixture.port), behind_read(fixture.port), same_key(fixture.port);
    Client partial(fixture.port), late(fixture.port);
    fixture.send_open(behind_write, write_sql("a1", 9000));
    fixture.send_open(behind_read, read_of("k2", "a2", 9000));
    fixture.send_open(same_key, write_sql("a3", 9000));
    same_key.send(pg::simple_query(read_of("k1", "a4", 9000)));  // waits for the write of its key
    fixture.send_open(partial, write_sql("a6", 9000));
    fixture.send_open(late, write_sql("a7", 9000));
    auto told = Clock::now();
    begin_shutdown(fixture, mode);
    std::this_thread::sleep_until(told + kServiceEnded);
    auto forwarded = fixture.primary.count() + fixture.replica.count();
    behind_write.send(pg::simple_query(read_of("k2", "b1", 2000)) + pg::simple_query("SET x = 1"));
    behind_read.send(pg::simple_query(read_of("k2", "b2", 2000)));
    partial.send(pg::simple_query(read_of("k2", "b6", 2000)).substr(0, 30));
    std::this_thread::sleep_until(told + 3100ms);
    {
      // The process is held up until after the time at which open requests end.
      ProxyFixture::PausedLoop pause(fixture);
      late.send(pg::simple_query(read_of("k2", "b7", 2000)));
      std::this_thread::sleep_until(told + 3350ms);
    }
    using Outcomes = std::vector<std::string>;
    CHECK(outcomes(behind_write, 3) == Outcomes{"57014", "57P03", "SET"});
    CHECK(Clock::now() - told > kEarliestGivingUp);
    CHECK(outcomes(behind_read, 2) == Outcomes{"57P03", "57P03"});
    CHECK(outcomes(same_key, 2) == Outcomes{"57014", "57P03"});
    CHECK(outcomes(partial, 1) == Outcomes{"57014"});
    CHECK(outcomes(late, 2) == Outcomes{"57014", "57P03"});
    for (auto* client : {&behind_write, &behind_read, &same_key, &partial, &late})
      CHECK_FALSE(client->receive());
    CHECK(eventually([&] { return fixture.ended.load(); }));
    CHECK(Clock::now() - told < kEarliestKill);
    CHECK(fixture.primary.count() + fixture.replica.count() == forwarded);
  }
}

// Guards against requests that are given up although their answer comes before the kill.
TEST_CASE(
    "shutdown: a request that is answered before the kill is served, and what waits behind it refused") {
  HangingServers fixture;
  auto told = Clock::now();
  fixture.primary.reply = [told](const std::string&) {
    std::this_thread::sleep_until(told + 3s);
    return Reply{};
  };
  Client client(fixture.port);
  client.send(pg::simple_query(write_sql("s1", 9000)));
  REQUIRE(eventually([&] { return fixture.primary.in_flight == 1; }));
  fixture.shut_down_gracefully();
  std::this_thread::sleep_until(told + kServiceEnded);
  client.send(pg::simple_query(read_of("k2", "s2", 9000)));
  CHECK(outcomes(client, 2) == std::vector<std::string>{"row", "57P03"});
  CHECK(eventually([&] { return fixture.ended.load(); }));
  CHECK(Clock::now() - told < kEarliestKill);
}

// Guards against an answer that is given up although the proxy has received it.
TEST_CASE("shutdown: an answer received in the iteration that ends open requests is passed on") {
  auto mode = GENERATE(ShutdownMode::kLast, ShutdownMode::kSuccessorServes);
  HangingServers fixture;
  std::promise<void> released;
  auto release = released.get_future().share();
  fixture.primary.reply = [release](const std::string&) {
    release.wait();
    return Reply{};
  };
  Client client(fixture.port);
  client.send(pg::simple_query(write_sql("i1", 9000)));
  REQUIRE(eventually([&] { return fixture.primary.in_flight == 1; }));
  auto told = Clock::now();
  auto answers_before = fixture.primary.answers_sent.load();
  begin_shutdown(fixture, mode);
  std::this_thread::sleep_until(told + 3100ms);
  {
    ProxyFixture::PausedLoop pause(fixture);
    client.send(pg::simple_query(read_of("k2", "i2", 9000)));
    released.set_value();
    REQUIRE(eventually([&] { return fixture.primary.answers_sent > answers_before; }));
    std::this_thread::sleep_until(told + 3350ms);  // open requests end at 3300 ms
  }
  CHECK(outcomes(client, 2) == std::vector<std::string>{"row", "57P03"});
  CHECK(eventually([&] { return fixture.ended.load(); }));
  CHECK(Clock::now() - told < kEarliestKill);
}

// Guards against commands that wait for their turn on one connection, and are closed with it.
TEST_CASE("shutdown: hundreds of commands behind a request that ends at the limit are all refused") {
  HangingServers fixture;
  Client client(fixture.port);
  fixture.send_open(client, write_sql("a1", 9000));
  auto told = Clock::now();
  fixture.shut_down_gracefully();
  std::this_thread::sleep_until(told + kServiceEnded);
  constexpr int kMany = 300;  // more than are taken as commands while the first one is open
  std::string statements;
  for (int i = 0; i < kMany; ++i) statements += pg::simple_query(read_of("k2", fmt::format("m{}", i), 2000));
  client.send(statements);
  CHECK(outcomes(client, 1) == std::vector<std::string>{"57014"});
  CHECK(outcomes(client, kMany) == std::vector<std::string>(kMany, "57P03"));
  CHECK_FALSE(client.receive());
  CHECK(eventually([&] { return fixture.ended.load(); }));
  CHECK(Clock::now() - told < kEarliestKill);
}

// Guards against commands that a process which was held up finds only when it closes all connections.
TEST_CASE("shutdown: commands that wait when all connections are closed are refused first") {
  auto mode = GENERATE(ShutdownMode::kLast, ShutdownMode::kSuccessorServes);
  HangingServers fixture;
  Client behind_write(fixture.port), large(fixture.port);
  fixture.send_open(behind_write, write_sql("a1", 9000));
  fixture.send_open(large, write_sql("a2", 9000));
  auto told = Clock::now();
  begin_shutdown(fixture, mode);
  std::this_thread::sleep_until(told + kServiceEnded);
  constexpr int kMany = 300;
  std::string statements;
  for (int i = 0; i < kMany; ++i) statements += pg::simple_query(read_of("k2", fmt::format("m{}", i), 2000));
  behind_write.send(statements);
  constexpr int kOverBuffer = 2000;  // more bytes than are read ahead
  std::string many;
  for (int i = 0; i < kOverBuffer; ++i) many += pg::simple_query(read_of("k2", fmt::format("l{}", i), 2000));
  std::thread sender([&] { large.send(many); });
  std::this_thread::sleep_until(told + 3280ms);
  {
    ProxyFixture::PausedLoop pause(fixture);
    std::this_thread::sleep_until(told + 3460ms);  // connections are closed at 3450 ms
  }
  // Taken beside the reading of the answers, which may take longer than writing them.
  auto ended_at = std::async(std::launch::async, [&fixture] {
    eventually([&fixture] { return fixture.ended.load(); });
    return Clock::now();
  });
  auto refused = [&](Client& client, int count) {
    auto all = outcomes(client, count);
    return std::count(all.begin(), all.end(), "57P03");
  };
  CHECK(outcomes(behind_write, 1) == std::vector<std::string>{"57014"});
  CHECK(refused(behind_write, kMany) == kMany);
  CHECK(outcomes(large, 1) == std::vector<std::string>{"57014"});
  CHECK(refused(large, kOverBuffer) == kOverBuffer);
  sender.join();
  CHECK(ended_at.get() - told < kEarliestKill);
}

// Guards against requests of new connections that are forwarded after the end of service, and against a
// process that ends while clients wait to be accepted, also those for which it had no descriptor.
TEST_CASE("shutdown: clients accepted after the end of service are refused, all that wait") {
  constexpr std::size_t kMany = 200, kFewerThanWait = 34;
  for (auto descriptors : {kMany, kFewerThanWait}) {
    HangingServers fixture(descriptors);
    Client busy(fixture.port);
    fixture.send_open(busy, write_sql("a1", 9000));
    auto told = Clock::now();
    fixture.shut_down_gracefully();
    std::vector<std::unique_ptr<Client>> late;
    auto connect_late = [&](int count) {
      for (int i = 0; i < count; ++i) {
        late.push_back(std::make_unique<Client>(fixture.port, false));
        auto query = pg::simple_query(read_of("k2", fmt::format("n{}", late.size()), 2000));
        late.back()->send(pg::startup_message("backend", "store") + query);
      }
    };
    auto forwarded = fixture.primary.count() + fixture.replica.count();
    std::this_thread::sleep_until(told + kServiceEnded);
    {
      ProxyFixture::PausedLoop pause(fixture);
      connect_late(1);
    }
    std::this_thread::sleep_until(told + 3200ms);
    {
      ProxyFixture::PausedLoop pause(fixture);
      connect_late(40);                              // more than are accepted in one iteration
      std::this_thread::sleep_until(told + 3310ms);  // the open request ends at 3300 ms
    }
    int refused = 0;
    for (auto& client : late) {
      client->answer();  // of its startup
      refused += client->answer().code == "57P03";
    }
    CHECK(refused == static_cast<int>(late.size()));
    CHECK(outcomes(busy, 1) == std::vector<std::string>{"57014"});
    CHECK(fixture.primary.count() + fixture.replica.count() == forwarded);
    CHECK(eventually([&] { return fixture.ended.load(); }));
    CHECK(Clock::now() - told < kEarliestKill);
  }
}

// Guards against clients that wait for the first data server and are closed without an answer.
TEST_CASE("shutdown: commands that wait while no data server is up are refused once service ends") {
  ProxyFixture fixture(200, "", true, [](app::Config& config) { config.known.endpoints.clear(); });
  Client client(fixture.port);
  client.send(pg::simple_query("") + pg::simple_query(read_of("k2", "n1", 9000)));
  auto told = Clock::now();
  fixture.shut_down_gracefully();
  CHECK(outcomes(client, 2) == std::vector<std::string>{"57P03", "57P03"});
  CHECK(Clock::now() - told < kServiceEnded);
  CHECK_FALSE(client.receive());
  CHECK(eventually([&] { return fixture.ended.load(); }));
}

// Guards against clients that wait for ever when all data servers were lost and have come back.
TEST_CASE("readiness: an empty query that waits is answered when a data server is up again") {
  ProxyFixture fixture;
  Client client(fixture.port);
  REQUIRE(client.query("").tag == "empty");
  auto list = [&](const std::string& lifecycle) {
    return endpoint_entry("s-p", fixture.primary, lifecycle) + "," +
           endpoint_entry("s-r", fixture.replica, lifecycle);
  };
  fixture.discovery.set(list("draining"));
  REQUIRE(eventually([&] {
    std::promise<bool> is_ready;
    fixture.with_proxy([&](proxy::Proxy& proxy) { is_ready.set_value(proxy.dispatcher().ready()); });
    return !is_ready.get_future().get();
  }));
  client.send(pg::simple_query("") + pg::simple_query(read_of("k2", "u1", 9000)));
  std::this_thread::sleep_for(100ms);
  fixture.discovery.set(list("up"));
  CHECK(outcomes(client, 2) == std::vector<std::string>{"empty", "row"});
}

// Guards against a shutdown that no longer counts from its first signal, and against one at the limit of
// descriptors that leaves an answer unwritten.
TEST_CASE("shutdown: a second signal changes nothing, and idle clients at the limit of descriptors neither") {
  ProxyFixture fixture(40);
  Client busy(fixture.port);
  REQUIRE(busy.query(write_sql("d0")).row);
  fixture.primary.reply = [](const std::string&) { return Reply{Reply::kNoAnswer}; };
  busy.send(pg::simple_query(write_sql("d1", 9000)));
  REQUIRE(eventually([&] { return fixture.primary.unanswered == 1; }));
  std::vector<Peer> idle;
  for (int i = 0; i < 40; ++i) idle.push_back(Peer::connect_to(fixture.port));
  auto told = Clock::now();
  fixture.shut_down_gracefully();
  std::this_thread::sleep_until(told + kServiceEnded);
  fixture.wake_up();  // shuts down again
  busy.send(pg::simple_query(read_of("k2", "d2", 9000)));
  CHECK(outcomes(busy, 2) == std::vector<std::string>{"57014", "57P03"});
  CHECK(eventually([&] { return fixture.ended.load(); }));
  CHECK(Clock::now() - told < kEarliestKill);
}

TEST_CASE("shutdown: its phases follow each other before the kill, also where deadlines are short") {
  for (std::chrono::milliseconds limit : {750ms, 1000ms, 3700ms}) {
    proxy::ShutdownSchedule schedule(10s, limit);
    CHECK_FALSE(schedule.ends_requests(10s));
    CHECK(schedule.ends_requests(10s + limit - 400ms));
    CHECK_FALSE(schedule.ends_connections(10s + limit - 251ms));
    CHECK(schedule.ends_connections(10s + limit - 250ms));
    CHECK(schedule.time_to_kill(10s) == limit);
  }
  proxy::ShutdownSchedule schedule(10s, 3700ms);
  CHECK_FALSE(schedule.closes_idle_connections(10'499ms));
  CHECK(schedule.closes_idle_connections(10'500ms));
  CHECK_FALSE(schedule.rejects_requests(10'699ms));
  CHECK(schedule.rejects_requests(10'700ms));
  CHECK(schedule.awaits_partial_commands(13'199ms));
  CHECK_FALSE(schedule.awaits_partial_commands(13'200ms));
}

}  // namespace database_proxy::test
