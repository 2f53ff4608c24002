// Decodes the commands of operators and encodes their answers. The rules of message_codec.h on absent and
// unknown keys and on malformed messages apply here too.
#pragma once

#include <string>

#include "peers/admin_messages.h"
#include "peers/encoded_message.h"

namespace database_proxy::peers {

// Returns the name of the command, as the operator writes it and the message carries it; empty if absent.
std::string decode_admin_command_name(const EncodedMessage& message);
// Returns kUnknown for a name that this version does not know.
AdminCommand admin_command(const std::string& name);

BootstrapRequest decode_bootstrap_request(const EncodedMessage& message);
RecoverRequest decode_recover_request(const EncodedMessage& message);
LeadershipTransferRequest decode_leadership_transfer_request(const EncodedMessage& message);
MembershipChangeRequest decode_membership_change_request(const EncodedMessage& message);
PutSettingRequest decode_put_setting_request(const EncodedMessage& message);
GetSettingRequest decode_get_setting_request(const EncodedMessage& message);
PlacementRequest decode_placement_request(const EncodedMessage& message);

// Encode an answer: without a route for the peer at the other end of the link, with a route for the node that
// the route names.
EncodedMessage encode(const AdminAnswer& answer);
EncodedMessage encode(const AdminAnswer& answer, const Route& route);

}  // namespace database_proxy::peers
