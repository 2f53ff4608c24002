// Who owns which job of the fleet, as the group's log has it: the replicated half of ownership. Each node
// applies every command of the log in the same order, so all registries agree. Pure: no clock, I/O or thread.
//
// A grant's fencing token is the index of the log entry that made it, so the tokens of a job only grow, over
// all leaders and restarts. What a holder publishes carries its token; a publication with a lower token than
// the newest grant's is refused and counted.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "ownership/fencing_token_guard.h"
#include "ownership/lease_commands.h"

namespace database_proxy::ownership {

// One job's assignment and its newest published result.
struct JobState {
  std::string lease_holder;          // empty: nobody
  Token token = 0;            // of the newest grant, also after the job was released
  Token publisher_token = 0;     // the token under which `data` was published
  std::uint64_t version = 0;  // of `data`, by the publisher's count
  std::string data;
};

// The replicated state machine. The node applies committed entries to its copy on its event loop; copies are
// also taken for snapshots and by the simulator.
class LeaseRegistry {
 public:
  // kApplied: it took effect; kStale: a publication under an old token; kNoEffect: overtaken, no effect.
  enum class ApplyResult { kApplied, kStale, kNoEffect };

  // Applies the command of the log entry at `index`. Where it grants a job, `*granted` becomes its token.
  ApplyResult apply(std::uint64_t index, const Command& command, Token* granted = nullptr);

  const std::map<std::string, JobState>& jobs() const { return jobs_; }
  // The state of the job, or nullptr if no command named it yet.
  const JobState* job(const std::string& name) const;
  const std::map<std::string, std::string>& settings() const { return settings_; }
  // The number of publications refused for their old token.
  std::uint64_t stale_publications() const { return stale_publications_; }

  // The registry as snapshots store it (CBOR).
  std::string encode() const;
  // The registry that `text` holds; an empty text gives an empty one. Returns nullopt if it is damaged.
  static std::optional<LeaseRegistry> decode(const std::string& text);

  // Takes the guard against old tokens away. Only the simulator sets it, to prove that it would notice.
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
