#include "workers/connection_balancer.h"

namespace database_proxy::workers {

std::optional<std::size_t> deal(const std::vector<WorkerSlot>& seats, std::size_t last) {
  std::optional<std::size_t> best;
  for (std::size_t i = 1; i <= seats.size(); ++i) {
    auto at = (last + i) % seats.size();
    auto& s = seats[at];
    if (!s.running || s.dealt >= kMostDealt) continue;
    if (!best || s.clients + s.dealt < seats[*best].clients + seats[*best].dealt) best = at;
  }
  return best;
}

std::optional<std::size_t> give_room(const std::vector<WorkerSlot>& seats, std::optional<std::size_t> asker) {
  std::optional<std::size_t> most;
  for (std::size_t i = 0; i < seats.size(); ++i) {
    if (i == asker || !seats[i].running || seats[i].clients == 0) continue;
    if (!most || seats[i].clients > seats[*most].clients) most = i;
  }
  return most;
}

}  // namespace database_proxy::workers
