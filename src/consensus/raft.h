// The replicated log of a small group: Raft as published (Ongaro, "Consensus: Bridging Theory and Practice",
// 2014), with pre-vote, check-quorum, snapshots, single-server membership changes, learners, leadership
// transfer, and reads that are confirmed by a heartbeat round. docs/design/group.md explains the alternatives
// that were considered.
//
// The module is deterministic and has no clock, I/O or threads: step() takes the time and inputs and returns
// writes and messages, and the same inputs give the same outputs. Times are microseconds on the caller's
// monotonic clock.
//
// The driver (src/group in a daemon, the simulator in tests) must keep this contract:
// - It applies writes in order, each atomically, and reports them with WriteCompleted once they are durable.
// - It does not send a message before the write named by its `required_write` is durable.
// - It applies `snapshot_to_restore`, then `committed_entries` in order. Nothing is applied twice.
//
// This header includes the rest of the module. Each part of the protocol has its state and rules in a header
// of its own, and Raft combines them: raft.cpp handles the inputs that belong to no single part, and each of
// the other raft_*.cpp files implements one part.
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

// One node of the group. It is copyable, because the model check copies it. It is not thread-safe: calls must
// not be concurrent.
class Raft {
 public:
  using Peer = PeerProgress;

  // Throws std::invalid_argument if the options or the stored state are invalid. No other function throws.
  Raft(Options options, PersistentState stored, Micros now);

  // Handles the inputs in order and returns what the driver has to do. If `now` is before that of an earlier
  // call, the earlier one is used.
  Output step(Micros now, std::vector<Input> inputs);
  // Returns the time by which the driver must call step() with a Tick; Micros::max() if no timer is running.
  Micros due() const;

  Role role() const { return role_; }
  bool is_leader() const { return role_ == Role::kLeader; }
  // The leader of the current term, or kNoNode if it is not known.
  NodeId leader() const { return leader_; }
  // The time at which this node was last elected; only meaningful while it is the leader.
  Micros leader_since() const { return leader_since_; }
  // Returns whether this node is the leader and has committed an entry of its term. Before that, its commit
  // index may be behind that of the previous leader, so that it must not serve reads (section 6.4).
  bool has_committed_in_current_term() const { return is_leader() && commit_index_ >= first_index_of_term_; }

  Term term() const { return hard_state_.term; }
  NodeId vote() const { return hard_state_.vote; }
  // The membership in effect, committed or not.
  const Membership& members() const { return membership_.latest(); }
  // The leader's progress records of the other members; empty on a node that is not the leader.
  const std::map<NodeId, Peer>& peers() const { return replication_.peers(); }

  Index commit_index() const { return commit_index_; }
  Index first_index() const { return log_.base_index() + 1; }
  Index last_index() const { return log_.last_index(); }
  // The index up to which this node's log is durable.
  Index durable_index() const { return writes_.durable_index(); }
  // Returns the term of the entry at `index`; 0 if it is not known.
  Term term_at(Index index) const { return log_.term_at(index); }
  // Returns the entry at `index`, or null if it is not in memory. The pointer is valid until the next step.
  const Entry* entry(Index index) const { return log_.entry(index); }
  // The index of the latest snapshot; 0 if there is none.
  Index snapshot_index() const { return snapshot_ ? snapshot_->index : 0; }

  // Returns a text of all state that determines the node's further behaviour, except for times. The model
  // check identifies states by it.
  std::string fingerprint() const;

 private:
  // raft.cpp: construction, inputs that belong to no single part, and functions shared by all parts.
  void restore_entries(std::vector<Entry> entries);
  void on(Tick tick);
  void on(MessageReceived& received);
  void on(WriteCompleted completed);
  void on(WriteFailed failed);
  // Changes role and leader, and reports the change. No other function changes them.
  void change_role(Role role, NodeId leader, RoleChangeReason reason);
  void reset_election_timer() { election_timer_.reset(now_); }
  void save_hard_state();
  void send(Message message);

  // raft_election.cpp: votes and the resulting role changes (sections 3.4 and 9.6).
  void on_request_vote(const Message& message);
  void answer_pre_vote(const Message& message);
  void answer_vote(const Message& message);
  void on_request_vote_response(const Message& message);
  void on_timeout_now(const Message& message);
  void become_follower(Term term, NodeId leader, RoleChangeReason reason);
  void start_pre_vote();
  void start_election(bool is_forced, RoleChangeReason reason);
  void become_leader();
  // Returns whether this node may become a candidate. A node whose own removal is not yet committed still
  // may: the other members may need the entries of its log to make progress (section 4.2.2).
  bool may_start_election() const {
    return membership_.is_voter_until_committed(options_.self, commit_index_);
  }
  bool is_log_up_to_date(const Message& message) const;
  bool has_leader_contact() const;
  void request_votes(Message::Type type, Term term, bool is_forced);
  void count_votes();

  // raft_replication.cpp: log replication from the leader to the other members (section 3.5).
  void on_append_entries(Message& message);
  void on_append_entries_response(const Message& message);
  void on_leader_contact(const Message& message);
  void reject_append(const Message& message, Index hint);
  void skip_compacted_entries(Message& message) const;
  // Stores the entries of an append. Returns false at the first entry that leaves a gap after the message's
  // `index` or contradicts a committed entry; the entries before it are stored.
  bool store_entries(Message& message);
  void acknowledge_durable_log(NodeId leader, std::uint64_t round);
  Index append_as_leader(EntryType type, std::string data);
  void append_entry(Entry entry);
  void truncate_from(Index from);
  void send_to(NodeId id, bool is_heartbeat);
  void send_to_all(bool is_heartbeat);
  void advance_commit_index();
  void commit_to(Index index);

  // raft_snapshot.cpp: log compaction, and snapshots received from the leader (chapter 5).
  void on(SnapshotTaken& taken);
  void on_install_snapshot(const Message& message);
  void compact_log(Index snapshot_index);

  // raft_requests.cpp: requests of clients and operators to the leader.
  void on(Proposal& proposal);
  void on(const MembershipChange& change);
  void on(ReadRequest request);
  void on(LeadershipTransfer request);
  // Each returns the reason for rejecting the request, or an empty string.
  const char* proposal_rejection() const;
  const char* membership_change_rejection(const MembershipChange& change) const;
  const char* member_rejection(const MembershipChange& change) const;
  Membership members_after(const MembershipChange& change) const;
  void confirm_reads();
  void request_election_if_caught_up();

  Options options_;
  Micros now_;
  Output output_;  // of the current step

  HardState hard_state_;
  SnapshotPtr snapshot_;
  RaftLog log_;
  MembershipHistory membership_{0, {}};
  WriteTracker writes_;

  Role role_ = Role::kFollower;
  NodeId leader_ = kNoNode;
  Index commit_index_ = 0;
  Index applied_index_ = 0;   // entries up to this index were returned to the driver
  Index verified_index_ = 0;  // the log is known to match that of this term's leader up to this index

  ElectionTimer election_timer_;
  VoteTally votes_;
  // When the last message from the leader was received. The initial value is far in the past, but a
  // difference to it does not overflow.
  Micros last_leader_contact_{INT64_MIN / 4};

  // State of a leader only.
  Replication replication_;
  ReadIndex reads_;
  TransferProgress transfer_;
  Index first_index_of_term_ = 0;
  Micros next_heartbeat_{0};
  Micros leader_since_{0};
};

}  // namespace database_proxy::consensus
