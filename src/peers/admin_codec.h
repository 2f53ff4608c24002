// Commands of operators to their transfer form and back; the rules are those of message_codec.h.
#pragma once

#include <string>

#include "peers/admin_messages.h"
#include "peers/encoded_message.h"

namespace database_proxy::peers {

// What the command is called on the wire and by the operator.
std::string decode_admin_command_name(const EncodedMessage& message);
AdminCommand admin_command(const std::string& name);

BootstrapRequest decode_bootstrap_request(const EncodedMessage& message);
RecoverRequest decode_recover_request(const EncodedMessage& message);
LeadershipTransferRequest decode_leadership_transfer_request(const EncodedMessage& message);
MembershipChangeRequest decode_membership_change_request(const EncodedMessage& message);
PutSettingRequest decode_put_setting_request(const EncodedMessage& message);
GetSettingRequest decode_get_setting_request(const EncodedMessage& message);
PlacementRequest decode_placement_request(const EncodedMessage& message);

// Without a route the answer is for the peer at the other end of the link.
EncodedMessage encode(const AdminAnswer& answer);
EncodedMessage encode(const AdminAnswer& answer, const Route& route);

}  // namespace database_proxy::peers
