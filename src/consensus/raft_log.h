// The in-memory part of the replicated log.
//
// The log begins after a base entry, of which only index and term are kept: the last entry that compaction
// removed, or index 0. The log contains entries whether or not they are durable or committed.
#pragma once

#include <cstddef>
#include <deque>

#include "consensus/types.h"

namespace database_proxy::consensus {

// The log in memory. Raft owns it, and passes each change to WriteTracker to be stored.
class RaftLog {
 public:
  RaftLog() = default;
  RaftLog(Index base_index, Term base_term) : base_index_(base_index), base_term_(base_term) {}

  Index base_index() const { return base_index_; }
  Term base_term() const { return base_term_; }
  // The index of the last entry, or the base index if there is no entry.
  Index last_index() const { return base_index_ + entries_.size(); }
  Term last_term() const { return term_at(last_index()); }
  // Returns the term of the entry at `index`, which may be the base; 0 if it is not known.
  Term term_at(Index index) const;
  // Returns the entry at `index`, or null if it is not in memory. The pointer is valid until the log changes.
  const Entry* entry(Index index) const;
  const std::deque<Entry>& entries() const { return entries_; }

  // Returns whether a log that ends with the given entry is at least as up to date as this log (section 3.6.1
  // of the Raft paper).
  bool is_up_to_date(Index last_index, Term last_term) const;
  // Returns the index at which the leader should retry after an append at `mismatch` was rejected: the last
  // one before all entries of the conflicting term, so that finding the point where the logs agree takes one
  // round trip per term instead of one per entry (section 3.5). It is never less than `commit`, since the
  // logs agree up to there.
  Index conflict_hint(Index mismatch, Index commit) const;

  // Adds an entry, whose index must be last_index() + 1.
  void append(Entry entry);
  // Removes the entries at `from` and later.
  void truncate_from(Index from);
  // Removes the entries up to and including `base`, which must be in the log and becomes the base.
  void compact_to(Index base);
  // Removes all entries and restarts the log after the given base.
  void reset(Index base_index, Term base_term);

 private:
  Index base_index_ = 0;
  Term base_term_ = 0;
  std::deque<Entry> entries_;
};

}  // namespace database_proxy::consensus
