// Test fixture for one node of the platform on loopback: the listening socket that the platform holds for
// clients, fake data servers and discovery, and the processes that are started on that socket.
#pragma once

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <memory>

#include "proxy/rig.h"
#include "testbench/fake_servers.h"
#include "testbench/load.h"
#include "testbench/process_under_test.h"

namespace database_proxy::test {

using testbench::FakeServers;
using testbench::FakeServersOptions;
using testbench::ProcessUnderTest;
using testbench::ProcessUnderTestOptions;

constexpr auto kCallTimeout = std::chrono::milliseconds(1000);
constexpr auto kHealthTimeout = std::chrono::seconds(6);
// From SIGTERM to the platform's earliest SIGKILL: the longest deadline, counted as 3 s at most, and 0.7 s.
constexpr auto kShutdownLimit = std::chrono::milliseconds(3700);

class Node {
 public:
  Node() : Node(FakeServersOptions{}) {}
  explicit Node(const FakeServersOptions& servers_options) : servers(servers_options) {
    auto pattern = (std::filesystem::temp_directory_path() / "database-proxy-node-XXXXXX").string();
    REQUIRE(mkdtemp(pattern.data()));
    folder = pattern;
    std::filesystem::create_directory(shared_folder());
    int error = 0;
    listening_socket =
        net::listen_on(*net::parse_address(fmt::format("127.0.0.1:{}", testbench::free_port())), &error);
    REQUIRE(listening_socket);
  }
  ~Node() { std::filesystem::remove_all(folder); }

  int port() const { return net::local_port(listening_socket.get()); }
  std::string shared_folder() const { return folder + "/tmp"; }
  // Takes the folder away in one step: processes go on creating files in it while its files are removed.
  void remove_shared_folder() { std::filesystem::rename(shared_folder(), folder + "/removed"); }

  ProcessUnderTestOptions options() {
    ProcessUnderTestOptions options;
    options.program = DATABASE_PROXY_PROGRAM;
    options.folder = fmt::format("{}/{}", folder, ++started_);
    std::filesystem::create_directory(options.folder);
    options.discovery = servers.discovery_address();
    options.known_members = servers.members();
    options.port = port();
    options.wait_until_ready = false;
    options.listening_socket = listening_socket.get();
    options.operator_address = fmt::format("127.0.0.1:{}", testbench::free_port());
    options.environment.emplace_back("TMPDIR", shared_folder());
    return options;
  }
  std::unique_ptr<ProcessUnderTest> start(const ProcessUnderTestOptions& options) {
    return std::make_unique<ProcessUnderTest>(options);
  }
  std::unique_ptr<ProcessUnderTest> start() { return start(options()); }

  testbench::LoadOptions load(std::chrono::milliseconds length) {
    testbench::LoadOptions options;
    options.target = *net::parse_address(fmt::format("127.0.0.1:{}", port()));
    options.duration = length;
    options.invariants = &servers.invariants();
    return options;
  }

  FakeServers servers;
  std::string folder;
  net::Fd listening_socket;

 private:
  int started_ = 0;
};

// Returns a read of the shard group that the fake servers serve.
inline std::string read_statement(const std::string& id, int timeout_ms = 1500) {
  return fmt::format("SELECT content FROM kv WHERE name = 'k1' /* id={},c=browse,d={},cluster=1 */", id,
                     timeout_ms);
}

// Returns a write with a distinct idempotency key for each number.
inline std::string write_statement(int number) {
  return fmt::format(
      "INSERT INTO kv (name, content) VALUES ('k1', '\\x9f') RETURNING content "
      "/* id=w{},c=book,d=1000,k={:x},cluster=1 */",
      number, number + 1);
}

inline bool is_healthy(const ProcessUnderTest& process) {
  return process.operator_call("health", kCallTimeout).starts_with("YES");
}

inline bool becomes_healthy(ProcessUnderTest& process) {
  return eventually([&] { return is_healthy(process) || !process.running(); }, kHealthTimeout) &&
         is_healthy(process);
}

}  // namespace database_proxy::test
