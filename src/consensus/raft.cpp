#include "consensus/raft.h"

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <utility>

namespace database_proxy::consensus {
namespace {

void require(bool is_valid, const char* problem) {
  if (!is_valid) throw std::invalid_argument(std::string("invalid Raft options or stored state: ") + problem);
}

}  // namespace

Raft::Raft(Options options, PersistentState stored, Micros now)
    : options_(options),
      now_(now),
      hard_state_(stored.hard_state),
      snapshot_(std::move(stored.snapshot)),
      election_timer_(options.seed, options.election_timeout_min, options.election_timeout_max),
      replication_(options) {
  require(options_.self != kNoNode, "the node id is not set");
  require(options_.heartbeat_interval.count() > 0 &&
              options_.election_timeout_min > options_.heartbeat_interval &&
              options_.election_timeout_max > options_.election_timeout_min,
          "heartbeat interval, minimum and maximum election timeout must be positive and in ascending order");
  if (snapshot_) {
    log_ = RaftLog(snapshot_->index, snapshot_->term);
    membership_.reset(snapshot_->index, snapshot_->members);
  }
  restore_entries(std::move(stored.entries));
  require(!snapshot_ || last_index() >= snapshot_->index, "the log ends before the snapshot");
  commit_index_ = applied_index_ = snapshot_index();
  writes_ = WriteTracker(last_index());
  reset_election_timer();
}

void Raft::restore_entries(std::vector<Entry> entries) {
  std::size_t first = 0;
  if (!entries.empty() && entries[0].index <= log_.base_index()) {
    require(entries[0].index > 0, "the log has an entry at index 0");
    log_ = RaftLog(entries[0].index, entries[0].term);
    first = 1;
  }
  for (std::size_t i = first; i < entries.size(); ++i) {
    auto& entry = entries[i];
    require(entry.index == last_index() + 1, "the log has a gap");
    require(entry.term >= log_.last_term() && entry.term <= hard_state_.term,
            "the terms of the log decrease or exceed the stored term");
    if (entry.type == EntryType::kMembers && entry.index > snapshot_index()) {
      auto members = Membership::decode(entry.data);
      require(members.has_value(), "a membership entry cannot be read");
      membership_.append(entry.index, std::move(*members));
    }
    log_.append(std::move(entry));
  }
}

Micros Raft::due() const {
  if (role_ == Role::kHalted) return Micros::max();
  if (is_leader()) return next_heartbeat_;
  return may_start_election() ? election_timer_.deadline() : Micros::max();
}

Output Raft::step(Micros now, std::vector<Input> inputs) {
  now_ = std::max(now_, now);
  output_ = {};
  for (auto& input : inputs) {
    std::visit([this](auto& alternative) { on(alternative); }, input);
    writes_.end_write();
  }
  if (is_leader() && reads_.take_round_request()) send_to_all(true);
  output_.writes = writes_.take_writes();
  return std::move(output_);
}

void Raft::on(Tick /*tick*/) {
  if (role_ == Role::kHalted) return;
  if (!is_leader()) {
    if (election_timer_.has_expired(now_) && may_start_election()) start_pre_vote();
    return;
  }
  // Followers wait at least the minimum election timeout before they elect another leader. A leader that has
  // lost contact with a majority therefore steps down at about the time when a new one may be elected.
  if (options_.check_quorum &&
      !replication_.has_quorum_contact(members(), now_, options_.election_timeout_min))
    return become_follower(hard_state_.term, kNoNode, RoleChangeReason::kLostQuorum);
  transfer_.expire(now_);
  if (now_ >= next_heartbeat_) send_to_all(true);
}

void Raft::on(MessageReceived& received) {
  auto& message = received.message;
  if (role_ == Role::kHalted || message.to != options_.self || message.from == options_.self) return;
  switch (message.type) {
    case Message::Type::kRequestPreVote:
    case Message::Type::kRequestVote:
      return on_request_vote(message);
    case Message::Type::kRequestPreVoteResponse:
    case Message::Type::kRequestVoteResponse:
      return on_request_vote_response(message);
    case Message::Type::kAppendEntries:
      return on_append_entries(message);
    case Message::Type::kAppendEntriesResponse:
      return on_append_entries_response(message);
    case Message::Type::kInstallSnapshot:
      return on_install_snapshot(message);
    case Message::Type::kTimeoutNow:
      return on_timeout_now(message);
  }
}

void Raft::on(WriteCompleted completed) {
  if (role_ == Role::kHalted) return;
  const bool has_log_advanced = writes_.complete(completed.number);
  // Like any vote, a candidate's vote for itself counts only once it is durable.
  if (role_ == Role::kCandidate && writes_.is_hard_state_durable()) {
    votes_.record(options_.self, true);
    count_votes();
  }
  if (!has_log_advanced) return;
  if (is_leader())
    advance_commit_index();
  else if (leader_ != kNoNode)
    acknowledge_durable_log(leader_, 0);
}

void Raft::on(WriteFailed /*failed*/) {
  if (role_ == Role::kHalted) return;
  reads_.fail_all(&output_.read_results);
  replication_.clear();
  change_role(Role::kHalted, kNoNode, RoleChangeReason::kDiskFailed);
}

void Raft::change_role(Role role, NodeId leader, RoleChangeReason reason) {
  role_ = role;
  leader_ = leader;
  output_.role_changes.push_back({role, reason, hard_state_.term, leader});
}

void Raft::save_hard_state() {
  auto saved = hard_state_;
  if (options_.flaws.vote_not_saved) saved.vote = kNoNode;
  writes_.save_hard_state(saved, last_index());
}

void Raft::send(Message message) {
  message.from = options_.self;
  if (message.term == 0) message.term = hard_state_.term;
  output_.messages.push_back({std::move(message), writes_.write_before_messages()});
}

std::string Raft::fingerprint() const {
  std::string text;
  auto add = [&](std::uint64_t value) {
    text += std::to_string(value);
    text.push_back(',');
  };
  add(static_cast<std::uint64_t>(role_));
  add(hard_state_.term);
  add(hard_state_.vote);
  add(leader_);
  add(commit_index_);
  add(verified_index_);
  add(log_.base_index());
  for (const auto& entry : log_.entries()) {
    add(entry.term);
    add(static_cast<std::uint64_t>(entry.type));
    text += entry.data;
  }
  for (const auto& [voter, is_granted] : votes_.votes()) {
    add(voter);
    add(is_granted);
  }
  for (const auto& [id, peer] : peers()) {
    add(id);
    add(peer.match);
    add(peer.next);
    add(peer.is_append_outstanding);
    add(peer.is_snapshot_outstanding);
  }
  return text;
}

}  // namespace database_proxy::consensus
