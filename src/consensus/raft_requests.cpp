// Requests of clients and operators to the leader: proposals, membership changes, confirmed reads, and
// leadership transfer.
#include <utility>

#include "consensus/raft.h"

namespace database_proxy::consensus {
namespace {

constexpr const char* kNotRejected = "";

bool is_rejected(const char* reason) { return *reason != '\0'; }

}  // namespace

void Raft::on(Proposal& proposal) {
  ProposalResult result;
  result.ticket = proposal.ticket;
  result.rejection_reason = proposal_rejection();
  if (!is_rejected(result.rejection_reason)) {
    result.index = append_as_leader(EntryType::kCommand, std::move(proposal.data));
    result.term = hard_state_.term;
    send_to_all(false);
  }
  output_.proposal_results.push_back(result);
}

const char* Raft::proposal_rejection() const {
  if (!is_leader()) return "this node is not the leader";
  if (transfer_.is_active()) return "a leadership transfer is in progress";
  if (last_index() - commit_index_ >= options_.max_uncommitted_entries)
    return "too many entries are not yet committed";
  return kNotRejected;
}

void Raft::on(const MembershipChange& change) {
  ProposalResult result;
  result.ticket = change.ticket;
  result.rejection_reason = membership_change_rejection(change);
  if (!is_rejected(result.rejection_reason)) {
    result.index = append_as_leader(EntryType::kMembers, members_after(change).encode());
    result.term = hard_state_.term;
    replication_.update_members(members(), last_index(), now_);
    send_to_all(false);
  }
  output_.proposal_results.push_back(result);
}

const char* Raft::membership_change_rejection(const MembershipChange& change) const {
  if (!is_leader()) return "this node is not the leader";
  if (transfer_.is_active()) return "a leadership transfer is in progress";
  // Before it has committed an entry of its own term, a leader may not know of a membership change that its
  // predecessor began.
  if (membership_.has_uncommitted_change(commit_index_) || !has_committed_in_current_term())
    return "another membership change is in progress";
  if (const char* reason = member_rejection(change); is_rejected(reason)) return reason;
  // A majority of the remaining voters must be responsive. Otherwise this change could not be committed, and
  // no later change could be made either.
  const auto remaining = members_after(change);
  if (replication_.responsive_voters(remaining, now_, options_.election_timeout_max) < remaining.majority())
    return "too few of the remaining voters are responsive";
  return kNotRejected;
}

const char* Raft::member_rejection(const MembershipChange& change) const {
  using Kind = MembershipChange::Kind;
  const bool is_member = members().has(change.node);
  const bool is_voter = members().is_voter(change.node);
  if (change.node == kNoNode || (change.kind == Kind::kAddLearner && is_member))
    return "the node is already a member";
  if (change.kind != Kind::kAddLearner && !is_member) return "the node is not a member";
  if (change.kind == Kind::kPromote) {
    if (is_voter) return "the node is already a voter";
    const auto* peer = replication_.find(change.node);
    if (!peer || peer->match + options_.max_promotion_lag < commit_index_)
      return "the node has not yet caught up with the leader's log";
  }
  if (change.kind == Kind::kRemove && is_voter && members().voters.size() == 1)
    return "the node is the last voter";
  return kNotRejected;
}

Membership Raft::members_after(const MembershipChange& change) const {
  auto changed = members();
  switch (change.kind) {
    case MembershipChange::Kind::kAddLearner:
      changed.add_learner(change.node);
      break;
    case MembershipChange::Kind::kPromote:
      changed.add_voter(change.node);
      break;
    case MembershipChange::Kind::kRemove:
      changed.remove(change.node);
      break;
  }
  return changed;
}

void Raft::on(ReadRequest request) {
  if (!has_committed_in_current_term()) return output_.read_results.push_back({request.ticket, false});
  reads_.add(request.ticket, replication_.round() + 1);
}

void Raft::confirm_reads() {
  if (reads_.empty() || !is_leader()) return;
  reads_.confirm(replication_.majority_round(members()), &output_.read_results);
}

void Raft::on(LeadershipTransfer request) {
  if (!is_leader() || transfer_.is_active()) return;
  NodeId target = request.to;
  if (target == kNoNode)
    target = replication_.most_advanced_voter(members(), now_, options_.election_timeout_min);
  if (target == kNoNode || !members().is_voter(target) || !replication_.find(target)) return;
  transfer_.begin(target, now_ + options_.election_timeout_max);
  request_election_if_caught_up();
}

void Raft::request_election_if_caught_up() {
  if (!is_leader() || !transfer_.is_catching_up()) return;
  const auto* peer = replication_.find(transfer_.target());
  if (!peer || peer->match < last_index()) return;
  Message request;
  request.type = Message::Type::kTimeoutNow;
  request.to = transfer_.target();
  send(std::move(request));
  transfer_.on_election_requested();
}

}  // namespace database_proxy::consensus
