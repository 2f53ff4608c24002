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

PollingSchedule::Micros PollingSchedule::list_timeout() const {
  if (calls_are_costly_) return kQueueTimeout;
  return overdue_calls_ == 0 ? kAnswerTimeout : kMaxListTimeout;
}

PollingSchedule::Micros PollingSchedule::overdue_after(bool is_full_list, Micros until_last_byte) const {
  auto timeout = is_full_list ? list_timeout() : watch_timeout();
  if (until_last_byte.count() == 0) return timeout;
  return std::clamp(until_last_byte + kLongestAnswerPause, timeout, timeout + kMaxExtension);
}

PollingSchedule::Micros PollingSchedule::watch_wait() const {
  return std::clamp(watch_timeout() - kAnswerTimeReserve - answer_delay_, Micros(0), kWatchWait);
}

PollingSchedule::Micros PollingSchedule::delay_after(CallFailure failure) {
  switch (failure) {
    case CallFailure::kBroken:
      return delay_after_broken_call();
    case CallFailure::kRejected:
      return delay_after_rejected_call();
    case CallFailure::kTooLarge:
      return kDelayAfterTooLargeList;
  }
  return kDelayAfterTooLargeList;
}

void PollingSchedule::on_answered(Micros taken, Micros wait) {
  // An answer that comes before the wait is over tells a change; what it took is not known.
  if (taken >= wait) answer_delay_ = taken - wait;
  overdue_calls_ = 0;
  broken_call_backoff_.reset();
  rejected_call_backoff_.reset();
}

PollingSchedule::Micros PollingSchedule::max_rejected_call_backoff(int proxies) {
  return std::clamp(kRejectedCallBackoff * proxies * kRejectedCallBackoffGrowth,
                    kMaxRejectedCallBackoffOfSingleProxy, kMaxRejectedCallBackoff);
}

}  // namespace database_proxy::discovery
