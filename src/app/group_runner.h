// The group in a daemon: its node, in a thread of its own, and what goes between it and the proxy. Made only
// where the operator's file has a section `group`.
#pragma once

#include <memory>

#include "group/node.h"
#include "proxy/proxy.h"

namespace database_proxy::app {

class GroupRunner {
 public:
  // `loop` is the proxy's, which is not running yet. Throws std::runtime_error with one line.
  GroupRunner(net::Loop& loop, proxy::Proxy& proxy, routing::Decider& decider, group::Options options,
              const proxy::ProxyOptions& of, const request_router::Settings& settings, std::uint64_t seed,
              net::Log log);
  ~GroupRunner();
  void start();
  void leave() { node_->leave(); }
  void reconfigure(const std::string& discovery, std::vector<group::NodeAddress> nodes) {
    node_->reconfigure(discovery, std::move(nodes));
  }

 private:
  class ZoneObserver;
  void look();

  net::Loop& loop_;
  proxy::Proxy& proxy_;
  routing::Decider& decider_;
  net::TaskQueue tasks_;  // to the proxy's thread
  std::unique_ptr<ZoneObserver> zone_observer_;
  net::Loop::TimerId look_timer_ = net::Loop::kNoTimer;
  std::unique_ptr<group::Node> node_;
};

}  // namespace database_proxy::app
