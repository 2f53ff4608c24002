// The testbench's side of the fault control of one process: its file, its shared memory, and the environment
// that the process has to be started with.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "testbench/fault_injection/fault_control.h"

namespace database_proxy::testbench {

// Owns the control file and the mapping of the fault control of one process.
class CallFaults {
 public:
  // `program`: the program to be started; the preloaded library is in its directory. Throws
  // std::runtime_error.
  CallFaults(const std::string& program, const std::string& file, std::uint64_t seed);
  ~CallFaults();
  CallFaults(const CallFaults&) = delete;
  CallFaults& operator=(const CallFaults&) = delete;

  std::vector<std::pair<std::string, std::string>> environment() const;
  FaultControl& control() { return *control_; }
  // Turns off all faults and resets the wall clock offset.
  void clear();

 private:
  std::string library_, file_;
  FaultControl* control_ = nullptr;
};

}  // namespace database_proxy::testbench
