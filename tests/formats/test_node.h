// Runs a real group::Node inside the test process, as a daemon does, and keeps its log lines for inspection.
#pragma once

#include <stdlib.h>

#include <exception>
#include <filesystem>
#include <iostream>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <vector>

#include "formats/peer_connection.h"
#include "group/node.h"

namespace database_proxy::test {

// A new empty directory, removed by the destructor.
class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    std::string pattern = (std::filesystem::temp_directory_path() / "database_proxy-XXXXXX").string();
    if (!mkdtemp(pattern.data())) throw std::runtime_error("cannot create a temporary directory");
    path_ = pattern;
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(path_); }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

// Reports each probe as successful at the end of the loop iteration, with the same latency and load report.
class InstantHealthChecker : public group::HealthChecker {
 public:
  explicit InstantHealthChecker(group::HealthCheckCallback on_result) : on_result_(std::move(on_result)) {}
  void update_endpoints(const discovery::EndpointListUpdate&) override {}
  void check(const std::string& server) override { pending_checks_.push_back(server); }
  void end_loop_iteration() override {
    for (auto& server : std::exchange(pending_checks_, {}))
      on_result_({server, true, group::Micros(1500), "x2=3"});
  }

 private:
  group::HealthCheckCallback on_result_;
  std::vector<std::string> pending_checks_;
};

// Returns the options that all nodes of these tests share. A voter listens on a port that the system picks.
inline group::Options node_options(const std::string& name, std::vector<group::NodeAddress> nodes) {
  group::Options options;
  options.installation = "golden";
  options.name = name;
  options.nodes = std::move(nodes);
  options.seed = 7;
  options.probe_interval = group::Micros(200'000);
  if (options.is_voter()) options.listen = "127.0.0.1:0";
  return options;
}

// Returns options of the only voter of a group; short election timeouts make it the leader quickly.
inline group::Options single_voter_options(const std::string& directory) {
  auto options = node_options("a", {{"a", "127.0.0.1:1"}});
  options.directory = directory;
  options.heartbeat = group::Micros(25'000);
  options.election_min = group::Micros(100'000);
  options.election_max = group::Micros(150'000);
  options.lease = group::Micros(400'000);
  group::PlacementOptions placement;
  placement.regions = {{"z1", "r1"}, {"z2", "r1"}};
  placement.requests_per_weight = 100;
  options.placement = placement;
  return options;
}

// A node and its host. The host ignores all callbacks; the log lines are printed if the test fails.
class TestNode : public group::NodeHost {
 public:
  explicit TestNode(group::Options options) {
    node_ = std::make_unique<group::Node>(std::move(options), "127.0.0.1:1", discovery::PollingSchedule(),
                                          discovery::EndpointListUpdate(), *this,
                                          [this](net::Level, const std::string& line) {
                                            std::lock_guard lock(mutex_);
                                            log_lines_.push_back(line);
                                          });
  }
  ~TestNode() override {
    node_->stop();
    if (!testing::Test::HasFailure() && std::uncaught_exceptions() == 0) return;
    for (auto& line : log_lines_) std::cout << line << '\n';
  }
  group::Node& node() { return *node_; }
  int port() const { return node_->port(); }
  std::vector<std::string> log_lines() {
    std::lock_guard lock(mutex_);
    return log_lines_;
  }

 private:
  void on_effective_endpoint_list(const discovery::EndpointListUpdate&, bool) override {}
  void on_load_reports(std::vector<group::LoadReport>) override {}
  void on_group_unavailable(group::EndpointListFallback) override {}
  void on_plan_adopted(const std::optional<placement::Plan>&) override {}
  std::unique_ptr<group::HealthChecker> make_health_checker(net::Loop&,
                                                            group::HealthCheckCallback on_result) override {
    return std::make_unique<InstantHealthChecker>(std::move(on_result));
  }

  std::mutex mutex_;
  std::vector<std::string> log_lines_;
  std::unique_ptr<group::Node> node_;
};

// Returns the hello message of a peer.
inline json hello_message(const std::string& name, const std::string& kind, std::uint64_t id = 0,
                          const std::string& installation = "golden") {
  return {{"t", "hello"}, {"v", 1},   {"least", 1},  {"installation", installation},
          {"name", name}, {"id", id}, {"kind", kind}};
}

// Connects to a node and completes the handshake as the given peer.
inline PeerConnection dial_as(int port, const std::string& name, const std::string& kind,
                              std::uint64_t id = 0) {
  auto peer = PeerConnection::dial(port);
  peer.handshake(hello_message(name, kind, id));
  return peer;
}

}  // namespace database_proxy::test
