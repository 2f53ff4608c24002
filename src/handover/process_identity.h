// Identity of a process of this machine, which distinguishes it from a later one with the same pid.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <optional>

namespace database_proxy::handover {

// The pid of a process and its start time. Neither depends on the wall clock.
struct ProcessIdentity {
  pid_t pid = 0;
  std::uint64_t start_ticks = 0;  // since boot; 0: unknown
  bool operator==(const ProcessIdentity&) const = default;

  static ProcessIdentity own();
};

enum class ProcessState {
  kRunning,  // also one that sleeps or waits for a disk
  kStopped,  // by a signal or a debugger: it does not answer until it is continued
  kGone,     // it has ended, whether or not its parent has waited for it
};

// Returns the state of the process that has this pid now.
ProcessState state_of(pid_t pid);
// Returns the state of exactly this process: kGone if another process has its pid by now.
ProcessState state_of(const ProcessIdentity& process);

}  // namespace database_proxy::handover
