// The schedule of probes, and the budget that all probes share.
//
// Rule: a probe is sent only where its result is needed: whether an unresponsive member answers again, which
// member is the primary, which position a replica has reached that postponed reads wait for, whether an
// overloaded member has capacity again. Each request replenishes the budget by a part of a probe; the budget
// is bounded, so that hundreds of routers that start together do not probe everything at once. At most one
// probe is in flight at a member, and a member that stays unresponsive is probed at increasing intervals.
#pragma once

#include "request_router/router.h"
#include "time_units.h"

namespace request_router::internal {

struct Group;
struct Member;
struct RouterState;

// Takes the place of a member id in the draw of this router's initial probe budget.
constexpr MemberId kProbeBudgetDraw = ~0u;

// The state of the probes of one member.
struct MemberProbing {
  Micros sent_at = kNever;       // of the probe in flight; kNever: there is none
  Micros last_sent_at = kNever;  // of the last probe
  Micros interval{0};            // between two probes while the member is unresponsive
  double latency = 0;            // of its probes, in microseconds: the longest recent one, decaying slowly
};

// The token budget for the probes of this router.
class ProbeBudget {
 public:
  // `start_draw`: a number from 0 to 1 that is fixed for this router.
  ProbeBudget(const Settings& settings, double start_draw);

  // Adds a request's part of a probe; called for each new request.
  void replenish();

  // Adds probes beyond the budget.
  void grant(double probes) { tokens_ += probes; }

  // Whether a probe may be sent; the budget may be overdrawn by up to its maximum.
  bool allows_probe() const { return tokens_ > -max_tokens_; }

  // Whether a probe can be sent without overdrawing.
  bool has_surplus() const { return tokens_ > 1; }

  void consume() { tokens_ -= 1; }

 private:
  double tokens_ = 0;
  double max_tokens_ = 0;
  double tokens_per_request_ = 0;
};

// Probes the member, if members can be probed, no probe is in flight there, and the budget allows it.
void send_probe(RouterState& state, Member& member);

// Applies the answer to a probe, or its failure.
void on_probe_result(RouterState& state, const ProbeResult& result);

// Probes the unresponsive members of the group whose probe is due; called while requests arrive that they
// might serve. Where members cannot be probed, one that has been unresponsive for long is returned to
// service.
void probe_unresponsive(RouterState& state, Group& group);

// Probes for the position that postponed reads wait for: the replica of least cost whose next position is
// due. If none is due, schedules a decision for the time when the first one is.
void probe_for_positions(RouterState& state, Group& group);

}  // namespace request_router::internal
