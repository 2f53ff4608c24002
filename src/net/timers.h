// Timers of one loop: a hashed wheel (Varghese and Lauck, 1987, scheme 6). Setting and cancelling take
// constant time, since nearly all timers are cancelled: each request sets some and meets none.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace database_proxy::net {

using Micros = std::chrono::microseconds;  // on the monotonic clock, or a span of it

// Used by the thread of its loop only.
class Timers {
 public:
  using Id = std::pair<std::uint32_t, std::uint32_t>;  // its index, and how often that was used before
  static constexpr Id kNone{0, 0};

  Timers();
  // `when` may have passed. The call runs once, from run().
  Id at(Micros when, std::function<void()> callback);
  // Harmless for one that has fired or was cancelled.
  void cancel(Id id);
  // Calls what is due, in order of time, and of setting where times are equal. Calls may set and cancel
  // timers; one that is set for a time that has passed is called in the same run.
  void run(Micros now);
  // The earliest time of any timer. Takes as long as the wheel has slots between now and then.
  std::optional<Micros> next() const;
  std::size_t size() const { return size_; }

 private:
  static constexpr std::int64_t kSlotMicros = 1024;
  static constexpr std::size_t kSlots = 4096;  // 4.2 s a round: longer than nearly all timers
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

  std::vector<Node> nodes_;  // 0 is nobody's, so that kNone names none
  std::uint32_t free_head_ = kNoNode;
  std::array<std::uint32_t, kSlots> slot_heads_;
  std::array<std::uint64_t, kSlots / 64> occupied_slots_{};  // a bit a slot that holds any
  std::vector<std::uint32_t> due_;
  std::uint64_t last_sequence_ = 0;
  std::size_t size_ = 0;
  Micros ran_until_{0};       // all that was due by then has been called
  bool has_overdue_ = false;  // one was set for a time that had passed
};

}  // namespace database_proxy::net
