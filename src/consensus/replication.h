// What a leader knows about the other members, and which message each of them is sent next.
//
// Each member has at most one append with entries or one snapshot on its way; the next goes out with its
// answer. Heartbeats without entries go out regardless. A message that is not answered in time counts as
// lost.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "consensus/membership.h"
#include "consensus/messages.h"
#include "consensus/options.h"
#include "consensus/raft_log.h"
#include "consensus/types.h"

namespace database_proxy::consensus {

// What the leader knows about one other member.
struct PeerProgress {
  Index match = 0;  // its log is the leader's, and durable, up to here
  Index next = 1;   // the first entry that it is sent next
  bool is_append_outstanding = false, is_snapshot_outstanding = false;
  Index snapshot_index = 0;  // of the outstanding snapshot
  Micros last_sent{0};       // when the outstanding append or snapshot was sent
  Micros last_contact{
      0};  // when its last answer arrived; before the first one, when this leader began to track it
  std::uint64_t round = 0;  // the last heartbeat round that it has answered; 0: none

  // The member rejected an append at `rejected_index`; `hint` is where the logs may agree. Returns whether
  // another append is to be sent: not for an outdated answer, nor while a snapshot is outstanding.
  bool on_rejected(Index rejected_index, Index hint);
  // The member's log matches up to `index`. `base_index` is that of the leader's log.
  void on_accepted(Index index, Index base_index);
};

// The leader's state that its messages are made of, valid for one call.
struct LeaderView {
  const RaftLog& log;
  const SnapshotPtr& snapshot;
  Index commit;
  Micros now;
};

// The progress of all other members. Empty on a node that does not lead. Raft owns it.
class Replication {
 public:
  explicit Replication(const Options& options)
      : self_(options.self),
        heartbeat_interval_(options.heartbeat_interval),
        max_batch_entries_(options.max_batch_entries),
        max_batch_bytes_(options.max_batch_bytes) {}

  // Begins for a leader that has just been elected; clear() is for one that no longer leads.
  void start(const Membership& members, Index last_index, Micros now);
  void clear() { peers_.clear(); }
  // Tracks the members that have joined, and no longer those that have left.
  void update_members(const Membership& members, Index last_index, Micros now);

  const std::map<NodeId, PeerProgress>& peers() const { return peers_; }
  // The progress of a member, or null where none is tracked.
  PeerProgress* find(NodeId id);
  const PeerProgress* find(NodeId id) const;

  // The current heartbeat round, which appends carry and their responses return.
  std::uint64_t round() const { return round_; }
  void begin_round() { ++round_; }

  // The highest index that is durable on a majority; the leader's own log is durable up to `own_durable`.
  // Returns nothing where there are no voters.
  std::optional<Index> majority_match(const Membership& members, Index own_durable) const;
  // The latest round that a majority has answered. There must be voters.
  std::uint64_t majority_round(const Membership& members) const;
  // Whether a majority, the leader included, has answered within `timeout`.
  bool has_quorum_contact(const Membership& members, Micros now, Micros timeout) const;
  // How many voters of `members`, the leader included, have answered a round of this leader within `timeout`.
  std::size_t responsive_voters(const Membership& members, Micros now, Micros timeout) const;
  // The voter that has answered within `timeout` and whose log matches furthest; kNoNode if there is none.
  NodeId most_advanced_voter(const Membership& members, Micros now, Micros timeout) const;

  // What this member, which must be tracked, is sent now: a snapshot, entries, or, with `is_heartbeat`, an
  // append without any. Returns nothing where there is nothing to send.
  std::optional<Message> next_message(NodeId id, const LeaderView& view, bool is_heartbeat);

 private:
  void expire_lost_messages(PeerProgress& peer, Micros now) const;
  void add_entries(Message& message, Index first, const RaftLog& log) const;

  NodeId self_;
  Micros heartbeat_interval_;
  std::size_t max_batch_entries_, max_batch_bytes_;
  std::map<NodeId, PeerProgress> peers_;
  std::uint64_t round_ = 0;
};

}  // namespace database_proxy::consensus
