// This node's links to other daemons: whom it dials, whom it accepts, who each of them is, and how to reach
// one of them by name.
//
// Voters dial all other voters, and are dialed by them: messages to a voter go over the link that this node
// dialed, messages from it come over the link that it dialed. A follower dials one voter (its upstream), and
// another one when that link ends. Programs of operators dial like followers.
//
// Belongs to the group's thread. Links that have ended are kept until the end of the loop's turn, so a link
// may be used until then. A message that cannot be read closes its link.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/raft.h"
#include "group/node_context.h"
#include "peers/encoded_message.h"
#include "peers/link.h"

namespace database_proxy::group {

// Told of what peers do.
class PeerEvents {
 public:
  virtual ~PeerEvents() = default;
  // A follower's upstream has accepted it.
  virtual void on_upstream_connected(peers::Link& link) = 0;
  // From a peer that has greeted. peers::MalformedMessage may be thrown.
  virtual void on_peer_message(peers::Link& link, const peers::EncodedMessage& message) = 0;
  // The link of a follower or of an operator's program has ended.
  virtual void on_downstream_closed(const std::string& name) = 0;
};

// A follower or an operator's program, over a link that it dialed.
struct Downstream {
  peers::Link* link = nullptr;
  bool is_following = false;
  consensus::Index sent_index = 0;  // it was sent what is committed up to here
};

// All links of one node.
class PeerConnections : private peers::Link::Owner {
 public:
  PeerConnections(NodeContext& context, PeerEvents& events) : context_(context), events_(events) {}
  ~PeerConnections() override;
  PeerConnections(const PeerConnections&) = delete;
  PeerConnections& operator=(const PeerConnections&) = delete;

  // Throws std::runtime_error where the port is in use.
  void listen();
  void start_accepting();
  int port() const { return port_; }  // 0: not listening

  // A voter's, known once its directory is open. Goes out in greetings.
  void set_own_id(consensus::NodeId id);
  void dial_missing_peers();
  // Closes links to voters that are gone or have moved, and dials.
  void change_nodes(const std::vector<NodeAddress>& nodes);
  // Destroys the links that ended in this turn of the loop.
  void end_loop_iteration() { ended_links_.clear(); }

  // False: there is no such link, or its queue is full.
  bool send_to_voter(const std::string& name, const peers::EncodedMessage& message);
  bool send_to_upstream(const peers::EncodedMessage& message);
  void send_to_downstream(const std::string& name, const peers::EncodedMessage& message);
  void send_consensus(const consensus::Message& message);
  // To every voter, whatever this node is linked with.
  void broadcast_to_voters(const peers::EncodedMessage& message);
  // Towards every node: a follower sends to its voter, a voter to all voters and to its followers. `from` is
  // the link that the message came over, nullptr where it is this node's own; it does not go back there, and
  // what came from a voter does not go to voters.
  void disseminate(const peers::EncodedMessage& message, const peers::Link* from);

  std::map<std::string, Downstream>& downstream() { return downstream_; }
  // nullptr: the link is none of them, or has been replaced by a newer one of the same peer.
  Downstream* find_downstream(const peers::Link& link);
  std::int64_t follower_count() const;
  const std::string& upstream() const { return upstream_; }

  // Voters that have greeted, and this node.
  const std::map<consensus::NodeId, std::string>& voter_names() const { return voter_names_; }
  // Empty: not known.
  std::string name_of(consensus::NodeId id) const;

 private:
  struct DialedPeer {
    std::unique_ptr<peers::Link> link;
    std::string address;
    net::Loop::TimerId redial_timer = net::Loop::kNoTimer;
    int failures = 0;  // in a row
  };
  class Listener : public net::Handler {
   public:
    explicit Listener(PeerConnections& connections) : connections_(connections) {}
    void on_ready(std::uint32_t) override { connections_.accept_connections(); }

   private:
    PeerConnections& connections_;
  };

  void on_link_up(peers::Link& link) override;
  void on_message(peers::Link& link, const peers::EncodedMessage& message) override;
  void on_link_down(peers::Link& link, const std::string& reason) override;

  void handle_message(peers::Link& link, const peers::EncodedMessage& message);
  bool accept_greeting(peers::Link& link, const peers::Greeting& greeting);
  std::optional<std::string> find_rejection_reason(const peers::Link& link,
                                                   const peers::Greeting& greeting) const;
  void add_downstream(peers::Link& link);
  void on_dialed_link_down(peers::Link& link, const std::string& reason);
  void on_accepted_link_down(peers::Link& link, const std::string& reason);
  void schedule_redial(const std::string& name, DialedPeer* peer);

  void accept_connections();
  void dial(const std::string& name);
  const NodeAddress* find_node(const std::string& name) const;
  peers::Link* find_dialed(const std::string& name);
  peers::EncodedMessage encode_greeting(bool is_answer) const;

  NodeContext& context_;
  PeerEvents& events_;
  Listener on_listener_ready_{*this};
  net::Fd listener_;
  int port_ = 0;
  consensus::NodeId own_id_ = consensus::kNobody;
  std::map<std::string, DialedPeer> dialed_;  // voters, by name
  std::vector<std::unique_ptr<peers::Link>> accepted_links_;
  std::vector<std::unique_ptr<peers::Link>> ended_links_;  // until the turn ends
  std::map<std::string, Downstream> downstream_;           // by name
  std::map<consensus::NodeId, std::string> voter_names_;
  std::string upstream_;             // a follower's voter, once it has greeted; empty: none
  std::size_t upstream_choice_ = 0;  // modulo the number of voters; 0: not drawn yet
};

}  // namespace database_proxy::group
