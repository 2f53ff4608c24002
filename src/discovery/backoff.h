// The pauses between attempts that keep failing. No I/O, no clock, no threads.
#pragma once

#include <chrono>
#include <random>

namespace database_proxy::discovery {

// Returns a random fraction of `span`: from `least` to `most` of it, evenly distributed.
std::chrono::microseconds random_fraction(std::chrono::microseconds span, double least, double most,
                                          std::mt19937_64& random);

// Exponential backoff with jitter: each pause is drawn from the upper half of a span that doubles up to a
// limit. Owned by a PollingSchedule.
class Backoff {
 public:
  using Micros = std::chrono::microseconds;

  Backoff(Micros first, Micros longest) : first_(first), longest_(longest), span_(first) {}

  // Returns the pause after one more failure.
  Micros next_pause(std::mt19937_64& random);
  // To be called after a success: the next pause is a first one again.
  void reset() { span_ = first_; }

 private:
  Micros first_, longest_, span_;
};

}  // namespace database_proxy::discovery
