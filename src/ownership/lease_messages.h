// Messages between a lease holder and the leader. The node (src/group) sends them between processes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "ownership/fencing_token_guard.h"
#include "ownership/lease_options.h"

namespace database_proxy::ownership {

// One lease, as reported by its holder or granted by the leader.
struct HeldLease {
  std::string job;
  Token token = 0;
  std::uint64_t progress = 0;  // increases with the work done; 0 in a response
  bool operator==(const HeldLease&) const = default;
};

// Sent by each node to the leader at regular intervals, even while the node holds no lease.
struct LeaseRenewalRequest {
  std::string node;
  std::uint64_t number = 0;                // assigned by the node; the response repeats it
  std::vector<std::string> eligible_jobs;  // jobs that this node may be granted
  std::vector<HeldLease> held_leases;
};

// The leader's response, sent after a majority has confirmed its leadership.
struct LeaseRenewalResponse {
  std::uint64_t number = 0;  // number of the request
  Micros lease_duration{0};  // duration of the granted leases
  std::vector<HeldLease> granted;
  std::vector<std::string> jobs_to_release;  // granted jobs to stop and release for another node
};

}  // namespace database_proxy::ownership
