#include "workers/connection_balancer.h"

namespace database_proxy::workers {

std::optional<std::size_t> assign_worker(const std::vector<WorkerSlot>& worker_slots, std::size_t last) {
  std::optional<std::size_t> best;
  for (std::size_t i = 1; i <= worker_slots.size(); ++i) {
    auto at = (last + i) % worker_slots.size();
    auto& s = worker_slots[at];
    if (!s.running || s.assigned >= kMostAssigned) continue;
    if (!best || s.clients + s.assigned < worker_slots[*best].clients + worker_slots[*best].assigned)
      best = at;
  }
  return best;
}

std::optional<std::size_t> release_descriptor(const std::vector<WorkerSlot>& worker_slots,
                                              std::optional<std::size_t> asker) {
  std::optional<std::size_t> most;
  for (std::size_t i = 0; i < worker_slots.size(); ++i) {
    if (i == asker || !worker_slots[i].running || worker_slots[i].clients == 0) continue;
    if (!most || worker_slots[i].clients > worker_slots[*most].clients) most = i;
  }
  return most;
}

}  // namespace database_proxy::workers
