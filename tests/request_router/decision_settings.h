// Random settings for the test that compares hashes (fingerprints) of the decision module's actions, and the
// random number generator of that whole simulation.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>

#include "request_router/router.h"

namespace request_router::test {

// The SplitMix64 generator. The seed determines the whole sequence, on every platform.
class Generator {
 public:
  explicit Generator(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next() {
    std::uint64_t mixed = state_ += 0x9e3779b97f4a7c15;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
    return mixed ^ (mixed >> 31);
  }
  // Returns a number from 0 to `limit` - 1.
  std::int64_t below(std::int64_t limit) {
    return static_cast<std::int64_t>(next() % static_cast<std::uint64_t>(limit));
  }
  // Returns a number from `least` to `most`, both included.
  std::int64_t between(std::int64_t least, std::int64_t most) { return least + below(most - least + 1); }
  Micros between(Micros least, Micros most) { return Micros(between(least.count(), most.count())); }
  // Returns true with a probability of `share` in 1000.
  bool permille(std::int64_t share) { return below(1000) < share; }
  bool half() { return permille(500); }
  // Returns a number from `least` / 1000 to `most` / 1000.
  double thousandths(std::int64_t least, std::int64_t most) {
    return static_cast<double>(between(least, most)) / 1000;
  }
  template <typename Value>
  Value pick(std::initializer_list<Value> values) {
    return values.begin()[below(static_cast<std::int64_t>(values.size()))];
  }

 private:
  std::uint64_t state_;
};

// Returns the name of a zone, given its number. The router is in zone 0.
std::string zone_name(std::int64_t number);

// Draws the settings of a random valid deployment.
Settings draw_settings(Generator& random);

}  // namespace request_router::test
