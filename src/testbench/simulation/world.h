// Simulates complete consensus groups in simulated time, driven by one seed. Runs the production consensus
// and ownership modules with disks that lose writes that are not yet durable, links that are cut, slow, lossy
// or reordering, clocks that drift and processes that pause. The safety invariants are checked at every step;
// at the end, after all faults are over, the group must have recovered: one leader, all nodes nearly caught
// up and a lease holder for each job. Uses no threads, I/O or system clock, so a seed gives the same run each
// time.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "consensus/raft.h"
#include "ownership/lease.h"

namespace database_proxy::testbench::simulation {

using consensus::Micros;

// A mutant has one safeguard disabled. The simulation or the model check must detect each of them.
enum class Mutant {
  kNone,
  kVoteNotSaved,
  kCommitsOldTerms,
  kNoCheck,
  kTokenNotCompared,
  kNoMargin,
  kLostDirectoryVotes,
};
const std::vector<std::pair<Mutant, std::string>>& mutants();

// A fault that begins at `at` and lasts `duration`; `other` is the second node of a cut link.
struct Fault {
  enum class Kind {
    kCrash,
    kPause,
    kCut,
    kCutOneWay,
    kIsolate,
    kSlowDisk,
    kFailDisk,
    kWipe,
    kTransfer,
    kLoss,
    kReplace
  };
  Kind kind = Kind::kCrash;
  Micros at{0}, duration{0};
  int node = 0, other = 0;
};
std::string text_of(const Fault& fault);

struct WorldOptions {
  std::uint64_t seed = 1;
  Mutant mutant = Mutant::kNone;
  Micros faults_until{9'000'000}, end{18'000'000};
  std::optional<std::vector<Fault>> script;  // replaces the faults drawn from the seed
};

struct WorldResult {
  std::string violation;  // empty if all invariants held
  std::vector<std::string> history;
  std::vector<Fault> faults;
  std::uint64_t events = 0, committed = 0, acknowledged = 0, reads = 0, elections = 0, grants = 0,
                effects = 0, stale_attempted = 0, stale_accepted = 0, faults_injected = 0;
};

// Runs one simulation and returns its counters, its history and the first violated invariant, if any.
WorldResult run_world(const WorldOptions& options);
// Removes faults one at a time while the run still violates the same invariant, and returns the run with the
// shortest script found.
WorldResult shrink(const WorldOptions& options, const WorldResult& failed_run);

}  // namespace database_proxy::testbench::simulation
