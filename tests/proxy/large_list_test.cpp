// Endpoint lists of the largest fleet, in the forms in which they may arrive.
#include "discovery/endpoint_list_limits.h"
#include "rig.h"

namespace database_proxy::test {
namespace {

// Returns entries of `count` servers that nothing listens for, indented by `spaces` for each level.
std::string filler_entries(std::size_t count, std::size_t spaces) {
  std::string entries;
  std::string entry_start = "\n" + std::string(2 * spaces, ' ');
  std::string field_start = "\n" + std::string(3 * spaces, ' ');
  for (std::size_t i = 0; i < count; ++i) {
    entries +=
        "," + entry_start + "{" + field_start + "\"instanceId\": \"s-filler-" + std::to_string(i) + "\"";
    for (const char* field :
         {"\"hostPort\": \"127.0.0.1:1\"", "\"zone\": \"a\"", "\"machineType\": \"std-3c\"", "\"cell\": 7",
          "\"lifecycle\": \"up\"", "\"weight\": 1.0", "\"startedAtMs\": 0"})
      entries += "," + field_start + field;
    entries += entry_start + "}";
  }
  return entries;
}

// Returns whether reads reach `server` within the time.
bool is_used_within(ProxyFixture& fixture, Server& server, std::chrono::milliseconds time) {
  Client client(fixture.port);
  int number = 0;
  return eventually(
      [&] {
        client.query(read_sql("b" + std::to_string(++number), 300));
        return server.count() > 0;
      },
      time);
}

}  // namespace

// Guards against a list of the largest fleet that is refused for its size, because it is indented.
TEST_CASE("large list: 3,200 servers are taken in each form, and so are the changes after them") {
  auto spaces = GENERATE(std::size_t{0}, std::size_t{8}, std::size_t{16}, std::size_t{40});
  auto write_over_ms = GENERATE(0, 300);
  ProxyFixture fixture;
  Server server(true), other_server(true);
  auto filler = filler_entries(discovery::kMaxListedServers - 1, spaces);
  CAPTURE(spaces, write_over_ms, filler.size());
  fixture.discovery.write_over_ms = write_over_ms;
  fixture.discovery.set(endpoint_entry("s-n", server) + filler);
  REQUIRE(is_used_within(fixture, server, 6s));
  fixture.discovery.set(endpoint_entry("s-o", other_server) + filler);
  CHECK(is_used_within(fixture, other_server, 6s));
}

// Guards against asking several times a second for a list that is too large.
TEST_CASE("large list: one over the limit leaves the last one in effect, and is asked for rarely") {
  ProxyFixture fixture;
  Client client(fixture.port);
  REQUIRE(client.query(read_sql("first")).row);
  Server server(true);
  fixture.discovery.set(endpoint_entry("s-n", server) + std::string(discovery::kMaxListBytes, ' '));
  auto calls = fixture.discovery.calls.load();
  CHECK_FALSE(is_used_within(fixture, server, 3s));
  CHECK(client.query(read_sql("last")).row);
  CHECK(fixture.discovery.calls - calls <= 4);
  fixture.discovery.set(endpoint_entry("s-n", server));
  CHECK(is_used_within(fixture, server, 6s));
}

}  // namespace database_proxy::test
