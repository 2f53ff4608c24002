// Forwards requests from any node of the group to the leader, and the responses back. A follower sends a
// request to its voter. The first voter that a request passes writes the route into it (the requesting node,
// and the voter through which that node is reached) and forwards it to the leader; the response returns
// through the same voter.
//
// Belongs to the group's thread. Nothing is stored or retried here: the requesting node repeats a request
// that gets no response.
#pragma once

#include <string>

#include "group/consensus_driver.h"
#include "group/follower_replication.h"
#include "group/node_context.h"
#include "group/peer_connections.h"
#include "peers/messages.h"

namespace database_proxy::group {

// Notified of requests that reach the leader, and of responses that reach the requesting node.
class ForwardingEvents {
 public:
  virtual ~ForwardingEvents() = default;
  // A request of this node or another one reached this node, which leads. The response is passed to
  // return_response().
  virtual void on_leader_request(const peers::EncodedMessage& request) = 0;
  // A response to a request of this node arrived.
  virtual void on_response(const peers::EncodedMessage& response) = 0;
};

// Sends requests to the leader, and responses to the requesting nodes.
class LeaderForwarding {
 public:
  LeaderForwarding(NodeContext& context, PeerConnections& connections, ConsensusDriver& consensus,
                   FollowerReplication& replication, ForwardingEvents& events)
      : context_(context),
        connections_(connections),
        consensus_(consensus),
        replication_(replication),
        events_(events) {}

  // Returns false if no leader is known or reachable.
  bool send_to_leader(const peers::EncodedMessage& request);
  // Proposes a command of this node and ignores the result: the registry shows whether it was applied.
  void propose(const std::string& command);
  // Forwards a request that arrived over a link.
  void forward_request(const peers::Link& link, const peers::EncodedMessage& request);
  // Sends a response towards the node that its route names.
  void return_response(const peers::EncodedMessage& response);

  // Returns the route of requests that this node makes itself.
  peers::Route own_route() const { return {context_.name(), context_.name()}; }
  // Returns the route of requests that arrive from a downstream node, which is a follower or an operator's
  // program.
  peers::Route downstream_route(const peers::Link& link) const { return {link.peer().name, context_.name()}; }

 private:
  NodeContext& context_;
  PeerConnections& connections_;
  ConsensusDriver& consensus_;
  FollowerReplication& replication_;
  ForwardingEvents& events_;
};

}  // namespace database_proxy::group
