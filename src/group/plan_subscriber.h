// The plan of zones as the group has committed it, and whether this process follows it. A process that hears
// nothing of the plan's owner for PlacementOptions::keep leaves the plan and decides for itself, until it
// hears of the owner again.
//
// Belongs to the group's thread, except adopted_plan_number(). Without Options::placement nothing happens.
#pragma once

#include <atomic>
#include <cstdint>
#include <optional>

#include "group/node_context.h"
#include "group/replicated_state.h"
#include "placement/plan.h"

namespace database_proxy::group {

// Told of plans that are committed and followed.
class PlanObserver {
 public:
  virtual ~PlanObserver() = default;
  // The plan to follow from now on; nullopt: the process decides for itself.
  virtual void on_plan_adopted(const std::optional<placement::Plan>& plan) = 0;
  // After on_plan_adopted: a plan that is new here was committed.
  virtual void on_plan_committed(const placement::Plan& plan) = 0;
};

// Every node's side of the plan.
class PlanSubscriber {
 public:
  PlanSubscriber(NodeContext& context, ReplicatedState& state, PlanObserver& observer)
      : context_(context), state_(state), observer_(observer) {}

  // From the replicated state.
  void on_plan_published();
  // The lease holder works; its newest committed plan has this number.
  void on_lease_holder_status(std::uint64_t plan_number);

  // To be called every kStatusInterval, in this order.
  void on_process_paused(Micros pause) { last_contact_ += pause; }
  void check_last_contact();

  // The last one that was committed, followed or not; number 0: none.
  const placement::Plan& committed_plan() const { return plan_; }
  // 0: none is followed. From any thread.
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
  bool has_abandoned_plan_ = false;  // since the last plan that was followed
  std::atomic<std::uint64_t> adopted_plan_number_{0};
};

}  // namespace database_proxy::group
