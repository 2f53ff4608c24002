// When discovery is called, how long a call may take, and how long to pause after one that failed. The
// proxies of a fleet share the discovery service without knowing of each other, so each spreads its calls by
// their number. No I/O, no clock, no threads.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace database_proxy::discovery {

class PollingSchedule {
 public:
  using Micros = std::chrono::microseconds;

  // The platform's terms: so long after discovery had a change and could be reached, it counts as told,
  // whatever failed before; and so long after SIGHUP what the new address has to tell.
  static constexpr Micros kNotificationDeadline{6'000'000}, kNotificationDeadlineAfterReload{4'000'000};
  // A connection that is not up by then is given up.
  static constexpr Micros kConnectTimeout{500'000};
  // A watch asks the service to answer after so long at the latest, also when nothing has changed: this
  // bounds how long a watch that was lost in silence goes unnoticed.
  static constexpr Micros kWatchWait{2'000'000};

  // `proxies`: how many share the service. `calls_cost`: each call is work there (the list has to be asked
  // for), so that calls wait for their turn and even first calls, after a start of all, are spread.
  explicit PollingSchedule(int proxies = 1, bool calls_cost = false, std::uint64_t seed = 0)
      : proxies_(std::max(1, proxies)), calls_cost_(calls_cost), random_(seed) {
    answered();
  }

  // From the start to the first call. What was known before serves meanwhile.
  Micros before_first_call() {
    return calls_cost_ ? jitter(std::min(kFirstSpread * proxies_, kLongestFirstSpread), 0, 1) : Micros(0);
  }
  // How long a call for the whole list, which does not wait for changes, may go unanswered.
  Micros list_timeout() const { return calls_cost_ ? kQueueTimeout : kAnswerTimeout; }
  // The same of a watch.
  Micros watch_timeout() const { return kWatchWait + kAnswerTimeout; }

  // After a call that did not come through: no connection, or a broken one. It has cost the service nothing.
  Micros after_broken_call() {
    auto pause = jitter(broken_, 0.5, 1);
    broken_ = std::min(broken_ * 2, kLongestBroken);
    return pause;
  }
  // After an answer that says that the service cannot serve now.
  Micros after_refused_call() {
    auto pause = jitter(refused_, 0.5, 1);
    refused_ = std::min(refused_ * 2, longest_refused());
    return pause;
  }
  void answered() {
    broken_ = kBroken;
    refused_ = std::min(kRefused * proxies_, longest_refused());
  }

 private:
  static constexpr Micros kFirstSpread{35'000}, kRefused{20'000};  // for each proxy of the fleet
  static constexpr Micros kLongestFirstSpread{2'000'000};
  static constexpr Micros kAnswerTimeout{1'000'000};
  static constexpr Micros kQueueTimeout{2'500'000};  // a service at its limit turns a call away after 2 s
  static constexpr Micros kBroken{20'000}, kLongestBroken{500'000};
  static constexpr Micros kLongestRefused{2'000'000}, kLongestRefusedAlone{500'000};

  // Whatever went before, one more round of calls has come through by the time that the platform counts.
  static_assert(kWatchWait + kAnswerTimeout + kLongestRefused + kConnectTimeout < kNotificationDeadline);
  static_assert(kQueueTimeout + kLongestRefused + kConnectTimeout < kNotificationDeadline);
  static_assert(kLongestFirstSpread + kQueueTimeout + kLongestBroken < kNotificationDeadline);
  // A first call after a reload that is lost, and a second one.
  static_assert(2 * kConnectTimeout + kQueueTimeout + kBroken < kNotificationDeadlineAfterReload);

  Micros longest_refused() const {
    return std::clamp(kRefused * proxies_ * 8, kLongestRefusedAlone, kLongestRefused);
  }
  Micros jitter(Micros span, double from, double to) {
    double share = from + (to - from) * std::uniform_real_distribution<double>()(random_);
    return Micros(static_cast<std::int64_t>(static_cast<double>(span.count()) * share));
  }

  int proxies_;
  bool calls_cost_;
  std::mt19937_64 random_;
  Micros broken_{0}, refused_{0};
};

}  // namespace database_proxy::discovery
