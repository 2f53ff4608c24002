// Estimates when a client sent the parts of its input: a request's timeout starts then. Input that is read
// now may have waited in the socket, behind a full buffer or for a busy loop, so the estimate is the earliest
// time that is possible. Of a client that sends without a pause, that is bounded by what can be under way. No
// I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

namespace database_proxy::proxy {

using Micros = std::chrono::microseconds;

class ArrivalTimes {
 public:
  // `waiting_since`: the earliest time from which input may have waited before the first read.
  explicit ArrivalTimes(Micros waiting_since) : unread_since_(waiting_since) {}

  // A read begins. `ready_since`: the earliest time from which input that is reported now may have waited, if
  // all earlier input was read.
  void begin_read(Micros now, Micros ready_since);
  // The read has returned `size` more bytes; the buffered input ends at position `end` of the stream then.
  void on_bytes_read(std::size_t size, std::uint64_t end);
  // The read has ended. `is_paused`: at a limit, so that more input may wait.
  void end_read(bool is_paused);
  // Buffered input was dropped, such that it ends at this position.
  void truncate(std::uint64_t end);
  // The input before this position is no longer needed.
  void forget_before(std::uint64_t position);
  // The earliest time at which the client may have sent the message in this range, which was read. If reading
  // paused within it, its rest may have waited on the client's side since then.
  Micros sent_at(std::uint64_t begin, std::uint64_t end) const;

 private:
  // Input that may have waited from the same time on.
  struct Segment {
    std::uint64_t end = 0;  // position in the stream
    Micros since{0};
    bool is_paused = false;  // reading stopped at a limit within it or at its end
  };
  // How far the input had been read at a time.
  struct Checkpoint {
    std::uint64_t bytes_read = 0;
    Micros at{0};
  };
  void raise_unread_since();

  Micros now_{0};
  Micros unread_since_;        // the earliest arrival of unread input
  bool is_caught_up_ = false;  // the last read emptied the socket
  std::uint64_t bytes_read_ = 0;
  std::uint64_t end_ = 0;               // of the buffered input
  std::deque<Segment> segments_;        // in the order of the stream
  std::deque<Checkpoint> checkpoints_;  // since the socket was last emptied
};

}  // namespace database_proxy::proxy
