// Timing of leases, shared by the lease holder and the leader. Every node of a group must use the same
// values.
#pragma once

#include <chrono>
#include <cstdint>

namespace database_proxy::ownership {

using Micros = std::chrono::microseconds;

// The duration of leases and the delays before the leader reassigns a job.
struct LeaseOptions {
  // Duration of a lease, counted by its holder from the time it sent the renewal request.
  Micros duration{2'000'000};
  // Maximum relative difference in rate between two nodes' clocks, as a fraction of `duration`. Free-running
  // clocks differ by at most 0.02 % and NTP slewing adds 0.05 %; 1 % is well above both.
  double max_clock_drift_ratio = 0.01;
  // Allowance for the time between a holder's lease check and the effect that the check permits, such as a
  // scheduling delay on a busy machine. It cannot cover a process stopped by SIGSTOP; the fencing token does.
  Micros pause_margin{250'000};
  // A holder that has reported no progress for this long loses the job.
  Micros progress_timeout{6'000'000};
  // For this long, a node that lost a job gets it back only if no other node is eligible.
  Micros exclusion_duration{30'000'000};
  // At most one job is moved in each interval to rebalance the load.
  Micros rebalance_interval{1'000'000};
  // Each disables a safeguard. Set only by the simulator, to verify that its checks detect the missing
  // safeguard.
  bool flaw_no_margin = false, flaw_no_check = false;

  // Returns the time that must pass after the last renewal request that may have been granted, until no node
  // can hold the lease.
  Micros safe_reassignment_delay() const {
    if (flaw_no_margin) return duration;
    return duration + pause_margin +
           Micros(static_cast<std::int64_t>(static_cast<double>(duration.count()) * max_clock_drift_ratio));
  }
};

}  // namespace database_proxy::ownership
