// Encodes and decodes the messages between nodes. An absent key is read as its default if it has one; unknown
// keys are ignored. No I/O, no state.
//
// Each decode_ function expects a message of its own type. It throws MalformedMessage if a required key is
// absent or has a value of the wrong kind.
#pragma once

#include <optional>
#include <string>

#include "consensus/raft.h"
#include "discovery/endpoint_list_codec.h"
#include "peers/encoded_message.h"
#include "peers/messages.h"
#include "placement/plan.h"

namespace database_proxy::peers {

// Links.
EncodedMessage encode_ping();
EncodedMessage encode_pong();
EncodedMessage encode(const Greeting& greeting);
Greeting decode_greeting(const EncodedMessage& message);
EncodedMessage encode(const Refusal& refusal);
Refusal decode_refusal(const EncodedMessage& message);

// Consensus. decode_consensus returns nullopt for a message that is malformed or of a kind that only a newer
// version knows; the receiver ignores both.
EncodedMessage encode(const consensus::Message& message);
std::optional<consensus::Message> decode_consensus(const EncodedMessage& message);

// Requests to the leader, and their responses.
Route decode_route(const EncodedMessage& message);
// Returns the message with this route, in place of any route that it has.
EncodedMessage with_route(const EncodedMessage& message, const Route& route);
// Returns the message with another type and route, for a node that forwards the command of an operator.
EncodedMessage with_type_and_route(const EncodedMessage& message, MessageType type, const Route& route);
EncodedMessage encode(const RoutedLeaseRenewalRequest& request);
RoutedLeaseRenewalRequest decode_lease_renewal_request(const EncodedMessage& message);
EncodedMessage encode(const RoutedLeaseRenewalResponse& response);
RoutedLeaseRenewalResponse decode_lease_renewal_response(const EncodedMessage& message);
EncodedMessage encode(const Proposal& proposal);
Proposal decode_proposal(const EncodedMessage& message);
bool has_command(const EncodedMessage& proposal);
std::uint64_t decode_proposal_ticket(const EncodedMessage& proposal);
EncodedMessage encode(const ProposalResult& result);

// Reports of jobs. The job in the header determines which of the other types a message has.
JobReportHeader decode_job_report_header(const EncodedMessage& message);
EncodedMessage encode(const LoadReports& reports);
std::vector<ServerLoad> decode_server_loads(const EncodedMessage& message);
EncodedMessage encode(const EndpointListStatus& status);
EndpointListStatus decode_endpoint_list_status(const EncodedMessage& message);
EncodedMessage encode(const PlanStatus& status);
std::uint64_t decode_plan_number(const EncodedMessage& message);
EncodedMessage encode(const LoadSubscription& subscription);
LoadSubscription decode_load_subscription(const EncodedMessage& message);

// Endpoint lists that no lease holder published.
EncodedMessage encode(const EndpointListCopy& copy);
EndpointListCopy decode_endpoint_list_copy(const EncodedMessage& message);
EncodedMessage encode(const EndpointListConfirmation& confirmation);
EndpointListConfirmation decode_endpoint_list_confirmation(const EncodedMessage& message);
EncodedMessage encode(const EndpointListCopyRequest& request);

// Placement.
EncodedMessage encode(const ObservationReport& report);
ObservationReport decode_observation_report(const EncodedMessage& message);
EncodedMessage encode(const ObservationSum& sum);
ObservationSum decode_observation_sum(const EncodedMessage& message);

// Followers.
EncodedMessage encode(const FollowRequest& request);
FollowRequest decode_follow_request(const EncodedMessage& message);
EncodedMessage encode(const StateTransfer& transfer);
StateTransfer decode_state_transfer(const EncodedMessage& message);
EncodedMessage encode(const CommittedCommands& commands);
CommittedCommands decode_committed_commands(const EncodedMessage& message);
EncodedMessage encode(const LeaderStatus& status);
LeaderStatus decode_leader_status(const EncodedMessage& message);

// The texts that lease holders publish through the log. decode_published_plan throws MalformedMessage;
// discovery::parse_endpoint_list decodes a list.
std::string encode_published_list(const discovery::EndpointListUpdate& list);
std::string encode_published_plan(const placement::Plan& plan);
placement::Plan decode_published_plan(const std::string& text);

}  // namespace database_proxy::peers
