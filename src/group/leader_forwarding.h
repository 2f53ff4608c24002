// The way of requests to the leader and of their responses back, wherever in the group a node is. A follower
// sends to its voter; the first voter on the way writes the route into the request (who asked, and by which
// voter it is reached) and passes it to the leader; the response goes back by the same voter.
//
// Belongs to the group's thread. Nothing is kept or repeated here: whoever makes a request repeats it when no
// response comes.
#pragma once

#include <string>

#include "group/consensus_driver.h"
#include "group/follower_replication.h"
#include "group/node_context.h"
#include "group/peer_connections.h"
#include "peers/messages.h"

namespace database_proxy::group {

// Told of requests that reach the leader, and of responses that reach who asked.
class ForwardingEvents {
 public:
  virtual ~ForwardingEvents() = default;
  // This node leads; the request is its own or another node's. The response goes to return_response().
  virtual void on_leader_request(const peers::EncodedMessage& request) = 0;
  // To a request of this node.
  virtual void on_response(const peers::EncodedMessage& response) = 0;
};

// Sends requests to the leader and responses to who asked.
class LeaderForwarding {
 public:
  LeaderForwarding(NodeContext& context, PeerConnections& connections, ConsensusDriver& consensus,
                   FollowerReplication& replication, ForwardingEvents& events)
      : context_(context),
        connections_(connections),
        consensus_(consensus),
        replication_(replication),
        events_(events) {}

  // False: no leader is known or reachable.
  bool send_to_leader(const peers::EncodedMessage& request);
  // A command of this node's own, without interest in the result: the registry shows whether it was applied.
  void propose(const std::string& command);
  // A request that came over a link.
  void forward_request(const peers::Link& link, const peers::EncodedMessage& request);
  // Towards the node that the response's route names.
  void return_response(const peers::EncodedMessage& response);

  // Of requests that this node makes itself.
  peers::Route own_route() const { return {context_.name(), context_.name()}; }
  // Of requests that come from below this node.
  peers::Route downstream_route(const peers::Link& link) const { return {link.peer().name, context_.name()}; }

 private:
  NodeContext& context_;
  PeerConnections& connections_;
  ConsensusDriver& consensus_;
  FollowerReplication& replication_;
  ForwardingEvents& events_;
};

}  // namespace database_proxy::group
