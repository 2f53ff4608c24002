#include "consensus/write_tracker.h"

#include <algorithm>
#include <utility>

namespace database_proxy::consensus {

Write& WriteTracker::current_write(Index last_index) {
  if (!is_write_open_) {
    writes_.emplace_back();
    writes_.back().number = ++last_write_;
    pending_.push_back({last_write_, last_index});
    is_write_open_ = true;
  }
  return writes_.back();
}

void WriteTracker::save_hard_state(const HardState& hard_state, Index last_index) {
  current_write(last_index).hard_state = hard_state;
  hard_state_write_ = last_write_;
}

void WriteTracker::append(const Entry& entry) {
  current_write(entry.index).append.push_back(entry);
  pending_.back().last_index = entry.index;
}

void WriteTracker::save_snapshot(SnapshotPtr snapshot, Index last_index) {
  current_write(last_index).snapshot = std::move(snapshot);
}

void WriteTracker::truncate_from(Index from) {
  const Index last_index = from - 1;
  for (auto& write : pending_) write.last_index = std::min(write.last_index, last_index);
  durable_index_ = std::min(durable_index_, last_index);
  end_write();
  current_write(last_index).truncate_from = from;
}

void WriteTracker::install_snapshot(const SnapshotPtr& snapshot) {
  for (auto& write : pending_) write.last_index = 0;
  durable_index_ = 0;
  end_write();
  auto& write = current_write(snapshot->index);
  write.snapshot = snapshot;
  write.truncate_from = 1;
}

std::vector<Write> WriteTracker::take_writes() { return std::exchange(writes_, {}); }

bool WriteTracker::complete(std::uint64_t number) {
  durable_write_ = std::max(durable_write_, number);
  const auto before = durable_index_;
  while (!pending_.empty() && pending_.front().number <= number) {
    durable_index_ = std::max(durable_index_, pending_.front().last_index);
    pending_.pop_front();
  }
  return durable_index_ != before;
}

}  // namespace database_proxy::consensus
