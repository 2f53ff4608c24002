// The group in a daemon: its node, in a thread of its own, and what goes between it and the proxy. Made only
// where the operator's file has a section `group`.
//
// What the node tells comes in the group's thread and is posted to the proxy's, where everything else runs.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "group/node.h"
#include "proxy/proxy.h"

namespace database_proxy::app {

class GroupRunner : private group::NodeHost {
 public:
  // `loop` is the proxy's, which is not running yet. Throws std::runtime_error with one line.
  GroupRunner(net::Loop& loop, proxy::Proxy& proxy, routing::Decider& decider, group::Options options,
              const proxy::ProxyOptions& proxy_options, const request_router::Settings& settings,
              std::uint64_t seed, net::Log log);
  ~GroupRunner() override;
  void start();
  void hand_over() { node_->hand_over(); }
  void reconfigure(const std::string& discovery, std::vector<group::NodeAddress> nodes) {
    node_->reconfigure(discovery, std::move(nodes));
  }

 private:
  class ZoneObserver;
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
