// The memory that a proxy may use for buffers whose size its peers determine: statements that clients send,
// and answers, from the first byte that a data server writes to the last one that a client reads.
//
// Each buffer's owner holds a charge for it. Nobody waits for memory: whoever finds no room gives up what
// needs it, and the request at hand still gets its final answer.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>

namespace database_proxy::proxy {

enum class BufferUse { kStatement, kAnswer };
constexpr std::size_t kBufferUses = 2;
using BufferBytes = std::array<std::size_t, kBufferUses>;  // by BufferUse

// An answer of at most this size is never given up for want of memory: an error is hardly shorter.
constexpr std::size_t kShortAnswerBytes = 16 * 1024;

// Owned by one proxy and used in its thread only.
class MemoryBudget {
 public:
  using Micros = std::chrono::microseconds;

  // The part of the budget that one owner uses for one purpose; given back when it is destroyed.
  class Charge {
   public:
    Charge(MemoryBudget& budget, BufferUse use) : budget_(budget), use_(use) {}
    Charge(const Charge&) = delete;
    Charge& operator=(const Charge&) = delete;
    ~Charge() { set(0); }
    void set(std::size_t bytes);
    std::size_t bytes() const { return bytes_; }

   private:
    MemoryBudget& budget_;
    BufferUse use_;
    std::size_t bytes_ = 0;
  };

  // `memory`: the limit of all processes of the proxy together, in bytes. `processes`: their number.
  void set_limit(std::size_t memory, std::size_t processes);
  // The buffers of the other proxies of this process.
  void set_sibling_usage(const BufferBytes& bytes) { siblings_ = bytes; }
  std::size_t used(BufferUse use) const { return used_[static_cast<std::size_t>(use)]; }
  std::size_t total() const { return sum_of(BufferUse::kStatement) + sum_of(BufferUse::kAnswer); }

  // Whether a client may go on with a statement that is not complete.
  bool has_room_for_statements() const { return sum_of(BufferUse::kStatement) <= limit_ / kStatementDivisor; }
  // Whether an answer may wait in memory for its client, or for answers to the client's earlier commands.
  bool has_room_for_waiting_answers() const { return total() <= max_total_ - max_total_ / kReadingDivisor; }
  // Whether any buffer may grow.
  bool has_room() const { return total() <= max_total_; }

  // Returns whether so much was given back since the last such time that freed memory should be returned to
  // the system.
  bool should_release_memory(Micros now);

 private:
  // The divisor of the limit for all statements together.
  static constexpr std::size_t kStatementDivisor = 4;
  // The divisor of the total for the part that is kept for clients which read their answers.
  static constexpr std::size_t kReadingDivisor = 3;
  // The share of the limit that must have been given back, as a divisor, and the minimum time between two
  // releases, each of which walks through all freed memory.
  static constexpr std::size_t kReleaseDivisor = 16;
  static constexpr Micros kReleaseInterval = std::chrono::milliseconds(500);

  std::size_t sum_of(BufferUse use) const {
    auto index = static_cast<std::size_t>(use);
    return used_[index] + siblings_[index];
  }

  std::size_t limit_ = 0, max_total_ = 0;
  BufferBytes used_{}, siblings_{};
  std::size_t peak_ = 0;  // of the own use since the last release
  Micros released_at_{0};
};

}  // namespace database_proxy::proxy
