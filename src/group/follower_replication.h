// Replication of the committed state to followers, which are the processes that are not in group.nodes. Each
// follower requests from its voter what comes after the index that it has applied. From then on the voter
// sends it committed commands, or the complete state if the voter's log does not reach back that far. Twice a
// second, voters also inform their followers of the leader that they know.
//
// Belongs to the group's thread. A follower that detects a gap repeats its request from the index that it has
// applied.
#pragma once

#include <string>

#include "group/consensus_driver.h"
#include "group/node_context.h"
#include "group/peer_connections.h"
#include "group/replicated_state.h"

namespace database_proxy::group {

// Both sides of the replication from a voter to its followers.
class FollowerReplication {
 public:
  FollowerReplication(NodeContext& context, PeerConnections& connections, ConsensusDriver& consensus,
                      ReplicatedState& state)
      : context_(context), connections_(connections), consensus_(consensus), state_(state) {}

  // The voter's side. Returns false if the sender is not a follower of this node.
  bool on_follow_request(peers::Link& link, const peers::EncodedMessage& message);
  // Sends updates to every follower that is behind. To be called in each loop iteration.
  void send_updates();
  void send_leader_status();

  // The follower's side. `link` is the link to its voter, which this node dialed.
  void on_upstream_connected(peers::Link& link);
  void on_state_transfer(const peers::EncodedMessage& message);
  void on_committed_commands(peers::Link& link, const peers::EncodedMessage& message);
  void on_leader_status(const peers::EncodedMessage& message);

  // Returns the leader's name, on either side; empty: no leader is known.
  std::string leader_name() const;
  // Returns the time since a follower last had contact with a leader through its voter; 0 on voters.
  Micros state_age() const;

 private:
  bool can_send_commands_since(consensus::Index index) const;
  std::string make_commands_frame(consensus::Index from) const;

  NodeContext& context_;
  PeerConnections& connections_;
  ConsensusDriver& consensus_;
  ReplicatedState& state_;
  std::string upstream_leader_;  // the leader that a follower's voter knows
  Micros last_contact_{0};       // of a follower with a leader, through its voter
};

}  // namespace database_proxy::group
