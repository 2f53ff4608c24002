// Which client gives way where a descriptor is needed. Pure: no I/O, no clock.
#pragma once

#include <chrono>
#include <cstddef>

namespace database_proxy::proxy {

using Micros = std::chrono::microseconds;

// A client that has sent a command so lately may be about to send another, and its answer may still be on the
// way.
constexpr Micros kRecentlyActive = std::chrono::milliseconds(50);

// In the order in which clients give way: the first has nothing to lose.
enum class EvictionRank {
  kLingering,     // it has had its last answer
  kLongSilent,    // it has never sent a command, for 1 s at least
  kLongIdle,      // between commands, for 2 s at least
  kIdle,          // between commands
  kJustConnected  // it has never sent a command and has come just now
};
constexpr std::size_t kEvictionRanks = 5;

// Whether only clients with nothing to lose may give way, or also those that a usual client may be: it needs
// a moment to send its first command.
enum class EvictionScope { kNothingToLose, kAnyIdle };

// What is known of one client.
struct EvictionCandidate {
  bool is_lingering = false;
  bool is_unused = false;
  bool is_mid_command = false;
  bool is_idle = false;
  Micros quiet_for{0};  // since it last sent a command, or came
};

// How easily the client can be missed; kEvictionRanks: it must stay.
std::size_t eviction_rank(const EvictionCandidate& client);

// So many ranks give way.
constexpr std::size_t ranks_in(EvictionScope scope) {
  return scope == EvictionScope::kAnyIdle ? kEvictionRanks : static_cast<std::size_t>(EvictionRank::kIdle);
}

}  // namespace database_proxy::proxy
