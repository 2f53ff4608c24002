#include "zone_routing.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "router_state.h"

namespace request_router::internal {
namespace {

// The sum of shares above which they count as complete: they are given as rounded decimal numbers.
constexpr double kCompleteShare = 0.999;

// Weight of one read in the smoothed shares of classes: about the last hundred reads count, enough for a
// stable mix.
constexpr double kMixSmoothing = 0.01;

// Keeps the rank finite before the first read.
constexpr double kMinMixTotal = 1e-9;

// Member ids of the draws of a request that concern no member; they are taken from the top of the range.
constexpr MemberId kFirstZoneDraw = ~2U;
constexpr MemberId kSecondZoneDraw = ~3U;
constexpr MemberId kRankDraw = ~4U;

// The sort key of a class: by value for its work, the most valuable first; classes of equal value by index.
auto class_order(const RouterState& state, std::size_t request_class) {
  double weight = state.settings.classes[request_class].priority_weight;
  return std::pair(-weight / state.latency.typical(request_class), request_class);
}

}  // namespace

void ZoneRouting::set_plan(const Plan& plan, std::size_t class_count) {
  plans_ = {plan.groups.begin(), plan.groups.end()};
  class_mix_.resize(class_count, 0.0);
}

void ZoneRouting::record_read(std::size_t request_class) {
  if (plans_.empty()) return;
  for (std::size_t other = 0; other < class_mix_.size(); ++other) {
    double arrived = other == request_class ? 1 : 0;
    class_mix_[other] += kMixSmoothing * (arrived - class_mix_[other]);
  }
}

bool ZoneRouting::assign(const RouterState& state, PendingRequest& pending) const {
  auto plan = plans_.find(pending.request.group);
  pending.zones = ZoneAssignment{.is_planned = plan != plans_.end() && !pending.needs_primary()};
  if (!pending.zones.is_planned) return true;
  double total = 0;
  for (const ZoneShare& zone : plan->second) total += zone.share;
  if (total < kCompleteShare && pending.attempts.empty() && rank(state, pending) >= total) return false;
  double first_draw = state.deterministic_fraction(pending.request.id, kFirstZoneDraw) * total;
  double second_draw = state.deterministic_fraction(pending.request.id, kSecondZoneDraw);
  for (const ZoneShare& zone : plan->second) {
    if (!pending.zones.first) {
      first_draw -= zone.share;
      if (first_draw < 0) pending.zones.first = &zone;
    }
    if (!pending.zones.second) {
      second_draw -= zone.surplus_share;
      if (second_draw < 0) pending.zones.second = &zone;
    }
  }
  return true;
}

// The rank of this read among all arriving reads, from 0 (the most value for its work) to 1.
double ZoneRouting::rank(const RouterState& state, const PendingRequest& pending) const {
  std::size_t own = pending.request.request_class;
  double before = state.deterministic_fraction(pending.request.id, kRankDraw) * class_mix_[own];
  for (std::size_t other = 0; other < class_mix_.size(); ++other)
    if (class_order(state, other) < class_order(state, own)) before += class_mix_[other];
  return before / std::max(std::accumulate(class_mix_.begin(), class_mix_.end(), 0.0), kMinMixTotal);
}

bool is_allowed_by_plan(const PendingRequest& pending, const Member& member) {
  const ZoneAssignment& zones = pending.zones;
  if (!zones.is_planned) return true;
  return (zones.first && zones.first->zone == member.zone) ||
         (zones.second && zones.second->zone == member.zone);
}

void on_plan(RouterState& state, const Plan& plan) {
  state.zone_routing.set_plan(plan, state.settings.classes.size());
  for (auto& [id, group] : state.groups) state.request_decision(group);
}

}  // namespace request_router::internal
