// The replicated log of a small group: Raft as published (Ongaro, "Consensus: Bridging Theory and Practice",
// 2014), with pre-vote, check-quorum, snapshots, members that change one at a time, learners, leadership
// transfer, and reads that a heartbeat round confirms. docs/design/group.md tells which alternatives were
// weighed.
//
// The module is pure: it has no clock, no I/O and no thread. Inputs and the time go in, writes and messages
// come out, and the same inputs give the same outputs. Times are microseconds on the caller's monotonic
// clock.
//
// The driver, which is src/group in a daemon and the simulator in tests, keeps this contract:
// - Writes are carried out in order, each completely or not at all, and reported by WriteCompleted once they
// are
//   durable.
// - A message is sent no earlier than the write that it names in `after` is durable.
// - `restored`, then `committed`, are applied in order. Nothing is applied twice.
//
// This header includes the rest of the module. Each part has its state and its rule in a header of its own;
// Raft joins them: raft.cpp has the inputs that concern no single part, and the other raft_*.cpp one part
// each.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "consensus/election.h"
#include "consensus/input.h"
#include "consensus/leadership_transfer.h"
#include "consensus/membership.h"
#include "consensus/messages.h"
#include "consensus/options.h"
#include "consensus/output.h"
#include "consensus/raft_log.h"
#include "consensus/read_index.h"
#include "consensus/replication.h"
#include "consensus/role.h"
#include "consensus/snapshot.h"
#include "consensus/types.h"
#include "consensus/write_tracker.h"

namespace database_proxy::consensus {

// One node of the group. It is a value: the model check copies it. All calls come from one thread at a time.
class Raft {
 public:
  using Peer = PeerProgress;

  // Throws std::invalid_argument for options or a stored state that no node can have. Nothing else throws.
  Raft(Options options, PersistentState stored, Micros now);

  // Handles the inputs in order and returns what the driver is to do. A `now` before an earlier one counts as
  // that.
  Output step(Micros now, std::vector<Input> inputs);
  // The driver calls step() with a Tick by then. Micros::max(): no timer runs.
  Micros due() const;

  Role role() const { return role_; }
  bool is_leader() const { return role_ == Role::kLeader; }
  // The leader of this term, or kNoNode if it is not known.
  NodeId leader() const { return leader_; }
  // When this node was last elected; only meaningful while it leads.
  Micros leader_since() const { return leader_since_; }
  // Whether it leads and has committed an entry of its term. Until then its commit index may be older than
  // that of the leader before, so that it must not answer reads (section 6.4).
  bool has_committed_in_current_term() const { return is_leader() && commit_index_ >= first_index_of_term_; }

  Term term() const { return hard_state_.term; }
  NodeId vote() const { return hard_state_.vote; }
  // The membership in force, committed or not.
  const Membership& members() const { return membership_.latest(); }
  // What a leader knows about the other members; empty on other nodes.
  const std::map<NodeId, Peer>& peers() const { return replication_.peers(); }

  Index commit_index() const { return commit_index_; }
  Index first_index() const { return log_.base_index() + 1; }
  Index last_index() const { return log_.last_index(); }
  // This node's log is durable up to here.
  Index durable_index() const { return writes_.durable_index(); }
  // The term of the entry at `index`; 0: not known.
  Term term_at(Index index) const { return log_.term_at(index); }
  // The entry at `index`, or null if it is not in memory. Valid until the next step.
  const Entry* entry(Index index) const { return log_.entry(index); }
  // 0: there is no snapshot.
  Index snapshot_index() const { return snapshot_ ? snapshot_->index : 0; }

  // All that decides what the node does next, except for times. The model check recognises states by it.
  std::string fingerprint() const;

 private:
  // raft.cpp: construction, inputs that concern no single part, and what all parts use.
  void restore_entries(std::vector<Entry> entries);
  void on(Tick tick);
  void on(MessageReceived& received);
  void on(WriteCompleted completed);
  void on(WriteFailed failed);
  // The only function that changes role and leader. It reports the change.
  void change_role(Role role, NodeId leader, RoleChangeReason reason);
  void reset_election_timer() { election_timer_.reset(now_); }
  void save_hard_state();
  void send(Message message);

  // raft_election.cpp: votes, and the changes of role that follow from them (sections 3.4 and 9.6).
  void on_request_vote(const Message& message);
  void answer_pre_vote(const Message& message);
  void answer_vote(const Message& message);
  void on_request_vote_response(const Message& message);
  void on_timeout_now(const Message& message);
  void become_follower(Term term, NodeId leader, RoleChangeReason reason);
  void start_pre_vote();
  void start_election(bool is_forced, RoleChangeReason reason);
  void become_leader();
  // One whose own removal is not committed yet may still be elected: the others may need its log to go on
  // (section 4.2.2).
  bool may_start_election() const {
    return membership_.is_voter_until_committed(options_.self, commit_index_);
  }
  bool is_log_up_to_date(const Message& message) const;
  bool has_leader_contact() const;
  void request_votes(Message::Type type, Term term, bool is_forced);
  void count_votes();

  // raft_replication.cpp: the log of leader and followers (section 3.5).
  void on_append_entries(Message& message);
  void on_append_entries_response(const Message& message);
  void on_leader_contact(const Message& message);
  void reject_append(const Message& message, Index hint);
  void skip_compacted_entries(Message& message) const;
  // Returns whether the entries continue the log from the message's `index`.
  bool store_entries(Message& message);
  void acknowledge_durable_log(NodeId leader, std::uint64_t round);
  Index append_as_leader(EntryType type, std::string data);
  void append_entry(Entry entry);
  void truncate_from(Index from);
  void send_to(NodeId id, bool is_heartbeat);
  void send_to_all(bool is_heartbeat);
  void advance_commit_index();
  void commit_to(Index index);

  // raft_snapshot.cpp: compaction and snapshots of the leader (chapter 5).
  void on(SnapshotTaken& taken);
  void on_install_snapshot(const Message& message);
  void compact_log(Index snapshot_index);

  // raft_requests.cpp: what clients and operators ask a leader for.
  void on(Proposal& proposal);
  void on(const MembershipChange& change);
  void on(ReadRequest request);
  void on(LeadershipTransfer request);
  // Each returns why the request is rejected, or an empty text.
  const char* proposal_rejection() const;
  const char* membership_change_rejection(const MembershipChange& change) const;
  const char* member_rejection(const MembershipChange& change) const;
  Membership members_after(const MembershipChange& change) const;
  void confirm_reads();
  void request_election_if_caught_up();

  Options options_;
  Micros now_;
  Output output_;  // of the step under way

  HardState hard_state_;
  SnapshotPtr snapshot_;
  RaftLog log_;
  MembershipHistory membership_{0, {}};
  WriteTracker writes_;

  Role role_ = Role::kFollower;
  NodeId leader_ = kNoNode;
  Index commit_index_ = 0;
  Index applied_index_ = 0;   // entries up to here were given to the driver
  Index verified_index_ = 0;  // the log is that of this term's leader up to here

  ElectionTimer election_timer_;
  VoteTally votes_;
  // When the leader's last message arrived. It starts in the distant past, without overflow in a difference.
  Micros last_leader_contact_{INT64_MIN / 4};

  // Of a leader only.
  Replication replication_;
  ReadIndex reads_;
  TransferProgress transfer_;
  Index first_index_of_term_ = 0;
  Micros next_heartbeat_{0};
  Micros leader_since_{0};
};

}  // namespace database_proxy::consensus
