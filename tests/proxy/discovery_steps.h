// Steps that the tests of discovery share: a new address in the configuration, and the wait until the proxy
// follows a list.
#pragma once

#include <string>

#include "rig.h"

namespace database_proxy::test {

// Reconfigures the proxy, as SIGHUP does, with another address of the discovery service.
inline void set_discovery_address(ProxyFixture& fixture, const std::string& address) {
  fixture.with_proxy([&fixture, address](proxy::Proxy& p) {
    proxy::ProxyOptions options{fixture.config.listen, address, fixture.config.sockets, fixture.config.memory,
                                fixture.config.pool,   {}};
    p.reconfigure(options);
  });
}

// Sends reads until `server` has received a request; returns the time that this took.
inline Clock::duration time_until_used(ProxyFixture& fixture, Server& server) {
  auto start = Clock::now();
  Client client(fixture.port);
  int number = 0;
  bool used = eventually(
      [&] {
        client.query(read_sql("u" + std::to_string(++number), 300));
        return server.count() > 0;
      },
      12s);
  CHECK(used);
  return Clock::now() - start;
}

}  // namespace database_proxy::test
