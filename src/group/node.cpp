#include "group/node.h"

#include <pthread.h>

#include <chrono>
#include <utility>

#include "group/node_modules.h"

namespace database_proxy::group {

Node::Node(Options options, std::string discovery, discovery::PollingSchedule schedule,
           discovery::EndpointListUpdate initial_list, NodeHost& host, net::Log log)
    : modules_(std::make_unique<NodeModules>(std::move(options), std::move(discovery), schedule,
                                             std::move(initial_list), host, std::move(log))) {}

Node::~Node() { stop(); }

void Node::start() {
  thread_ = std::thread([this] {
    pthread_setname_np(pthread_self(), "group");
    modules_->run();
  });
}

void Node::stop() {
  if (!thread_.joinable()) return;
  modules_->post([](NodeModules& modules) { modules.stop(); });
  thread_.join();
  modules_->close_storage();
}

void Node::resign() {
  modules_->post([](NodeModules& modules) { modules.resign(); });
}

void Node::subscribe_to_load(const std::string& server) {
  modules_->post([server](NodeModules& modules) { modules.subscribe_to_load(server); });
}

void Node::submit_observation(placement::Observation observation) {
  auto taken_at_unix_ms = unix_ms();
  modules_->post([observation = std::move(observation), taken_at_unix_ms](NodeModules& modules) {
    modules.submit_observation(observation, taken_at_unix_ms);
  });
}

std::uint64_t Node::adopted_plan_number() const { return modules_->adopted_plan_number(); }

void Node::reconfigure(std::string discovery, std::vector<NodeAddress> nodes) {
  modules_->post([discovery = std::move(discovery), nodes = std::move(nodes)](NodeModules& modules) {
    modules.reconfigure(discovery, nodes);
  });
}

int Node::port() const { return modules_->port(); }

}  // namespace database_proxy::group
