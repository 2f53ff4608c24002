// The links between this node and its peers: dials and accepts them, checks who is at the other end, and
// sends messages to a peer by its name.
//
// Each voter dials all other voters and is dialed by them: messages to a voter are sent over the link that
// this node dialed, messages from a voter arrive over the link that the voter dialed. A follower, a node that
// is not listed in group.nodes, dials one voter (its upstream), and another one when that link ends.
// Operators' programs dial a node in the same way as followers.
//
// Belongs to the group's thread. Links that have ended are kept until the end of the loop iteration, so a
// link may be used until then. A malformed message closes its link.
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

// Receives the events of peers.
class PeerEvents {
 public:
  virtual ~PeerEvents() = default;
  // A voter has accepted this follower and is now its upstream.
  virtual void on_upstream_connected(peers::Link& link) = 0;
  // Handles a message from a peer whose greeting was accepted. May throw peers::MalformedMessage.
  virtual void on_peer_message(peers::Link& link, const peers::EncodedMessage& message) = 0;
  // The link of a follower or of an operator's program has ended.
  virtual void on_downstream_closed(const std::string& name) = 0;
};

// A follower or an operator's program that has dialed this node.
struct Downstream {
  peers::Link* link = nullptr;
  bool is_following = false;
  consensus::Index sent_index = 0;  // the follower has or was sent everything committed up to this index
};

// All links of one node.
class PeerConnections : private peers::Link::Owner {
 public:
  PeerConnections(NodeContext& context, PeerEvents& events) : context_(context), events_(events) {}
  ~PeerConnections() override;
  PeerConnections(const PeerConnections&) = delete;
  PeerConnections& operator=(const PeerConnections&) = delete;

  // Throws std::runtime_error if this node cannot listen at its address, for example if the port is in use.
  void listen();
  void start_accepting();
  int port() const { return port_; }  // 0: this node does not listen

  // Sets the id of this voter, which is known once its directory is open. Greetings carry it.
  void set_own_id(consensus::NodeId id);
  // Dials every other voter that this voter has no link to; at a follower, dials one voter.
  void dial_missing_peers();
  // Adopts a new list of voters: closes the links to those that were removed or have another address, and
  // dials.
  void change_nodes(const std::vector<NodeAddress>& nodes);
  // Destroys the links that ended in this iteration of the loop.
  void end_loop_iteration() { ended_links_.clear(); }

  // Return false if there is no such link or its queue is full.
  bool send_to_voter(const std::string& name, const peers::EncodedMessage& message);
  bool send_to_upstream(const peers::EncodedMessage& message);
  void send_to_downstream(const std::string& name, const peers::EncodedMessage& message);
  void send_consensus(const consensus::Message& message);
  // Sends to every voter that this node has dialed: at a voter all others, at a follower its upstream.
  void broadcast_to_voters(const peers::EncodedMessage& message);
  // Sends a message towards every node: a follower sends its own messages to its upstream, a voter sends to
  // all voters and to its followers. `from` is the link over which the message arrived, or nullptr for a
  // message of this node. A message is not sent back over `from`, and one from a voter is not sent to voters.
  void disseminate(const peers::EncodedMessage& message, const peers::Link* from);

  // By name.
  std::map<std::string, Downstream>& downstream() { return downstream_; }
  // Returns nullptr if the link is not of a follower or an operator's program, or if a newer link of the same
  // peer has replaced it.
  Downstream* find_downstream(const peers::Link& link);
  std::int64_t follower_count() const;
  // The name of a follower's upstream; empty: none.
  const std::string& upstream() const { return upstream_; }

  // The voters whose greeting was accepted, and this node if it is a voter.
  const std::map<consensus::NodeId, std::string>& voter_names() const { return voter_names_; }
  // Returns the name of a voter, or an empty string if it is not known.
  std::string name_of(consensus::NodeId id) const;

 private:
  struct DialedPeer {
    std::unique_ptr<peers::Link> link;
    std::string address;
    net::Loop::TimerId redial_timer = net::Loop::kNoTimer;
    int failures = 0;  // consecutive
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
  consensus::NodeId own_id_ = consensus::kNoNode;
  std::map<std::string, DialedPeer> dialed_;  // voters, by name
  std::vector<std::unique_ptr<peers::Link>> accepted_links_;
  std::vector<std::unique_ptr<peers::Link>> ended_links_;  // until the loop iteration ends
  std::map<std::string, Downstream> downstream_;           // by name
  std::map<consensus::NodeId, std::string> voter_names_;
  std::string upstream_;             // of a follower, once the voter has greeted; empty: none
  std::size_t upstream_choice_ = 0;  // modulo the number of voters; 0: not chosen yet
};

}  // namespace database_proxy::group
