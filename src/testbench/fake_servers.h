// Fake servers for the daemon to connect to: servers in shard groups, and discovery with its watch, on
// loopback ports that the system picks. They behave as testbench/model.h describes, are controlled at run
// time, and check the invariants of testbench/rules.h.
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

// An action that the fake servers execute at a given time.
struct ScriptStep {
  Micros at{0};           // time since the start
  nlohmann::json action;  // {"do":"drain","server":"s1-2"}
};

struct FakeServersOptions {
  int shard_groups = 1, replicas = 2;
  std::size_t connections = 2000;  // maximum for one server; further ones are rejected with 53300
  int threads = 1;                 // shard groups are distributed over them
  std::vector<int> cpus;           // threads are pinned to these in turn; empty: not pinned
  std::vector<std::string> zones{"north-bldg"};
  Micros handover_gap{300'000};  // time without a primary during a handover
  Micros key_window{5'000'000};
  int nodes = 0;                             // number of nodes with a discovery address of their own
  int discovery_port = 0, control_port = 0;  // 0: the system picks one
  std::uint64_t seed = 1;
  ModelOptions model;
  InvariantLimits limits;
  // Time that discovery takes for one list call (calls are processed one after another), and the number of
  // calls that may wait; further ones are rejected with 503.
  Micros list_call_cost{0};
  int max_waiting_list_calls = 0;  // 0: no limit
  std::vector<ScriptStep> script;
  // Returns the address that the endpoint list gives for a server of this zone and port; empty: its own
  // address.
  std::function<std::string(const std::string& zone, int port)> advertised_address;
  // Returns the additional replication lag of a replica in `zone` whose primary is in zone `primary`; empty:
  // none.
  std::function<Micros(const std::string& primary, const std::string& zone)> lag_between;

  // Reads the options from JSON. Throws std::invalid_argument, which names the key.
  static FakeServersOptions parse(const nlohmann::json& json);
};

// Counters of one fake server.
struct ServerCounters {
  std::uint64_t requests = 0, probes = 0, rejected = 0, not_primary = 0, too_old = 0, malformed = 0,
                opened = 0;
  int connections = 0, max_connections = 0, overloads = 0;
};

// Runs the fake servers, discovery and the control socket in threads of their own.
class FakeServers {
 public:
  // Listens and starts the threads. Throws std::runtime_error if it cannot listen.
  explicit FakeServers(FakeServersOptions options);
  ~FakeServers();

  std::string discovery_address() const;  // address of discovery
  // Returns discovery's address for one node, numbered from 0; updates sent there are checked as the node's
  // (OutOfServiceChecker).
  std::string discovery_address_of(int node) const;
  std::string control_address() const;  // takes one JSON object per line and answers each with one
  InvariantChecker& invariants() { return invariants_; }
  std::vector<std::string> servers() const;
  // Executes one action. Throws std::invalid_argument if the action, or a server or zone that it names, is
  // unknown.
  void control(const nlohmann::json& action);
  std::map<std::string, ServerCounters> counters();
  nlohmann::json report();
  nlohmann::json members();  // the endpoint list as discovery returns it
  std::vector<double> thread_cpu_seconds();
  // Returns the number of list calls that discovery received, by second of the monotonic clock.
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
  mutable std::mutex mutex_;  // guards control() and what it changes
  std::map<std::string, ServerLocation> locations_;
  std::map<int, int> last_server_numbers_;  // by shard group; numbers are not reused
  std::map<int, std::string> primaries_;
  void apply_zone_lag(int shard_group);
};

}  // namespace database_proxy::testbench
