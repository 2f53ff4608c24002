// How followers learn what the group has agreed on: each asks its voter for what comes after the index that
// it has, and is sent committed commands from then on, or the complete state where the voter's log does not
// reach back so far. Voters also tell their followers twice a second which leader they know.
//
// Belongs to the group's thread. A follower that lacks something in between asks again from where it stands.
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

  // The voter's side. False: the sender is no follower of this node.
  bool on_follow_request(peers::Link& link, const peers::EncodedMessage& message);
  // To every follower that lacks something. To be called in each turn of the loop.
  void send_updates();
  void send_leader_status();

  // The follower's side; `link` is the one that it dialed.
  void on_upstream_connected(peers::Link& link);
  void on_state_transfer(const peers::EncodedMessage& message);
  void on_committed_commands(peers::Link& link, const peers::EncodedMessage& message);
  void on_leader_status(const peers::EncodedMessage& message);

  // Either side's; empty: none is known.
  std::string leader_name() const;
  // Since a follower last heard of a leader; 0 at voters.
  Micros state_age() const;

 private:
  bool can_send_commands_since(consensus::Index index) const;
  std::string make_commands_frame(consensus::Index from) const;

  NodeContext& context_;
  PeerConnections& connections_;
  ConsensusDriver& consensus_;
  ReplicatedState& state_;
  std::string upstream_leader_;  // as a follower's voter knows it
  Micros last_contact_{0};       // of a follower with a leader, by way of its voter
};

}  // namespace database_proxy::group
