// A message between nodes in its encoded form, as a link sends and receives it. Only message_codec.h and
// admin_codec.h read and write its content.
//
// Nodes forward some messages without decoding them completely: requests to the leader, their responses, and
// reports for all nodes. Such a message is forwarded in this form, with every key that it arrived with, so
// that a node of an older version between two newer ones removes nothing from it.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace database_proxy::peers {

// Type of a message. wire_name() in message_keys.h returns the name on the wire.
enum class MessageType {
  kUnknown,  // a type of a newer version; ignored
  kPing,
  kPong,
  kHello,    // the first message of the side that dialed
  kWelcome,  // the answer to kHello
  kRefusal,  // the reason why a peer is not accepted
  kConsensus,
  kLeaseRenewalRequest,   // to the leader
  kLeaseRenewalResponse,  // back to the requesting node
  kProposal,              // to the leader
  kProposalResult,        // back to the proposing node
  kJobReport,             // from the lease holder of a job to every node
  kEndpointListCopy,
  kEndpointListConfirmation,
  kEndpointListCopyRequest,
  kObservation,        // of one proxy, to its voter
  kObservationSum,     // of one voter, to the lease holder of the job `placement`
  kLoadSubscription,   // to the lease holder of a health check job
  kFollowRequest,      // from a follower: the index that it has applied
  kStateTransfer,      // to a follower: the complete replicated state
  kCommittedCommands,  // to a follower: what was committed after the index that it has
  kLeaderStatus,       // to a follower, at a fixed interval
  kAdminCommand,       // from an operator's program
  kForwardedCommand,   // an admin command, forwarded to the leader
  kPlacementCommand,   // an admin command, forwarded to the lease holder of the job `placement`
  kAdminAnswer,
};

// Thrown for a message that lacks a required key or has a value of the wrong kind there. The text is for the
// log.
class MalformedMessage : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A message as a JSON object, with its type. Immutable; a copy copies the object.
class EncodedMessage {
 public:
  // For the codecs, and for links, which have checked that the object names its type.
  explicit EncodedMessage(nlohmann::json object);

  MessageType type() const { return type_; }
  // Returns the bytes to send: length and body. A caller that sends one message to many peers should encode
  // it once and keep the result.
  std::string to_frame() const;
  // Returns the JSON object, for the codecs only.
  const nlohmann::json& object() const { return object_; }

 private:
  nlohmann::json object_;
  MessageType type_;
};

}  // namespace database_proxy::peers
