// Remembers the names of the writes that are out, and of those that may have run although their clients have
// not learnt it: a write that comes again under its name, on another connection or at another process, must
// not run again.
//
// A table of a fixed size in memory that all workers, and all processes on one listening socket, share: a
// name that one of them has recorded is known to all of them at once, and outlives the process that recorded
// it while another one uses the table. Where more writes run than it has room for, those whose time ends
// first are forgotten early.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "net/fd.h"

namespace database_proxy::proxy {

// May be used by any thread of any process that maps the same memory; lock-free.
class EffectMemory {
 public:
  using Micros = std::chrono::microseconds;

  // The time for which a name is remembered: the longest time for which any client waits for its answer.
  static constexpr Micros kLifetime = std::chrono::seconds(60);
  // The size of the memory.
  static std::size_t size_in_bytes();

  // Memory of this process alone. Throws std::bad_alloc if the system has none.
  EffectMemory();
  // The memory of a file that several processes map, of size_in_bytes(), filled with zeros when it was
  // created. Throws std::bad_alloc if it cannot be mapped.
  explicit EffectMemory(net::Fd file);
  ~EffectMemory();
  EffectMemory(const EffectMemory&) = delete;
  EffectMemory& operator=(const EffectMemory&) = delete;

  // Records that the write of this name may run. Returns false if it was recorded before, within its
  // lifetime: an earlier request of this name may have run.
  bool record(std::string_view name, Micros now);
  bool contains(std::string_view name, Micros now) const;
  // Forgets a write whose outcome its client has learnt, or that did not run.
  void forget(std::string_view name, Micros now);

 private:
  struct Slot {
    std::atomic<std::uint64_t> name;    // its hash
    std::atomic<std::int64_t> ends_at;  // on the machine's monotonic clock, in microseconds; 0: unused
  };
  static constexpr std::size_t kSlotsPerSet = 8, kSets = 4096;
  using Set = Slot[kSlotsPerSet];

  void map(int file);
  Slot* find(std::uint64_t name, Micros now) const;
  Set& set_of(std::uint64_t name) const { return sets_[name % kSets]; }

  net::Fd file_;
  Set* sets_ = nullptr;
};

}  // namespace database_proxy::proxy
