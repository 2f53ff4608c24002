// The interface of a node to the process that it runs in: the notifications that the process receives, and
// the health checker that it provides.
//
// All calls are made in the group's thread, except that the first on_effective_endpoint_list() may come from
// the thread that constructs the node. The host outlives the node.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "discovery/endpoint_list_codec.h"
#include "group/endpoint_list_subscriber.h"
#include "group/health_checker.h"
#include "group/load_report.h"
#include "net/loop.h"
#include "placement/plan.h"

namespace database_proxy::group {

// Implemented by the daemon.
class NodeHost {
 public:
  virtual ~NodeHost() = default;

  // Passes the complete endpoint list that is in effect from now on. `is_restart`: its generation is lower
  // than that of the previous list, because the discovery service was reset.
  virtual void on_effective_endpoint_list(const discovery::EndpointListUpdate& list, bool is_restart) = 0;
  // Passes new load reports of data servers.
  virtual void on_load_reports(std::vector<LoadReport> reports) = 0;
  // Reports whether the group provides the endpoint list and, if not, who polls the discovery service.
  virtual void on_group_unavailable(EndpointListFallback fallback) = 0;
  // Passes the plan to follow from now on; nullopt: the process makes its own routing decisions.
  virtual void on_plan_adopted(const std::optional<placement::Plan>& plan) = 0;

  // Creates the node's health checker. Called once, while the node is constructed.
  virtual std::unique_ptr<HealthChecker> make_health_checker(net::Loop& loop,
                                                             HealthCheckCallback on_result) = 0;
};

}  // namespace database_proxy::group
