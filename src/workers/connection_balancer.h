// Which worker gets the next client, and which must give room. Pure: no I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace database_proxy::workers {

struct WorkerSlot {
  std::size_t clients = 0;   // that it serves
  std::size_t assigned = 0;  // that were dealt to it and that it has not taken yet
  bool running = true;
};

// Clients that one worker may have waiting to be taken. A worker that stands still collects no more than
// these.
constexpr std::size_t kMaxAssignedClients = 64;

// The worker with the fewest clients; of equal ones, the first after `last_assigned`. None: all that run are
// behind, so leave the client in the backlog of the kernel and look again.
std::optional<std::size_t> choose_worker_for_client(const std::vector<WorkerSlot>& worker_slots,
                                                    std::size_t last_assigned);

// The worker with the most clients, `requester` excepted; it most likely has one that is easy to miss. None
// where no other worker has any.
std::optional<std::size_t> choose_worker_to_release_descriptor(const std::vector<WorkerSlot>& worker_slots,
                                                               std::optional<std::size_t> requester);

}  // namespace database_proxy::workers
