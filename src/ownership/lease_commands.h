// The commands of the replicated log that change the lease registry, and their stored form. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "ownership/fencing_token_guard.h"

namespace database_proxy::ownership {

// Assigns a job to a node. Proposed by the leader's LeaseManager.
struct Grant {
  std::string job, lease_holder;
  Token previous_token = 0;  // the newest token that the leader saw: another grant in between voids this one
};

// Gives a job back, so that it can be assigned without waiting for the lease to expire. Proposed by its
// holder.
struct Release {
  std::string job;
  Token token = 0;
};

// Replicates the result of a job to all nodes. Proposed by its holder.
struct Publish {
  std::string job;
  Token token = 0;
  std::uint64_t version = 0;  // the publisher's own count
  std::string data;           // opaque to the registry
};

// Sets a setting of the operators, such as a node's name and address.
struct SetConfigurationEntry {
  std::string key;
  std::string value;  // an empty value removes the entry
};

using Command = std::variant<Grant, Release, Publish, SetConfigurationEntry>;

// The stored form of a command (CBOR); log entries and messages between peers carry it.
std::string encode(const Command& command);

// The command that `text` holds. Returns nullopt if it is damaged or of a kind that only a newer version
// knows; every node skips such an entry alike.
std::optional<Command> decode(const std::string& text);

}  // namespace database_proxy::ownership
