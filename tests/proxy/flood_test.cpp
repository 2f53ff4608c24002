// A client that sends small or unsound commands at full speed, under ever new names, delays no other client.
#include "rig.h"

namespace database_proxy::test {
namespace {

std::string unsound_commands(int round) {
  auto id = std::to_string(round);
  return pg::simple_query("") + pg::simple_query("SELECT " + id) + pg::simple_query("SET a" + id + " = 1") +
         pg::simple_query("SELECT content FROM kv WHERE name = 'n" + id + "' /* id=x" + id + ",c=none" + id +
                          ",d=100,cluster=" + id + " */") +
         pg::simple_query("SELECT content FROM kv WHERE name = 'n" + id + "' /* id=y" + id +
                          ",c=browse,d=1,cluster=" + id + " */") +
         pg::simple_query("INSERT INTO kv (name, content) VALUES ('n" + id +
                          "', '\\x00') RETURNING content /* id=z" + id + ",c=book,d=1,k=" + id +
                          ",cluster=" + id + " */");
}

}  // namespace

// Guards against a share of the loop that is not bounded for each connection, with the answers read or not.
TEST_CASE("flood: a client that sends unsound commands at full speed delays no other client") {
  bool reads_answers = GENERATE(true, false);
  ProxyFixture fixture;
  Client flooding(fixture.port), other(fixture.port);
  REQUIRE(other.query(write_sql("f0")).row);
  std::atomic<bool> stop{false};
  std::thread sender([&] {
    for (int round = 1000; !stop && flooding.send(unsound_commands(round)); ++round) {
    }
  });
  std::thread reader([&] {
    while (reads_answers && flooding.receive()) flooding.received.clear();
  });
  auto end = Clock::now() + 2s;
  int served = 0, asked = 0;
  for (; Clock::now() < end; ++asked) served += other.query(read_sql("o" + std::to_string(asked), 1000)).row;
  stop = true;
  shutdown(flooding.fd(), SHUT_RDWR);
  sender.join();
  reader.join();
  CHECK(asked > 0);
  CHECK(served == asked);
}

}  // namespace database_proxy::test
