// Checks data servers on behalf of the lease holder of their health check job. A daemon implements it with
// its own connections to servers.
//
// All calls are made in the group's thread.
#pragma once

#include <functional>
#include <string>

#include "discovery/endpoint_list_codec.h"
#include "group/options.h"

namespace database_proxy::group {

// Of one check of one server.
struct HealthCheckResult {
  std::string server;
  bool ok = false;
  Micros duration{0};
  std::string load;  // the server's own text
};

// In the group's thread, once for each check, never from within check().
using HealthCheckCallback = std::function<void(const HealthCheckResult& result)>;

// Makes the checks that a lease holder asks for.
class HealthChecker {
 public:
  virtual ~HealthChecker() = default;
  // A complete list; only its servers are checked from now on.
  virtual void update_endpoints(const discovery::EndpointListUpdate& list) = 0;
  virtual void check(const std::string& server) = 0;
  // At the end of each turn of the loop.
  virtual void end_loop_iteration() = 0;
};

}  // namespace database_proxy::group
