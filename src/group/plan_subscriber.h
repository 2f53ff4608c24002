// The placement plan that the group has committed, and whether this process follows it. A process that gets
// no status of the lease holder of the job `placement` for PlacementOptions::contact_timeout abandons the
// plan and decides for itself until the next status or committed plan.
//
// Belongs to the group's thread, except adopted_plan_number(). Does nothing without Options::placement.
#pragma once

#include <atomic>
#include <cstdint>
#include <optional>

#include "group/node_context.h"
#include "group/replicated_state.h"
#include "placement/plan.h"

namespace database_proxy::group {

// Notified of plans that are adopted, abandoned and committed.
class PlanObserver {
 public:
  virtual ~PlanObserver() = default;
  // The process follows this plan from now on; nullopt: it decides for itself.
  virtual void on_plan_adopted(const std::optional<placement::Plan>& plan) = 0;
  // A plan that is new to this node was committed. Called after on_plan_adopted().
  virtual void on_plan_committed(const placement::Plan& plan) = 0;
};

// Adopts and abandons the committed plan at one node.
class PlanSubscriber {
 public:
  PlanSubscriber(NodeContext& context, ReplicatedState& state, PlanObserver& observer)
      : context_(context), state_(state), observer_(observer) {}

  // Handles a plan that was published in the replicated state.
  void on_plan_published();
  // Handles a status of the lease holder, whose newest committed plan has this number.
  void on_lease_holder_status(std::uint64_t plan_number);

  // Called every kStatusInterval in this order, on_process_paused() only after a pause of the process, which
  // does not count as time without contact.
  void on_process_paused(Micros pause) { last_contact_ += pause; }
  void check_last_contact();

  // The newest committed plan, whether it is followed or not; its number is 0 if there is none.
  const placement::Plan& committed_plan() const { return plan_; }
  // The number of the plan that is followed; 0: none. Called from any thread.
  std::uint64_t adopted_plan_number() const { return adopted_plan_number_; }

 private:
  void adopt_plan();
  void abandon_plan();
  void log_changes(const placement::Plan& plan) const;

  NodeContext& context_;
  ReplicatedState& state_;
  PlanObserver& observer_;
  placement::Plan plan_;
  Micros last_contact_{0};
  bool is_following_ = false;
  bool has_abandoned_plan_ = false;  // since a plan was last adopted
  std::atomic<std::uint64_t> adopted_plan_number_{0};
};

}  // namespace database_proxy::group
