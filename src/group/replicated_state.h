// The state that the group has committed, as far as this node knows it: the lease registry, and the index of
// the last log entry applied to it. A voter applies the entries that consensus commits, a follower those that
// its voter sends. Also rejects effects of lease holders that have been replaced.
//
// Belongs to the group's thread. Observers are notified after the registry has changed.
#pragma once

#include <string>

#include "consensus/raft.h"
#include "group/node_context.h"
#include "ownership/lease_registry.h"

namespace database_proxy::group {

// Notified of changes that other modules act on.
class ReplicatedStateObserver {
 public:
  virtual ~ReplicatedStateObserver() = default;
  // A grant of this job was applied, whether or not it took effect.
  virtual void on_grant_applied(const std::string& job) = 0;
  // The registry may contain a new endpoint list or a new plan, respectively.
  virtual void on_endpoint_list_published() = 0;
  virtual void on_plan_published() = 0;
};

// The lease registry and the index up to which it is applied.
class ReplicatedState {
 public:
  ReplicatedState(NodeContext& context, ReplicatedStateObserver& observer)
      : context_(context), observer_(observer) {}

  // Replaces the complete state, as a snapshot or a state transfer does.
  void restore(ownership::LeaseRegistry registry, consensus::Index index);
  // Applies one committed command. A command of a newer version is skipped, as on every node of this version.
  void apply(consensus::Index index, const std::string& command);
  // Records that all entries up to this index are applied; those without a command change nothing else.
  void set_applied_index(consensus::Index index) { applied_index_ = index; }

  const ownership::LeaseRegistry& registry() const { return registry_; }
  consensus::Index applied_index() const { return applied_index_; }
  // Returns the state of a job; nullptr: the job was never granted.
  const ownership::JobState* job(const std::string& name) const { return registry_.job(name); }

  // Returns whether an effect with this fencing token is accepted. It is rejected if a newer token of the job
  // is known, because the sender's lease has then passed to another node.
  bool admit_effect(const std::string& job, ownership::Token token);
  // Returns the number of effects rejected for their stale token, here and in the registry.
  std::uint64_t rejected_effects() const { return rejected_effects_ + registry_.stale_publications(); }

 private:
  void on_grant(const ownership::Grant& grant, ownership::Token granted);

  NodeContext& context_;
  ReplicatedStateObserver& observer_;
  ownership::LeaseRegistry registry_;
  consensus::Index applied_index_ = 0;
  ownership::FencingTokenGuard fencing_token_guard_;
  std::uint64_t rejected_effects_ = 0;
};

}  // namespace database_proxy::group
