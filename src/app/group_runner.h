// Runs this process's node of the consensus group in a thread of its own, and connects it with the proxy.
// Created only if the operator's file has a section `group`.
//
// The node makes its callbacks in the group's thread; they are posted to the proxy's thread, in which all
// other code of this class runs.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "group/node.h"
#include "proxy/proxy.h"

namespace database_proxy::app {

// Owned by the proxy's thread.
class GroupRunner : private group::NodeHost {
 public:
  // `loop` is the proxy's loop, which is not running yet. Throws std::runtime_error with one line.
  GroupRunner(net::Loop& loop, proxy::Proxy& proxy, routing::Decider& decider, group::Options options,
              const proxy::ProxyOptions& proxy_options, const request_router::Settings& settings,
              std::uint64_t seed, net::Log log);
  ~GroupRunner() override;
  // Starts the node.
  void start();
  // Hands leadership and leases over, before this process ends.
  void hand_over() { node_->resign(); }
  void reconfigure(const std::string& discovery, std::vector<group::NodeAddress> nodes) {
    node_->reconfigure(discovery, std::move(nodes));
  }

 private:
  class ZoneObserver;
  // Submits an observation of the zones to the node and probes zones of which too little is known; periodic.
  void observe_zones();

  void on_effective_endpoint_list(const discovery::EndpointListUpdate& list, bool is_restart) override;
  void on_load_reports(std::vector<group::LoadReport> reports) override;
  void on_group_unavailable(group::EndpointListFallback fallback) override;
  void on_plan_adopted(const std::optional<placement::Plan>& plan) override;
  std::unique_ptr<group::HealthChecker> make_health_checker(net::Loop& loop,
                                                            group::HealthCheckCallback on_result) override;

  net::Loop& loop_;
  proxy::Proxy& proxy_;
  routing::Decider& decider_;
  net::TaskQueue tasks_;  // to the proxy's thread
  placement::Zone own_zone_;
  proxy::PoolLimits health_check_limits_;
  net::Log log_;
  std::unique_ptr<ZoneObserver> zone_observer_;
  net::Loop::TimerId observation_timer_ = net::Loop::kNoTimer;
  std::unique_ptr<group::Node> node_;
};

}  // namespace database_proxy::app
