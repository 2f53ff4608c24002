// Whole groups in simulated time, from one seed: the daemon's own modules of consensus and ownership, with
// disks that lose what was not yet durable, links that are cut, slow, lossy or out of order, clocks that
// drift and processes that pause. What must always hold is checked at every step; at the end, with all faults
// over, the group must have come to rest. No thread, no I/O, no clock: a seed gives the same run each time.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "consensus/raft.h"
#include "ownership/lease.h"

namespace database_proxy::testbench::simulation {

using consensus::Micros;

// One guard taken away. The simulation or the model check must find each.
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
  std::optional<std::vector<Fault>> script;  // instead of those drawn from the seed
};

struct WorldResult {
  std::string violation;  // empty: all held
  std::vector<std::string> history;
  std::vector<Fault> faults;
  std::uint64_t events = 0, committed = 0, acknowledged = 0, reads = 0, elections = 0, grants = 0,
                effects = 0, stale_attempted = 0, stale_accepted = 0, faults_injected = 0;
};

WorldResult run_world(const WorldOptions& options);
// Leaves faults out while it still breaks in the same way: the shortest script found.
WorldResult shrink(const WorldOptions& options, const WorldResult& failed_run);

}  // namespace database_proxy::testbench::simulation
