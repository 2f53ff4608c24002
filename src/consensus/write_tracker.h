// The writes of a node: which are to be made in this step, and what is durable already.
//
// Each input of a step makes at most one write, except that a truncation or a snapshot of the leader begins a
// new one: within one write, removals come before what is appended. Writes complete in the order of their
// numbers.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "consensus/output.h"
#include "consensus/types.h"

namespace database_proxy::consensus {

// Numbers the writes and knows which are durable. Raft owns it.
class WriteTracker {
 public:
  WriteTracker() = default;
  // For a node that starts with a log whose entries up to `durable_index` are durable.
  explicit WriteTracker(Index durable_index) : durable_index_(durable_index) {}

  // The following add to the current write, or begin one. `last_index` is that of the log at the time.
  void save_hard_state(const HardState& hard_state, Index last_index);
  void append(const Entry& entry);
  void save_snapshot(SnapshotPtr snapshot, Index last_index);
  // Removes entries before `index` from the store. It belongs to the write of save_snapshot().
  void drop_before(Index index) { writes_.back().drop_before = index; }

  // The following begin a write of their own.
  void truncate_from(Index from);
  void install_snapshot(const SnapshotPtr& snapshot);

  // Ends the current write, so that the next input begins another.
  void end_write() { is_write_open_ = false; }
  // Returns the writes since the last call.
  std::vector<Write> take_writes();

  // All writes up to `number` are durable. Returns whether durable_index() has changed.
  bool complete(std::uint64_t number);

  // The log is durable up to here.
  Index durable_index() const { return durable_index_; }
  // Whether the term and vote in force are durable.
  bool is_hard_state_durable() const { return hard_state_write_ <= durable_write_; }
  // The write that must be durable before a message is sent; 0: none. A vote or a term that was promised must
  // not be forgotten in a crash (section 3.8 of the Raft paper).
  std::uint64_t write_before_messages() const { return is_hard_state_durable() ? 0 : hard_state_write_; }

 private:
  struct PendingWrite {
    std::uint64_t number;
    Index last_index;  // the log is durable up to here once this write is, unless it is truncated meanwhile
  };

  Write& current_write(Index last_index);

  std::vector<Write> writes_;
  bool is_write_open_ = false;  // the last of `writes_` may be added to
  std::deque<PendingWrite> pending_;
  std::uint64_t last_write_ = 0, durable_write_ = 0;
  std::uint64_t hard_state_write_ = 0;  // the last write with a hard state
  Index durable_index_ = 0;
};

}  // namespace database_proxy::consensus
