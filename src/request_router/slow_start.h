// Slow start: the fraction of requests that a member receives while it warms up after its start, and the work
// rates that this fraction depends on.
//
// Rule: a member's available share of its capacity grows with its age, from the guaranteed initial share to
// full capacity at the end of the guaranteed warm-up. Until then it is eligible for a fraction of all
// requests: the part that it would receive when warm, times that share. The fractions add up over any number
// of routers; they are reduced while more work arrives than usual. Each request tries a member that is
// warming up at most once; requests of slow classes do not try it at all.
#pragma once

#include "request_router/router.h"
#include "time_units.h"

namespace request_router::internal {

struct Group;
struct Member;
struct PendingRequest;
struct RouterState;

// Work over about the last `span`: a decaying sum in which the weight of each addition halves with each span.
class WorkRate {
 public:
  explicit WorkRate(Micros span) : span_(span) {}

  // Adds work that arrives now, in microseconds of a member's time.
  void add(Micros now, double work);

  // The work of about the last span, corrected while less than that span has been observed.
  double level(Micros now) const;

  Micros span() const { return span_; }

 private:
  double weight(Micros from, Micros to) const;

  Micros span_;
  Micros since_ = kNever;  // the first addition
  Micros sum_at_{0};
  double sum_ = 0;  // as of `sum_at_`
};

// The rates of the work that arrives at this router.
struct WorkRates {
  explicit WorkRates(const Settings& settings);

  WorkRate recent;  // over the overload window of the guarantees
  WorkRate usual;   // over a longer time

  // Adds a request whose class usually takes `work` microseconds.
  void add(Micros now, double work);
};

// The share of its full capacity that the member has at its age; 1: warm-up is complete.
double capacity_share(const RouterState& state, const Member& member);

// Whether the member is warm or may receive this request. Only this function implements the slow-start rule.
bool slow_start_admits(const RouterState& state, const Group& group, const Member& member,
                       const PendingRequest& pending);

}  // namespace request_router::internal
