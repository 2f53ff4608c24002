// What daemons say to each other, as structs. message_codec.h gives each its transfer form; messages of
// operators are in admin_messages.h, those of consensus in consensus/raft.h. Plain data, no behaviour.
//
// Times named unix_ms are milliseconds of the wall clock of the node that wrote them; they are compared with
// the reader's wall clock, so an age that comes of it is as good as the two clocks agree.
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

// What a peer is to the group.
enum class PeerRole {
  kVoter,
  kFollower,
  kAdminClient,  // an operator's program, for one command
};

// The first message in each direction: who is at this end of the link.
struct Greeting {
  bool is_answer = false;  // by the side that was dialed
  int version = 0;
  int min_version = 0;  // that this node still understands
  std::string installation;
  consensus::NodeId id = consensus::kNobody;  // of a voter's directory
  // Absent at a stranger, which is refused for its installation or version before it is asked for them.
  std::optional<std::string> node_name;
  std::optional<PeerRole> role;
};

// Why a peer is not accepted; the link is closed after it.
struct Refusal {
  std::string reason;
};

// Whom a response goes to. A request is given its route by the first voter that it passes.
struct Route {
  std::string node;  // that sent the request
  std::string via;   // the voter that `node` is connected to; a voter names itself
};

// A command for the replicated log, for the leader to propose.
struct Proposal {
  Route route;
  std::uint64_t ticket = 0;  // returned with the result
  std::string command;       // ownership::encode
};

// What became of a proposal.
struct ProposalResult {
  Route route;
  std::uint64_t ticket = 0;
  bool ok = false;
  std::string reason;                     // empty where ok
  std::optional<consensus::Index> index;  // absent where no leader had it
};

// A renewal request with its route.
struct RoutedLeaseRenewalRequest {
  std::string via;  // the node is in the request
  ownership::LeaseRenewalRequest request;
};

// A renewal response with its route.
struct RoutedLeaseRenewalResponse {
  Route route;
  ownership::LeaseRenewalResponse response;
};

// What all reports of a job begin with. The rest goes by the job: LoadReports for health checks,
// EndpointListStatus for `list`, PlanStatus for `placement`.
struct JobReportHeader {
  std::string job;
  ownership::Token token = 0;  // the sender's lease; 0: it holds none, and the report says nothing
};

// One health check of one data server.
struct ServerLoad {
  std::string server;
  std::string report;  // the server's own text
  std::chrono::microseconds check_duration{0};
  std::int64_t measured_at_unix_ms = 0;
};

// The reports of one health check job since the last message.
struct LoadReports {
  JobReportHeader header;
  std::int64_t sent_at_unix_ms = 0;
  std::vector<ServerLoad> loads;
};

// The lease holder of `list` knows the list service's newest list as of this time.
struct EndpointListStatus {
  JobReportHeader header;
  std::int64_t generation = 0;
  std::int64_t sent_at_unix_ms = 0;
};

// The lease holder of `placement` works; this is the newest plan that it knows to be committed.
struct PlanStatus {
  JobReportHeader header;
  std::uint64_t plan_number = 0;
  std::int64_t sent_at_unix_ms = 0;
};

// A complete endpoint list that no lease holder published: a voter polled it, or kept it.
struct EndpointListCopy {
  std::int64_t published_at_unix_ms = 0;  // by the list service; 0: not known
  std::string installation;
  std::string list;  // discovery's own JSON
};

// A voter that polls the list service has just heard that this generation is the newest.
struct EndpointListConfirmation {
  std::int64_t generation = 0;
  std::int64_t sent_at_unix_ms = 0;
};

// The answer to a confirmation of a list that the receiver lacks.
struct EndpointListCopyRequest {};

// What one proxy observed of zones of data servers.
struct ObservationReport {
  std::int64_t taken_at_unix_ms = 0;
  placement::Observation observation;
};

// The sum of all observations below one voter.
struct ObservationSum {
  placement::Observation observation;
};

// Somebody needs load reports of this shard group: its health check job is to work for a while.
struct LoadSubscription {
  std::int64_t shard_group = 0;
};

// A follower has applied all up to this index and wants what comes after it.
struct FollowRequest {
  consensus::Index applied = 0;
};

// The complete replicated state at an index.
struct StateTransfer {
  consensus::Index index = 0;
  std::string lease_registry;  // ownership::LeaseRegistry::encode
};

// One command of the log.
struct CommittedCommand {
  consensus::Index index = 0;
  std::string command;  // ownership::encode
};

// All commands with an index above `from` and up to `index`.
struct CommittedCommands {
  consensus::Index from = 0;
  consensus::Index index = 0;
  std::vector<CommittedCommand> commands;
};

// A voter is alive and knows this leader.
struct LeaderStatus {
  std::string leader;  // empty: none is known
  consensus::Index applied = 0;
  consensus::Term term = 0;
};

}  // namespace database_proxy::peers
