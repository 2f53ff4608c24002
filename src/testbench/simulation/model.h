// The small scope, explored whole: every order of deliveries, elections, crashes and proposals of three nodes
// within stated bounds, and every course of two owners' leases over two leaders. The daemon's own modules.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "testbench/simulation/world.h"

namespace database_proxy::testbench::simulation {

struct ScopeOptions {
  int nodes = 3, elections = 3, proposals = 1, crashes = 1, breaks = 0;
  Mutant mutant = Mutant::kNone;
  std::uint64_t max_states = 50'000'000;  // beyond, it is told as not exhausted
};
struct ScopeResult {
  std::string violation;  // empty: election safety, log matching and leader completeness held in all states
  std::vector<std::string> path;
  std::uint64_t states = 0;
  bool exhausted = true;
};
ScopeResult explore_log(const ScopeOptions& options);

struct LeaseScope {
  int steps = 6;  // of half a lease each
  Mutant mutant = Mutant::kNone;
};
ScopeResult explore_leases(const LeaseScope& options);

}  // namespace database_proxy::testbench::simulation
