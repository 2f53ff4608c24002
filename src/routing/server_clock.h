// Conversion between the Unix times of data servers and the monotonic clock of this machine. Its only
// outside input is a reading of the wall clock.
//
// Servers report positions as Unix times; bounds are spans of monotonic time. They are converted by their
// distance (Unix time minus monotonic time). The wall clock of this machine gives it to the microsecond, but
// may be an hour off, and may be stepped at any moment. A primary's answer proves it within the time that the
// answer took, because a primary's position is the present time: its position lies between the sending of the
// request and the arrival of the answer. So the wall clock's distance is used as long as primaries confirm
// it, and else theirs, rounded to the side on which replicas look older. A smaller distance makes them look
// younger, and a member that was primary once may claim to be at a present that is long over: such an answer
// counts when it is repeated and no other primary contradicts it. Until a primary has confirmed one, and
// after the wall clock has been stepped, positions of replicas are not used.
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

  // Applies a reading of the wall clock: its distance to the monotonic clock.
  void on_local_distance(Micros now, Micros distance);
  // Reads the wall clock, if that is due.
  void read_local_clock(Micros now);

  // Applies the position in a primary's answer, which was made between the two times.
  void on_primary_position(Micros unix_time, Micros sent_at, Micros received_at);
  // The same from a load report, which is somewhat older than the answer that brings it.
  void on_primary_report(Micros unix_time, Micros sent_at, Micros received_at);

  // The position as a monotonic time, never later than it was; nullopt: not usable for now.
  std::optional<Micros> position(Micros unix_time, Micros received_at, bool is_primary);
  // A position that a read must see, never earlier than it is.
  Micros required(std::int64_t unix_ms) const;
  // When a server started, never in the future.
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
  int doubtful_answers_ = 0;  // in a row
  bool is_confirmed_ = false;
  Micros unconfirmed_since_ = Micros::min();  // min: not known yet
  Micros read_at_ = Micros::min();
  // The smallest distance that positions which may still be in use were converted with.
  Micros least_distance_, least_until_ = Micros::min();
  std::uint64_t version_ = 0;
};

}  // namespace database_proxy::routing
