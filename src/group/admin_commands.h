// Operators' commands to a node of the group, except those for the job `placement`: any node answers some
// commands itself; commands that only the leader can execute are forwarded to it.
//
// Belongs to the group's thread. Each command gets one answer. A command that changes the log is answered
// when the change is committed, or when this node learns that it has lost leadership; then the change may or
// may not have been committed.
#pragma once

#include <string>

#include "group/consensus_driver.h"
#include "group/leader_forwarding.h"
#include "group/node_context.h"
#include "group/peer_connections.h"
#include "group/placement_job.h"
#include "group/replicated_state.h"
#include "peers/admin_messages.h"

namespace database_proxy::group {

// Provides the status of the node, which covers all its modules.
class NodeStatusSource {
 public:
  virtual ~NodeStatusSource() = default;
  virtual peers::NodeStatus node_status() const = 0;
};

// Executes or forwards operators' commands.
class AdminCommands {
 public:
  AdminCommands(NodeContext& context, PeerConnections& connections, ConsensusDriver& consensus,
                ReplicatedState& state, LeaderForwarding& forwarding, PlacementJob& placement,
                const NodeStatusSource& status_source)
      : context_(context),
        connections_(connections),
        consensus_(consensus),
        state_(state),
        forwarding_(forwarding),
        placement_(placement),
        status_source_(status_source) {}

  // Handles a command from an operator's program that has dialed this node.
  void on_command(peers::Link& link, const peers::EncodedMessage& message);
  // Handles a command that was forwarded to this node as the leader.
  void on_leader_command(const peers::EncodedMessage& message);

 private:
  void forward_to_leader(peers::Link& link, const peers::EncodedMessage& message);
  peers::AdminAnswer answer_members() const;
  peers::MemberStatus make_member_status(consensus::NodeId id, bool is_learner) const;
  peers::LeaseHolderList list_lease_holders() const;
  peers::NodeIdentity identify() const;
  peers::AdminAnswer bootstrap(const peers::EncodedMessage& message);
  peers::AdminAnswer recover(const peers::EncodedMessage& message);

  void transfer_leadership(const peers::EncodedMessage& message);
  void change_members(const peers::EncodedMessage& message, consensus::MembershipChange::Kind what);
  void put_setting(const peers::EncodedMessage& message);
  void get_setting(const peers::EncodedMessage& message);
  void return_outcome(const peers::Route& route, const ProposalOutcome& outcome);

  NodeContext& context_;
  PeerConnections& connections_;
  ConsensusDriver& consensus_;
  ReplicatedState& state_;
  LeaderForwarding& forwarding_;
  PlacementJob& placement_;
  const NodeStatusSource& status_source_;
};

}  // namespace database_proxy::group
