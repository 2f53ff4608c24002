// Log replication: appends from the leader, their responses, and the commit index.
#include <algorithm>
#include <optional>
#include <utility>

#include "consensus/raft.h"

namespace database_proxy::consensus {

Index Raft::append_as_leader(EntryType type, std::string data) {
  append_entry({hard_state_.term, last_index() + 1, type, std::move(data)});
  return last_index();
}

void Raft::append_entry(Entry entry) {
  if (entry.type == EntryType::kMembers) {
    if (auto members = Membership::decode(entry.data)) membership_.append(entry.index, std::move(*members));
  }
  writes_.append(entry);
  log_.append(std::move(entry));
}

void Raft::truncate_from(Index from) {
  log_.truncate_from(from);
  membership_.truncate_from(from);
  writes_.truncate_from(from);
}

void Raft::send_to_all(bool is_heartbeat) {
  if (is_heartbeat) {
    replication_.begin_round();
    next_heartbeat_ = now_ + options_.heartbeat_interval;
  }
  for (const auto& [id, peer] : peers()) send_to(id, is_heartbeat);
  if (is_heartbeat) confirm_reads();
}

void Raft::send_to(NodeId id, bool is_heartbeat) {
  const LeaderView view{log_, snapshot_, commit_index_, now_};
  if (auto message = replication_.next_message(id, view, is_heartbeat)) send(std::move(*message));
}

void Raft::on_leader_contact(const Message& message) {
  become_follower(message.term, message.from, RoleChangeReason::kLeaderContact);
  last_leader_contact_ = now_;
  reset_election_timer();
}

void Raft::on_append_entries(Message& message) {
  if (message.term < hard_state_.term) return reject_append(message, last_index());
  on_leader_contact(message);
  skip_compacted_entries(message);
  if (message.index > last_index() || log_.term_at(message.index) != message.log_term)
    return reject_append(message, log_.conflict_hint(message.index, commit_index_));
  if (!store_entries(message)) return;
  verified_index_ = std::max<Index>(verified_index_, message.index + message.entries.size());
  commit_to(std::min(message.commit, verified_index_));
  acknowledge_durable_log(message.from, message.round);
}

void Raft::reject_append(const Message& message, Index hint) {
  Message response;
  response.type = Message::Type::kAppendEntriesResponse;
  response.to = message.from;
  response.round = message.round;
  response.reject = true;
  response.rejected_index = message.index;
  response.index = hint;
  send(std::move(response));
}

// Entries up to the base are committed. The leader therefore has the same entries, and they need no
// comparison.
void Raft::skip_compacted_entries(Message& message) const {
  if (message.index >= log_.base_index()) return;
  const auto skipped = std::min<std::size_t>(log_.base_index() - message.index, message.entries.size());
  message.entries.erase(message.entries.begin(),
                        message.entries.begin() + static_cast<std::ptrdiff_t>(skipped));
  message.index = log_.base_index();
  message.log_term = log_.base_term();
}

bool Raft::store_entries(Message& message) {
  Index expected = message.index;
  for (auto& entry : message.entries) {
    ++expected;
    if (entry.index != expected) return false;  // invalid: a leader sends contiguous entries
    if (expected <= last_index()) {
      if (log_.term_at(expected) == entry.term) continue;
      if (expected <= commit_index_) return false;  // invalid: conflicts with a committed entry
      truncate_from(expected);
    }
    append_entry(std::move(entry));
  }
  return true;
}

// Reports to the leader the index up to which this node's log matches the leader's and is durable.
void Raft::acknowledge_durable_log(NodeId leader, std::uint64_t round) {
  Message response;
  response.type = Message::Type::kAppendEntriesResponse;
  response.to = leader;
  response.round = round;
  response.index = std::min(verified_index_, durable_index());
  send(std::move(response));
}

void Raft::on_append_entries_response(const Message& message) {
  if (message.term > hard_state_.term)
    return become_follower(message.term, kNoNode, RoleChangeReason::kHigherTerm);
  if (!is_leader() || message.term != hard_state_.term) return;
  auto* peer = replication_.find(message.from);
  if (!peer) return;
  peer->last_contact = now_;
  peer->round = std::max(peer->round, message.round);
  if (message.reject) {
    if (peer->on_rejected(message.rejected_index, message.index)) send_to(message.from, false);
    return confirm_reads();
  }
  peer->on_accepted(message.index, log_.base_index());
  advance_commit_index();
  confirm_reads();
  // A leader whose own removal has just been committed has stepped down and no longer tracks its peers, so
  // that `peer` is not valid any more.
  if (!is_leader()) return;
  if (peer->next <= last_index()) send_to(message.from, false);
  request_election_if_caught_up();
}

void Raft::advance_commit_index() {
  const auto match = replication_.majority_match(members(), durable_index());
  if (!match || *match <= commit_index_) return;
  // Only entries of the leader's own term are committed by counting replicas; earlier entries are committed
  // with them (section 3.6.2).
  if (log_.term_at(*match) != hard_state_.term && !options_.flaws.commits_old_terms) return;
  commit_to(*match);
  send_to_all(true);  // informs the other members of the new commit index at once
  if (!members().has(options_.self) && !membership_.has_uncommitted_change(commit_index_))
    become_follower(hard_state_.term, kNoNode, RoleChangeReason::kRemoved);
}

void Raft::commit_to(Index index) {
  if (index <= commit_index_) return;
  commit_index_ = std::min(index, last_index());
  for (; applied_index_ < commit_index_; ++applied_index_) {
    if (const auto* entry = log_.entry(applied_index_ + 1)) output_.committed_entries.push_back(*entry);
  }
}

}  // namespace database_proxy::consensus
