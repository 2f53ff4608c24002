// A message between daemons in its transfer form, as a link sends and receives it. What it says is read and
// written by message_codec.h and admin_codec.h only.
//
// Nodes pass some messages on without reading all of them: requests on their way to the leader, responses on
// their way back, reports that everyone is to have. Such a message is passed on in this form, with every key
// that it came with, so that a node of an older version between two newer ones takes nothing away.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace database_proxy::peers {

// What a message is for. The names on the wire are in message_keys.h.
enum class MessageType {
  kUnknown,  // from a newer version: ignored
  kPing,
  kPong,
  kHello,    // the first message of the side that dialed
  kWelcome,  // the answer to it
  kRefusal,  // why a peer is not accepted
  kConsensus,
  kLeaseRenewalRequest,   // to the leader
  kLeaseRenewalResponse,  // back to the node that asked
  kProposal,              // to the leader
  kProposalResult,        // back to the node that proposed
  kJobReport,             // from the lease holder of a job to every node
  kEndpointListCopy,
  kEndpointListConfirmation,
  kEndpointListCopyRequest,
  kObservation,        // of one proxy, to its voter
  kObservationSum,     // of one voter, to the lease holder of the job `placement`
  kLoadSubscription,   // to the lease holder of a health check job
  kFollowRequest,      // from a follower: the index that it has
  kStateTransfer,      // to a follower: the complete replicated state
  kCommittedCommands,  // to a follower: what was committed since
  kLeaderStatus,       // to a follower, at a fixed interval
  kAdminCommand,       // from an operator's program
  kForwardedCommand,   // the same, on its way to the leader
  kPlacementCommand,   // the same, on its way to the lease holder of the job `placement`
  kAdminAnswer,
};

// A message lacks a key that it must have, or holds something else there than its type says. The text is for
// the log.
class MalformedMessage : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Immutable. Copying it copies the object.
class EncodedMessage {
 public:
  // For the codecs, and for a link, which has checked that the object names its type.
  explicit EncodedMessage(nlohmann::json object);

  MessageType type() const { return type_; }
  // The bytes to send: length and body. Worth keeping where one message goes to many peers.
  std::string to_frame() const;
  // For the codecs.
  const nlohmann::json& object() const { return object_; }

 private:
  nlohmann::json object_;
  MessageType type_;
};

}  // namespace database_proxy::peers
