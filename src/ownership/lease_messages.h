// What a lease's holder and the leader tell each other. The node carries these between processes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "ownership/fencing_token_guard.h"
#include "ownership/lease_options.h"

namespace database_proxy::ownership {

// One lease, as its holder reports it or as the leader grants it.
struct HeldLease {
  std::string job;
  Token token = 0;
  std::uint64_t progress = 0;  // grows with work done; 0 in a response
  bool operator==(const HeldLease&) const = default;
};

// Sent by each node to the leader at regular intervals, also while it holds nothing.
struct LeaseRenewalRequest {
  std::string node;
  std::uint64_t number = 0;                // chosen by the node; the response repeats it
  std::vector<std::string> eligible_jobs;  // jobs that this node would do
  std::vector<HeldLease> held_leases;
};

// The leader's response, sent after a majority has confirmed that it still leads.
struct LeaseRenewalResponse {
  std::uint64_t number = 0;  // of the request
  Micros lease_duration{0};          // of the granted leases
  std::vector<HeldLease> granted;
  std::vector<std::string> jobs_to_release;  // granted jobs to stop and release: another node is to get them
};

}  // namespace database_proxy::ownership
