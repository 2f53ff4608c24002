#include "group/admin_commands.h"

#include <fmt/format.h>

#include <optional>
#include <utility>

#include "peers/admin_codec.h"
#include "peers/message_codec.h"

namespace database_proxy::group {
namespace {

using consensus::MembershipChange;
using net::Level;
using peers::AdminAnswer;
using peers::AdminCommand;

// Limits in bytes of one setting that operators store in the group. Every node has all settings in memory.
constexpr std::size_t kMaxSettingNameSize = 256;
constexpr std::size_t kMaxSettingValueSize = 65536;

AdminAnswer to_answer(const std::optional<std::string>& failure) {
  return {!failure.has_value(), failure, {}};
}

}  // namespace

// ---- At any node

void AdminCommands::on_command(peers::Link& link, const peers::EncodedMessage& message) {
  auto answer = [&](const AdminAnswer& content) { link.send(peers::encode(content)); };
  switch (peers::admin_command(peers::decode_admin_command_name(message))) {
    case AdminCommand::kPlacement:
      return placement_.on_admin_command(link, message);
    case AdminCommand::kStatus:
      return answer({true, std::nullopt, status_source_.node_status()});
    case AdminCommand::kMembers:
      return answer(answer_members());
    case AdminCommand::kLeaseHolders:
      return answer({true, std::nullopt, list_lease_holders()});
    case AdminCommand::kIdentify:
      return answer({true, std::nullopt, identify()});
    case AdminCommand::kBootstrap:
      return answer(bootstrap(message));
    case AdminCommand::kRecover:
      return answer(recover(message));
    default:
      forward_to_leader(link, message);
  }
}

void AdminCommands::forward_to_leader(peers::Link& link, const peers::EncodedMessage& message) {
  auto routed = peers::with_type_and_route(message, peers::MessageType::kForwardedCommand,
                                           forwarding_.downstream_route(link));
  if (!forwarding_.send_to_leader(routed))
    link.send(peers::encode(AdminAnswer{false, "no leader is known", {}}));
}

AdminAnswer AdminCommands::answer_members() const {
  auto* raft = consensus_.raft();
  if (!raft) return {false, "a follower does not know the members; send the command to a voter", {}};
  peers::MemberList list;
  for (auto id : raft->members().voters) list.members.push_back(make_member_status(id, false));
  for (auto id : raft->members().learners) list.members.push_back(make_member_status(id, true));
  return {true, std::nullopt, std::move(list)};
}

peers::MemberStatus AdminCommands::make_member_status(consensus::NodeId id, bool is_learner) const {
  auto* raft = consensus_.raft();
  peers::MemberStatus member;
  member.id = id;
  member.name = connections_.name_of(id);
  member.is_learner = is_learner;
  member.is_leader = raft->leader() == id;
  auto peer = raft->peers().find(id);
  if (peer != raft->peers().end()) {
    auto last_contact = net::monotonic_now() - peer->second.last_contact;
    member.progress = {peer->second.match, last_contact.count() / 1000};
  } else if (id == consensus_.id()) {
    member.progress = {raft->durable_index(), 0};
  }
  return member;
}

peers::LeaseHolderList AdminCommands::list_lease_holders() const {
  peers::LeaseHolderList list;
  for (auto& [job, state] : state_.registry().jobs()) list.lease_holders.push_back({job, state});
  list.rejected_effects = state_.rejected_effects();
  return list;
}

peers::NodeIdentity AdminCommands::identify() const {
  auto* raft = consensus_.raft();
  bool is_initialised = raft && !raft->members().voters.empty();
  return {consensus_.id(), context_.name(), is_initialised, raft != nullptr};
}

AdminAnswer AdminCommands::bootstrap(const peers::EncodedMessage& message) {
  if (!consensus_.raft()) return to_answer(consensus_.bootstrap({}));
  consensus::Membership members;
  members.voters = peers::decode_bootstrap_request(message).voters;
  return to_answer(consensus_.bootstrap(std::move(members)));
}

AdminAnswer AdminCommands::recover(const peers::EncodedMessage& message) {
  if (!consensus_.raft()) return to_answer(consensus_.recover(""));
  return to_answer(consensus_.recover(peers::decode_recover_request(message).consequence));
}

// ---- At the leader

void AdminCommands::on_leader_command(const peers::EncodedMessage& message) {
  auto name = peers::decode_admin_command_name(message);
  switch (peers::admin_command(name)) {
    case AdminCommand::kTransferLeadership:
    case AdminCommand::kStepDown:
      return transfer_leadership(message);
    case AdminCommand::kAddLearner:
      return change_members(message, MembershipChange::Kind::kAddLearner);
    case AdminCommand::kPromoteLearner:
      return change_members(message, MembershipChange::Kind::kPromote);
    case AdminCommand::kRemoveMember:
      return change_members(message, MembershipChange::Kind::kRemove);
    case AdminCommand::kPutSetting:
      return put_setting(message);
    case AdminCommand::kGetSetting:
      return get_setting(message);
    default:
      return_outcome(peers::decode_route(message), {0, fmt::format("'{}' is not known", name)});
  }
}

void AdminCommands::return_outcome(const peers::Route& route, const ProposalOutcome& outcome) {
  AdminAnswer answer;
  answer.ok = !outcome.failure.has_value();
  answer.reason = outcome.failure.value_or("");
  answer.result = peers::AppliedIndex{outcome.index};
  forwarding_.return_response(peers::encode(answer, route));
}

void AdminCommands::transfer_leadership(const peers::EncodedMessage& message) {
  auto route = peers::decode_route(message);
  auto voter = peers::decode_leadership_transfer_request(message).voter;
  auto target = consensus::kNoNode;
  if (!voter.empty()) {
    for (auto& [id, name] : connections_.voter_names())
      if (name == voter && consensus_.raft()->members().is_voter(id)) target = id;
    if (target == consensus::kNoNode)
      return return_outcome(route, {0, fmt::format("{} is not a voter", voter)});
    if (target == consensus_.id()) {
      // Answered as a success with a reason: the requested state is already reached.
      AdminAnswer answer{true, "it is already the leader", peers::AppliedIndex{}};
      return forwarding_.return_response(peers::encode(answer, route));
    }
  }
  auto target_suffix = target == consensus::kNoNode ? "" : " to " + connections_.name_of(target);
  context_.log(Level::kInfo, fmt::format("hands leadership over{}: requested by an operator", target_suffix));
  consensus_.transfer_leadership(target);
  return_outcome(route, {});
}

void AdminCommands::change_members(const peers::EncodedMessage& message, MembershipChange::Kind what) {
  auto route = peers::decode_route(message);
  auto request = peers::decode_membership_change_request(message);
  auto id = request.id;
  if (id == consensus::kNoNode) {
    bool may_be_new = what == MembershipChange::Kind::kAddLearner;
    for (auto& [known_id, name] : connections_.voter_names())
      if (name == request.node && (may_be_new || consensus_.raft()->members().has(known_id))) id = known_id;
  }
  if (id == consensus::kNoNode)
    return return_outcome(route, {0, fmt::format("no node named '{}' is known", request.node)});
  consensus_.change_members(
      what, id, [this, route](const ProposalOutcome& outcome) { return_outcome(route, outcome); });
}

void AdminCommands::put_setting(const peers::EncodedMessage& message) {
  auto route = peers::decode_route(message);
  auto [setting, value] = peers::decode_put_setting_request(message);
  if (setting.empty() || setting.size() > kMaxSettingNameSize || value.size() > kMaxSettingValueSize)
    return return_outcome(route,
                          {0, "a setting takes a key of 1 to 256 bytes and a value of at most 65536 bytes"});
  consensus_.propose(ownership::encode(ownership::SetConfigurationEntry{setting, value}),
                     [this, route](const ProposalOutcome& outcome) { return_outcome(route, outcome); });
}

void AdminCommands::get_setting(const peers::EncodedMessage& message) {
  auto route = peers::decode_route(message);
  if (!consensus_.may_answer_as_leader())
    return return_outcome(route, {0, "the leader has just been elected and has not committed an entry yet"});
  auto setting = peers::decode_get_setting_request(message).setting;
  consensus_.confirm_leadership([this, route, setting](bool is_confirmed) {
    AdminAnswer answer;
    answer.ok = is_confirmed;
    if (is_confirmed) {
      auto& settings = state_.registry().settings();
      auto found = settings.find(setting);
      answer.result = peers::SettingValue{found == settings.end() ? "" : found->second};
    } else {
      answer.reason = "leadership was lost";
    }
    forwarding_.return_response(peers::encode(answer, route));
  });
}

}  // namespace database_proxy::group
