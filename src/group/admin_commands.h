// What operators ask of a node of the group, other than the job `placement`: commands that any node answers
// itself, and commands that only the leader can carry out, which are passed on to it.
//
// Belongs to the group's thread. Each command gets one answer. One that changes the log is answered once it
// is committed, or once this node knows that it lost the leadership: then it may have been committed or not.
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

// Whoever knows all modules of the node.
class NodeStatusSource {
 public:
  virtual ~NodeStatusSource() = default;
  virtual peers::NodeStatus node_status() const = 0;
};

// Carries out, or passes on, the commands of operators.
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

  // From an operator's program that is linked with this node.
  void on_command(peers::Link& link, const peers::EncodedMessage& message);
  // A command that was passed on to this node as the leader.
  void on_leader_command(const peers::EncodedMessage& message);

 private:
  void pass_to_leader(peers::Link& link, const peers::EncodedMessage& message);
  peers::AdminAnswer answer_members() const;
  peers::MemberStatus make_member_status(consensus::NodeId id, bool is_learner) const;
  peers::LeaseHolderList list_owners() const;
  peers::NodeIdentity identify() const;
  peers::AdminAnswer bootstrap(const peers::EncodedMessage& message);
  peers::AdminAnswer recover(const peers::EncodedMessage& message);

  void transfer_leadership(const peers::EncodedMessage& message);
  void change_members(const peers::EncodedMessage& message, consensus::MembershipChange::What what);
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
