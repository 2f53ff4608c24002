// A discovery service that is slow, stalls, or falls silent: it is followed within the platform's limits,
// which are 4 s after SIGHUP and 6 s otherwise.
#include "discovery_steps.h"
#include "rig.h"

namespace database_proxy::test {
namespace {

constexpr auto kLimitAfterReload = 4s, kLimit = 6s;

// A proxy that is in use, and the discovery service of a new address, which lists another server.
struct NewDiscoveryFixture {
  NewDiscoveryFixture() {
    Client client(proxy.port);
    REQUIRE(client.query(read_sql("i0")).row);
    discovery.set(endpoint_entry("s-n", server));
  }
  Clock::duration reload_and_wait() {
    set_discovery_address(proxy, discovery.address());
    return time_until_used(proxy, server);
  }
  ProxyFixture proxy;
  Server server{true};
  Discovery discovery;
};

}  // namespace

// Guards against a service that takes longer than one fixed limit for each call, and is never followed.
TEST_CASE("slow discovery: after SIGHUP, a service that answers slowly is followed, with few calls") {
  auto delay_ms = GENERATE(600, 1500, 2500, 3500);
  NewDiscoveryFixture fixture;
  fixture.discovery.answer_delay_ms = delay_ms;
  CAPTURE(delay_ms);
  CHECK(fixture.reload_and_wait() < kLimitAfterReload);
  CHECK(fixture.discovery.full_list_calls <= (delay_ms < 1000 ? 1 : delay_ms < 3000 ? 2 : 3));
}

TEST_CASE("slow discovery: after SIGHUP, a list that is written slowly is followed") {
  auto write_over_ms = GENERATE(1500, 3000);
  NewDiscoveryFixture fixture;
  fixture.discovery.write_over_ms = write_over_ms;
  CHECK(fixture.reload_and_wait() < kLimitAfterReload);
  CHECK(fixture.discovery.full_list_calls <= 2);
}

// Guards against waiting for a slow service at the expense of finding a silent one.
TEST_CASE("slow discovery: after SIGHUP, answers that stop half way are found in time") {
  NewDiscoveryFixture fixture;
  fixture.discovery.answers_to_stop = GENERATE(1, 2);
  CHECK(fixture.reload_and_wait() < kLimitAfterReload);
}

TEST_CASE("slow discovery: changes that a slow service tells on a watch are followed") {
  auto delay_ms = GENERATE(800, 1500, 2500);
  ProxyFixture fixture;
  fixture.discovery.answer_delay_ms = delay_ms;
  Client client(fixture.port);
  REQUIRE(client.query(read_sql("w0")).row);
  std::this_thread::sleep_for(3s);  // the watch adapts to the service
  std::this_thread::sleep_for(std::chrono::milliseconds(GENERATE(0, 700, 1400, 2100)));
  Server new_server(true);
  auto calls = fixture.discovery.calls.load();
  fixture.discovery.set(endpoint_entry("s-n", new_server));
  CAPTURE(delay_ms);
  CHECK(time_until_used(fixture, new_server) < kLimit);
  CHECK(fixture.discovery.calls - calls <= 3);
}

TEST_CASE("slow discovery: a watch whose answers stop half way is opened again in time") {
  ProxyFixture fixture;
  Client client(fixture.port);
  REQUIRE(client.query(read_sql("s0")).row);
  fixture.discovery.answers_to_stop = 1;
  REQUIRE(eventually([&] { return fixture.discovery.answers_to_stop == 0; }));
  Server new_server(true);
  fixture.discovery.set(endpoint_entry("s-n", new_server));
  CHECK(time_until_used(fixture, new_server) < kLimit);
}

}  // namespace database_proxy::test
