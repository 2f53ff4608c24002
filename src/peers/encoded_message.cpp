#include "peers/encoded_message.h"

#include <array>
#include <string_view>
#include <utility>

#include "peers/codec.h"
#include "peers/message_keys.h"

namespace database_proxy::peers {
namespace {

struct TypeName {
  MessageType type;
  const char* name;
};

constexpr std::array kTypeNames = {
    TypeName{MessageType::kPing, "ping"},
    TypeName{MessageType::kPong, "pong"},
    TypeName{MessageType::kHello, "hello"},
    TypeName{MessageType::kWelcome, "welcome"},
    TypeName{MessageType::kRefusal, "no"},
    TypeName{MessageType::kConsensus, "raft"},
    TypeName{MessageType::kLeaseRenewalRequest, "ask"},
    TypeName{MessageType::kLeaseRenewalResponse, "told"},
    TypeName{MessageType::kProposal, "propose"},
    TypeName{MessageType::kProposalResult, "done"},
    TypeName{MessageType::kJobReport, "facts"},
    TypeName{MessageType::kEndpointListCopy, "copy"},
    TypeName{MessageType::kEndpointListConfirmation, "copy-stands"},
    TypeName{MessageType::kEndpointListCopyRequest, "copy-please"},
    TypeName{MessageType::kObservation, "seen"},
    TypeName{MessageType::kObservationSum, "sum"},
    TypeName{MessageType::kLoadSubscription, "want"},
    TypeName{MessageType::kFollowRequest, "follow"},
    TypeName{MessageType::kStateTransfer, "state"},
    TypeName{MessageType::kCommittedCommands, "apply"},
    TypeName{MessageType::kLeaderStatus, "alive"},
    TypeName{MessageType::kAdminCommand, "tool"},
    TypeName{MessageType::kForwardedCommand, "forward"},
    TypeName{MessageType::kPlacementCommand, "placement"},
    TypeName{MessageType::kAdminAnswer, "answer"},
};

}  // namespace

const char* wire_name(MessageType type) {
  for (auto& entry : kTypeNames)
    if (entry.type == type) return entry.name;
  return "";
}

MessageType message_type(const std::string& wire_name) {
  for (auto& entry : kTypeNames)
    if (std::string_view(entry.name) == wire_name) return entry.type;
  return MessageType::kUnknown;
}

EncodedMessage::EncodedMessage(nlohmann::json object)
    : object_(std::move(object)), type_(message_type(object_.at(key::kType).get_ref<const std::string&>())) {}

std::string EncodedMessage::to_frame() const { return frame(object_); }

}  // namespace database_proxy::peers
