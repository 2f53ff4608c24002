// The script of a soak test, generated from a seed: upgrades of each node with their faults, and faults of
// the data servers and discovery. Deterministic: the same seed gives the same script. A script can be stored
// as JSON and read back.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "testbench/fault_injection/fault_control.h"

namespace database_proxy::testbench {

// A fault of a process during an upgrade in place.
enum class ProcessFault { kNone, kKilled, kStopped };

struct CallFaultRate {
  CallFault fault = CallFault::kShortRead;
  std::uint32_t one_in = 0;
};

// One upgrade in place of one node: a successor process takes over from the old one.
struct PlannedUpgrade {
  int pause_ms = 0;  // after the previous upgrade
  ProcessFault successor = ProcessFault::kNone;
  int successor_fault_after_ms = 0;                // since the start of the successor
  bool has_second_successor = false;               // a second successor starts at the same time
  ProcessFault old_process = ProcessFault::kNone;  // while both processes run
  int stopped_ms = 0;
  int sigterms = 1;                        // number of SIGTERMs sent to the old process
  int sighups = 0;                         // number of SIGHUPs sent to both while both run
  std::vector<CallFaultRate> call_faults;  // of the successor, for its whole lifetime
  std::int64_t wall_clock_step_us = 0;     // of the successor, while both run
};

// An operator's call to a node. Calls to one node are made one after another.
enum class CallKind {
  kCordon,
  kUncordon,
  kRepeatUncordon  // uncordons again a server uncordoned over 1 s ago: it must not be cordoned
};
struct PlannedCall {
  int at_ms = 0;
  CallKind kind = CallKind::kCordon;
  std::string server;
  bool is_known = true;    // false: no server has this id
  bool at_newest = false;  // sent to the newest process of the node, else to the oldest
};

// An action of the fake servers (docs/lab.md), at a time since the start.
struct PlannedAction {
  int at_ms = 0;
  nlohmann::json action;
};

struct SoakScript {
  std::uint64_t seed = 1;
  int seconds = 8;
  bool has_idle_clients = false;
  std::vector<std::vector<PlannedUpgrade>> nodes;
  std::vector<std::vector<PlannedCall>> calls;  // by node
  std::vector<PlannedAction> actions;
};

// Generates a script for a seed. Faults are injected into `replicas` only. The primary and all replicas but
// the first may be drained, cordoned and returned to service.
SoakScript generate_script(std::uint64_t seed, int nodes, int seconds, const std::string& primary,
                           const std::vector<std::string>& replicas);

nlohmann::json script_to_json(const SoakScript& script);
SoakScript script_from_json(const nlohmann::json& json);

}  // namespace database_proxy::testbench
