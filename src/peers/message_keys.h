// Names that the messages between nodes use on the wire. They are part of the format that nodes of two
// versions share, so none of them may change, whatever term the code uses for the same thing. For the codecs
// in this folder.
#pragma once

#include "peers/encoded_message.h"

namespace database_proxy::peers {

// Returns the value of key::kType for a type; empty for kUnknown, which has no name.
const char* wire_name(MessageType type);
// Returns kUnknown for a name that this version does not know.
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

// Requests to the leader, and their responses.
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
constexpr const char* kLeaseDuration = "length";
constexpr const char* kGrantedLeases = "granted";
constexpr const char* kJobsToRelease = "give_up";

// Job reports and endpoint lists.
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
