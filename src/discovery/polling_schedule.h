// Schedules the calls to the discovery service: their start, their timeouts and the delays after failed ones.
// The proxies of a fleet share the service without knowing of each other, so each proxy spaces its calls by
// the number of proxies. No I/O, no clock, no threads.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include "discovery/backoff.h"

namespace database_proxy::discovery {

// Why a call has failed. kRejected: the service answered that it is overloaded or unavailable. kTooLarge: its
// list is larger than this process reads. kBroken: any other reason.
enum class CallFailure { kBroken, kRejected, kTooLarge };

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
  // An answer that takes longer than this comes too late to count, unless it keeps coming.
  static constexpr Micros kLongestAnswer = kNotificationDeadlineAfterReload;
  // An answer that has begun and pauses for longer than this has stopped coming.
  static constexpr Micros kLongestAnswerPause{1'000'000};
  // The delay after a list that is too large: the next one hardly differs, and each costs its transmission.
  static constexpr Micros kDelayAfterTooLargeList{2'000'000};

  // `proxies`: number of proxies that share the service. `calls_are_costly`: each call costs the service work
  // (the list has to be polled), so calls wait there in a queue, and first calls are spaced out in case all
  // proxies start at once.
  explicit PollingSchedule(int proxies = 1, bool calls_are_costly = false, std::uint64_t seed = 0);

  // Returns the delay from the start to the first call. The list that is already known is used meanwhile.
  Micros first_call_delay();
  // Returns the time after which a call for the full list, which the service answers without waiting for
  // changes, is overdue. It grows while the service does not answer.
  Micros list_timeout() const;
  // Returns the time after which a call that waits for changes is overdue.
  Micros watch_timeout() const { return kWatchWait + kAnswerTimeout; }
  // Returns the time after its sending at which a call is overdue, so that another one is to be made.
  // `until_last_byte`: the time from its sending to the last byte of its answer so far. An answer that keeps
  // coming gets more time, within a limit.
  Micros overdue_after(bool is_full_list, Micros until_last_byte) const;
  // Returns the time that a watch lets the service wait for a change: the longest one, or less where the
  // service is slow to answer, so that its answer comes before it is overdue.
  Micros watch_wait() const;

  // Returns the delay after a call without an answer: the connection failed or broke. Such a call has cost
  // the service nothing.
  Micros delay_after_broken_call() { return broken_call_backoff_.next_delay(random_); }
  // Returns the delay after an answer that the service cannot serve the call now.
  Micros delay_after_rejected_call() { return rejected_call_backoff_.next_delay(random_); }
  // Returns the delay after a call that failed for this reason.
  Micros delay_after(CallFailure failure);
  // To be called when a call is overdue.
  void on_overdue() { ++overdue_calls_; }
  // To be called when a call was answered with a list, `taken` after its sending; `wait`: the time for which
  // the service was allowed to wait. Resets the backoff.
  void on_answered(Micros taken, Micros wait);

 private:
  // Per proxy of the fleet.
  static constexpr Micros kFirstCallSpacing{35'000}, kRejectedCallBackoff{20'000};
  static constexpr Micros kMaxFirstCallDelay{2'000'000};
  static constexpr Micros kAnswerTimeout{1'000'000};
  // The longest time after which a call for the full list is overdue where calls are not costly.
  static constexpr Micros kMaxListTimeout{2'000'000};
  // How much longer than usual an answer may take that keeps coming.
  static constexpr Micros kMaxExtension{1'000'000};
  // Scatter of the time that a slow service takes.
  static constexpr Micros kAnswerTimeReserve{500'000};
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
  static_assert(kWatchWait + kAnswerTimeout + kMaxExtension + kConnectTimeout < kNotificationDeadline);
  // After a reload, a first call that is lost and a second one complete before the deadline.
  static_assert(2 * kConnectTimeout + kQueueTimeout + kBrokenCallBackoff < kNotificationDeadlineAfterReload);
  // So do two calls that fall silent, and a third one.
  static_assert(kAnswerTimeout + kMaxListTimeout + kConnectTimeout < kNotificationDeadlineAfterReload);

  static Micros max_rejected_call_backoff(int proxies);

  int proxies_;
  bool calls_are_costly_;
  std::mt19937_64 random_;
  int overdue_calls_ = 0;   // since the last answer
  Micros answer_delay_{0};  // what the last answer took beyond the time for which the service may wait
  Backoff broken_call_backoff_, rejected_call_backoff_;
};

}  // namespace database_proxy::discovery
