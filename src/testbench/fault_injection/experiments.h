// The experiments of the fault rig: many faults drawn from a printed seed between many processes, and rows of
// what the checkers found. docs/operations/group.md and docs/lab.md tell how to read them.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "testbench/fault_injection/script.h"

namespace database_proxy::testbench::faults {

struct ExperimentOptions {
  std::string program, folder;
  int processes = 0;  // 0: the experiment's own number
  std::uint64_t seed = 1;
  int faults = 50;      // of one seed
  double rate = 10;     // savings: requests a second at each proxy
  int lag_ms = 0;       // savings: of replicas that do not check the age themselves; 0: they check
  std::string history;  // write it to this file; empty: not
  std::string before;   // coldstart: the program of an earlier commit
  std::string zone_fault;     // zones: this fault alone; empty: all
  Script script;        // group, owner: these faults, in place of drawn ones; empty: drawn
};

// Elections, members and the log under faults, with clients that write and read registers of the group.
nlohmann::json run_group(const ExperimentOptions& options);
// Jobs and their owners under faults, with load at the proxies.
nlohmann::json run_owner(const ExperimentOptions& options);
// What owned jobs save: proxies each for itself, then with the jobs owned, in one run; a row each.
nlohmann::json run_savings(const ExperimentOptions& options);

// Zones of data servers lost under load, each proxy alone and by a common plan; a row for each fault and
// mode.
nlohmann::json run_zones(const ExperimentOptions& options);

// What observing and planning costs: many proxies, servers and sets, without the plan and with it; a row
// each.
nlohmann::json run_zones_cost(const ExperimentOptions& options);

// Everything was off and starts at once: hundreds of proxies that know nothing, a weak list service, data
// servers that are cold. A row each for the program of before (`before`: its path; empty: not played), for
// each proxy by itself, and for the group.
nlohmann::json run_coldstart(const ExperimentOptions& options);

// All followers come back at once, and a voter that is `entries` behind.
nlohmann::json run_return(const ExperimentOptions& options);

// `proxy-testbench faults NAME ...`
int run(const std::vector<std::string>& arguments);

}  // namespace database_proxy::testbench::faults
