#include "peers/admin_codec.h"

#include <array>
#include <string_view>
#include <utility>

#include "peers/decode_guard.h"
#include "peers/message_codec.h"
#include "peers/message_keys.h"
#include "placement/placement_codec.h"

namespace database_proxy::peers {
namespace {

using nlohmann::json;

// Keys of command arguments.
constexpr const char* kCommandName = "do";
constexpr const char* kVoters = "voters";
constexpr const char* kConsequence = "consequence";
constexpr const char* kSetting = "key";
constexpr const char* kValue = "value";
constexpr const char* kPlacementAction = "what";
constexpr const char* kZone = "zone";
constexpr const char* kForce = "force";
constexpr const char* kExpectedDuration = "takes_ms";

// Keys of answers.
constexpr const char* kPlan = "plan";
constexpr const char* kLeaseHolder = "owner";
constexpr const char* kInitialised = "initialised";
constexpr const char* kRejectedEffects = "stale_effects";

template <class Value>
struct Named {
  const char* name;
  Value value;
};

constexpr std::array kCommands = {
    Named<AdminCommand>{"status", AdminCommand::kStatus},
    Named<AdminCommand>{"members", AdminCommand::kMembers},
    Named<AdminCommand>{"owners", AdminCommand::kLeaseHolders},
    Named<AdminCommand>{"identify", AdminCommand::kIdentify},
    Named<AdminCommand>{"bootstrap", AdminCommand::kBootstrap},
    Named<AdminCommand>{"recover", AdminCommand::kRecover},
    Named<AdminCommand>{"transfer", AdminCommand::kTransferLeadership},
    Named<AdminCommand>{"step-down", AdminCommand::kStepDown},
    Named<AdminCommand>{"add", AdminCommand::kAddLearner},
    Named<AdminCommand>{"promote", AdminCommand::kPromoteLearner},
    Named<AdminCommand>{"remove", AdminCommand::kRemoveMember},
    Named<AdminCommand>{"put", AdminCommand::kPutSetting},
    Named<AdminCommand>{"get", AdminCommand::kGetSetting},
    Named<AdminCommand>{"placement", AdminCommand::kPlacement},
};

constexpr std::array kPlacementActions = {
    Named<PlacementAction>{"show", PlacementAction::kShow},
    Named<PlacementAction>{"explain", PlacementAction::kExplain},
    Named<PlacementAction>{"evacuate", PlacementAction::kEvacuate},
    Named<PlacementAction>{"restore", PlacementAction::kRestore},
    Named<PlacementAction>{"freeze", PlacementAction::kFreeze},
    Named<PlacementAction>{"resume", PlacementAction::kResume},
};

template <class Table, class Value>
Value find_named(const Table& table, std::string_view name, Value fallback) {
  for (auto& entry : table)
    if (name == entry.name) return entry.value;
  return fallback;
}

json status_object(const NodeStatus& status) {
  json object = {{key::kName, status.name},
                 {key::kInstallation, status.installation},
                 {key::kRole, status.role == PeerRole::kVoter ? role::kVoter : role::kFollower},
                 {key::kId, status.id},
                 {key::kLeader, status.leader},
                 {"applied", status.applied},
                 {"alone", status.endpoint_list_unavailable},
                 {"list_generation", status.endpoint_list_generation},
                 {"list_from", status.endpoint_list_source},
                 {kRejectedEffects, status.rejected_effects},
                 {"whole_lists", status.complete_list_polls},
                 {kPlan, status.adopted_plan},
                 {"state_age_ms", status.state_age_ms},
                 {"upstream", status.upstream},
                 {"followers", status.followers},
                 {"clock_us", status.clock_us}};
  auto& leases = object[key::kLeases] = json::array();
  for (auto& lease : status.leases) leases.push_back(json::array({lease.job, lease.token}));
  if (!status.voter) return object;
  object["role"] = consensus::text_of(status.voter->role);
  object[key::kTerm] = status.voter->term;
  object["commit"] = status.voter->commit;
  object["last"] = status.voter->last;
  object[kInitialised] = status.voter->initialised;
  if (!status.voter->disk_error.empty()) object["disk"] = status.voter->disk_error;
  return object;
}

json member_object(const MemberStatus& member) {
  json object = {{key::kId, member.id},
                 {key::kName, member.name},
                 {key::kRole, member.is_learner ? "learner" : role::kVoter},
                 {"leads", member.is_leader}};
  if (!member.progress) return object;
  object["match"] = member.progress->match;
  object["heard_ms"] = member.progress->last_contact_ms;
  return object;
}

// Each overload adds the keys of one type of result to the answer.
void add_result(json*, const std::monostate&) {}

void add_result(json* answer, const NodeStatus& status) { (*answer)["status"] = status_object(status); }

void add_result(json* answer, const NodeIdentity& identity) {
  (*answer)[key::kId] = identity.id;
  (*answer)[key::kName] = identity.name;
  (*answer)[kInitialised] = identity.is_initialised;
  (*answer)[role::kVoter] = identity.is_voter;
}

void add_result(json* answer, const MemberList& list) {
  auto& members = (*answer)["members"] = json::array();
  for (auto& member : list.members) members.push_back(member_object(member));
}

void add_result(json* answer, const LeaseHolderList& list) {
  auto& lease_holders = (*answer)["owners"] = json::array();
  for (auto& holder : list.lease_holders)
    lease_holders.push_back({{key::kJob, holder.job},
                             {kLeaseHolder, holder.state.lease_holder},
                             {key::kToken, holder.state.token},
                             {"version", holder.state.version},
                             {"published_by", holder.state.publisher_token}});
  (*answer)[kRejectedEffects] = list.rejected_effects;
}

void add_result(json* answer, const AppliedIndex& applied) { (*answer)[key::kIndex] = applied.index; }

void add_result(json* answer, const SettingValue& setting) { (*answer)[kValue] = setting.value; }

void add_result(json* answer, const PlanReport& report) {
  (*answer)[kPlan] = placement::to_json(report.plan);
  (*answer)[kLeaseHolder] = report.lease_holder;
  (*answer)[key::kShardGroup] = report.shard_group ? json(*report.shard_group) : json();
  if (!report.input) return;
  auto& demand = (*answer)["asked"] = json::array();
  for (auto& [where, rate] : report.input->smoothed_demand)
    demand.push_back(json::array({where.first, where.second, rate}));
  auto& capacity = (*answer)["bears"] = json::array();
  for (auto& [where, supply] : report.input->supply)
    capacity.push_back(json::array({where.first, where.second, supply.current_capacity}));
  (*answer)["seen"] = placement::to_json(report.input->observation);
}

void add_result(json* answer, const PlanChange& change) {
  (*answer)[kPlan] = change.plan_number;
  (*answer)[kExpectedDuration] = change.expected_duration_ms;
}

json answer_object(const AdminAnswer& answer) {
  json object = {{key::kType, wire_name(MessageType::kAdminAnswer)}, {key::kOk, answer.ok}};
  if (answer.reason) object[key::kReason] = *answer.reason;
  std::visit([&](auto& result) { add_result(&object, result); }, answer.result);
  return object;
}

}  // namespace

std::string decode_admin_command_name(const EncodedMessage& message) {
  return decode_guarded([&] { return message.object().value(kCommandName, ""); });
}

AdminCommand admin_command(const std::string& name) {
  return find_named(kCommands, name, AdminCommand::kUnknown);
}

BootstrapRequest decode_bootstrap_request(const EncodedMessage& message) {
  return decode_guarded(
      [&] { return BootstrapRequest{message.object().at(kVoters).get<std::vector<consensus::NodeId>>()}; });
}

RecoverRequest decode_recover_request(const EncodedMessage& message) {
  return decode_guarded([&] { return RecoverRequest{message.object().value(kConsequence, "")}; });
}

LeadershipTransferRequest decode_leadership_transfer_request(const EncodedMessage& message) {
  return decode_guarded([&] { return LeadershipTransferRequest{message.object().value(key::kName, "")}; });
}

MembershipChangeRequest decode_membership_change_request(const EncodedMessage& message) {
  return decode_guarded([&] {
    auto& object = message.object();
    return MembershipChangeRequest{object.value(key::kName, ""), object.value(key::kId, consensus::kNoNode)};
  });
}

PutSettingRequest decode_put_setting_request(const EncodedMessage& message) {
  return decode_guarded([&] {
    auto& object = message.object();
    return PutSettingRequest{object.value(kSetting, ""), object.value(kValue, "")};
  });
}

GetSettingRequest decode_get_setting_request(const EncodedMessage& message) {
  return decode_guarded([&] { return GetSettingRequest{message.object().value(kSetting, "")}; });
}

PlacementRequest decode_placement_request(const EncodedMessage& message) {
  return decode_guarded([&] {
    auto& object = message.object();
    PlacementRequest request;
    request.action_name = object.value(kPlacementAction, "");
    request.action = find_named(kPlacementActions, request.action_name, PlacementAction::kUnknown);
    request.zone = object.value(kZone, "");
    request.force = object.value(kForce, false);
    request.expected_duration_ms = object.value(kExpectedDuration, 0);
    auto shard_group = object.find(key::kShardGroup);
    if (shard_group != object.end() && shard_group->is_number_integer())
      request.shard_group = shard_group->get<std::int64_t>();
    return request;
  });
}

EncodedMessage encode(const AdminAnswer& answer) { return EncodedMessage(answer_object(answer)); }

EncodedMessage encode(const AdminAnswer& answer, const Route& route) {
  return with_route(EncodedMessage(answer_object(answer)), route);
}

}  // namespace database_proxy::peers
