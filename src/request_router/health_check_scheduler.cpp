#include "health_check_scheduler.h"

#include <algorithm>

#include "router_state.h"

namespace request_router::internal {
namespace {

// What all probes may cost, in points of the result a request; the settings' price of a probe turns it into a
// number of probes. Half a hundredth of a point, so that what probes bring is worth more than they cost.
constexpr double kProbeSpendPerRequest = 0.005;

// Probes that a request earns where probes are cheap or free.
constexpr double kMostProbesPerRequest = 0.5;

// Probes saved up at most, over all routers: some for each member of a fleet of a few dozen.
constexpr double kBurstTotal = 72;

// One router holds no more than a third of the burst, also where there are fewer than three.
constexpr double kLargestBurst = kBurstTotal / 3;

// Up to so many routers each start with all of their part of the burst; more of them draw where in it.
constexpr int kFewRouters = 3;

// Weight of a probe that was quicker than the longest known one. A longer one counts at once, because a probe
// that is wrongly taken for lost takes a member out of service.
constexpr double kProbeLatencySmoothing = 0.2;

// The longest interval between probes of a silent member, in silences: two smallest latency objectives.
constexpr int kLongestIntervalSilences = 16;

// Where members cannot be probed, a silent one is tried again after so many silences, four smallest latency
// objectives: each try costs a request its time.
constexpr int kRetrySilences = 32;

// Seconds of log that a replica applies in a second while it catches up: it is not asked for a position
// sooner than it can have reached it.
constexpr double kCatchUpSpeed = 2;

// The positions that would free one of the postponed reads, and all of them.
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

// When a probe of this replica may first bring a position that frees a read.
Micros position_probe_due(const RouterState& state, const Member& member, Micros least_required) {
  Micros least_gap = std::min(state.spans.silence_limit, state.spans.half_bound / 2) / 2;
  Micros due = std::max(next_report_due(member), member.probing.last_sent_at + least_gap);
  if (member.replication.position == kNever) return due;
  Micros missing = least_required - member.replication.position;
  return std::max(due, member.probing.last_sent_at + scale(missing, 1 / kCatchUpSpeed));
}

}  // namespace

ProbeBudget::ProbeBudget(const Settings& settings, double start_draw)
    : most_tokens_(std::min(kLargestBurst, kBurstTotal / std::max(1, settings.routers))),
      tokens_per_request_(kMostProbesPerRequest) {
  tokens_ = settings.routers > kFewRouters ? most_tokens_ * (1 - 2 * start_draw) : most_tokens_;
  if (settings.probe_fee > 0)
    tokens_per_request_ = std::min(tokens_per_request_, kProbeSpendPerRequest / settings.probe_fee);
}

void ProbeBudget::earn() { tokens_ = std::min(most_tokens_, tokens_ + tokens_per_request_); }

void send_probe(RouterState& state, Member& member) {
  MemberProbing& probing = member.probing;
  if (!state.settings.probes || probing.sent_at != kNever) return;
  if (!state.probe_budget.allows_probe()) return;
  probing.sent_at = probing.last_sent_at = state.now;
  state.watch(member);
  state.probe_budget.spend();
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
  // A report that does not say how many requests the member holds ends its overload too.
  if (!result.report.in_flight) member.concurrency.overloaded_at = kNever;
  record_report(state, member, result.report);
}

void probe_unresponsive(RouterState& state, Group& group) {
  for (Member* member : group.members) {
    if (!member->liveness.is_unresponsive() || !may_use(state, *member, Duty::kPrimary)) continue;
    MemberProbing& probing = member->probing;
    if (state.now - probing.last_sent_at < probing.interval) continue;
    probing.interval = std::min(probing.interval * 2, state.spans.silence_limit * kLongestIntervalSilences);
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
    if (member == primary || !is_usable(state, *member, Duty::kReads)) continue;
    if (is_fresh(member->replication, required.greatest)) continue;
    if (member->probing.sent_at != kNever) return;  // its answer is awaited first
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
