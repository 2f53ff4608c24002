// Chooses the worker that serves a new client, and the worker that must release a descriptor. Pure functions:
// no I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace database_proxy::workers {

// The load of one worker.
struct WorkerSlot {
  std::size_t clients = 0;   // clients that it serves
  std::size_t assigned = 0;  // clients assigned to it that it has not adopted yet
  bool running = true;
};

// The number of assigned clients that one worker may not have adopted yet. A stalled worker is assigned no
// more than these.
constexpr std::size_t kMaxAssignedClients = 64;

// Returns the worker with the fewest clients; among equal ones, the first after `last_assigned`. None: every
// running worker has kMaxAssignedClients; the client stays in the kernel's backlog until the next try.
std::optional<std::size_t> choose_worker_for_client(const std::vector<WorkerSlot>& worker_slots,
                                                    std::size_t last_assigned);

// Returns the worker with the most clients, except `requester`: it most likely has one that costs little to
// lose. None: no other worker has a client.
std::optional<std::size_t> choose_worker_to_release_descriptor(const std::vector<WorkerSlot>& worker_slots,
                                                               std::optional<std::size_t> requester);

}  // namespace database_proxy::workers
