// How long requests take: smoothed latency of each class at each member and over all members, and how much
// slower than usual a member is at the moment.
//
// Rule: only attempts that ended in success change the averages; attempts that succeeded or timed out change
// the recent slowdown. A member's own average fades towards the average over all members, its slowdown fades
// towards none, so that a member that is given nothing is not judged by old news for ever.
// All latencies are in microseconds; times are points on the caller's clock.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

#include "request_router/router.h"
#include "time_units.h"

namespace request_router::internal {

// What is known of the latency at one member.
struct MemberLatency {
  std::vector<double> average;  // by class, as of `averaged_at`; 0: no answer has come yet
  Micros averaged_at{0};        // when `average` was last renewed
  double slowdown = 1;          // recent latency over the average, as of `slowdown_at`
  Micros slowdown_at{0};        // when `slowdown` was last renewed
};

// The averages over all members, and the rules by which the averages of one member are renewed and fade.
class LatencyStatistics {
 public:
  // `average_half_life`: after so long a member's average is half way to the one over all members.
  // `slowdown_half_life`: after so long half of a member's slowdown has faded.
  LatencyStatistics(const std::vector<RequestClass>& classes, Micros average_half_life,
                    Micros slowdown_half_life);

  // Smoothed latency of the class over all members; before the first answer a share of its objective.
  double typical(std::size_t request_class) const { return typical_[request_class]; }

  // The typical latency of the class that takes the least time.
  double min_typical() const { return *std::min_element(typical_.begin(), typical_.end()); }

  // How many times as long as the lightest class this one takes: by the answers alone, and by the objectives
  // before the first answer to it.
  double relative_latency(std::size_t request_class) const;

  // Whether any answer to this class has come from any member.
  bool is_observed(std::size_t request_class) const { return observed_[request_class]; }

  // Smoothed latency of the class at this member, faded to `now`.
  double average(const MemberLatency& latency, std::size_t request_class, Micros now) const {
    double typical = typical_[request_class];
    double own = latency.average[request_class];
    if (own <= 0) return typical;
    double age = to_double(now - latency.averaged_at);
    return typical + (own - typical) * std::exp2(-age / average_half_life_);
  }

  // load(N) of the cost model: recent latency at this member over its average, faded to `now`; at least 1.
  double load(const MemberLatency& latency, Micros now) const {
    double age = to_double(now - latency.slowdown_at);
    double faded = 1 + (latency.slowdown - 1) * std::exp2(-age / slowdown_half_life_);
    return std::max(1.0, faded);
  }

  // Takes in an attempt that was answered with success after `duration`.
  void record_success(MemberLatency& latency, std::size_t request_class, double duration, Micros now);

  // Takes in the duration of an attempt that succeeded or timed out. A success is recorded above first.
  void record_slowdown(MemberLatency& latency, std::size_t request_class, double duration, Micros now) const;

 private:
  double average_half_life_;
  double slowdown_half_life_;
  std::vector<double> typical_;  // by class
  std::vector<double> assumed_;  // by class: what is taken for typical before the first answer
  // By class: the mean of the answers, of the last ones once there are many. Unlike `typical_` it holds
  // nothing of what was assumed, which fades at a class's own pace.
  std::vector<double> measured_;
  std::vector<int> answer_counts_;  // by class, as far as they are counted
  std::vector<bool> observed_;      // by class
};

}  // namespace request_router::internal
