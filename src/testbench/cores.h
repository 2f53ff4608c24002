// The experiment `cores`: the same load against one worker and several, decisions shared and split, in rounds
// that are interleaved so that a machine whose speed drifts treats all alike.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace database_proxy::testbench {

struct CoresOptions {
  std::string program;   // the daemon
  std::string baseline;  // an earlier build, measured in the same rounds; empty: none
  std::string folder;    // for its files; must exist
  int rounds = 5;
  double seconds = 3, warm_up = 0.7;
  double rate_per_worker = 5000;  // open loop: requests a second for each worker
  std::vector<int> workers{1, 2, 4};
  std::vector<int> cpus;  // that the whole may use; empty: all of this process
  int shard_groups = 4, replicas = 3, connections = 64, depth = 16;
  std::uint64_t seed = 1;
};

// Which processors run what, so that no part disturbs another where there are enough.
struct CpuAssignment {
  std::vector<int> proxy;  // workers first, then the decision thread
  std::vector<int> fake_servers, load;
  bool shares_cpus = false;  // some share a processor
};
CpuAssignment assign_cpus(const std::vector<int>& cpus, int workers, bool decision_thread, int max_workers);

// {"rows": medians over the rounds, "rounds": every single run, "machine": ..., "checks": ...}
nlohmann::json run_cores(const CoresOptions& options);
// Writes cores.json, cores.md and the charts.
void write_cores_report(const nlohmann::json& result, const std::string& folder, const std::string& command);

}  // namespace database_proxy::testbench
