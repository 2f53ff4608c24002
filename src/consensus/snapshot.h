// A snapshot of the replicated state machine, and the whole of what a node stores.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "consensus/membership.h"
#include "consensus/types.h"

namespace database_proxy::consensus {

// The state after the entry at `index`, which replaces the log up to there (chapter 5 of the Raft paper).
struct Snapshot {
  Index index = 0;  // 0: none
  Term term = 0;    // of the entry at `index`
  Membership members;
  std::string data;  // of the state machine; the consensus module does not read it
};

// Snapshots are large and never change, so that messages and writes share one copy.
using SnapshotPtr = std::shared_ptr<const Snapshot>;

// What a node finds in its store when it starts. `entries` are contiguous; if they begin at or before the
// snapshot's index, the first of them only tells the term at its index.
struct PersistentState {
  HardState hard_state;
  SnapshotPtr snapshot;  // null: none
  std::vector<Entry> entries;
};

}  // namespace database_proxy::consensus
