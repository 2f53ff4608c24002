// A snapshot of the replicated state machine, and the complete persistent state of a node.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "consensus/membership.h"
#include "consensus/types.h"

namespace database_proxy::consensus {

// The state after the entry at `index`, which replaces the log up to that entry (chapter 5 of the Raft
// paper).
struct Snapshot {
  Index index = 0;  // 0: none
  Term term = 0;    // of the entry at `index`
  Membership members;
  std::string data;  // encoded state of the state machine, opaque to the consensus module
};

// Snapshots are large and immutable, so messages and writes share one copy.
using SnapshotPtr = std::shared_ptr<const Snapshot>;

// The state that a node reads from its store when it starts. `entries` are contiguous; if they begin at or
// before the snapshot's index, the first one is the base entry of the log, of which only index and term are
// used.
struct PersistentState {
  HardState hard_state;
  SnapshotPtr snapshot;  // null: none
  std::vector<Entry> entries;
};

}  // namespace database_proxy::consensus
