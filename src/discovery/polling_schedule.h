// When the discovery service is called, how long a call may take, and how long to pause after one that
// failed. The proxies of a fleet share the service without knowing of each other, so each spaces its calls by
// their number. No I/O, no clock, no threads.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include "discovery/backoff.h"

namespace database_proxy::discovery {

// A value: each DiscoveryWatch has its own copy and calls it on its event loop.
class PollingSchedule {
 public:
  using Micros = std::chrono::microseconds;

  // The platform's terms: so long after discovery had a change and could be reached, a proxy must know it,
  // whatever failed before; and so long after SIGHUP what the new address knows.
  static constexpr Micros kNotificationDeadline{6'000'000}, kNotificationDeadlineAfterReload{4'000'000};
  // A connection that is not established by then is given up.
  static constexpr Micros kConnectTimeout{500'000};
  // A watch asks the service to answer after so long at the latest, also when nothing has changed: this
  // bounds how long a connection that was lost in silence goes unnoticed.
  static constexpr Micros kWatchWait{2'000'000};

  // `proxies`: how many share the service. `calls_are_costly`: each call is work there (the list has to be
  // polled), so that calls wait for their turn, and first calls are spaced out in case all proxies start at
  // once.
  explicit PollingSchedule(int proxies = 1, bool calls_are_costly = false, std::uint64_t seed = 0);

  // From the start to the first call. What is known already serves meanwhile.
  Micros first_call_delay();
  // How long a call for the full list, which does not wait for changes, may go unanswered.
  Micros list_timeout() const { return calls_are_costly_ ? kQueueTimeout : kAnswerTimeout; }
  // The same of a watch.
  Micros watch_timeout() const { return kWatchWait + kAnswerTimeout; }

  // The pause after a call without answer: no connection, or a broken one. It has cost the service nothing.
  Micros delay_after_broken_call() { return broken_call_backoff_.next_delay(random_); }
  // The pause after an answer that says that the service cannot serve now.
  Micros delay_after_rejected_call() { return rejected_call_backoff_.next_delay(random_); }
  // A call was answered with a list.
  void on_answered();

 private:
  // For each proxy of the fleet.
  static constexpr Micros kFirstCallSpacing{35'000}, kRejectedCallBackoff{20'000};
  static constexpr Micros kMaxFirstCallDelay{2'000'000};
  static constexpr Micros kAnswerTimeout{1'000'000};
  // A service at its limit rejects a call after 2 s.
  static constexpr Micros kQueueTimeout{2'500'000};
  static constexpr Micros kBrokenCallBackoff{20'000}, kMaxBrokenCallBackoff{500'000};
  // The longest pause after refused calls: for large fleets, and for a single proxy.
  static constexpr Micros kMaxRejectedCallBackoff{2'000'000}, kMaxRejectedCallBackoffOfSingleProxy{500'000};
  // The longest pause is so many times the first one, between these limits.
  static constexpr int kRejectedCallBackoffGrowth = 8;

  // Whatever failed before, one more round of calls has succeeded by the deadline.
  static_assert(kWatchWait + kAnswerTimeout + kMaxRejectedCallBackoff + kConnectTimeout <
                kNotificationDeadline);
  static_assert(kQueueTimeout + kMaxRejectedCallBackoff + kConnectTimeout < kNotificationDeadline);
  static_assert(kMaxFirstCallDelay + kQueueTimeout + kMaxBrokenCallBackoff < kNotificationDeadline);
  // A first call after a reload that is lost, and a second one.
  static_assert(2 * kConnectTimeout + kQueueTimeout + kBrokenCallBackoff < kNotificationDeadlineAfterReload);

  static Micros max_rejected_call_backoff(int proxies);

  int proxies_;
  bool calls_are_costly_;
  std::mt19937_64 random_;
  Backoff broken_call_backoff_, rejected_call_backoff_;
};

}  // namespace database_proxy::discovery
