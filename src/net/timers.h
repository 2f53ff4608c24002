// Timers of one loop: a hashed timer wheel (Varghese and Lauck, 1987, scheme 6). Setting and cancelling take
// constant time, because nearly all timers are cancelled: each request sets several, which rarely fire.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace database_proxy::net {

using Micros = std::chrono::microseconds;  // a time on the monotonic clock, or a duration

// The timers of a loop; used only by the loop's thread.
class Timers {
 public:
  using Id = std::pair<std::uint32_t, std::uint32_t>;  // index of the node, and its generation
  static constexpr Id kNone{0, 0};

  Timers();
  // Sets a timer; `when` may be in the past. run() calls `callback` once.
  Id at(Micros when, std::function<void()> callback);
  // Cancels a timer; does nothing if it has fired or was cancelled.
  void cancel(Id id);
  // Calls the callbacks that are due, ordered by time, then by the order in which they were set. A callback
  // may set and cancel timers; a timer set for a time that has passed fires in the same run.
  void run(Micros now);
  // Returns the earliest time of all timers. The cost grows with the number of slots between now and then.
  std::optional<Micros> next() const;
  std::size_t size() const { return size_; }

 private:
  static constexpr std::int64_t kSlotMicros = 1024;
  static constexpr std::size_t kSlots = 4096;  // 4.2 s per round, longer than nearly all timers
  static constexpr std::uint32_t kNoNode = ~0u;
  struct Node {
    Micros when{0};
    std::uint64_t sequence = 0;
    std::function<void()> callback;
    std::uint32_t generation = 1, previous = kNoNode, next = kNoNode;
    bool is_set = false;
  };
  static std::size_t slot_of(Micros when) {
    return static_cast<std::size_t>(when.count() / kSlotMicros) % kSlots;
  }
  void unlink(std::uint32_t index);
  void collect(std::size_t slot, Micros now);

  std::vector<Node> nodes_;  // entry 0 is never used, so that kNone refers to no timer
  std::uint32_t free_head_ = kNoNode;
  std::array<std::uint32_t, kSlots> slot_heads_;
  std::array<std::uint64_t, kSlots / 64> occupied_slots_{};  // one bit per slot, set if the slot holds timers
  std::vector<std::uint32_t> due_;
  std::uint64_t last_sequence_ = 0;
  std::size_t size_ = 0;
  Micros ran_until_{0};       // all timers due by then have been called
  bool has_overdue_ = false;  // a timer was set for a time that had passed
};

}  // namespace database_proxy::net
