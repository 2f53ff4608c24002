// When members are probed, and the budget that all probes come from.
//
// Rule: a probe is sent to answer a question: whether a silent member is well, who the primary is, how far a
// replica is that postponed reads wait for, whether an overloaded member has room again. Each request earns a
// part of a probe; what is saved up is bounded, so that hundreds of routers that start together do not probe
// everything at once. A member has one probe under way at most, and one that stays silent is probed ever more
// seldom.
#pragma once

#include "request_router/router.h"
#include "time_units.h"

namespace request_router::internal {

struct Group;
struct Member;
struct RouterState;

// The draw that decides where in its part of the burst this router starts.
constexpr MemberId kProbeBudgetDraw = ~0u;

// What is known of the probes of one member.
struct MemberProbing {
  Micros sent_at = kNever;       // of the probe under way; kNever: there is none
  Micros last_sent_at = kNever;  // of the last probe
  Micros interval{0};            // between two probes while the member is silent
  double latency = 0;            // of its probes in microseconds: the longest of late, falling slowly
};

// How many probes this router may send.
class ProbeBudget {
 public:
  // `start_draw`: a number from 0 to 1 that is fixed for this router.
  ProbeBudget(const Settings& settings, double start_draw);

  // A request has come and earns its part of a probe.
  void replenish();

  // Adds probes beyond the budget.
  void grant(double probes) { tokens_ += probes; }

  // Whether a probe may be sent; the budget may be overdrawn by as much as it holds at most.
  bool allows_probe() const { return tokens_ > -max_tokens_; }

  // Whether a probe can be sent without overdrawing.
  bool has_surplus() const { return tokens_ > 1; }

  void consume() { tokens_ -= 1; }

 private:
  double tokens_ = 0;
  double max_tokens_ = 0;
  double tokens_per_request_ = 0;
};

// Probes the member, if members can be probed, none is under way there, and the budget allows it.
void send_probe(RouterState& state, Member& member);

// Takes in the answer to a probe, or its failure.
void on_probe_result(RouterState& state, const ProbeResult& result);

// A request has come that silent members of the group might have served: probes those that are due. Where
// members cannot be probed, one that has been silent for long is given another chance.
void probe_unresponsive(RouterState& state, Group& group);

// Postponed reads wait for a position: probes the replica of least cost whose next position is due, or asks
// for a decision when the first one is.
void probe_for_positions(RouterState& state, Group& group);

}  // namespace request_router::internal
