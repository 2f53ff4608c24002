// The names that messages between daemons use on the wire. They are part of the format that nodes of two
// versions share: none of them changes, whatever the code calls the same thing. For the codecs in this
// folder.
#pragma once

#include "peers/encoded_message.h"

namespace database_proxy::peers {

// The value of key::kType. kUnknown has no name.
const char* wire_name(MessageType type);
MessageType message_type(const std::string& wire_name);

namespace key {

constexpr const char* kType = "t";

// Greetings.
constexpr const char* kVersion = "v";
constexpr const char* kMinVersion = "least";
constexpr const char* kInstallation = "installation";
constexpr const char* kName = "name";
constexpr const char* kId = "id";
constexpr const char* kRole = "kind";

// Requests on their way to the leader, and responses.
constexpr const char* kNode = "node";
constexpr const char* kVia = "via";
constexpr const char* kTicket = "ticket";
constexpr const char* kCommandBytes = "cmd";
constexpr const char* kOk = "ok";
constexpr const char* kReason = "why";
constexpr const char* kIndex = "index";

// Leases.
constexpr const char* kRequestNumber = "n";
constexpr const char* kEligibleJobs = "willing";
constexpr const char* kLeases = "holds";
constexpr const char* kLeaseLength = "length";
constexpr const char* kGrantedLeases = "granted";
constexpr const char* kJobsToGiveUp = "give_up";

// Reports of jobs, and lists of endpoints.
constexpr const char* kJob = "job";
constexpr const char* kToken = "token";
constexpr const char* kSentAt = "at";
constexpr const char* kLoadReports = "facts";
constexpr const char* kGeneration = "generation";
constexpr const char* kPlanNumber = "number";
constexpr const char* kEndpointList = "list";
constexpr const char* kObservation = "o";
constexpr const char* kShardGroup = "set";

// Followers.
constexpr const char* kLeaseRegistry = "ledger";
constexpr const char* kFromIndex = "from";
constexpr const char* kEntries = "entries";
constexpr const char* kLeader = "leader";
constexpr const char* kTerm = "term";

}  // namespace key

namespace role {

constexpr const char* kVoter = "voter";
constexpr const char* kFollower = "follower";
constexpr const char* kAdminClient = "tool";

}  // namespace role

}  // namespace database_proxy::peers
