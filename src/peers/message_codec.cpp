#include "peers/message_codec.h"

#include <utility>

#include "peers/codec.h"
#include "peers/decode_guard.h"
#include "peers/message_keys.h"
#include "placement/placement_codec.h"

namespace database_proxy::peers {
namespace {

using Micros = std::chrono::microseconds;

json object_of(MessageType type) { return {{key::kType, wire_name(type)}}; }

const char* wire_name_of(PeerRole peer_role) {
  switch (peer_role) {
    case PeerRole::kVoter:
      return role::kVoter;
    case PeerRole::kFollower:
      return role::kFollower;
    case PeerRole::kAdminClient:
      return role::kAdminClient;
  }
  return role::kFollower;
}

// Returns kFollower for a role of a newer version: such a peer is treated as a follower.
PeerRole role_of(const std::string& wire_name) {
  if (wire_name == role::kVoter) return PeerRole::kVoter;
  if (wire_name == role::kAdminClient) return PeerRole::kAdminClient;
  return PeerRole::kFollower;
}

json job_report(const JobReportHeader& header, std::int64_t sent_at_unix_ms) {
  auto object = object_of(MessageType::kJobReport);
  object[key::kJob] = header.job;
  object[key::kToken] = header.token;
  object[key::kSentAt] = sent_at_unix_ms;
  return object;
}

void set_route(json* object, const Route& route) {
  (*object)[key::kNode] = route.node;
  (*object)[key::kVia] = route.via;
}

Route route_in(const json& object) {
  return {object.at(key::kNode).get<std::string>(), object.at(key::kVia).get<std::string>()};
}

}  // namespace

EncodedMessage encode_ping() { return EncodedMessage(object_of(MessageType::kPing)); }
EncodedMessage encode_pong() { return EncodedMessage(object_of(MessageType::kPong)); }

EncodedMessage encode(const Greeting& greeting) {
  auto object = object_of(greeting.is_answer ? MessageType::kWelcome : MessageType::kHello);
  object[key::kVersion] = greeting.version;
  object[key::kMinVersion] = greeting.min_version;
  object[key::kInstallation] = greeting.installation;
  object[key::kId] = greeting.id;
  if (greeting.node_name) object[key::kName] = *greeting.node_name;
  if (greeting.role) object[key::kRole] = wire_name_of(*greeting.role);
  return EncodedMessage(std::move(object));
}

Greeting decode_greeting(const EncodedMessage& message) {
  return decode_guarded([&] {
    auto& object = message.object();
    Greeting greeting;
    greeting.is_answer = message.type() == MessageType::kWelcome;
    greeting.installation = object.at(key::kInstallation).get<std::string>();
    greeting.version = object.at(key::kVersion).get<int>();
    greeting.min_version = object.at(key::kMinVersion).get<int>();
    greeting.id = object.value(key::kId, consensus::kNoNode);
    if (object.contains(key::kName)) greeting.node_name = object.at(key::kName).get<std::string>();
    if (object.contains(key::kRole)) greeting.role = role_of(object.at(key::kRole).get<std::string>());
    return greeting;
  });
}

EncodedMessage encode(const Refusal& refusal) {
  auto object = object_of(MessageType::kRefusal);
  object[key::kReason] = refusal.reason;
  return EncodedMessage(std::move(object));
}

Refusal decode_refusal(const EncodedMessage& message) {
  return decode_guarded([&] { return Refusal{message.object().value(key::kReason, "")}; });
}

EncodedMessage encode(const consensus::Message& message) { return EncodedMessage(raft_to_json(message)); }

std::optional<consensus::Message> decode_consensus(const EncodedMessage& message) {
  return raft_from_json(message.object());
}

Route decode_route(const EncodedMessage& message) {
  return decode_guarded([&] { return route_in(message.object()); });
}

EncodedMessage with_route(const EncodedMessage& message, const Route& route) {
  return with_type_and_route(message, message.type(), route);
}

EncodedMessage with_type_and_route(const EncodedMessage& message, MessageType type, const Route& route) {
  auto object = message.object();
  object[key::kType] = wire_name(type);
  set_route(&object, route);
  return EncodedMessage(std::move(object));
}

EncodedMessage encode(const RoutedLeaseRenewalRequest& routed) {
  auto object = object_of(MessageType::kLeaseRenewalRequest);
  set_route(&object, {routed.request.node, routed.via});
  object[key::kRequestNumber] = routed.request.number;
  object[key::kEligibleJobs] = routed.request.eligible_jobs;
  auto& leases = object[key::kLeases] = json::array();
  for (auto& lease : routed.request.held_leases)
    leases.push_back(json::array({lease.job, lease.token, lease.progress}));
  return EncodedMessage(std::move(object));
}

RoutedLeaseRenewalRequest decode_lease_renewal_request(const EncodedMessage& message) {
  return decode_guarded([&] {
    auto& object = message.object();
    RoutedLeaseRenewalRequest routed;
    auto route = route_in(object);
    routed.via = std::move(route.via);
    routed.request.node = std::move(route.node);
    routed.request.number = object.at(key::kRequestNumber).get<std::uint64_t>();
    routed.request.eligible_jobs = object.at(key::kEligibleJobs).get<std::vector<std::string>>();
    for (auto& lease : object.at(key::kLeases))
      routed.request.held_leases.push_back({lease.at(0).get<std::string>(),
                                            lease.at(1).get<ownership::Token>(),
                                            lease.at(2).get<std::uint64_t>()});
    return routed;
  });
}

EncodedMessage encode(const RoutedLeaseRenewalResponse& routed) {
  auto object = object_of(MessageType::kLeaseRenewalResponse);
  set_route(&object, routed.route);
  object[key::kRequestNumber] = routed.response.number;
  object[key::kLeaseDuration] = routed.response.lease_duration.count();
  auto& leases = object[key::kGrantedLeases] = json::array();
  for (auto& lease : routed.response.granted) leases.push_back(json::array({lease.job, lease.token}));
  object[key::kJobsToRelease] = routed.response.jobs_to_release;
  return EncodedMessage(std::move(object));
}

RoutedLeaseRenewalResponse decode_lease_renewal_response(const EncodedMessage& message) {
  return decode_guarded([&] {
    auto& object = message.object();
    RoutedLeaseRenewalResponse routed;
    routed.route = route_in(object);
    routed.response.number = object.at(key::kRequestNumber).get<std::uint64_t>();
    routed.response.lease_duration = Micros(object.at(key::kLeaseDuration).get<std::int64_t>());
    for (auto& lease : object.at(key::kGrantedLeases))
      routed.response.granted.push_back(
          {lease.at(0).get<std::string>(), lease.at(1).get<ownership::Token>(), 0});
    routed.response.jobs_to_release = object.at(key::kJobsToRelease).get<std::vector<std::string>>();
    return routed;
  });
}

EncodedMessage encode(const Proposal& proposal) {
  auto object = object_of(MessageType::kProposal);
  set_route(&object, proposal.route);
  object[key::kTicket] = proposal.ticket;
  object[key::kCommandBytes] = bytes_of(proposal.command);
  return EncodedMessage(std::move(object));
}

Proposal decode_proposal(const EncodedMessage& message) {
  return decode_guarded([&] {
    auto& object = message.object();
    return Proposal{route_in(object), object.at(key::kTicket).get<std::uint64_t>(),
                    text_of_bytes(object.at(key::kCommandBytes))};
  });
}

bool has_command(const EncodedMessage& proposal) { return proposal.object().contains(key::kCommandBytes); }

std::uint64_t decode_proposal_ticket(const EncodedMessage& proposal) {
  return decode_guarded([&] { return proposal.object().at(key::kTicket).get<std::uint64_t>(); });
}

EncodedMessage encode(const ProposalResult& result) {
  auto object = object_of(MessageType::kProposalResult);
  set_route(&object, result.route);
  object[key::kTicket] = result.ticket;
  object[key::kOk] = result.ok;
  object[key::kReason] = result.reason;
  if (result.index) object[key::kIndex] = *result.index;
  return EncodedMessage(std::move(object));
}

JobReportHeader decode_job_report_header(const EncodedMessage& message) {
  return decode_guarded([&] {
    auto& object = message.object();
    return JobReportHeader{object.at(key::kJob).get<std::string>(),
                           object.at(key::kToken).get<ownership::Token>()};
  });
}

EncodedMessage encode(const LoadReports& reports) {
  auto object = job_report(reports.header, reports.sent_at_unix_ms);
  auto& loads = object[key::kLoadReports] = json::array();
  for (auto& load : reports.loads)
    loads.push_back(
        json::array({load.server, load.report, load.check_duration.count(), load.measured_at_unix_ms}));
  return EncodedMessage(std::move(object));
}

std::vector<ServerLoad> decode_server_loads(const EncodedMessage& message) {
  return decode_guarded([&] {
    std::vector<ServerLoad> loads;
    for (auto& load : message.object().at(key::kLoadReports))
      loads.push_back({load.at(0).get<std::string>(), load.at(1).get<std::string>(),
                       Micros(load.at(2).get<std::int64_t>()), load.at(3).get<std::int64_t>()});
    return loads;
  });
}

EncodedMessage encode(const EndpointListStatus& status) {
  auto object = job_report(status.header, status.sent_at_unix_ms);
  object[key::kGeneration] = status.generation;
  return EncodedMessage(std::move(object));
}

EndpointListStatus decode_endpoint_list_status(const EncodedMessage& message) {
  auto header = decode_job_report_header(message);
  return decode_guarded([&] {
    auto& object = message.object();
    return EndpointListStatus{header, object.at(key::kGeneration).get<std::int64_t>(),
                              object.at(key::kSentAt).get<std::int64_t>()};
  });
}

EncodedMessage encode(const PlanStatus& status) {
  auto object = job_report(status.header, status.sent_at_unix_ms);
  object[key::kPlanNumber] = status.plan_number;
  return EncodedMessage(std::move(object));
}

std::uint64_t decode_plan_number(const EncodedMessage& message) {
  return decode_guarded([&] { return message.object().at(key::kPlanNumber).get<std::uint64_t>(); });
}

EncodedMessage encode(const LoadSubscription& subscription) {
  auto object = object_of(MessageType::kLoadSubscription);
  object[key::kShardGroup] = subscription.shard_group;
  return EncodedMessage(std::move(object));
}

LoadSubscription decode_load_subscription(const EncodedMessage& message) {
  return decode_guarded(
      [&] { return LoadSubscription{message.object().at(key::kShardGroup).get<std::int64_t>()}; });
}

EncodedMessage encode(const EndpointListCopy& copy) {
  auto object = object_of(MessageType::kEndpointListCopy);
  object[key::kSentAt] = copy.published_at_unix_ms;
  object[key::kInstallation] = copy.installation;
  object[key::kEndpointList] = copy.list;
  return EncodedMessage(std::move(object));
}

EndpointListCopy decode_endpoint_list_copy(const EncodedMessage& message) {
  return decode_guarded([&] {
    auto& object = message.object();
    return EndpointListCopy{object.at(key::kSentAt).get<std::int64_t>(),
                            object.at(key::kInstallation).get<std::string>(),
                            object.at(key::kEndpointList).get<std::string>()};
  });
}

EncodedMessage encode(const EndpointListConfirmation& confirmation) {
  auto object = object_of(MessageType::kEndpointListConfirmation);
  object[key::kGeneration] = confirmation.generation;
  object[key::kSentAt] = confirmation.sent_at_unix_ms;
  return EncodedMessage(std::move(object));
}

EndpointListConfirmation decode_endpoint_list_confirmation(const EncodedMessage& message) {
  return decode_guarded([&] {
    auto& object = message.object();
    return EndpointListConfirmation{object.at(key::kGeneration).get<std::int64_t>(),
                                    object.at(key::kSentAt).get<std::int64_t>()};
  });
}

EncodedMessage encode(const EndpointListCopyRequest&) {
  return EncodedMessage(object_of(MessageType::kEndpointListCopyRequest));
}

EncodedMessage encode(const ObservationReport& report) {
  auto object = object_of(MessageType::kObservation);
  object[key::kSentAt] = report.taken_at_unix_ms;
  object[key::kObservation] = placement::to_json(report.observation);
  return EncodedMessage(std::move(object));
}

ObservationReport decode_observation_report(const EncodedMessage& message) {
  return decode_guarded([&] {
    auto& object = message.object();
    return ObservationReport{object.at(key::kSentAt).get<std::int64_t>(),
                             placement::observation_from_json(object.at(key::kObservation))};
  });
}

EncodedMessage encode(const ObservationSum& sum) {
  auto object = object_of(MessageType::kObservationSum);
  object[key::kObservation] = placement::to_json(sum.observation);
  return EncodedMessage(std::move(object));
}

ObservationSum decode_observation_sum(const EncodedMessage& message) {
  return decode_guarded([&] {
    return ObservationSum{placement::observation_from_json(message.object().at(key::kObservation))};
  });
}

EncodedMessage encode(const FollowRequest& request) {
  auto object = object_of(MessageType::kFollowRequest);
  object[key::kIndex] = request.applied;
  return EncodedMessage(std::move(object));
}

FollowRequest decode_follow_request(const EncodedMessage& message) {
  return decode_guarded(
      [&] { return FollowRequest{message.object().at(key::kIndex).get<consensus::Index>()}; });
}

EncodedMessage encode(const StateTransfer& transfer) {
  auto object = object_of(MessageType::kStateTransfer);
  object[key::kIndex] = transfer.index;
  object[key::kLeaseRegistry] = bytes_of(transfer.lease_registry);
  return EncodedMessage(std::move(object));
}

StateTransfer decode_state_transfer(const EncodedMessage& message) {
  return decode_guarded([&] {
    auto& object = message.object();
    return StateTransfer{object.at(key::kIndex).get<consensus::Index>(),
                         text_of_bytes(object.at(key::kLeaseRegistry))};
  });
}

EncodedMessage encode(const CommittedCommands& commands) {
  auto object = object_of(MessageType::kCommittedCommands);
  object[key::kFromIndex] = commands.from;
  object[key::kIndex] = commands.index;
  auto& entries = object[key::kEntries] = json::array();
  for (auto& entry : commands.commands)
    entries.push_back(json::array({entry.index, bytes_of(entry.command)}));
  return EncodedMessage(std::move(object));
}

CommittedCommands decode_committed_commands(const EncodedMessage& message) {
  return decode_guarded([&] {
    auto& object = message.object();
    CommittedCommands commands;
    commands.from = object.at(key::kFromIndex).get<consensus::Index>();
    commands.index = object.at(key::kIndex).get<consensus::Index>();
    for (auto& entry : object.at(key::kEntries))
      commands.commands.push_back({entry.at(0).get<consensus::Index>(), text_of_bytes(entry.at(1))});
    return commands;
  });
}

EncodedMessage encode(const LeaderStatus& status) {
  auto object = object_of(MessageType::kLeaderStatus);
  object[key::kLeader] = status.leader;
  object[key::kIndex] = status.applied;
  object[key::kTerm] = status.term;
  return EncodedMessage(std::move(object));
}

LeaderStatus decode_leader_status(const EncodedMessage& message) {
  return decode_guarded([&] {
    auto& object = message.object();
    return LeaderStatus{object.value(key::kLeader, ""), object.value(key::kIndex, consensus::Index{0}),
                        object.value(key::kTerm, consensus::Term{0})};
  });
}

std::string encode_published_list(const discovery::EndpointListUpdate& list) {
  return discovery::endpoint_list_to_json(list).dump();
}

std::string encode_published_plan(const placement::Plan& plan) { return placement::to_json(plan).dump(); }

placement::Plan decode_published_plan(const std::string& text) {
  return decode_guarded([&] { return placement::plan_from_json(json::parse(text)); });
}

}  // namespace database_proxy::peers
