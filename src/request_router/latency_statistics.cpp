#include "latency_statistics.h"

namespace request_router::internal {
namespace {

// Weight of a new latency in a class's average at a member: about the last ten answers count, enough to
// smooth single long requests and few enough to follow a change.
constexpr double kMemberSmoothing = 0.1;

// Weight of a new latency in a class's average over all members. A quarter of the weight at one member,
// because answers of several members go into the same average.
constexpr double kTypicalSmoothing = kMemberSmoothing / 4;

// The number of answers in a class's mean; the weight of one is then the same as in the average above.
constexpr int kCountedAnswers = 40;

// Weight of a new latency in a member's recent slowdown: three times the weight in the average that it is
// compared with, so that the two differ while latency changes.
constexpr double kSlowdownSmoothing = 0.3;

// A class's latency before the first answer, as a divisor of its objective: an objective allows for
// several times the usual latency, and an estimate that is too low is corrected by the first answers.
constexpr double kObjectivePerTypicalLatency = 5;

}  // namespace

LatencyStatistics::LatencyStatistics(const std::vector<RequestClass>& classes, Micros average_half_life,
                                     Micros slowdown_half_life)
    : average_half_life_(to_double(average_half_life)),
      slowdown_half_life_(to_double(slowdown_half_life)),
      observed_(classes.size(), false) {
  for (const auto& request_class : classes)
    assumed_.push_back(to_double(request_class.latency_objective) / kObjectivePerTypicalLatency);
  typical_ = assumed_;
  measured_.assign(classes.size(), 0);
  answer_counts_.assign(classes.size(), 0);
}

double LatencyStatistics::relative_latency(std::size_t request_class) const {
  if (!observed_[request_class])
    return assumed_[request_class] / *std::min_element(assumed_.begin(), assumed_.end());
  double least = measured_[request_class];
  for (std::size_t other = 0; other < measured_.size(); ++other)
    if (observed_[other]) least = std::min(least, measured_[other]);
  return measured_[request_class] / std::max(1.0, least);
}

void LatencyStatistics::record_success(MemberLatency& latency, std::size_t request_class, double duration,
                                       Micros now) {
  double& typical = typical_[request_class];
  typical += kTypicalSmoothing * (duration - typical);
  if (answer_counts_[request_class] < kCountedAnswers) ++answer_counts_[request_class];
  measured_[request_class] += (duration - measured_[request_class]) / answer_counts_[request_class];
  // The averages of all classes share one timestamp, so all of them are decayed to it.
  for (std::size_t other = 0; other < latency.average.size(); ++other)
    latency.average[other] = average(latency, other, now);
  latency.averaged_at = now;
  double& own = latency.average[request_class];
  own += kMemberSmoothing * (duration - own);
  observed_[request_class] = true;
}

void LatencyStatistics::record_slowdown(MemberLatency& latency, std::size_t request_class, double duration,
                                        Micros now) const {
  latency.slowdown = load(latency, now);
  double ratio = duration / std::max(1.0, average(latency, request_class, now));
  latency.slowdown += kSlowdownSmoothing * (ratio - latency.slowdown);
  latency.slowdown_at = now;
}

}  // namespace request_router::internal
