// Conversion between Unix time and the loop's monotonic clock. The distance between them is fixed for each
// object.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace database_proxy::routing {

using Micros = std::chrono::microseconds;

// A fixed distance between the two clocks. Conversions round to the safe side: down for positions that
// servers have reached, up for positions that reads must include.
class UnixClock {
 public:
  // Unix time minus the monotonic clock, in microseconds.
  explicit UnixClock(Micros distance) : distance_(distance) {}
  // Returns a clock with the distance measured now. The owner must measure it again from time to time, as the
  // wall clock may be stepped.
  static UnixClock measured() { return live(measure_distance()); }
  static UnixClock live(Micros distance) {
    UnixClock clock(distance);
    clock.is_live_ = true;
    return clock;
  }
  Micros distance() const { return distance_; }
  bool is_live() const { return is_live_; }

  // Measures the distance several times and returns the one whose pair of monotonic readings is closest
  // together.
  static Micros measure_distance() {
    using std::chrono::steady_clock, std::chrono::system_clock;
    auto best = steady_clock::duration::max();
    Micros distance{0};
    constexpr int kReadings = 4;
    for (int i = 0; i < kReadings; ++i) {
      auto before = steady_clock::now();
      auto unix_now = system_clock::now();
      auto after = steady_clock::now();
      if (after - before >= best) continue;
      best = after - before;
      distance = std::chrono::floor<Micros>(unix_now.time_since_epoch()) -
                 std::chrono::floor<Micros>((before + best / 2).time_since_epoch());
    }
    return distance;
  }

  // Converts a position that a server has reached, rounded so that it is never too late.
  Micros known(std::int64_t unix_ms) const { return Micros(clamp_to_range(unix_ms) * 1000) - distance_; }
  Micros known_seconds(double unix_s) const {
    return Micros(static_cast<std::int64_t>(std::floor(unix_s * 1e6))) - distance_;
  }
  // Converts a position that a read must include. The result is never too early. The input is
  // rounded up to a whole millisecond.
  Micros required(std::int64_t unix_ms) const {
    return Micros(clamp_to_range(unix_ms) * 1000 + 1) - distance_;
  }

 private:
  // Clamps a time to a range of some thousand years, as peers may write any number.
  static std::int64_t clamp_to_range(std::int64_t unix_ms) {
    return std::clamp<std::int64_t>(unix_ms, 0, 100'000'000'000'000);
  }

  Micros distance_;
  bool is_live_ = false;
};

}  // namespace database_proxy::routing
