#include "discovery/backoff.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace database_proxy::discovery {

std::chrono::microseconds random_fraction(std::chrono::microseconds span, double min_fraction,
                                          double max_fraction, std::mt19937_64& random) {
  double fraction =
      min_fraction + (max_fraction - min_fraction) * std::uniform_real_distribution<double>()(random);
  return std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(span.count()) * fraction));
}

Backoff::Micros Backoff::next_delay(std::mt19937_64& random) {
  auto delay = random_fraction(span_, 0.5, 1, random);
  span_ = std::min(span_ * 2, max_span_);
  return delay;
}

}  // namespace database_proxy::discovery
