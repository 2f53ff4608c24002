// The lease registry: which node each job is granted to, according to the group's log. Each node applies
// every command of the log in the same order, so all registries agree. No clock, I/O or thread.
//
// The fencing token of a grant is the index of its log entry, so the tokens of a job only increase, across
// leaders and restarts. A lease holder publishes with its token; a publication with a lower token than that
// of the newest grant is rejected and counted.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "ownership/fencing_token_guard.h"
#include "ownership/lease_commands.h"

namespace database_proxy::ownership {

// The newest grant of one job and its newest published result.
struct JobState {
  std::string lease_holder;   // empty: the job is not granted
  Token token = 0;            // of the newest grant, even after its release
  Token publisher_token = 0;  // the token with which `data` was published
  std::uint64_t version = 0;  // of `data`, counted by the publisher
  std::string data;
};

// The replicated state machine. The node applies committed entries to its copy on its event loop; copies
// are also taken for snapshots and by the simulator.
class LeaseRegistry {
 public:
  // kApplied: the command took effect. kStale: a publication with an outdated token was rejected. kNoEffect:
  // a grant or release that a newer grant superseded, or a publication with a token that was never granted.
  enum class ApplyResult { kApplied, kStale, kNoEffect };

  // Applies the command of the log entry at `index`. If it grants a job, sets `*granted` to the fencing
  // token.
  ApplyResult apply(std::uint64_t index, const Command& command, Token* granted = nullptr);

  const std::map<std::string, JobState>& jobs() const { return jobs_; }
  // Returns the state of the job, or nullptr if no command has named it yet.
  const JobState* job(const std::string& name) const;
  const std::map<std::string, std::string>& settings() const { return settings_; }
  // Returns the number of publications rejected for an outdated token.
  std::uint64_t stale_publications() const { return stale_publications_; }

  // Returns the registry in the encoding of snapshots (CBOR).
  std::string encode() const;
  // Returns the registry encoded in `text`, an empty one for an empty text, or nullopt if `text` is corrupt.
  static std::optional<LeaseRegistry> decode(const std::string& text);

  // Disables the rejection of outdated tokens. Set only by the simulator, to verify that its checks detect
  // the missing safeguard.
  bool flaw_token_not_compared = false;

 private:
  ApplyResult apply_grant(std::uint64_t index, const Grant& grant, Token* granted);
  ApplyResult apply_release(const Release& release);
  ApplyResult apply_publish(const Publish& publish);
  ApplyResult apply_configuration_entry(const SetConfigurationEntry& entry);

  std::map<std::string, JobState> jobs_;
  std::map<std::string, std::string> settings_;
  std::uint64_t stale_publications_ = 0;
};

}  // namespace database_proxy::ownership
