#include "proxy/client_eviction.h"

namespace database_proxy::proxy {
namespace {

using namespace std::chrono_literals;

// A client that has been idle for so long, or has sent nothing for so long since it came, gives way to
// another one.
constexpr Micros kLongIdle = 2s, kLongSilent = 1s;

constexpr std::size_t index_of(EvictionRank rank) { return static_cast<std::size_t>(rank); }

}  // namespace

std::size_t eviction_rank(const EvictionCandidate& client) {
  if (client.is_lingering) return index_of(EvictionRank::kLingering);
  if (client.is_unused) {
    if (client.quiet_for >= kLongSilent && !client.is_mid_command) return index_of(EvictionRank::kLongSilent);
    // Whoever came in this very iteration has had no chance to send anything.
    return client.quiet_for.count() > 0 ? index_of(EvictionRank::kJustConnected) : kEvictionRanks;
  }
  if (!client.is_idle || client.quiet_for < kRecentlyActive) return kEvictionRanks;
  return index_of(client.quiet_for >= kLongIdle ? EvictionRank::kLongIdle : EvictionRank::kIdle);
}

}  // namespace database_proxy::proxy
