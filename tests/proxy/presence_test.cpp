// Clients that send much at once: nothing is sent for one that has closed its connection, wherever the end of
// its connection waits, and one that stays is served.
#include <algorithm>

#include "rig.h"

namespace database_proxy::test {
namespace {

// Longer than a request may begin after its client has closed: 0.1 s, and the slack of sockets.
constexpr auto kAfterClose = 200ms;

std::string typed_message(char type, const std::string& body = "") {
  auto message = pg::simple_query(body);
  message.pop_back();
  message[0] = type;
  auto length = body.size() + 4;
  for (int i = 0; i < 4; ++i) message[1 + i] = static_cast<char>(length >> (24 - 8 * i) & 0xff);
  return message;
}

std::string repeated(const std::string& message, std::size_t bytes) {
  std::string text;
  while (text.size() < bytes) text += message;
  return text;
}

bool has_write(Server& server, const std::string& id) {
  auto statements = server.statements();
  return std::any_of(statements.begin(), statements.end(), [&](auto& text) {
    return text.starts_with("INSERT") && text.find("id=" + id + ",") != std::string::npos;
  });
}

// Messages that may stand in front of a request and behind it.
struct Filling {
  std::string name, message;
  bool is_answered = false;
};
const std::vector<Filling>& fillings() {
  static const std::vector<Filling> all{
      {"Flush", typed_message('H')},
      {"CopyData", typed_message('d', std::string(20, 'x'))},
      {"long CopyData", typed_message('d', std::string(100'000, 'x'))},
      {"CopyDone", typed_message('c')},
      {"CopyFail", typed_message('f', std::string("why\0", 4))},
      {"skipped up to a Sync", typed_message('P') + repeated(typed_message('B'), 1000) + typed_message('S')},
      {"Sync", typed_message('S'), true},
      {"empty query", pg::simple_query(""), true},
      {"SET", pg::simple_query("SET a = 1"), true},
  };
  return all;
}

// Reads answers up to one to a request: a row, or an error other than those to the fillings.
Answer answer_to_request(Client& client) {
  while (true) {
    auto answer = client.answer();
    bool is_to_filling = answer.end == 'Z' && !answer.row && (answer.code.empty() || answer.code == "0A000");
    if (!is_to_filling) return answer;
  }
}

}  // namespace

// Guards against a client that is not known to be there being taken for connected: its end waits behind input
// that was not read, and nothing was sent to it that it could confirm.
TEST_CASE("presence: a write amid other messages is not sent after its client has closed") {
  auto filling = GENERATE(from_range(fillings()));
  auto [before, behind] = GENERATE(table<std::size_t, std::size_t>({{400'000, 1'600'000}, {0, 800'000}}));
  INFO(filling.name << ", " << before << " bytes before, " << behind << " behind");
  ProxyFixture fixture;
  Client other(fixture.port);
  REQUIRE(other.query(write_sql("o1")).row);
  {
    Client client(fixture.port);
    ProxyFixture::PausedLoop paused(fixture);
    auto text = repeated(filling.message, before) + pg::simple_query(write_sql("gone", 4000)) +
                repeated(filling.message, behind);
    std::thread sender([&] { client.send(text); });
    std::this_thread::sleep_for(100ms);  // sends what the sockets take
    shutdown(client.fd(), SHUT_RDWR);
    sender.join();
    client.close();
    std::this_thread::sleep_for(kAfterClose);
  }
  CHECK(other.query(write_sql("o2", 3000)).row);
  std::this_thread::sleep_for(500ms);  // the input around the write is read
  CHECK_FALSE(has_write(fixture.primary, "gone"));
}

// Guards against the same before the greeting was read: being accepted is no sign.
TEST_CASE("presence: a write that came with the startup message is not sent after its client has closed") {
  ProxyFixture fixture;
  Client other(fixture.port);
  REQUIRE(other.query(write_sql("o1")).row);
  {
    ProxyFixture::PausedLoop paused(fixture);
    Client client(fixture.port, false);
    REQUIRE(client.send(pg::startup_message("backend", "store") + pg::simple_query(write_sql("gone", 4000)) +
                        repeated(pg::simple_query("SET a = 1"), 200'000)));
    client.close();
    std::this_thread::sleep_for(kAfterClose);
  }
  CHECK(other.query(write_sql("o2", 3000)).row);
  std::this_thread::sleep_for(kAfterClose);
  CHECK_FALSE(has_write(fixture.primary, "gone"));
}

namespace {

// A primary whose idle connections are busy for a while, and which lets no new one come up until it is told
// to.
struct BusyPrimaryFixture : ProxyFixture {
  BusyPrimaryFixture() {
    Client warm(port);
    REQUIRE(warm.query(write_sql("o1")).row);
    primary.reply = [](const std::string&) {
      std::this_thread::sleep_for(1s);
      return Reply{};
    };
    primary.hold_greeting = true;
  }
  // Returns a client that has sent `text_for(id)`, and the id, such that its first write waits for a
  // connection.
  std::pair<std::unique_ptr<Client>, std::string> client_that_waits(
      const std::function<std::string(const std::string&)>& text_for) {
    while (true) {
      auto id = "gone" + std::to_string(clients_on_idle_connections_.size());
      auto client = std::make_unique<Client>(port);
      REQUIRE(client->send(text_for(id)));
      std::this_thread::sleep_for(30ms);
      if (!has_write(primary, id)) return {std::move(client), id};
      clients_on_idle_connections_.push_back(std::move(client));
    }
  }

 private:
  std::vector<std::unique_ptr<Client>> clients_on_idle_connections_;
};

}  // namespace

// Guards against an attempt that waited for its connection, and begins after its client has closed.
TEST_CASE("presence: a write that waits for a connection is not sent after its client has closed") {
  BusyPrimaryFixture fixture;
  auto [client, id] = fixture.client_that_waits([](auto& first) {
    std::string text;
    for (int i = 0; i < 60; ++i)  // of one key: each waits for the one before it
      text += pg::simple_query(
          long_write_sql(i == 0 ? first : first + "-" + std::to_string(i), "k" + first, 4096, 4000));
    return text;
  });
  client->close();
  std::this_thread::sleep_for(150ms);  // and with what came before under the time for a connection
  REQUIRE_FALSE(has_write(fixture.primary, id));
  fixture.primary.hold_greeting = false;
  std::this_thread::sleep_for(kAfterClose);
  CHECK_FALSE(has_write(fixture.primary, id));
}

// Guards against input that is discarded behind a fatal error being taken for read to its end.
TEST_CASE("presence: a write before a fatal error is not sent after its client has closed") {
  BusyPrimaryFixture fixture;
  auto [client, id] = fixture.client_that_waits(
      [](auto& first) { return pg::simple_query(write_sql(first, 4000)) + typed_message('~'); });
  {
    ProxyFixture::PausedLoop paused(fixture);
    std::thread sender([&, peer = client.get()] { peer->send(std::string(8'000'000, 'x')); });
    std::this_thread::sleep_for(30ms);  // sends what the sockets take
    shutdown(client->fd(), SHUT_RDWR);
    sender.join();
    client->close();
    fixture.primary.hold_greeting = false;
    std::this_thread::sleep_for(150ms);  // and with what came before under the time for a connection
    REQUIRE_FALSE(has_write(fixture.primary, id));
  }
  std::this_thread::sleep_for(kAfterClose);
  CHECK_FALSE(has_write(fixture.primary, id));
}

// Guards against a client being rejected because nothing is known of it when its connection is ready.
TEST_CASE("presence: a client whose requests fill the buffer is served after a wait for a connection") {
  ProxyFixture fixture;
  {
    Client warm(fixture.port);
    REQUIRE(warm.query(write_sql("o1")).row);
  }
  fixture.primary.hold_greeting = true;
  std::atomic<bool> is_first{true};
  fixture.primary.reply = [&](const std::string&) {
    if (is_first.exchange(false)) std::this_thread::sleep_for(300ms);
    return Reply{};
  };
  Client other(fixture.port);
  other.send(pg::simple_query(write_sql("o2", 3000)));
  REQUIRE(eventually([&] { return has_write(fixture.primary, "o2"); }));
  constexpr int kWrites = 60;
  Client client(fixture.port);
  std::string text;
  for (int i = 0; i < kWrites; ++i)
    text += pg::simple_query(long_write_sql("stays" + std::to_string(i), "k9", 4096, 8000));
  std::thread sender([&] { client.send(text); });
  std::this_thread::sleep_for(180ms);
  fixture.primary.hold_greeting = false;
  int served = 0;
  for (int i = 0; i < kWrites; ++i) served += client.answer().row;
  sender.join();
  CHECK(served == kWrites);
}

// Guards against messages without an answer taking turns of the loop one by one, and against requests that
// are rejected or late because of the input around them.
TEST_CASE("presence: clients that send much at once and stay are served, one or many") {
  auto filling = GENERATE(from_range(fillings()));
  auto count = GENERATE(1, 40);
  INFO(filling.name << ", " << count << " clients");
  ProxyFixture fixture(400);
  Client other(fixture.port);
  REQUIRE(other.query(write_sql("o1")).row);
  // Each answered message is work, in a build with sanitizers too much of it for the time of the requests.
  std::size_t divisor = filling.is_answered && count > 1 ? 20 : 1;
  auto before = repeated(filling.message, 400'000 / divisor);
  auto behind = repeated(filling.message, 1'600'000 / divisor);
  std::atomic<int> served{0};
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < count; ++i) clients.push_back(std::make_unique<Client>(fixture.port));
  std::vector<std::thread> threads;
  for (int i = 0; i < count; ++i)
    threads.emplace_back([&, i] {
      auto& client = *clients[i];
      client.send(
          before +
          pg::simple_query(long_write_sql("s" + std::to_string(i), "k" + std::to_string(i), 2, 4000)) +
          behind);
      served += answer_to_request(client).row;
    });
  for (auto& thread : threads) thread.join();
  CHECK(served == count);
}

// Guards against a request that counts as sent when the flood of its client began, and against a client that
// is rejected because it is never read to the end.
TEST_CASE("presence: clients that send without a pause are served, and so are others") {
  auto filling = GENERATE(
      filter([](auto& f) { return f.name == "Flush" || f.name == "CopyData"; }, from_range(fillings())));
  constexpr int kFlooding = 3;
  constexpr std::chrono::milliseconds kDuration = 3s, kInterval = 200ms;
  INFO(filling.name);
  ProxyFixture fixture;
  Client other(fixture.port);
  REQUIRE(other.query(write_sql("o1")).row);
  auto chunk = repeated(filling.message, 64 * 1024);
  std::atomic<int> asked{0}, served{0};
  std::atomic<bool> is_over{false};
  std::vector<std::thread> threads;
  for (int number = 0; number < kFlooding; ++number)
    threads.emplace_back([&, number] {
      Client client(fixture.port);
      int own_asked = 0;
      std::thread sender([&] {
        auto next = Clock::now() + kInterval;
        for (auto end = Clock::now() + kDuration; Clock::now() < end; client.send(chunk)) {
          if (Clock::now() < next) continue;
          next += kInterval;
          auto id = std::to_string(number) + "-" + std::to_string(++own_asked);
          client.send(pg::simple_query(long_write_sql("f" + id, "k" + id, 2, 2000)));
        }
        client.send(pg::simple_query(""));  // its answer ends the reading
      });
      auto answer = client.answer();
      for (; answer.tag != "empty" && answer.end == 'Z'; answer = client.answer()) served += answer.row;
      sender.join();
      asked += own_asked;
    });
  int others_asked = 0, others_served = 0;
  std::thread usual([&] {
    for (; !is_over; std::this_thread::sleep_for(20ms))
      others_served += other.query(read_sql("u" + std::to_string(++others_asked), 500)).row;
  });
  for (auto& thread : threads) thread.join();
  is_over = true;
  usual.join();
  CHECK(asked >= kFlooding * 10);
  CHECK(served == asked);
  CHECK(others_served == others_asked);
}

// Guards against a client that is taken for idle within a message without an answer.
TEST_CASE("presence: a client that stops within a message without an answer gets an error in time") {
  ProxyFixture fixture;
  Client client(fixture.port);
  auto message = typed_message('d', std::string(1000, 'x'));
  auto began = Clock::now();
  REQUIRE(client.send(message + message.substr(0, 500)));
  auto [type, body] = client.next_message();
  CHECK(type == 'E');
  CHECK(Clock::now() - began < 3s);
}

// Guards against a request that is answered late, or never, because of an incomplete message behind it.
TEST_CASE("presence: a request is answered whatever incomplete message lies behind it") {
  auto behind = GENERATE(as<std::string>(), typed_message('d', std::string(100'000, 'x')).substr(0, 60'000),
                         typed_message('H').substr(0, 3),
                         pg::simple_query(long_write_sql("n", "n", 60'000, 4000)).substr(0, 90'000));
  ProxyFixture fixture;
  Client client(fixture.port);
  REQUIRE(client.query(write_sql("o1")).row);
  REQUIRE(client.send(pg::simple_query(write_sql("w", 1500)) + behind));
  CHECK(client.answer().row);
}

// Guards against the Terminate of a client that stays connected for a while being passed over.
TEST_CASE("presence: requests that wait are not sent after a Terminate far behind them was read") {
  ProxyFixture fixture;
  Client other(fixture.port);
  REQUIRE(other.query(write_sql("o1")).row);
  std::atomic<bool> is_open{false};
  fixture.primary.reply = [&](const std::string&) {
    eventually([&] { return is_open.load(); });
    return Reply{};
  };
  Client client(fixture.port);
  REQUIRE(client.send(pg::simple_query(long_write_sql("t1", "k9", 2, 4000)) +
                      pg::simple_query(long_write_sql("t2", "k9", 2, 4000))));
  REQUIRE(eventually([&] { return has_write(fixture.primary, "t1"); }));
  REQUIRE(client.send(repeated(typed_message('H'), 1'000'000) + typed_message('X')));
  while (client.receive()) {  // until the proxy closes
  }
  CHECK(has_write(fixture.primary, "t1"));
  is_open = true;
  std::this_thread::sleep_for(kAfterClose);
  CHECK_FALSE(has_write(fixture.primary, "t2"));
}

}  // namespace database_proxy::test
