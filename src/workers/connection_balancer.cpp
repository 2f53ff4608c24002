#include "workers/connection_balancer.h"

namespace database_proxy::workers {

std::optional<std::size_t> choose_worker_for_client(const std::vector<WorkerSlot>& worker_slots,
                                                    std::size_t last_assigned) {
  std::optional<std::size_t> best;
  for (std::size_t i = 1; i <= worker_slots.size(); ++i) {
    auto index = (last_assigned + i) % worker_slots.size();
    auto& slot = worker_slots[index];
    if (!slot.running || slot.assigned >= kMaxAssignedClients) continue;
    if (!best || slot.clients + slot.assigned < worker_slots[*best].clients + worker_slots[*best].assigned)
      best = index;
  }
  return best;
}

std::optional<std::size_t> choose_worker_to_release_descriptor(const std::vector<WorkerSlot>& worker_slots,
                                                               std::optional<std::size_t> requester) {
  std::optional<std::size_t> busiest;
  for (std::size_t i = 0; i < worker_slots.size(); ++i) {
    if (i == requester || !worker_slots[i].running || worker_slots[i].clients == 0) continue;
    if (!busiest || worker_slots[i].clients > worker_slots[*busiest].clients) busiest = i;
  }
  return busiest;
}

}  // namespace database_proxy::workers
