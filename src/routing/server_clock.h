// Conversion between the Unix times of data servers and the monotonic clock of this machine. Its only
// outside input is a reading of the wall clock.
//
// Servers report positions as Unix times; bounds are spans of monotonic time. Positions are converted with
// the distance between the two clocks (Unix time minus monotonic time).
//
// The wall clock of this machine gives the distance to the microsecond, but may be an hour off and may be
// stepped at any moment. A primary's answer determines the distance to within the duration of the request:
// the position of a primary is its current time, so it lies between the sending of the request and the
// arrival of the answer. The wall clock's distance is therefore used while primaries confirm it. Otherwise
// the distance from the primaries' answers is used, rounded in the direction that makes replicas look older.
//
// A smaller distance makes replicas look younger, and a former primary may report an outdated position as its
// current time. Such an answer is used only if it is repeated and no other primary contradicts it. Until a
// primary has confirmed a distance, and after the wall clock has been stepped, positions of replicas are not
// used.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "routing/unix_clock.h"

namespace database_proxy::routing {

// Owned by one decision facade. Times are microseconds; a Unix time is a span since 1970.
class ServerClock {
 public:
  explicit ServerClock(UnixClock local);

  // Applies a reading of the wall clock, given as its distance to the monotonic clock.
  void on_local_distance(Micros now, Micros distance);
  // Reads the wall clock if a reading is due.
  void read_local_clock(Micros now);

  // Applies the position in a primary's answer, which the primary determined between the two times.
  void on_primary_position(Micros unix_time, Micros sent_at, Micros received_at);
  // Applies the position in a primary's load report, which is slightly older than the answer that carries it.
  void on_primary_report(Micros unix_time, Micros sent_at, Micros received_at);

  // Converts a position to monotonic time, rounded so that it is never too late; nullopt: not usable yet.
  std::optional<Micros> position(Micros unix_time, Micros received_at, bool is_primary);
  // Converts a position that a read must include, rounded so that it is never too early.
  Micros required(std::int64_t unix_ms) const;
  // Converts the start time of a server; the result is never in the future.
  Micros start(std::int64_t unix_ms, Micros now) const;

  // Converts a Unix time, clamped to a range of some thousand years, as peers may write any number.
  static Micros to_micros(std::int64_t unix_ms);

  // A counter that increases with each change that affects start times.
  std::uint64_t version() const { return version_; }
  Micros distance() const { return distance_; }
  bool is_confirmed() const { return is_confirmed_; }

 private:
  struct Interval {
    Micros least, greatest;
  };
  void on_evidence(Micros now, Interval evidence);
  bool is_doubtful(const Interval& evidence);
  void update_distance(Micros now);
  void set_distance(Micros now, Micros distance);
  void forget_confirmation(Micros now);

  UnixClock local_clock_;
  Micros local_distance_, distance_;
  std::optional<Interval> evidence_;
  int doubtful_answers_ = 0;  // consecutive answers that were doubtful
  bool is_confirmed_ = false;
  Micros unconfirmed_since_ = Micros::min();  // min: not yet set
  Micros read_at_ = Micros::min();
  // The smallest distance with which positions that may still be in use were converted.
  Micros least_distance_, least_until_ = Micros::min();
  std::uint64_t version_ = 0;
};

}  // namespace database_proxy::routing
