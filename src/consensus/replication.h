// The replication progress of the other members, as the leader knows it, and the choice of the next message
// to each of them.
//
// At most one append with entries or one snapshot is outstanding for each member; the next is sent after its
// response. Heartbeats without entries are sent regardless. A message that is not answered in time is
// considered lost.
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

// The replication progress of one other member.
struct PeerProgress {
  Index match = 0;  // its log matches the leader's, and is durable, up to this index
  Index next = 1;   // index of the next entry to send to it
  bool is_append_outstanding = false, is_snapshot_outstanding = false;
  Index snapshot_index = 0;  // of the outstanding snapshot
  Micros last_sent{0};       // when the outstanding append or snapshot was sent
  // When its last response was received; before the first response, when this leader began to track it.
  Micros last_contact{0};
  std::uint64_t round = 0;  // the latest heartbeat round that it has acknowledged; 0: none

  // Handles the rejection of an append at `rejected_index`; `hint` is the highest index at which the logs may
  // agree. Returns whether another append must be sent: not after an outdated response, and not while a
  // snapshot is outstanding.
  bool on_rejected(Index rejected_index, Index hint);
  // Records that the member's log matches up to `index`. `base_index` is the base index of the leader's log.
  void on_accepted(Index index, Index base_index);
};

// The leader's state from which its messages are built, valid for one call.
struct LeaderView {
  const RaftLog& log;
  const SnapshotPtr& snapshot;
  Index commit;
  Micros now;
};

// The progress of all other members. Raft owns it; it is empty on a node that is not the leader.
class Replication {
 public:
  explicit Replication(const Options& options)
      : self_(options.self),
        heartbeat_interval_(options.heartbeat_interval),
        max_batch_entries_(options.max_batch_entries),
        max_batch_bytes_(options.max_batch_bytes) {}

  // Starts tracking all other members, for a newly elected leader; clear() is called when the leader steps
  // down.
  void start(const Membership& members, Index last_index, Micros now);
  void clear() { peers_.clear(); }
  // Starts tracking members that were added, and stops tracking those that were removed.
  void update_members(const Membership& members, Index last_index, Micros now);

  const std::map<NodeId, PeerProgress>& peers() const { return peers_; }
  // Returns the progress of a member, or null if the member is not tracked.
  PeerProgress* find(NodeId id);
  const PeerProgress* find(NodeId id) const;

  // The current heartbeat round. Appends carry it, and their responses echo it.
  std::uint64_t round() const { return round_; }
  void begin_round() { ++round_; }

  // Returns the highest index that is durable on a majority, or nullopt if there are no voters. The leader's
  // own log is durable up to `own_durable`.
  std::optional<Index> majority_match(const Membership& members, Index own_durable) const;
  // Returns the latest round that a majority has acknowledged. There must be voters.
  std::uint64_t majority_round(const Membership& members) const;
  // Returns whether a majority, including the leader, has responded within `timeout`.
  bool has_quorum_contact(const Membership& members, Micros now, Micros timeout) const;
  // Returns the number of voters of `members`, including the leader, that have acknowledged a round of this
  // leader and have responded within `timeout`.
  std::size_t responsive_voters(const Membership& members, Micros now, Micros timeout) const;
  // Returns the voter whose log matches furthest among those that have responded within `timeout`; kNoNode if
  // there is none.
  NodeId most_advanced_voter(const Membership& members, Micros now, Micros timeout) const;

  // Returns the message to send to this member, which must be tracked: a snapshot, an append with entries or,
  // if `is_heartbeat`, an append without entries. Returns nullopt if there is nothing to send.
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
