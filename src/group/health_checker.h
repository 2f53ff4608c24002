// The interface through which the lease holder of a health check job checks data servers. The daemon
// implements it with connections of its own to the servers.
//
// All calls are made in the group's thread.
#pragma once

#include <functional>
#include <string>

#include "discovery/endpoint_list_codec.h"
#include "group/options.h"

namespace database_proxy::group {

// The result of one health check of one server.
struct HealthCheckResult {
  std::string server;
  bool ok = false;
  Micros duration{0};
  std::string load;  // the load report as the server wrote it
};

// Called in the group's thread once for each check, never from within check().
using HealthCheckCallback = std::function<void(const HealthCheckResult& result)>;

// Makes the health checks that a lease holder requests.
class HealthChecker {
 public:
  virtual ~HealthChecker() = default;
  // Replaces the endpoint list by this complete one; only its servers are checked from now on.
  virtual void update_endpoints(const discovery::EndpointListUpdate& list) = 0;
  // Starts a health check of the server.
  virtual void check(const std::string& server) = 0;
  // Called at the end of each iteration of the event loop.
  virtual void end_loop_iteration() = 0;
};

}  // namespace database_proxy::group
