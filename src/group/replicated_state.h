// What the group has agreed on, as far as this node knows: the lease registry, and the index of the last log
// entry that is in it. A voter applies the entries that consensus commits, a follower those that its voter
// sends. Also the guard against effects of lease holders that have been replaced.
//
// Belongs to the group's thread. Observers are called after the registry has changed.
#pragma once

#include <string>

#include "consensus/raft.h"
#include "group/node_context.h"
#include "ownership/lease_registry.h"

namespace database_proxy::group {

// Told of changes that a module has to act on.
class ReplicatedStateObserver {
 public:
  virtual ~ReplicatedStateObserver() = default;
  // A grant of this job was applied, whether it had an effect or not.
  virtual void on_grant_applied(const std::string& job) = 0;
  // The registry may hold another endpoint list, or another plan.
  virtual void on_endpoint_list_published() = 0;
  virtual void on_plan_published() = 0;
};

// The lease registry with its index.
class ReplicatedState {
 public:
  ReplicatedState(NodeContext& context, ReplicatedStateObserver& observer)
      : context_(context), observer_(observer) {}

  // Replaces everything, as a snapshot or a state transfer does.
  void restore(ownership::LeaseRegistry registry, consensus::Index index);
  // One committed command. One of a newer version is skipped, as it is at every node of this version.
  void apply(consensus::Index index, const std::string& command);
  // Entries without a command were committed up to here.
  void set_applied_index(consensus::Index index) { applied_index_ = index; }

  const ownership::LeaseRegistry& registry() const { return registry_; }
  consensus::Index applied_index() const { return applied_index_; }
  // nullptr: the job was never granted.
  const ownership::JobState* job(const std::string& name) const { return registry_.job(name); }

  // Whether an effect with this token may count. False where a newer token of the job is known: the sender's
  // lease has passed to somebody else.
  bool admit_effect(const std::string& job, ownership::Token token);
  // Effects that were rejected for their token, here and in the registry.
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
