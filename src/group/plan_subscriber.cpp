#include "group/plan_subscriber.h"

#include <fmt/format.h>

#include <utility>

#include "group/jobs.h"
#include "peers/message_codec.h"

namespace database_proxy::group {
namespace {

using net::Level;
using placement::Phase;
using placement::PhaseReason;

}  // namespace

void PlanSubscriber::on_plan_published() {
  auto* job = state_.job(kPlacementJob);
  if (!context_.options.placement || !job || job->data.empty()) return;
  try {
    auto plan = peers::decode_published_plan(job->data);
    if (plan.number == plan_.number && is_following_) return;
    log_changes(plan);
    plan_ = std::move(plan);
    last_contact_ = net::monotonic_now();
    adopt_plan();
    observer_.on_plan_committed(plan_);
  } catch (const peers::MalformedMessage& e) {
    context_.log(Level::kError, fmt::format("the published plan cannot be read: {}", e.what()));
  }
}

void PlanSubscriber::log_changes(const placement::Plan& plan) const {
  for (auto& [zone, state] : plan.zones) {
    auto before = plan_.zones.find(zone);
    auto phase_before = before == plan_.zones.end() ? Phase::kOpen : before->second.phase;
    if (phase_before == state.phase) continue;
    auto reason =
        state.reason == PhaseReason::kNone ? "" : fmt::format(" ({})", placement::text_of(state.reason));
    context_.log(Level::kInfo, fmt::format("plan {}: zone {} is {}{}", plan.number, zone,
                                           placement::text_of(state.phase), reason));
  }
  for (auto& [zones, state] : plan.links) {
    if (state.phase != Phase::kClosed || plan_.links.contains(zones)) continue;
    auto& [client_zone, server_zone] = zones;
    context_.log(
        Level::kInfo,
        fmt::format("plan {}: clients of zone {} do not use zone {} (the link between them is unhealthy)",
                    plan.number, client_zone, server_zone));
  }
}

void PlanSubscriber::adopt_plan() {
  bool is_first = adopted_plan_number_ == 0 && !has_abandoned_plan_;
  if (has_abandoned_plan_)
    context_.log(Level::kInfo,
                 fmt::format("the group is heard of again: this proxy follows plan {}", plan_.number));
  if (is_first) context_.log(Level::kInfo, fmt::format("this proxy follows plan {}", plan_.number));
  has_abandoned_plan_ = false;
  is_following_ = true;
  adopted_plan_number_ = plan_.number;
  observer_.on_plan_adopted(plan_);
}

void PlanSubscriber::abandon_plan() {
  context_.log(
      Level::kWarning,
      fmt::format("no status from the lease holder of plan {}: this proxy goes on alone", plan_.number));
  has_abandoned_plan_ = true;
  is_following_ = false;
  adopted_plan_number_ = 0;
  observer_.on_plan_adopted(std::nullopt);
}

void PlanSubscriber::on_lease_holder_status(std::uint64_t plan_number) {
  // A lease holder whose newest plan has not reached this node is no contact: the plan here is out of date.
  if (plan_number <= plan_.number) last_contact_ = net::monotonic_now();
}

void PlanSubscriber::check_last_contact() {
  if (!context_.options.placement || plan_.number == 0) return;
  bool is_in_contact = net::monotonic_now() - last_contact_ <= context_.options.placement->contact_timeout;
  if (is_in_contact == is_following_) return;
  if (is_in_contact)
    adopt_plan();
  else
    abandon_plan();
}

}  // namespace database_proxy::group
