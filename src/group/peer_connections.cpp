#include "group/peer_connections.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <stdexcept>
#include <system_error>
#include <utility>

#include "net/socket.h"
#include "peers/codec.h"
#include "peers/message_codec.h"

namespace database_proxy::group {
namespace {

using namespace std::chrono_literals;
using net::Level;
using peers::PeerRole;

// The backoff after a failed dial doubles from the initial value to the maximum. Each backoff is random, from
// half of that value to all of it, so that nodes that lost a voter at the same time do not redial it at the
// same time.
constexpr Micros kInitialRedialBackoff = 100ms;
constexpr Micros kMaxRedialBackoff = 1s;
constexpr int kMaxBackoffDoublings = 4;
// The maximum number of accepted links; further connections are closed at once.
constexpr std::size_t kMaxAcceptedLinks = 4096;
// Per loop iteration, so that a flood of connections does not starve other work.
constexpr int kMaxAcceptsPerIteration = 64;

}  // namespace

PeerConnections::~PeerConnections() {
  if (listener_) context_.loop.remove(listener_.get(), &on_listener_ready_);
}

void PeerConnections::listen() {
  auto& address = context_.options.listen;
  int error = 0;
  listener_ = net::listen_on(*net::parse_address(address), &error);
  if (!listener_)
    throw std::system_error(error, std::generic_category(),
                            fmt::format("group.listen: cannot listen on {}", address));
  port_ = net::local_port(listener_.get());
}

void PeerConnections::start_accepting() { context_.loop.add(listener_.get(), &on_listener_ready_); }

void PeerConnections::set_own_id(consensus::NodeId id) {
  own_id_ = id;
  voter_names_[id] = context_.name();
}

std::string PeerConnections::name_of(consensus::NodeId id) const {
  auto found = voter_names_.find(id);
  return found == voter_names_.end() ? "" : found->second;
}

const NodeAddress* PeerConnections::find_node(const std::string& name) const {
  auto& nodes = context_.options.nodes;
  auto found = std::find_if(nodes.begin(), nodes.end(), [&](auto& node) { return node.name == name; });
  return found == nodes.end() ? nullptr : &*found;
}

// ---- Dialing and accepting

void PeerConnections::dial_missing_peers() {
  auto& nodes = context_.options.nodes;
  if (context_.is_voter()) {
    for (auto& node : nodes)
      if (node.name != context_.name() && !dialed_[node.name].link) dial(node.name);
    return;
  }
  if (upstream_choice_ == 0) upstream_choice_ = context_.random();
  dial(nodes[upstream_choice_ % nodes.size()].name);
}

void PeerConnections::dial(const std::string& name) {
  auto* node = find_node(name);
  if (!node) return;
  auto& peer = dialed_[name];
  context_.loop.cancel(&peer.redial_timer);
  peer.address = node->address;
  peers::Link::Owner& owner = *this;
  peer.link = std::make_unique<peers::Link>(context_.loop, owner, *net::parse_address(node->address));
  peer.link->set_peer({.name = name});
  if (!peer.link->start()) on_link_down(*peer.link, "it cannot be dialed");
}

void PeerConnections::change_nodes(const std::vector<NodeAddress>& nodes) {
  context_.options.nodes = nodes;
  for (auto& [name, peer] : dialed_) {
    auto* node = find_node(name);
    bool has_moved = !node || node->address != peer.address;
    if (has_moved && peer.link) peer.link->close("its entry in group.nodes was changed or removed");
  }
  dial_missing_peers();
}

void PeerConnections::accept_connections() {
  for (int i = 0; i < kMaxAcceptsPerIteration; ++i) {
    int error = 0;
    auto connection = net::accept_from(listener_.get(), &error);
    if (!connection) return;
    if (accepted_links_.size() >= kMaxAcceptedLinks) continue;
    peers::Link::Owner& owner = *this;
    auto link = std::make_unique<peers::Link>(context_.loop, owner, std::move(connection));
    if (link->start()) accepted_links_.push_back(std::move(link));
  }
  context_.loop.call_again(&on_listener_ready_);
}

// ---- Link events

void PeerConnections::on_link_up(peers::Link& link) { link.send(encode_greeting(false)); }

void PeerConnections::on_message(peers::Link& link, const peers::EncodedMessage& message) {
  try {
    handle_message(link, message);
  } catch (const peers::MalformedMessage&) {
    link.close("it sent a malformed message");
  }
}

void PeerConnections::on_link_down(peers::Link& link, const std::string& reason) {
  if (link.is_dialed())
    on_dialed_link_down(link, reason);
  else
    on_accepted_link_down(link, reason);
}

void PeerConnections::handle_message(peers::Link& link, const peers::EncodedMessage& message) {
  switch (message.type()) {
    case peers::MessageType::kHello:
    case peers::MessageType::kWelcome:
      if (!accept_greeting(link, peers::decode_greeting(message)) || !link.is_dialed()) return;
      context_.log(Level::kInfo, fmt::format("linked with {}", link.peer().name));
      if (context_.is_voter()) return;
      upstream_ = link.peer().name;
      return events_.on_upstream_connected(link);
    case peers::MessageType::kRefusal:
      if (!link.peer().has_greeted)
        context_.log(Level::kError, fmt::format("{} rejected this node: {}", link.peer().name,
                                                peers::decode_refusal(message).reason));
      return;
    default:
      if (!link.peer().has_greeted) return link.close("it sent a message before its greeting");
      events_.on_peer_message(link, message);
  }
}

void PeerConnections::on_dialed_link_down(peers::Link& link, const std::string& reason) {
  auto found = dialed_.find(link.peer().name);
  if (found == dialed_.end() || found->second.link.get() != &link) return;
  auto& [name, peer] = *found;
  if (link.peer().has_greeted) {
    peer.failures = 0;
    context_.log(Level::kInfo, fmt::format("the link to {} ended: {}", name, reason));
  }
  ended_links_.push_back(std::move(peer.link));
  if (upstream_ == name) upstream_.clear();
  schedule_redial(name, &peer);
}

void PeerConnections::schedule_redial(const std::string& name, DialedPeer* peer) {
  int doublings = std::min(peer->failures++, kMaxBackoffDoublings);
  auto max_backoff = std::min<Micros>(kMaxRedialBackoff, kInitialRedialBackoff * (1 << doublings));
  auto backoff = max_backoff / 2 + context_.random_below(max_backoff / 2);
  if (!context_.is_voter()) ++upstream_choice_;
  context_.set_timer(&peer->redial_timer, context_.loop.now() + backoff, [this, name] {
    if (context_.is_voter())
      dial(name);
    else
      dial_missing_peers();
  });
}

void PeerConnections::on_accepted_link_down(peers::Link& link, const std::string& reason) {
  if (find_downstream(link)) {
    auto name = link.peer().name;
    events_.on_downstream_closed(name);
    downstream_.erase(name);
  }
  auto found = std::find_if(accepted_links_.begin(), accepted_links_.end(),
                            [&](auto& accepted) { return accepted.get() == &link; });
  if (found == accepted_links_.end()) return;
  // A reason that begins with "it " describes a fault of the peer. All others are part of normal operation.
  if (reason.starts_with("it "))
    context_.log(Level::kWarning, fmt::format("closed a connection: {}", reason));
  ended_links_.push_back(std::move(*found));
  accepted_links_.erase(found);
}

// ---- Greetings

peers::EncodedMessage PeerConnections::encode_greeting(bool is_answer) const {
  peers::Greeting greeting;
  greeting.is_answer = is_answer;
  greeting.version = peers::kVersion;
  greeting.min_version = peers::kMinVersion;
  greeting.installation = context_.options.installation;
  greeting.node_name = context_.name();
  greeting.id = own_id_;
  greeting.role = context_.is_voter() ? PeerRole::kVoter : PeerRole::kFollower;
  return peers::encode(greeting);
}

// Returns why the peer is not accepted, or nullopt if it is accepted.
std::optional<std::string> PeerConnections::find_rejection_reason(const peers::Link& link,
                                                                  const peers::Greeting& greeting) const {
  if (greeting.installation != context_.options.installation)
    return fmt::format("it is of the installation '{}'", greeting.installation);
  if (greeting.min_version > peers::kVersion || greeting.version < peers::kMinVersion)
    return fmt::format("it speaks versions {} to {}", greeting.min_version, greeting.version);
  if (!greeting.node_name || !greeting.role) throw peers::MalformedMessage("a greeting without name or role");
  auto& name = *greeting.node_name;
  if (link.is_dialed() && name != link.peer().name)
    return fmt::format("it is named {}, but {} was dialed", name, link.peer().name);
  if (greeting.role != PeerRole::kVoter) return std::nullopt;
  if (greeting.id == consensus::kNoNode || greeting.id == own_id_)
    return "it has no id, or the id of this node";
  if (!find_node(name)) return "it is none of group.nodes";
  return std::nullopt;
}

bool PeerConnections::accept_greeting(peers::Link& link, const peers::Greeting& greeting) {
  auto rejection_reason = find_rejection_reason(link, greeting);
  if (rejection_reason) {
    context_.log(
        Level::kWarning,
        fmt::format("rejected {}: {}", greeting.node_name.value_or("an unnamed peer"), *rejection_reason));
    link.send(peers::encode(peers::Refusal{*rejection_reason}));
    link.close(*rejection_reason);
    return false;
  }
  auto& name = *greeting.node_name;
  bool is_voter = greeting.role == PeerRole::kVoter;
  if (is_voter) {
    // A voter that has lost its directory returns with another id.
    std::erase_if(voter_names_,
                  [&](auto& entry) { return entry.second == name && entry.first != greeting.id; });
    voter_names_[greeting.id] = name;
  }
  bool is_admin_client = greeting.role == PeerRole::kAdminClient;
  peers::LinkPeer peer{.name = name, .role = *greeting.role, .id = greeting.id, .has_greeted = false};
  // Several operators' programs may use the same name at the same time.
  if (!link.is_dialed() && is_admin_client) peer.name = fmt::format("tool-{}", context_.random());
  link.set_peer(peer);
  if (!link.is_dialed()) {
    if (!is_voter) add_downstream(link);
    link.send(encode_greeting(true));
  }
  peer.has_greeted = true;
  link.set_peer(peer);
  return true;
}

void PeerConnections::add_downstream(peers::Link& link) {
  auto& name = link.peer().name;
  // A restarted node may connect before this node notices the end of its previous connection.
  auto old = downstream_.find(name);
  if (old != downstream_.end()) old->second.link->close("it has connected again");
  downstream_[name].link = &link;
}

// ---- Sending

peers::Link* PeerConnections::find_dialed(const std::string& name) {
  auto found = dialed_.find(name);
  return found == dialed_.end() ? nullptr : found->second.link.get();
}

Downstream* PeerConnections::find_downstream(const peers::Link& link) {
  auto found = downstream_.find(link.peer().name);
  bool is_current = found != downstream_.end() && found->second.link == &link;
  return is_current ? &found->second : nullptr;
}

std::int64_t PeerConnections::follower_count() const {
  return std::count_if(downstream_.begin(), downstream_.end(),
                       [](auto& entry) { return entry.second.is_following; });
}

bool PeerConnections::send_to_voter(const std::string& name, const peers::EncodedMessage& message) {
  auto* link = find_dialed(name);
  return link && link->peer().has_greeted && link->send(message);
}

bool PeerConnections::send_to_upstream(const peers::EncodedMessage& message) {
  auto* link = find_dialed(upstream_);
  return link && link->send(message);
}

void PeerConnections::send_to_downstream(const std::string& name, const peers::EncodedMessage& message) {
  auto found = downstream_.find(name);
  if (found != downstream_.end()) found->second.link->send(message);
}

void PeerConnections::send_consensus(const consensus::Message& message) {
  auto* link = find_dialed(name_of(message.to));
  if (!link || !link->peer().has_greeted) return;
  if (link->peer().id == message.to) link->send(peers::encode(message));
}

void PeerConnections::broadcast_to_voters(const peers::EncodedMessage& message) {
  auto frame = message.to_frame();
  for (auto& [name, peer] : dialed_)
    if (peer.link && peer.link->peer().has_greeted) peer.link->send_frame(frame);
}

void PeerConnections::disseminate(const peers::EncodedMessage& message, const peers::Link* from) {
  if (!context_.is_voter()) {
    if (!from) send_to_upstream(message);
    return;
  }
  if (!from || from->peer().role != PeerRole::kVoter) broadcast_to_voters(message);
  auto frame = message.to_frame();
  for (auto& [name, downstream] : downstream_)
    if (downstream.is_following && downstream.link != from) downstream.link->send_frame(frame);
}

}  // namespace database_proxy::group
