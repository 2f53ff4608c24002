// A data server that writes its answer slowly is waited for while its client waits; one that stops, or never
// ends, gets the client its final answer in time.
#include "rig.h"

namespace database_proxy::test {
namespace {

void answer_with(ProxyFixture& fixture, const Reply& reply) {
  fixture.primary.reply = fixture.replica.reply = [reply](const std::string&) { return reply; };
}

// Opens the connections to the data servers.
void warm_up(ProxyFixture& fixture) {
  Client client(fixture.port);
  REQUIRE(client.query(write_sql("w")).row);
  REQUIRE(eventually([&, number = 0]() mutable {
    return client.query(read_sql("w" + std::to_string(++number))).row && fixture.replica.count() > 0;
  }));
}

}  // namespace

// Guards against a long answer that pauses for more than 0.1 s being given up while its client still waits.
TEST_CASE("slow answer: a long value that its server writes in a few pieces is passed on whole") {
  ProxyFixture fixture;
  warm_up(fixture);
  Client client(fixture.port);
  const std::string value(64 * 1024, 'v');
  for (int pieces : {2, 3, 6}) {
    answer_with(fixture, {.text = value, .pieces = pieces, .over = 1200ms});
    auto answer = client.query(read_sql("p" + std::to_string(pieces), 2000));
    CHECK(answer.row);
    CHECK(answer.value == value);
  }
}

// Guards against waiting past the client's time for an answer that stops, or that keeps coming and never
// ends.
TEST_CASE("slow answer: one that stops or never ends is answered before its client's time is up") {
  ProxyFixture fixture;
  warm_up(fixture);
  Client client(fixture.port);
  const Reply stops{.kind = Reply::kNoAnswer, .text = std::string(64 * 1024, 'v'), .pieces = 2};
  const Reply never_ends{
      .kind = Reply::kNoAnswer, .text = std::string(64 * 1024, 'v'), .pieces = 1000, .over = 30s};
  for (auto& reply : {stops, never_ends}) {
    answer_with(fixture, reply);
    auto began = Clock::now();
    auto answer = client.query(read_sql("n" + std::to_string(reply.pieces), 1000));
    CHECK(answer.end == 'Z');
    CHECK_FALSE(answer.row);
    CHECK(Clock::now() - began < 1000ms + kSocketSlack);
  }
}

// Guards against a truncated short answer taking all of its client's time: another server still serves it.
TEST_CASE("slow answer: a short one that stops leaves time for another attempt") {
  ProxyFixture fixture;
  warm_up(fixture);
  Client client(fixture.port);
  std::atomic<int> attempts{0};
  fixture.primary.reply = fixture.replica.reply = [&](const std::string&) {
    return attempts++ == 0 ? Reply{.kind = Reply::kNoAnswer, .pieces = 2} : Reply{};
  };
  CHECK(client.query(read_sql("t", 1500)).row);
  CHECK(attempts == 2);
}

}  // namespace database_proxy::test
