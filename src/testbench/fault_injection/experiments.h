// The fault injection experiments: many random faults, drawn from a printed seed, between many processes, and
// result rows with the findings of the checkers. docs/operations/group.md and docs/lab.md explain the rows.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "testbench/fault_injection/script.h"

namespace database_proxy::testbench::faults {

struct ExperimentOptions {
  std::string program, folder;
  int processes = 0;  // 0: the experiment's default
  std::uint64_t seed = 1;
  int faults = 50;         // per seed
  double rate = 10;        // savings: requests a second at each proxy
  int lag_ms = 0;          // savings: lag of replicas that do not check the age of reads; 0: they check
  std::string history;     // file to write the events to; empty: none
  std::string before;      // coldstart: path of the program of an earlier commit
  std::string zone_fault;  // zones: run only this fault; empty: all
  Script script;           // group, owner: faults to inject; empty: random faults
};

// Tests elections, membership and the log under faults, with clients that write and read registers of the
// group.
nlohmann::json run_group(const ExperimentOptions& options);
// Tests jobs and their lease holders under faults, with load at the proxies.
nlohmann::json run_owner(const ExperimentOptions& options);
// Measures what jobs with a lease holder save: first each proxy polls and probes for itself, then lease
// holders do it for all. Returns one row for each mode.
nlohmann::json run_savings(const ExperimentOptions& options);

// Measures the loss of a zone of data servers under load, with each proxy deciding alone and with a common
// placement plan. Returns one row for each fault and mode.
nlohmann::json run_zones(const ExperimentOptions& options);

// Measures the cost of zone observation and placement planning with many proxies, servers and shard groups,
// without and with the plan. Returns one row for each mode.
nlohmann::json run_zones_cost(const ExperimentOptions& options);

// Measures a cold start of the whole installation: hundreds of proxies without an endpoint list, a strong or
// weak discovery service, and data servers that are warming up. Returns, for each discovery service, one row
// for the earlier program (`before`; skipped if empty), one for proxies without a group and one for the
// group.
nlohmann::json run_coldstart(const ExperimentOptions& options);

// Measures the return of all followers (proxy nodes without a vote) at once, and of a voter that is `entries`
// log entries behind.
nlohmann::json run_return(const ExperimentOptions& options);

// Runs `proxy-testbench faults NAME ...`. Returns the exit code: 0, or 2 if a check failed.
int run(const std::vector<std::string>& arguments);

}  // namespace database_proxy::testbench::faults
