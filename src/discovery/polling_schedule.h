// Schedules the calls to the discovery service: their start, their timeouts and the delays after failed ones.
// The proxies of a fleet share the service without knowing of each other, so each proxy spaces its calls by
// the number of proxies. No I/O, no clock, no threads.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include "discovery/backoff.h"

namespace database_proxy::discovery {

// A value type: each DiscoveryWatch has its own copy and uses it in its event loop.
class PollingSchedule {
 public:
  using Micros = std::chrono::microseconds;

  // Deadlines that the platform requires. A proxy must know a change within the first after discovery has the
  // change and is reachable, whatever failed before; and within the second after SIGHUP what the new address
  // knows.
  static constexpr Micros kNotificationDeadline{6'000'000}, kNotificationDeadlineAfterReload{4'000'000};
  // Time to establish a connection before it is given up.
  static constexpr Micros kConnectTimeout{500'000};
  // The longest time that a watch lets the service wait for a change before it answers. It bounds how long a
  // connection that was lost without notice goes undetected.
  static constexpr Micros kWatchWait{2'000'000};
  // The delay after a list that is too large: the next one hardly differs, and each costs its transmission.
  static constexpr Micros kDelayAfterTooLargeList{2'000'000};

  // `proxies`: number of proxies that share the service. `calls_are_costly`: each call costs the service work
  // (the list has to be polled), so calls wait there in a queue, and first calls are spaced out in case all
  // proxies start at once.
  explicit PollingSchedule(int proxies = 1, bool calls_are_costly = false, std::uint64_t seed = 0);

  // Returns the delay from the start to the first call. The list that is already known is used meanwhile.
  Micros first_call_delay();
  // Returns the timeout of a call for the full list, which the service answers without waiting for changes.
  Micros list_timeout() const { return calls_are_costly_ ? kQueueTimeout : kAnswerTimeout; }
  // Returns the timeout of a call that waits for changes.
  Micros watch_timeout() const { return kWatchWait + kAnswerTimeout; }

  // Returns the delay after a call without an answer: the connection failed or broke. Such a call has cost
  // the service nothing.
  Micros delay_after_broken_call() { return broken_call_backoff_.next_delay(random_); }
  // Returns the delay after an answer that the service cannot serve the call now.
  Micros delay_after_rejected_call() { return rejected_call_backoff_.next_delay(random_); }
  // Resets the backoff; to be called when a call was answered with a list.
  void on_answered();

 private:
  // Per proxy of the fleet.
  static constexpr Micros kFirstCallSpacing{35'000}, kRejectedCallBackoff{20'000};
  static constexpr Micros kMaxFirstCallDelay{2'000'000};
  static constexpr Micros kAnswerTimeout{1'000'000};
  // An overloaded service rejects a call after 2 s.
  static constexpr Micros kQueueTimeout{2'500'000};
  static constexpr Micros kBrokenCallBackoff{20'000}, kMaxBrokenCallBackoff{500'000};
  // The longest backoff after rejected calls: for large fleets, and for a single proxy.
  static constexpr Micros kMaxRejectedCallBackoff{2'000'000}, kMaxRejectedCallBackoffOfSingleProxy{500'000};
  // The longest backoff is this multiple of the first one, within the limits above.
  static constexpr int kRejectedCallBackoffGrowth = 8;

  // Whatever failed before, one more round of calls succeeds before the deadline.
  static_assert(kWatchWait + kAnswerTimeout + kMaxRejectedCallBackoff + kConnectTimeout <
                kNotificationDeadline);
  static_assert(kQueueTimeout + kMaxRejectedCallBackoff + kConnectTimeout < kNotificationDeadline);
  static_assert(kMaxFirstCallDelay + kQueueTimeout + kMaxBrokenCallBackoff < kNotificationDeadline);
  // After a reload, a first call that is lost and a second one complete before the deadline.
  static_assert(2 * kConnectTimeout + kQueueTimeout + kBrokenCallBackoff < kNotificationDeadlineAfterReload);

  static Micros max_rejected_call_backoff(int proxies);

  int proxies_;
  bool calls_are_costly_;
  std::mt19937_64 random_;
  Backoff broken_call_backoff_, rejected_call_backoff_;
};

}  // namespace database_proxy::discovery
