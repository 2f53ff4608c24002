// When discovery is asked: one of hundreds must not ask at the same moments as all the others. No I/O, no
// clock.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace linenwinch::discovery {

class Pace {
 public:
  using Micros = std::chrono::microseconds;

  // `routers`: how many share the discovery service; `calls_cost`: each call is work there, so that even the
  // first ones, after a start of all, are spread.
  Pace(int routers = 1, bool calls_cost = false, std::uint64_t seed = 0)
      : routers_(std::max(1, routers)),
        calls_cost_(calls_cost),
        random_(seed),
        refused_(kRefused * routers_) {}

  // From the start to the first call. What was known before serves meanwhile.
  Micros first() { return calls_cost_ ? jitter(kFirst * routers_, 0, 1) : Micros(0); }
  // After a call that did not come through: no connection, or a broken one.
  Micros after_break() {
    auto pause = jitter(broken_, 0.5, 1);
    broken_ = std::min(broken_ * 2, kLongestBreak);
    return pause;
  }
  // After an answer that says the service cannot serve: each of all routers holds back, ever longer, so that
  // together they come no faster than a service gets through that is at its limit.
  Micros after_refusal() {
    auto pause = jitter(refused_, 0.5, 1.5);
    refused_ = std::min(refused_ * 2, std::max(kLongestBreak, std::min(kLongest, kRefused * routers_ * 8)));
    return pause;
  }
  void answered() {
    broken_ = kBreak;
    refused_ = kRefused * routers_;
  }

 private:
  static constexpr Micros kFirst{35'000};        // a router: so far apart are the first calls of all
  static constexpr Micros kRefused{20'000};      // a router: pause after a first refusal
  static constexpr Micros kLongest{10'000'000};  // a list must not grow older for want of asking
  static constexpr Micros kBreak{20'000},
      kLongestBreak{500'000};  // after a break, which costs the service nothing

  Micros jitter(Micros span, double from, double to) {
    double share = from + (to - from) * std::uniform_real_distribution<double>()(random_);
    return Micros(static_cast<std::int64_t>(static_cast<double>(span.count()) * share));
  }

  int routers_;
  bool calls_cost_;
  std::mt19937_64 random_;
  Micros broken_ = kBreak, refused_;
};

}  // namespace linenwinch::discovery
