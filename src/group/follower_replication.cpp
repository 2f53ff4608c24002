#include "group/follower_replication.h"

#include <algorithm>
#include <map>
#include <utility>

#include "peers/message_codec.h"

namespace database_proxy::group {
namespace {

// A follower that is further behind receives the complete state: one frame instead of thousands of commands.
constexpr consensus::Index kMaxCommandsBehind = 4096;

}  // namespace

// ---- The voter's side

bool FollowerReplication::on_follow_request(peers::Link& link, const peers::EncodedMessage& message) {
  auto* follower = connections_.find_downstream(link);
  if (!follower) return false;
  follower->is_following = true;
  follower->sent_index = peers::decode_follow_request(message).applied;
  return true;
}

bool FollowerReplication::can_send_commands_since(consensus::Index index) const {
  return index > 0 && index + 1 >= consensus_.raft()->first_index() &&
         state_.applied_index() - index <= kMaxCommandsBehind;
}

std::string FollowerReplication::make_commands_frame(consensus::Index from) const {
  peers::CommittedCommands message;
  message.from = from;
  message.index = state_.applied_index();
  for (auto i = from + 1; i <= message.index; ++i) {
    auto* entry = consensus_.raft()->entry(i);
    if (entry && entry->type == consensus::EntryType::kCommand) message.commands.push_back({i, entry->data});
  }
  return peers::encode(message).to_frame();
}

void FollowerReplication::send_updates() {
  if (!consensus_.raft()) return;
  std::map<consensus::Index, std::string> command_frames;  // by the followers' index; most share one
  std::string state_frame;
  for (auto& [name, follower] : connections_.downstream()) {
    if (!follower.is_following || follower.sent_index >= state_.applied_index()) continue;
    std::string* frame = &state_frame;
    if (can_send_commands_since(follower.sent_index)) {
      frame = &command_frames[follower.sent_index];
      if (frame->empty()) *frame = make_commands_frame(follower.sent_index);
    } else if (frame->empty()) {
      peers::StateTransfer transfer{state_.applied_index(), state_.registry().encode()};
      *frame = peers::encode(transfer).to_frame();
    }
    if (follower.link->send_frame(*frame)) follower.sent_index = state_.applied_index();
  }
}

void FollowerReplication::send_leader_status() {
  auto* raft = consensus_.raft();
  if (!raft) return;
  peers::LeaderStatus status{leader_name(), state_.applied_index(), raft->term()};
  auto frame = peers::encode(status).to_frame();
  for (auto& [name, follower] : connections_.downstream())
    if (follower.is_following) follower.link->send_frame(frame);
}

// ---- The follower's side

void FollowerReplication::on_upstream_connected(peers::Link& link) {
  last_contact_ = context_.loop.now();
  link.send(peers::encode(peers::FollowRequest{state_.applied_index()}));
}

void FollowerReplication::on_state_transfer(const peers::EncodedMessage& message) {
  auto transfer = peers::decode_state_transfer(message);
  auto registry = ownership::LeaseRegistry::decode(transfer.lease_registry);
  last_contact_ = context_.loop.now();
  if (registry && transfer.index > state_.applied_index())
    state_.restore(std::move(*registry), transfer.index);
}

void FollowerReplication::on_committed_commands(peers::Link& link, const peers::EncodedMessage& message) {
  last_contact_ = context_.loop.now();
  auto committed = peers::decode_committed_commands(message);
  if (committed.from > state_.applied_index()) {  // commands in between were lost
    link.send(peers::encode(peers::FollowRequest{state_.applied_index()}));
    return;
  }
  for (auto& command : committed.commands)
    if (command.index > state_.applied_index()) state_.apply(command.index, command.command);
  state_.set_applied_index(std::max(state_.applied_index(), committed.index));
}

void FollowerReplication::on_leader_status(const peers::EncodedMessage& message) {
  upstream_leader_ = peers::decode_leader_status(message).leader;
  if (!upstream_leader_.empty()) last_contact_ = context_.loop.now();
}

std::string FollowerReplication::leader_name() const {
  auto* raft = consensus_.raft();
  return raft ? connections_.name_of(raft->leader()) : upstream_leader_;
}

Micros FollowerReplication::state_age() const {
  if (context_.is_voter()) return Micros(0);
  return net::monotonic_now() - last_contact_;
}

}  // namespace database_proxy::group
