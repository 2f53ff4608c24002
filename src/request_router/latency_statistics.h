// Latency statistics: the smoothed latency of each class at each member and over all members, and the current
// slowdown of each member compared with its usual latency.
//
// Rule: only attempts that succeeded change the averages; attempts that succeeded or timed out change the
// recent slowdown. A member's own average decays towards the average over all members and its slowdown
// towards none, so that a member that receives no requests is not judged by outdated measurements
// indefinitely.
// All latencies are in microseconds; times are points on the caller's clock.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

#include "request_router/router.h"
#include "time_units.h"

namespace request_router::internal {

// The latency statistics of one member.
struct MemberLatency {
  std::vector<double> average;  // by class, as of `averaged_at`; 0: no answer yet
  Micros averaged_at{0};        // when `average` was last updated
  double slowdown = 1;          // recent latency over the average, as of `slowdown_at`
  Micros slowdown_at{0};        // when `slowdown` was last updated
};

// The averages over all members, and the rules by which the averages of one member are updated and decay.
class LatencyStatistics {
 public:
  // `average_half_life`: the time in which a member's average decays half way to the one over all members.
  // `slowdown_half_life`: the time in which a member's slowdown decays by half.
  LatencyStatistics(const std::vector<RequestClass>& classes, Micros average_half_life,
                    Micros slowdown_half_life);

  // Smoothed latency of the class over all members; before the first answer a fraction of its objective.
  double typical(std::size_t request_class) const { return typical_[request_class]; }

  // The typical latency of the fastest class.
  double min_typical() const { return *std::min_element(typical_.begin(), typical_.end()); }

  // The ratio of the mean latency of this class to that of the fastest class: calculated from answers only,
  // or from the objectives before the first answer of this class.
  double relative_latency(std::size_t request_class) const;

  // Whether any member has answered a request of this class.
  bool is_observed(std::size_t request_class) const { return observed_[request_class]; }

  // Smoothed latency of the class at this member, decayed to `now`.
  double average(const MemberLatency& latency, std::size_t request_class, Micros now) const {
    double typical = typical_[request_class];
    double own = latency.average[request_class];
    if (own <= 0) return typical;
    double age = to_double(now - latency.averaged_at);
    return typical + (own - typical) * std::exp2(-age / average_half_life_);
  }

  // load(N) of the cost model: recent latency at this member over its average, decayed to `now`; at least 1.
  double load(const MemberLatency& latency, Micros now) const {
    double age = to_double(now - latency.slowdown_at);
    double faded = 1 + (latency.slowdown - 1) * std::exp2(-age / slowdown_half_life_);
    return std::max(1.0, faded);
  }

  // Records an attempt that succeeded after `duration`.
  void record_success(MemberLatency& latency, std::size_t request_class, double duration, Micros now);

  // Records the duration of an attempt that succeeded or timed out. For a success, call `record_success`
  // first.
  void record_slowdown(MemberLatency& latency, std::size_t request_class, double duration, Micros now) const;

 private:
  double average_half_life_;
  double slowdown_half_life_;
  std::vector<double> typical_;  // by class
  std::vector<double> assumed_;  // by class: the typical latency before the first answer
  // By class: the mean of the answers, of the latest ones once there are many. Unlike `typical_`, it contains
  // no part of the assumed latency, which decays at a different rate in each class.
  std::vector<double> measured_;
  std::vector<int> answer_counts_;  // by class, up to the number in a mean
  std::vector<bool> observed_;      // by class
};

}  // namespace request_router::internal
