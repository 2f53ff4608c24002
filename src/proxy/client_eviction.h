// Which client gives way where a descriptor is needed. Pure: no I/O, no clock. All clients are looked at for
// each one that is to be accepted at the limit, so everything here is inline.
#pragma once

#include <chrono>
#include <cstddef>

namespace database_proxy::proxy {

using Micros = std::chrono::microseconds;

// A client that has sent a command so lately may be about to send another, and its answer may still be on the
// way.
constexpr Micros kRecentlyActive = std::chrono::milliseconds(50);
// A client that has been idle for so long, or has sent nothing for so long since it came, gives way to
// another one.
constexpr Micros kLongIdle = std::chrono::seconds(2), kLongSilent = std::chrono::seconds(1);

// In the order in which clients give way: the first has nothing to lose.
enum class EvictionRank {
  kLingering,      // it has had its last answer
  kLongSilent,     // it has never sent a command, for kLongSilent at least
  kLongIdle,       // between commands, for kLongIdle at least
  kIdle,           // between commands
  kJustConnected,  // it has never sent a command and has come just now
  kNotEvictable,
};
constexpr std::size_t kEvictionRanks = static_cast<std::size_t>(EvictionRank::kNotEvictable);

// Whether only clients with nothing to lose may give way, or also those that a usual client may be: it needs
// a moment to send its first command.
enum class EvictionScope { kInactiveOnly, kAnyIdle };

// The rank of a client that has never sent a command. Whoever came in this very iteration has had no chance
// to.
constexpr EvictionRank rank_of_unused(Micros quiet_for, bool is_mid_command) {
  if (quiet_for >= kLongSilent && !is_mid_command) return EvictionRank::kLongSilent;
  return quiet_for.count() > 0 ? EvictionRank::kJustConnected : EvictionRank::kNotEvictable;
}

// The rank of a client that has sent commands.
constexpr EvictionRank rank_of_used(Micros quiet_for, bool is_idle) {
  if (!is_idle || quiet_for < kRecentlyActive) return EvictionRank::kNotEvictable;
  return quiet_for >= kLongIdle ? EvictionRank::kLongIdle : EvictionRank::kIdle;
}

// So many ranks give way.
constexpr std::size_t evictable_rank_count(EvictionScope scope) {
  return scope == EvictionScope::kAnyIdle ? kEvictionRanks : static_cast<std::size_t>(EvictionRank::kIdle);
}

}  // namespace database_proxy::proxy
