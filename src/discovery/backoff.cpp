#include "discovery/backoff.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace database_proxy::discovery {

std::chrono::microseconds random_fraction(std::chrono::microseconds span, double least, double most,
                                          std::mt19937_64& random) {
  double fraction = least + (most - least) * std::uniform_real_distribution<double>()(random);
  return std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(span.count()) * fraction));
}

Backoff::Micros Backoff::next_pause(std::mt19937_64& random) {
  auto pause = random_fraction(span_, 0.5, 1, random);
  span_ = std::min(span_ * 2, longest_);
  return pause;
}

}  // namespace database_proxy::discovery
