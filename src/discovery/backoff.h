// Delays between calls that keep failing. No I/O, no clock, no threads.
#pragma once

#include <chrono>
#include <random>

namespace database_proxy::discovery {

// Returns a random fraction of `span`: from `min_fraction` to `max_fraction` of it, evenly distributed.
std::chrono::microseconds random_fraction(std::chrono::microseconds span, double min_fraction,
                                          double max_fraction, std::mt19937_64& random);

// Exponential backoff with jitter: each delay is drawn from the upper half of a span that doubles with each
// failure up to a limit. Owned by a PollingSchedule.
class Backoff {
 public:
  using Micros = std::chrono::microseconds;

  Backoff(Micros initial_span, Micros max_span)
      : initial_span_(initial_span), max_span_(max_span), span_(initial_span) {}

  // Returns the delay after one more failure.
  Micros next_delay(std::mt19937_64& random);
  // To be called after a success: the next delay is drawn from the initial span again.
  void reset() { span_ = initial_span_; }

 private:
  Micros initial_span_, max_span_, span_;
};

}  // namespace database_proxy::discovery
