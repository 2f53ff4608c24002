// The writes of a node: those to be made in the current step, and those that are not durable yet.
//
// Each input of a step produces at most one write, except that a truncation or a snapshot from the leader
// begins a new one, because removals are applied before appended entries within one write. Writes complete in
// the order of their numbers.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "consensus/output.h"
#include "consensus/types.h"

namespace database_proxy::consensus {

// Numbers the writes and tracks which are durable. Raft owns it.
class WriteTracker {
 public:
  WriteTracker() = default;
  // Constructs the tracker of a node that starts with a log that is durable up to `durable_index`.
  explicit WriteTracker(Index durable_index) : durable_index_(durable_index) {}

  // The following functions add to the current write, or begin one. `last_index` is the log's current last
  // index.
  void save_hard_state(const HardState& hard_state, Index last_index);
  void append(const Entry& entry);
  void save_snapshot(SnapshotPtr snapshot, Index last_index);
  // Removes entries before `index` from the store. To be called after save_snapshot(), and part of the same
  // write.
  void drop_before(Index index) { writes_.back().drop_before = index; }

  // The following functions begin a new write.
  void truncate_from(Index from);
  void install_snapshot(const SnapshotPtr& snapshot);

  // Ends the current write, so that the next input begins a new one.
  void end_write() { is_write_open_ = false; }
  // Returns the writes begun since the last call, for the caller to make.
  std::vector<Write> take_writes();

  // Records that all writes up to `number` are durable. Returns whether durable_index() has changed.
  bool complete(std::uint64_t number);

  // The index up to which the log is durable.
  Index durable_index() const { return durable_index_; }
  // Returns whether the current term and vote are durable.
  bool is_hard_state_durable() const { return hard_state_write_ <= durable_write_; }
  // Returns the number of the write that must be durable before a message is sent; 0 if there is none. A term
  // or vote that another node has learnt of must survive a crash (section 3.8 of the Raft paper).
  std::uint64_t write_before_messages() const { return is_hard_state_durable() ? 0 : hard_state_write_; }

 private:
  struct PendingWrite {
    std::uint64_t number;
    Index last_index;  // the log is durable up to this index once the write is; a truncation lowers it
  };

  Write& current_write(Index last_index);

  std::vector<Write> writes_;
  bool is_write_open_ = false;  // whether the last of `writes_` may still be extended
  std::deque<PendingWrite> pending_;
  std::uint64_t last_write_ = 0, durable_write_ = 0;
  std::uint64_t hard_state_write_ = 0;  // the last write that contains a hard state
  Index durable_index_ = 0;
};

}  // namespace database_proxy::consensus
