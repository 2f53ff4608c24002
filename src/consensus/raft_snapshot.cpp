// Snapshots: those of this node's own state machine, which compact its log, and those received from a leader.
#include <algorithm>
#include <memory>
#include <utility>

#include "consensus/raft.h"

namespace database_proxy::consensus {

void Raft::on(SnapshotTaken& taken) {
  if (taken.index <= snapshot_index() || taken.index > applied_index_) return;
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->index = taken.index;
  snapshot->term = log_.term_at(taken.index);
  snapshot->members = membership_.at(taken.index);
  snapshot->data = std::move(taken.data);
  snapshot_ = std::move(snapshot);
  membership_.compact_to(taken.index);
  writes_.save_snapshot(snapshot_, last_index());
  compact_log(taken.index);
}

// Keeps some entries before the snapshot, so that followers that are slightly behind need no snapshot.
void Raft::compact_log(Index snapshot_index) {
  if (snapshot_index <= options_.trailing_entries) return;
  const Index base = snapshot_index - options_.trailing_entries;
  if (base <= log_.base_index()) return;
  log_.compact_to(base);
  writes_.drop_before(base);  // the base entry stays in the store, since its term is needed after a restart
}

void Raft::on_install_snapshot(const Message& message) {
  if (message.term < hard_state_.term || !message.snapshot) return;
  on_leader_contact(message);
  const auto& snapshot = *message.snapshot;
  if (snapshot.index <= commit_index_) {
    verified_index_ = std::max(verified_index_, commit_index_);
    return acknowledge_durable_log(leader_, 0);
  }
  // Entries after the snapshot's index may already have been acknowledged. They are kept if the entry at that
  // index matches (chapter 5).
  if (snapshot.index <= last_index() && log_.term_at(snapshot.index) == snapshot.term) {
    verified_index_ = std::max(verified_index_, snapshot.index);
    commit_to(snapshot.index);
    return acknowledge_durable_log(leader_, 0);
  }
  snapshot_ = message.snapshot;
  log_.reset(snapshot.index, snapshot.term);
  membership_.reset(snapshot.index, snapshot.members);
  commit_index_ = applied_index_ = verified_index_ = snapshot.index;
  output_.snapshot_to_restore = snapshot_;
  output_.committed_entries.clear();
  writes_.install_snapshot(snapshot_);
}

}  // namespace database_proxy::consensus
