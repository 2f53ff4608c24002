// The experiment `cores`: the same load against a proxy with one worker and with several, with shared and
// split decisions. The variants are interleaved in rounds, so that a drift of the machine's speed affects all
// of them alike.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace database_proxy::testbench {

struct CoresOptions {
  std::string program;   // path of the proxy
  std::string baseline;  // path of an earlier build, measured in the same rounds; empty: none
  std::string folder;    // for the files of the proxy; must exist
  int rounds = 5;
  double seconds = 3, warm_up = 0.7;
  double rate_per_worker = 5000;  // open loop: requests per second for each worker
  std::vector<int> workers{1, 2, 4};
  std::vector<int> cpus;  // CPUs for the whole experiment; empty: all CPUs of this process
  int shard_groups = 4, replicas = 3, connections = 64, depth = 16;
  std::uint64_t seed = 1;
};

// The CPUs of each part of the experiment. The parts do not share CPUs if there are enough.
struct CpuAssignment {
  std::vector<int> proxy;  // workers first, then the decision thread
  std::vector<int> fake_servers, load;
  bool shares_cpus = false;  // whether two parts share a CPU
};
// Divides the CPUs among the proxy, the fake servers and the load. The last ones go to the harness and are
// the same for every number of workers up to `max_workers`.
CpuAssignment assign_cpus(const std::vector<int>& cpus, int workers, bool decision_thread, int max_workers);

// Runs the experiment and returns {"rows": medians over the rounds, "rounds": every single run, "machine":
// ..., "ratios": ...}.
nlohmann::json run_cores(const CoresOptions& options);
// Writes cores.json, cores.md and the charts into the folder.
void write_cores_report(const nlohmann::json& result, const std::string& folder, const std::string& command);

}  // namespace database_proxy::testbench
