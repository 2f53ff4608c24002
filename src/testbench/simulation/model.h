// Exhaustive model check of a small scope, on the production modules: every order of deliveries, elections,
// crashes and proposals of three nodes within the given bounds, and every sequence of lease events of two
// lease clients over two leaders.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "testbench/simulation/world.h"

namespace database_proxy::testbench::simulation {

struct ScopeOptions {
  int nodes = 3, elections = 3, proposals = 1, crashes = 1, breaks = 0;
  Mutant mutant = Mutant::kNone;
  std::uint64_t max_states = 50'000'000;  // above this, the search is reported as not exhausted
};
struct ScopeResult {
  // Empty if election safety, log matching and leader completeness held in all states; for leases, if at most
  // one client passed its lease check in all states.
  std::string violation;
  std::vector<std::string> path;
  std::uint64_t states = 0;
  bool exhausted = true;
};
// Explores the log replication of `options.nodes` nodes.
ScopeResult explore_log(const ScopeOptions& options);

struct LeaseScope {
  int steps = 6;  // each of half a lease duration
  Mutant mutant = Mutant::kNone;
};
// Explores the lease protocol of two lease clients.
ScopeResult explore_leases(const LeaseScope& options);

}  // namespace database_proxy::testbench::simulation
