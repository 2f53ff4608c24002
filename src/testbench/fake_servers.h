// Stand-ins for what the daemon talks to: data servers in sets, and discovery with its watch, on loopback
// ports that the system picks. They behave as src/lab/model.h says, are steered at run time, and check the
// rules.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "testbench/model.h"
#include "testbench/rules.h"

namespace database_proxy::testbench {

struct ScriptStep {
  Micros at{0};           // from the start
  nlohmann::json action;  // {"do":"drain","server":"s1-2"}
};

struct FakeServersOptions {
  int shard_groups = 1, replicas = 2;
  std::size_t connections = 2000;  // that one server takes; more are turned away with 53300
  int threads = 1;                 // sets are dealt out over them
  std::vector<int> cpus;           // threads are pinned to these, in turn; empty: not at all
  std::vector<std::string> zones{"north-bldg"};
  Micros handover_gap{300'000};  // without a primary
  Micros key_window{5'000'000};
  int nodes = 0;                           // that discovery tells apart: each has an address of it
  int discovery_port = 0, control_port = 0;  // 0: the system picks one
  std::uint64_t seed = 1;
  ModelOptions model;
  InvariantLimits limits;
  // The list service: what a call costs it, one after another, and how many may wait; more are told 503.
  Micros list_call_cost{0};
  int max_waiting_list_calls = 0;  // 0: any number
  std::vector<ScriptStep> script;
  // Where the list says that a server of this zone and port is to be reached; empty: where it is.
  std::function<std::string(const std::string& zone, int port)> advertised_address;
  // How much further behind a replica is whose primary stands in another zone; empty: no further.
  std::function<Micros(const std::string& primary, const std::string& zone)> lag_between;

  // Reads the form of docs/lab.md. Throws std::invalid_argument, naming the key.
  static FakeServersOptions parse(const nlohmann::json& json);
};

struct ServerCounters {
  std::uint64_t requests = 0, probes = 0, rejected = 0, not_primary = 0, too_old = 0, malformed = 0,
                opened = 0;
  int connections = 0, max_connections = 0, overloads = 0;
};

class FakeServers {
 public:
  // Listens and runs its threads. Throws std::runtime_error when it cannot.
  explicit FakeServers(FakeServersOptions options);
  ~FakeServers();

  std::string discovery() const;  // its address
  // Its address for one node, from 0; notices that go there are checked as the node's (WithdrawalChecker).
  std::string discovery_of(int node) const;
  std::string control_address() const;  // takes a JSON object a line, answers each with one
  InvariantChecker& invariants() { return invariants_; }
  std::vector<std::string> servers() const;
  // Carries out one action; throws std::invalid_argument for one that is unknown or names nothing known.
  void control(const nlohmann::json& action);
  std::map<std::string, ServerCounters> counters();
  nlohmann::json report();
  nlohmann::json members();  // the list as discovery gives it
  std::vector<double> thread_cpu_seconds();
  // Whole lists and calls that came to the list service, by second of the monotonic clock.
  std::map<std::int64_t, std::uint64_t> list_calls_by_second();

 private:
  class Discovery;
  class ShardGroupThread;
  class DataServer;
  class Connection;
  class ControlServer;
  struct ServerLocation {
    ShardGroupThread* thread = nullptr;
    DataServer* server = nullptr;
    int shard_group = 0;
    std::string zone;
  };
  const ServerLocation& location_of(const nlohmann::json& action) const;
  void add_server(int shard_group, bool primary, bool is_warming_up, bool announces_start = true);
  void run_in_thread(const ServerLocation& location, const std::function<void()>& call) const;

  FakeServersOptions options_;
  InvariantChecker invariants_;
  std::vector<std::unique_ptr<ShardGroupThread>> threads_;
  std::unique_ptr<Discovery> discovery_;
  std::unique_ptr<ControlServer> control_server_;
  mutable std::mutex mutex_;  // of steer() and what it changes
  std::map<std::string, ServerLocation> locations_;
  std::map<int, int> last_server_numbers_;  // servers ever made, by set
  std::map<int, std::string> primaries_;
  void apply_zone_lag(int shard_group);
};

}  // namespace database_proxy::testbench
