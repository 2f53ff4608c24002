#include "group/leader_forwarding.h"

#include "peers/message_codec.h"

namespace database_proxy::group {

bool LeaderForwarding::send_to_leader(const peers::EncodedMessage& request) {
  if (!consensus_.raft()) return connections_.send_to_upstream(request);
  if (consensus_.is_leader()) {
    events_.on_leader_request(request);
    return true;
  }
  return connections_.send_to_voter(replication_.leader_name(), request);
}

void LeaderForwarding::propose(const std::string& command) {
  send_to_leader(peers::encode(peers::Proposal{own_route(), 0, command}));
}

void LeaderForwarding::forward_request(const peers::Link& link, const peers::EncodedMessage& request) {
  bool is_from_voter = link.peer().role == peers::PeerRole::kVoter;
  bool is_proposal = request.type() == peers::MessageType::kProposal;
  if (!is_from_voter && is_proposal && !peers::has_command(request)) return;
  auto routed = is_from_voter ? request : peers::with_route(request, downstream_route(link));
  if (send_to_leader(routed) || !is_proposal) return;
  peers::ProposalResult result;
  result.route = peers::decode_route(routed);
  result.ticket = peers::decode_proposal_ticket(routed);
  result.reason = "no leader is known";
  return_response(peers::encode(result));
}

void LeaderForwarding::return_response(const peers::EncodedMessage& response) {
  auto route = peers::decode_route(response);
  if (route.via != context_.name()) {
    connections_.send_to_voter(route.via, response);
    return;
  }
  if (route.node == context_.name()) return events_.on_response(response);
  connections_.send_to_downstream(route.node, response);
}

}  // namespace database_proxy::group
