// What a soak plays, drawn from a seed: upgrades of each node with faults of their own, and faults of what
// stands around the nodes. Pure: the same seed gives the same script, and a script can be stored and read.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "testbench/fault_injection/fault_control.h"

namespace database_proxy::testbench {

// What happens to a process while another one takes its place.
enum class ProcessFault { kNone, kKilled, kStopped };

struct CallFaultRate {
  CallFault fault = CallFault::kShortRead;
  std::uint32_t one_in = 0;
};

// One upgrade in place of one node.
struct PlannedUpgrade {
  int pause_ms = 0;  // behind the one before
  ProcessFault successor = ProcessFault::kNone;
  int successor_fault_after_ms = 0;                // from its start
  bool has_second_successor = false;                           // a second successor is started at the same time
  ProcessFault old_process = ProcessFault::kNone;  // in the overlap
  int stopped_ms = 0;
  int sigterms = 1;                           // SIGTERMs that the old process gets
  int sighups = 0;                            // SIGHUPs that both get in the overlap
  std::vector<CallFaultRate> call_faults;  // of the successor, for all its life
  std::int64_t wall_clock_step_us = 0;     // at the successor, in the overlap
};

// A call of an operator at a node. Calls of one node are made one after another.
enum class CallKind {
  kCordon,
  kUncordon,
  kRepeatUncordon  // puts back once more what was put back over a second ago: it must not be cordoned
};
struct PlannedCall {
  int at_ms = 0;
  CallKind kind = CallKind::kCordon;
  std::string server;
  bool is_known = true;    // false: no server has this id
  bool at_newest = false;  // at the newest process of the node, else at the oldest
};

// An action of the fake servers (docs/lab.md), so long after the start.
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

// `replicas` may be hit by faults; they and the primary are drained, cordoned and put back.
SoakScript generate_script(std::uint64_t seed, int nodes, int seconds, const std::string& primary,
                       const std::vector<std::string>& replicas);

nlohmann::json script_to_json(const SoakScript& script);
SoakScript script_from_json(const nlohmann::json& json);

}  // namespace database_proxy::testbench
