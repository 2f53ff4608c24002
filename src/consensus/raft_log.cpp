#include "consensus/raft_log.h"

#include <algorithm>
#include <utility>

namespace database_proxy::consensus {

Term RaftLog::term_at(Index index) const {
  if (index == base_index_) return base_term_;
  const auto* found = entry(index);
  return found ? found->term : 0;
}

const Entry* RaftLog::entry(Index index) const {
  if (index <= base_index_ || index > last_index()) return nullptr;
  return &entries_[index - base_index_ - 1];
}

bool RaftLog::is_up_to_date(Index last_index, Term last_term) const {
  const auto own_term = this->last_term();
  if (last_term != own_term) return last_term > own_term;
  return last_index >= this->last_index();
}

Index RaftLog::conflict_hint(Index mismatch, Index commit) const {
  Index hint = std::min(mismatch - 1, last_index());
  const auto conflicting_term = term_at(mismatch);
  if (conflicting_term != 0) {
    while (hint > commit && term_at(hint) == conflicting_term) --hint;
  }
  return std::max(hint, commit);
}

void RaftLog::append(Entry entry) { entries_.push_back(std::move(entry)); }

void RaftLog::truncate_from(Index from) {
  while (last_index() >= from) entries_.pop_back();
}

void RaftLog::compact_to(Index base) {
  base_term_ = term_at(base);
  entries_.erase(entries_.begin(), entries_.begin() + static_cast<std::ptrdiff_t>(base - base_index_));
  base_index_ = base;
}

void RaftLog::reset(Index base_index, Term base_term) {
  entries_.clear();
  base_index_ = base_index;
  base_term_ = base_term;
}

}  // namespace database_proxy::consensus
