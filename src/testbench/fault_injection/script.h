// Fault scripts: a JSON array of faults, each an array of steps that run one after another. A step is an
// object with `do` and the parameters of that step; docs/lab.md lists them. A node is given by name (n1, p1)
// or by its current role: `leader`, `owner JOB`, `other` (a voter that is neither the leader nor the fault's
// first node), `victim` (the fault's first node).
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace database_proxy::testbench::faults {

class FaultHarness;

// One step of a fault.
struct Step {
  std::string action, node, to;  // `to`: the other end of a link
  std::int64_t ms = 0;           // wait: duration; shape: delay; slow-disk: added to each sync
  std::int64_t bytes = 0;        // shape: bytes per second; limit-files: maximum size of a file
  std::int64_t stall_after = -1;
  nlohmann::json control_command;  // steer: the command for the fake servers
};
using Fault = std::vector<Step>;
using Script = std::vector<Fault>;

// Throws std::runtime_error with one line that names the step and the error.
Script parse_script(const nlohmann::json& text);
Script read_script(const std::string& path);
// Runs one fault and returns its description. Sets `*victim` to the first node, as resolved when its step
// began. Throws std::runtime_error if a step names a node that does not exist at that moment; the steps
// before it are not undone.
std::string run_fault(FaultHarness& harness, const Fault& fault, std::string* victim);

}  // namespace database_proxy::testbench::faults
