// Elections: the transitions between follower, pre-candidate, candidate and leader.
#include <utility>

#include "consensus/raft.h"

namespace database_proxy::consensus {

void Raft::become_follower(Term term, NodeId leader, RoleChangeReason reason) {
  const bool is_change = term != hard_state_.term || role_ != Role::kFollower || leader_ != leader;
  if (term > hard_state_.term) {
    hard_state_ = {term, kNoNode};
    verified_index_ = 0;
    save_hard_state();
  }
  if (is_leader()) {
    reads_.fail_all(&output_.read_results);
    transfer_.cancel();
    replication_.clear();
  }
  if (role_ != Role::kFollower || leader_ == kNoNode) reset_election_timer();
  votes_.clear();
  if (is_change) change_role(Role::kFollower, leader, reason);
}

void Raft::start_pre_vote() {
  if (!options_.pre_vote) return start_election(false, RoleChangeReason::kElectionTimeout);
  reset_election_timer();
  votes_.clear();
  votes_.record(options_.self, true);
  change_role(Role::kPreCandidate, kNoNode, RoleChangeReason::kElectionTimeout);
  request_votes(Message::Type::kRequestPreVote, hard_state_.term + 1, false);
  count_votes();
}

void Raft::start_election(bool is_forced, RoleChangeReason reason) {
  hard_state_ = {hard_state_.term + 1, options_.self};
  verified_index_ = 0;
  save_hard_state();
  reset_election_timer();
  votes_.clear();
  change_role(Role::kCandidate, kNoNode, reason);
  request_votes(Message::Type::kRequestVote, hard_state_.term, is_forced);
  count_votes();
}

void Raft::become_leader() {
  leader_since_ = now_;
  replication_.start(members(), last_index(), now_);
  transfer_.cancel();
  change_role(Role::kLeader, options_.self, RoleChangeReason::kElected);
  // A leader learns the current commit index only by committing an entry of its own term (section 6.4).
  first_index_of_term_ = append_as_leader(EntryType::kNoOp, "");
  send_to_all(true);
}

void Raft::request_votes(Message::Type type, Term term, bool is_forced) {
  for (auto id : members().voters) {
    if (id == options_.self) continue;
    Message request;
    request.type = type;
    request.to = id;
    request.term = term;
    request.index = last_index();
    request.log_term = log_.last_term();
    request.forced = is_forced;
    send(std::move(request));
  }
}

void Raft::count_votes() {
  if (!votes_.has_majority(members())) return;
  if (role_ == Role::kPreCandidate)
    start_election(false, RoleChangeReason::kElectionTimeout);
  else if (role_ == Role::kCandidate)
    become_leader();
}

bool Raft::is_log_up_to_date(const Message& message) const {
  return log_.is_up_to_date(message.index, message.log_term);
}

bool Raft::has_leader_contact() const {
  if (is_leader()) return true;
  return leader_ != kNoNode && now_ - last_leader_contact_ < options_.election_timeout_min;
}

void Raft::on_request_vote(const Message& message) {
  // A node that is in contact with a leader ignores candidates, so that a node that was partitioned or
  // removed cannot disrupt the group (section 4.2.3).
  const bool may_ignore = options_.leader_stickiness && !message.forced && message.term >= hard_state_.term;
  if (may_ignore && has_leader_contact()) return;
  if (message.type == Message::Type::kRequestPreVote)
    answer_pre_vote(message);
  else
    answer_vote(message);
}

// A pre-vote is not binding, so neither the term nor the vote changes.
void Raft::answer_pre_vote(const Message& message) {
  Message response;
  response.type = Message::Type::kRequestPreVoteResponse;
  response.to = message.from;
  response.reject = message.term <= hard_state_.term || !is_log_up_to_date(message);
  response.term = response.reject ? hard_state_.term : message.term;
  send(std::move(response));
}

void Raft::answer_vote(const Message& message) {
  if (message.term > hard_state_.term) become_follower(message.term, kNoNode, RoleChangeReason::kHigherTerm);
  const bool has_other_vote = hard_state_.vote != kNoNode && hard_state_.vote != message.from;
  Message response;
  response.type = Message::Type::kRequestVoteResponse;
  response.to = message.from;
  response.reject = message.term < hard_state_.term || has_other_vote || !is_log_up_to_date(message);
  response.term = hard_state_.term;
  if (!response.reject) {
    if (hard_state_.vote != message.from) {
      hard_state_.vote = message.from;
      save_hard_state();
    }
    reset_election_timer();
  }
  send(std::move(response));
}

void Raft::on_request_vote_response(const Message& message) {
  const bool is_pre_vote = message.type == Message::Type::kRequestPreVoteResponse;
  // A granted pre-vote carries the term that the election would start, which is higher than the current one.
  const bool is_granted_pre_vote = is_pre_vote && !message.reject;
  if (message.term > hard_state_.term && !is_granted_pre_vote)
    return become_follower(message.term, kNoNode, RoleChangeReason::kHigherTerm);
  if (role_ != (is_pre_vote ? Role::kPreCandidate : Role::kCandidate)) return;
  if (is_granted_pre_vote && message.term != hard_state_.term + 1) return;
  if (!is_pre_vote && message.term != hard_state_.term) return;
  votes_.record(message.from, !message.reject);
  count_votes();
}

void Raft::on_timeout_now(const Message& message) {
  if (message.term != hard_state_.term || role_ != Role::kFollower || !may_start_election()) return;
  start_election(true, RoleChangeReason::kLeadershipTransfer);
}

}  // namespace database_proxy::consensus
