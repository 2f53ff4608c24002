#include "health_check_scheduler.h"

#include <algorithm>

#include "router_state.h"

namespace request_router::internal {
namespace {

// The allowed cost of all probes per request, in points of the result; the price of a probe in the settings
// converts it to a number of probes. Half a hundredth of a point, so that the benefit of probes exceeds their
// cost.
constexpr double kProbeCostPerRequest = 0.005;

// The maximum number of probes that a request adds to the budget, where probes are cheap or free.
constexpr double kMaxProbesPerRequest = 0.5;

// The maximum of the budgets of all routers together, in probes: a few for each member of a fleet of a few
// dozen.
constexpr double kBurstTotal = 72;

// The maximum budget of one router, also where there are fewer than three: a third of the burst.
constexpr double kMaxBurst = kBurstTotal / 3;

// The number of routers up to which each one starts with its full part of the burst; with more routers, each
// one draws its start value.
constexpr int kMaxRoutersWithFullBurst = 3;

// Weight of a probe that was faster than the longest known one. A longer one counts in full at once, because
// a probe that is wrongly considered lost takes a member out of service.
constexpr double kProbeLatencySmoothing = 0.2;

// The maximum interval between probes of an unresponsive member, in silence limits: two smallest latency
// objectives.
constexpr int kMaxIntervalSilences = 16;

// The time after which an unresponsive member is tried again where members cannot be probed, in silence
// limits: four smallest latency objectives, because each trial delays a request.
constexpr int kRetrySilences = 32;

// Seconds of log that a replica applies per second while it catches up: it is not probed for a position
// before it can have reached it.
constexpr double kCatchUpSpeed = 2;

// The positions that allow one of the postponed reads, and all of them, to be sent.
struct RequiredPositions {
  Micros least;
  Micros greatest = kNever;
};

RequiredPositions required_positions(const RouterState& state, const Group& group) {
  RequiredPositions required{.least = state.now};
  for (RequestId id : group.postponed) {
    const PendingRequest& pending = state.pending.at(id);
    Micros position = pending.needs_primary() ? kNever : required_position(state, pending);
    if (position == kNever) continue;
    required.least = std::min(required.least, position);
    required.greatest = std::max(required.greatest, position);
  }
  return required;
}

// The earliest time at which a probe of this replica may return a position that allows a read to be sent.
Micros position_probe_due(const RouterState& state, const Member& member, Micros least_required) {
  Micros min_gap = std::min(state.spans.silence_limit, state.spans.half_bound / 2) / 2;
  Micros due = std::max(next_report_due(member), member.probing.last_sent_at + min_gap);
  if (member.replication.position == kNever) return due;
  Micros missing = least_required - member.replication.position;
  return std::max(due, member.probing.last_sent_at + scale(missing, 1 / kCatchUpSpeed));
}

}  // namespace

ProbeBudget::ProbeBudget(const Settings& settings, double start_draw)
    : max_tokens_(std::min(kMaxBurst, kBurstTotal / std::max(1, settings.routers))),
      tokens_per_request_(kMaxProbesPerRequest) {
  tokens_ = settings.routers > kMaxRoutersWithFullBurst ? max_tokens_ * (1 - 2 * start_draw) : max_tokens_;
  if (settings.probe_fee > 0)
    tokens_per_request_ = std::min(tokens_per_request_, kProbeCostPerRequest / settings.probe_fee);
}

void ProbeBudget::replenish() { tokens_ = std::min(max_tokens_, tokens_ + tokens_per_request_); }

void send_probe(RouterState& state, Member& member) {
  MemberProbing& probing = member.probing;
  if (!state.settings.probes || probing.sent_at != kNever) return;
  if (!state.probe_budget.allows_probe()) return;
  probing.sent_at = probing.last_sent_at = state.now;
  state.watch(member);
  state.probe_budget.consume();
  state.actions.emplace_back(Probe{member.id});
}

void on_probe_result(RouterState& state, const ProbeResult& result) {
  auto known = state.members.find(result.member);
  if (known == state.members.end()) return;
  Member& member = known->second;
  member.probing.sent_at = kNever;
  if (!result.ok) {
    mark_unresponsive(state, member);
    return;
  }
  double taken = to_double(result.taken);
  double& latency = member.probing.latency;
  latency = std::max(taken, latency + kProbeLatencySmoothing * (taken - latency));
  record_response(state, member);
  // A report without the number of requests that the member holds also ends its overloaded state.
  if (!result.report.in_flight) member.concurrency.overloaded_at = kNever;
  record_report(state, member, result.report);
}

void probe_unresponsive(RouterState& state, Group& group) {
  for (Member* member : group.members) {
    if (!member->liveness.is_unresponsive() || !may_use(state, *member, MemberUse::kPrimary)) continue;
    MemberProbing& probing = member->probing;
    if (state.now - probing.last_sent_at < probing.interval) continue;
    probing.interval = std::min(probing.interval * 2, state.spans.silence_limit * kMaxIntervalSilences);
    if (state.settings.probes)
      send_probe(state, *member);
    else if (state.now - member->liveness.unresponsive_since > state.spans.silence_limit * kRetrySilences)
      record_response(state, *member);
  }
}

void probe_for_positions(RouterState& state, Group& group) {
  const Member* primary = find_primary(state, group);
  Member* best = nullptr;
  Micros soonest = state.timers.wake_at;
  RequiredPositions required = required_positions(state, group);
  for (Member* member : group.members) {
    if (member == primary || !is_usable(state, *member, MemberUse::kReads)) continue;
    if (is_fresh(member->replication, required.greatest)) continue;
    if (member->probing.sent_at != kNever) return;  // no other probe before its answer
    Micros due = position_probe_due(state, *member, required.least);
    if (due > state.now)
      soonest = std::min(soonest, due);
    else if (!best || expected_cost(state, *member, 0) < expected_cost(state, *best, 0))
      best = member;
  }
  if (best)
    send_probe(state, *best);
  else
    state.timers.wake_no_later_than(soonest);
}

}  // namespace request_router::internal
