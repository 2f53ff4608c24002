// Faults from a script: a JSON array of faults, each an array of steps that are done one after the other. A
// step is one object with `do` and what that needs; docs/lab.md lists them. Nodes are named (n1, p1), or by
// what they are at that moment: `leader`, `owner JOB`, `other` (a voter that is neither the leader nor the
// fault's first node), `victim` (the fault's first node).
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace database_proxy::testbench::faults {

class FaultHarness;

struct Step {
  std::string action, node, to;  // `to`: the other end of a link
  std::int64_t ms = 0;         // wait: how long; shape: the delay; slow-disk: of each sync
  std::int64_t bytes = 0;      // shape: a second; limit-files: most of one file
  std::int64_t stall_after = -1;
  nlohmann::json control_command;  // steer: the stand-in's own words
};
using Fault = std::vector<Step>;
using Script = std::vector<Fault>;

// Throws std::runtime_error with one line: what of which step cannot be.
Script parse_script(const nlohmann::json& text);
Script read_script(const std::string& path);
// Does one fault; returns it in words. `*victim`: its first node, as named when it began. Throws
// std::runtime_error where a step names what is not there at that moment, after undoing nothing.
std::string run_fault(FaultHarness& harness, const Fault& fault, std::string* victim);

}  // namespace database_proxy::testbench::faults
