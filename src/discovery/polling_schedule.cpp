#include "discovery/polling_schedule.h"

#include <algorithm>
#include <cstdint>

#include "discovery/backoff.h"

namespace database_proxy::discovery {

PollingSchedule::PollingSchedule(int proxies, bool calls_cost, std::uint64_t seed)
    : proxies_(std::max(1, proxies)),
      calls_cost_(calls_cost),
      random_(seed),
      broken_calls_(kBrokenPause, kMaxBrokenPause),
      refused_calls_(std::min(kRefusedPause * proxies_, max_refused_pause(proxies_)),
                     max_refused_pause(proxies_)) {}

PollingSchedule::Micros PollingSchedule::before_first_call() {
  if (!calls_cost_) return Micros(0);
  return random_fraction(std::min(kFirstCallSpacing * proxies_, kMaxFirstCallDelay), 0, 1, random_);
}

void PollingSchedule::on_answered() {
  broken_calls_.reset();
  refused_calls_.reset();
}

PollingSchedule::Micros PollingSchedule::max_refused_pause(int proxies) {
  return std::clamp(kRefusedPause * proxies * kRefusedPauseGrowth, kMaxRefusedPauseOfOne, kMaxRefusedPause);
}

}  // namespace database_proxy::discovery
