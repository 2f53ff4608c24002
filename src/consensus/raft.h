// The replicated log of a small group: Raft as published (Ongaro, "Consensus: Bridging Theory and Practice",
// 2014): elections with pre-vote, check-quorum, log replication, snapshots, members changed one at a time,
// learners, leadership handed over, reads by confirmed leadership.
//
// Like the decision module: no clock, no I/O, no thread. A batch of inputs and the time go in, writes and
// messages come out; the same inputs give the same outputs. Times are microseconds on the caller's monotonic
// clock. docs/design/group.md tells what was weighed.
//
// The driver's part of the contract:
// - writes are carried out in order, each whole or not at all, and told by Written once they are durable;
// - a message goes out no earlier than the write that it names in `after` is durable;
// - `restored`, then `committed`, are applied in order; nothing is applied twice.
// Nothing throws but std::invalid_argument from the constructor, for a stored state that cannot be.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace database_proxy::consensus {

using Micros = std::chrono::microseconds;
using Term = std::uint64_t;
using Index = std::uint64_t;
// One data directory. A node that comes back with an empty one is another: it remembers no vote.
using NodeId = std::uint64_t;
constexpr NodeId kNobody = 0;

enum class EntryType : std::uint8_t { kNoOp, kMembers, kCommand };
struct Entry {
  Term term = 0;
  Index index = 0;
  EntryType type = EntryType::kNoOp;
  std::string data;
  bool operator==(const Entry&) const = default;
};

struct Membership {
  std::vector<NodeId> voters, learners;  // sorted, disjoint
  bool votes(NodeId id) const;
  bool has(NodeId id) const;
  std::string encode() const;
  static std::optional<Membership> decode(const std::string& text);
  bool operator==(const Membership&) const = default;
};

struct HardState {
  Term term = 0;
  NodeId vote = kNobody;
  bool operator==(const HardState&) const = default;
};
struct Snapshot {
  Index index = 0;  // 0: none
  Term term = 0;
  Membership members;
  std::string data;
};
using SnapshotPtr = std::shared_ptr<const Snapshot>;

// What a node finds on its disk. `entries` are contiguous; where they begin at or before the snapshot's
// index, the first one only tells the term there.
struct PersistentState {
  HardState hard;
  SnapshotPtr snapshot;
  std::vector<Entry> entries;
};

struct Message {
  enum class Type : std::uint8_t {
    kRequestPreVote,
    kRequestPreVoteResponse,
    kRequestVote,
    kRequestVoteResponse,
    kAppendEntries,
    kAppendEntriesResponse,
    kInstallSnapshot,
    kTimeoutNow
  };
  Type type = Type::kAppendEntries;
  NodeId from = kNobody, to = kNobody;
  Term term = 0;
  Index index =
      0;  // votes: of the last entry; appends: of the one before `entries`; replies: match, or a hint
  Term log_term = 0;                    // the term at `index`
  Index commit = 0;                     // appends
  Index refused = 0;                    // replies that refuse: the `index` that did not fit
  bool reject = false, forced = false;  // forced: the leader has asked for this election
  std::uint64_t round = 0;              // appends and their replies: confirms leadership
  std::vector<Entry> entries;
  SnapshotPtr snapshot;
};

// One transaction of the disk, in this order.
struct Write {
  std::uint64_t number = 0;
  std::optional<HardState> hard;
  SnapshotPtr snapshot;
  Index truncate_from = 0;  // entries from here on go; 0: none
  Index drop_before = 0;    // entries before this go; 0: none
  std::vector<Entry> append;
};

enum class Role : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader, kHalted };
enum class RoleChangeReason : std::uint8_t {
  kStarted,
  kSilence,     // no leader was heard of for an election timeout
  kElected,     // by a majority
  kHeard,       // of the leader of this term
  kHigherTerm,  // somebody has one
  kLostQuorum,  // the leader heard no majority for an election timeout
  kHandedOver,  // asked by the leader
  kRemoved,     // no longer a member
  kDiskFailed,  // it can promise nothing any more
};
const char* text_of(Role role);
const char* text_of(RoleChangeReason reason);

// inputs
struct Tick {};
struct MessageReceived {
  Message message;
};
struct WriteCompleted {
  std::uint64_t number = 0;  // all writes up to this one are durable
};
struct WriteFailed {};  // the disk is full or broken: from now on this node promises nothing
struct Proposal {
  std::uint64_t ticket = 0;
  std::string data;
};
struct MembershipChange {
  enum class What : std::uint8_t { kAddLearner, kPromote, kRemove };
  std::uint64_t ticket = 0;
  What what = What::kAddLearner;
  NodeId node = kNobody;
};
struct ReadRequest {
  std::uint64_t ticket = 0;
};
struct LeadershipTransfer {
  NodeId to = kNobody;  // kNobody: whoever is furthest on
};
struct SnapshotTaken {
  Index index = 0;  // applied, and after the last snapshot
  std::string data;
};
using Input = std::variant<Tick, MessageReceived, WriteCompleted, WriteFailed, Proposal, MembershipChange,
                           ReadRequest, LeadershipTransfer, SnapshotTaken>;

struct Outgoing {
  Message message;
  std::uint64_t after = 0;  // a write's number; 0: nothing
};
struct ProposalResult {
  std::uint64_t ticket = 0;
  Index index = 0;       // 0: not taken, nothing happened
  Term term = 0;         // it is in force once the entry of this term is committed at `index`
  const char* why = "";  // not taken: a sentence for the operator
};
struct ReadResult {
  std::uint64_t ticket = 0;
  bool confirmed = false;  // false: this node does not lead, or leads no longer
};
struct RoleChange {
  Role role = Role::kFollower;
  RoleChangeReason reason = RoleChangeReason::kStarted;
  Term term = 0;
  NodeId leader = kNobody;
};

struct Output {
  std::vector<Write> writes;
  std::vector<Outgoing> messages;
  SnapshotPtr restored;  // the state is this one now; before `committed`
  std::vector<Entry> committed;
  std::vector<ProposalResult> proposed;
  std::vector<ReadResult> reads;
  std::vector<RoleChange> role_changes;  // changes of role, term or leader
};

struct Options {
  NodeId self = kNobody;
  std::uint64_t seed = 0;
  // Elections: ten heartbeats may be late before anyone speaks up; drawn anew each time between the two.
  Micros heartbeat{100'000}, election_min{600'000}, election_max{1'200'000};
  std::size_t batch_entries = 256, batch_bytes = 256 * 1024;  // of one message
  std::size_t trailing = 512;      // entries kept behind a snapshot, for those a little behind
  std::size_t uncommitted = 4096;  // entries; more are not taken
  std::size_t caught_up = 64;      // a learner so few entries behind may be promoted
  bool pre_vote = true, sticky = true, check_quorum = true;  // off only for the model check
  // Guards taken away, for the simulator's mutants only; no configuration reaches them.
  struct Flaws {
    bool vote_not_saved = false, commits_old_terms = false;
  } flaws{};
};

class Raft {
 public:
  Raft(Options options, PersistentState stored, Micros now);

  Output step(Micros now, std::vector<Input> inputs);
  Micros due() const;  // step with a Tick by then

  Role role() const { return role_; }
  Term term() const { return hard_.term; }
  NodeId vote() const { return hard_.vote; }
  NodeId leader() const { return leader_; }
  Index commit() const { return commit_; }
  Index last_index() const { return base_index_ + log_.size(); }
  Index first_index() const { return base_index_ + 1; }
  Index durable() const { return durable_; }
  Term term_at(Index index) const;  // 0: unknown
  const Entry* entry(Index index) const;
  const Membership& members() const { return configs_.back().second; }
  Index snapshot_index() const { return snapshot_ ? snapshot_->index : 0; }
  bool is_leader() const { return role_ == Role::kLeader; }
  bool has_committed_in_current_term() const {
    return is_leader() && commit_ >= own_first_;
  }  // as a leader must before it answers
  Micros leader_since() const { return led_since_; }
  struct Peer {
    Index match = 0, next = 1;
    bool outstanding = false, snapshotting = false;
    Index snapshot = 0;  // of the one that is on its way
    Micros sent{0}, heard{0};
    std::uint64_t round = 0;
  };
  const std::map<NodeId, Peer>& peers() const { return peers_; }
  // All that decides what it does next but times, for the model check.
  std::string fingerprint() const;

 private:
  struct Pending {
    std::uint64_t number;
    Index last;
  };
  struct Reading {
    std::uint64_t ticket, round;
  };

  void on(Tick);
  void on(MessageReceived& r);
  void on(WriteCompleted w);
  void on(WriteFailed);
  void on(Proposal& p);
  void on(MembershipChange& c);
  void on(ReadRequest r);
  void on(LeadershipTransfer t);
  void on(SnapshotTaken& s);

  void on_request_vote(const Message& m);
  void on_request_vote_response(const Message& m);
  void append(Message& m);
  void on_append_entries_response(const Message& m);
  void restore(const Message& m);
  void timeout_now(const Message& m);

  void follow(Term term, NodeId leader, RoleChangeReason reason);
  void campaign(bool forced, RoleChangeReason reason);
  bool may_campaign() const;
  void pre_campaign();
  void request_votes(bool pre, bool forced);
  void count_votes();
  void lead();
  void send_to(NodeId id, Peer& peer, bool heartbeat);
  void broadcast(bool heartbeat);
  void advance();
  void commit_to(Index index);
  void settle_reads();
  void fail_reads();
  void check_transfer();
  void refresh_peers();
  bool caught_up_with(const Message& m) const;
  bool quorum_heard() const;
  std::size_t majority() const { return members().voters.size() / 2 + 1; }
  Index propose_entry(EntryType type, std::string data);
  void append_entry(Entry entry);
  void truncate(Index from);
  void send(Message m);
  Write& write();
  void save_hard();
  void record_role_change(RoleChangeReason reason);
  void reset_election();
  void accept_reply();
  std::uint64_t random();

  Options options_;
  std::uint64_t random_;
  Micros now_;
  Output out_;
  bool write_open_ = false;

  HardState hard_;
  SnapshotPtr snapshot_;
  Index base_index_ = 0;  // entries up to here are not in memory
  Term base_term_ = 0;
  std::deque<Entry> log_;
  std::vector<std::pair<Index, Membership>> configs_;  // the last is in force, committed or not

  Role role_ = Role::kFollower;
  NodeId leader_ = kNobody;
  Index commit_ = 0, applied_ = 0, durable_ = 0;
  Index verified_ = 0;  // up to here the log is the leader's of this term
  std::uint64_t writes_ = 0, durable_writes_ = 0, hard_write_ = 0;
  std::deque<Pending> pending_;

  Micros election_at_{0}, heard_{INT64_MIN / 4}, heartbeat_at_{0}, led_since_{0};
  std::map<NodeId, bool> votes_;
  std::map<NodeId, Peer> peers_;  // of a leader: all other members
  Index own_first_ = 0;           // of a leader: its first entry
  std::uint64_t round_ = 0;
  bool want_round_ = false;
  std::vector<Reading> readings_;
  NodeId transfer_to_ = kNobody;
  bool transferring_ = false, transfer_sent_ = false;
  Micros transfer_until_{0};
};

}  // namespace database_proxy::consensus
