// The commands in the replicated log that change the lease registry, and their stored encoding. No clock, I/O
// or thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "ownership/fencing_token_guard.h"

namespace database_proxy::ownership {

// Grants a job's lease to a node. Proposed by the leader's LeaseManager.
struct Grant {
  std::string job, lease_holder;
  Token previous_token = 0;  // newest token known to the leader; if it is outdated, the grant has no effect
};

// Releases a job's lease, so that the job can be assigned before the lease expires. Proposed by the lease
// holder.
struct Release {
  std::string job;
  Token token = 0;
};

// Publishes the result of a job to all nodes. Proposed by the lease holder.
struct Publish {
  std::string job;
  Token token = 0;
  std::uint64_t version = 0;  // counted by the publisher
  std::string data;           // opaque to the registry
};

// Changes an operator setting, such as a node's name or address.
struct SetConfigurationEntry {
  std::string key;
  std::string value;  // an empty value removes the entry
};

using Command = std::variant<Grant, Release, Publish, SetConfigurationEntry>;

// Returns a command in its stored encoding (CBOR), which log entries and messages between peers carry.
std::string encode(const Command& command);

// Returns the command encoded in `text`, or nullopt if `text` is corrupt or of a kind that only a newer
// version knows. Every node skips such an entry in the same way.
std::optional<Command> decode(const std::string& text);

}  // namespace database_proxy::ownership
