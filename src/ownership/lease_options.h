// Durations that a lease's two sides share. Every node of a group must use the same ones.
#pragma once

#include <chrono>
#include <cstdint>

namespace database_proxy::ownership {

using Micros = std::chrono::microseconds;

// How long leases last and how long the leader waits before it reassigns a job.
struct LeaseOptions {
  // Of a lease, counted by its holder from when it sent the renewal request.
  Micros duration{2'000'000};
  // Part of `duration` by which two nodes' clocks may differ in rate. Free-running clocks differ by 0.02 % at
  // most and NTP slews by 0.05 % more; 1 % is far from both.
  double max_clock_drift_ratio = 0.01;
  // Time from a holder's check to the effect that it allows: a scheduler's pause on a busy machine. No margin
  // helps against SIGSTOP; the fencing token does.
  Micros pause_margin{250'000};
  // A holder that reports no progress for so long loses the job.
  Micros progress_timeout{6'000'000};
  // For so long it gets the job back only if no other node is eligible.
  Micros exclusion_duration{30'000'000};
  // At most one job moves per interval to rebalance the load.
  Micros rebalance_interval{1'000'000};
  // Take a guard away. Only the simulator sets them, to prove that it would notice.
  bool flaw_no_margin = false, flaw_no_check = false;

  // Time that must pass after the last request that may have been granted until nobody can hold the lease.
  Micros safe_reassignment_delay() const {
    if (flaw_no_margin) return duration;
    return duration + pause_margin + Micros(static_cast<std::int64_t>(static_cast<double>(duration.count()) * max_clock_drift_ratio));
  }
};

}  // namespace database_proxy::ownership
