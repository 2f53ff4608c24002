// The rules that select the client to close when a descriptor is needed. Pure: no I/O, no clock. At the
// descriptor limit all clients are examined for each client that is to be accepted, so everything here is
// inline.
#pragma once

#include <chrono>
#include <cstddef>

namespace database_proxy::proxy {

using Micros = std::chrono::microseconds;

// The time for which a client counts as active after its last command: it may be about to send another one,
// and its answer may still be in transit.
constexpr Micros kRecentlyActive = std::chrono::milliseconds(50);
// A client that has been idle for kLongIdle, or has sent no command for kLongSilent since it connected, may
// be closed in favor of another client.
constexpr Micros kLongIdle = std::chrono::seconds(2), kLongSilent = std::chrono::seconds(1);

// In the order in which clients are closed: closing a client of the first rank loses nothing.
enum class EvictionRank {
  kLingering,      // has received its last answer
  kLongSilent,     // has never sent a command, for at least kLongSilent
  kLongIdle,       // between commands, for at least kLongIdle
  kIdle,           // between commands
  kJustConnected,  // has never sent a command and connected only recently
  kNotEvictable,
};
constexpr std::size_t kEvictionRanks = static_cast<std::size_t>(EvictionRank::kNotEvictable);

// The clients that may be closed: only lingering and long inactive ones, or also idle and just connected
// ones. A normal client may be in the latter states, because it needs a moment to send its first command.
enum class EvictionScope { kInactiveOnly, kAnyIdle };

// The rank of a client that has never sent a command. A client that connected in the current iteration of the
// loop has had no chance to send one.
constexpr EvictionRank rank_of_unused(Micros quiet_for, bool is_mid_command) {
  if (quiet_for >= kLongSilent && !is_mid_command) return EvictionRank::kLongSilent;
  return quiet_for.count() > 0 ? EvictionRank::kJustConnected : EvictionRank::kNotEvictable;
}

// The rank of a client that has sent commands.
constexpr EvictionRank rank_of_used(Micros quiet_for, bool is_idle) {
  if (!is_idle || quiet_for < kRecentlyActive) return EvictionRank::kNotEvictable;
  return quiet_for >= kLongIdle ? EvictionRank::kLongIdle : EvictionRank::kIdle;
}

// The number of ranks, from the first, whose clients may be closed.
constexpr std::size_t evictable_rank_count(EvictionScope scope) {
  return scope == EvictionScope::kAnyIdle ? kEvictionRanks : static_cast<std::size_t>(EvictionRank::kIdle);
}

}  // namespace database_proxy::proxy
