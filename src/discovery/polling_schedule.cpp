#include "discovery/polling_schedule.h"

#include <algorithm>
#include <cstdint>

#include "discovery/backoff.h"

namespace database_proxy::discovery {

PollingSchedule::PollingSchedule(int proxies, bool calls_are_costly, std::uint64_t seed)
    : proxies_(std::max(1, proxies)),
      calls_are_costly_(calls_are_costly),
      random_(seed),
      broken_call_backoff_(kBrokenCallBackoff, kMaxBrokenCallBackoff),
      rejected_call_backoff_(std::min(kRejectedCallBackoff * proxies_, max_rejected_call_backoff(proxies_)),
                             max_rejected_call_backoff(proxies_)) {}

PollingSchedule::Micros PollingSchedule::first_call_delay() {
  if (!calls_are_costly_) return Micros(0);
  return random_fraction(std::min(kFirstCallSpacing * proxies_, kMaxFirstCallDelay), 0, 1, random_);
}

void PollingSchedule::on_answered() {
  broken_call_backoff_.reset();
  rejected_call_backoff_.reset();
}

PollingSchedule::Micros PollingSchedule::max_rejected_call_backoff(int proxies) {
  return std::clamp(kRejectedCallBackoff * proxies * kRejectedCallBackoffGrowth,
                    kMaxRejectedCallBackoffOfSingleProxy, kMaxRejectedCallBackoff);
}

}  // namespace database_proxy::discovery
