// The part of the replicated log that is in memory.
//
// The log begins after a base entry, of which only index and term are kept: the last entry that compaction
// has removed, or index 0. The log holds entries whether or not they are durable or committed.
#pragma once

#include <cstddef>
#include <deque>

#include "consensus/types.h"

namespace database_proxy::consensus {

// The log in memory. Raft owns it, and tells WriteTracker what to store.
class RaftLog {
 public:
  RaftLog() = default;
  RaftLog(Index base_index, Term base_term) : base_index_(base_index), base_term_(base_term) {}

  Index base_index() const { return base_index_; }
  Term base_term() const { return base_term_; }
  // The index of the last entry; that of the base if there is none.
  Index last_index() const { return base_index_ + entries_.size(); }
  Term last_term() const { return term_at(last_index()); }
  // The term of the entry at `index`, also of the base; 0 if it is not known.
  Term term_at(Index index) const;
  // The entry at `index`, or null if it is not in memory. It is valid until the log changes.
  const Entry* entry(Index index) const;
  const std::deque<Entry>& entries() const { return entries_; }

  // Whether a log that ends with this entry is at least as up to date as this one (section 3.6.1 of the Raft
  // paper).
  bool is_up_to_date(Index last_index, Term last_term) const;
  // Where the leader may try next after an append at `mismatch` did not fit: before all entries of the term
  // that conflicts there, so that the logs meet after one round for each term, not for each entry
  // (section 3.5). Never before `commit`, up to where the logs agree.
  Index conflict_hint(Index mismatch, Index commit) const;

  // Adds an entry, whose index is that after the last.
  void append(Entry entry);
  // Removes the entries at `from` and later.
  void truncate_from(Index from);
  // Removes the entries up to `base`, which is in the log and becomes the base.
  void compact_to(Index base);
  // Removes all entries and begins after this base.
  void reset(Index base_index, Term base_term);

 private:
  Index base_index_ = 0;
  Term base_term_ = 0;
  std::deque<Entry> entries_;
};

}  // namespace database_proxy::consensus
