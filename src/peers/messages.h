// Messages between nodes, as structs. message_codec.h encodes and decodes them; messages of operators are in
// admin_messages.h, those of consensus in consensus/messages.h. Plain data, no behaviour.
//
// Times named unix_ms are milliseconds of the wall clock of the node that wrote them. The reader compares
// them with its own wall clock, so an age computed this way is only as accurate as the two clocks agree.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "consensus/raft.h"
#include "ownership/lease.h"
#include "placement/zone_observation.h"

namespace database_proxy::peers {

// Role of a peer in the group.
enum class PeerRole {
  kVoter,
  kFollower,     // a node without the log, which follows a voter
  kAdminClient,  // an operator's program, connected for one command
};

// The first message in each direction. It identifies the node at this end of the link.
struct Greeting {
  bool is_answer = false;  // sent by the side that was dialed
  int version = 0;
  int min_version = 0;  // the oldest version that this node still understands
  std::string installation;
  consensus::NodeId id = consensus::kNoNode;  // of a voter, stored in its directory
  // Optional, because a peer of another installation or version may lack them. Such a peer is refused for its
  // installation or version before these fields are required.
  std::optional<std::string> node_name;
  std::optional<PeerRole> role;
};

// The reason why a peer is not accepted. The link is closed after this message.
struct Refusal {
  std::string reason;
};

// Destination of a response. The first voter that a request passes adds the route to the request.
struct Route {
  std::string node;  // the node that sent the request
  std::string via;   // the voter that `node` is connected to; `node` itself if it is a voter
};

// A command for the replicated log, to be proposed by the leader.
struct Proposal {
  Route route;
  std::uint64_t ticket = 0;  // chosen by the sender; returned with the result
  std::string command;       // encoded by ownership::encode
};

// Outcome of a proposal.
struct ProposalResult {
  Route route;
  std::uint64_t ticket = 0;
  bool ok = false;
  std::string reason;                     // empty if ok
  std::optional<consensus::Index> index;  // absent if the proposal reached no leader
};

// A renewal request with its route.
struct RoutedLeaseRenewalRequest {
  std::string via;  // as in Route; the request has the node
  ownership::LeaseRenewalRequest request;
};

// A renewal response with its route.
struct RoutedLeaseRenewalResponse {
  Route route;
  ownership::LeaseRenewalResponse response;
};

// The fields that all reports of jobs have. The job determines the type of the report: LoadReports for health
// checks, EndpointListStatus for `list`, PlanStatus for `placement`.
struct JobReportHeader {
  std::string job;
  ownership::Token token = 0;  // of the sender's lease; 0: it holds none, and the report is ignored
};

// Result of one health check of one data server.
struct ServerLoad {
  std::string server;
  std::string report;  // load report, as the server wrote it
  std::chrono::microseconds check_duration{0};
  std::int64_t measured_at_unix_ms = 0;
};

// The load reports of one health check job since its last message.
struct LoadReports {
  JobReportHeader header;
  std::int64_t sent_at_unix_ms = 0;
  std::vector<ServerLoad> loads;
};

// States that the lease holder of `list` has the newest list of the discovery service as of this time.
struct EndpointListStatus {
  JobReportHeader header;
  std::int64_t generation = 0;
  std::int64_t sent_at_unix_ms = 0;
};

// States that the lease holder of `placement` is working, with the newest plan that it knows to be committed.
struct PlanStatus {
  JobReportHeader header;
  std::uint64_t plan_number = 0;
  std::int64_t sent_at_unix_ms = 0;
};

// A complete endpoint list that no lease holder published: a voter polled it, or had stored it.
struct EndpointListCopy {
  std::int64_t published_at_unix_ms = 0;  // by the discovery service; 0: unknown
  std::string installation;
  std::string list;  // JSON of discovery::endpoint_list_to_json
};

// States that a voter which polls the discovery service has just received the answer that this generation is
// the newest.
struct EndpointListConfirmation {
  std::int64_t generation = 0;
  std::int64_t sent_at_unix_ms = 0;
};

// The answer to a confirmation of a list that the receiver does not have.
struct EndpointListCopyRequest {};

// Observation of the zones of data servers by one proxy.
struct ObservationReport {
  std::int64_t taken_at_unix_ms = 0;
  placement::Observation observation;
};

// The sum of the observations of one voter and its followers.
struct ObservationSum {
  placement::Observation observation;
};

// Requests load reports of this shard group: its health check job is to be active for a limited time.
struct LoadSubscription {
  std::int64_t shard_group = 0;
};

// States that a follower has applied all commands up to this index, and requests those after it.
struct FollowRequest {
  consensus::Index applied = 0;
};

// The complete replicated state at an index.
struct StateTransfer {
  consensus::Index index = 0;
  std::string lease_registry;  // encoded by ownership::LeaseRegistry::encode
};

// One command of the log.
struct CommittedCommand {
  consensus::Index index = 0;
  std::string command;  // encoded by ownership::encode
};

// All commands with an index above `from` and up to `index`.
struct CommittedCommands {
  consensus::Index from = 0;
  consensus::Index index = 0;
  std::vector<CommittedCommand> commands;
};

// States that a voter is alive, and the leader that it knows.
struct LeaderStatus {
  std::string leader;  // empty: unknown
  consensus::Index applied = 0;
  consensus::Term term = 0;
};

}  // namespace database_proxy::peers
