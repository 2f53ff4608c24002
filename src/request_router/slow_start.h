// The budget of a member that is warming up after its start, and the rates of work that it follows.
//
// Rule: the share of its capacity that a member has grows with its age, from the guaranteed initial share to
// all of it at the end of the guaranteed warm-up. Until then it is open to a fraction of all requests: its
// part of them were it warm, times that share. Fractions add up over any number of routers; they fall while
// more work arrives than usually does. Each request tries such a member once, a heavy one not at all.
#pragma once

#include "request_router/router.h"
#include "time_units.h"

namespace request_router::internal {

struct Group;
struct Member;
struct PendingRequest;
struct RouterState;

// Work per time, over about the last `span`: a sum whose parts halve in weight with each span.
class WorkRate {
 public:
  explicit WorkRate(Micros span) : span_(span) {}

  // Takes in work, in microseconds of a member's time, that arrives now.
  void add(Micros now, double work);

  // The work of about the last span, corrected for a past that is shorter than that.
  double level(Micros now) const;

  Micros span() const { return span_; }

 private:
  double weight(Micros from, Micros to) const;

  Micros span_;
  Micros since_ = kNever;  // the first addition
  Micros sum_at_{0};
  double sum_ = 0;  // as of `sum_at_`
};

// The work asked of this router.
struct WorkRates {
  explicit WorkRates(const Settings& settings);

  WorkRate recent;  // over the overload window of the guarantees
  WorkRate usual;   // over a longer time

  // Takes in a request whose class usually takes `work` microseconds.
  void add(Micros now, double work);
};

// The share of its full capacity that the member has at its age; 1: it is warm.
double capacity_share(const RouterState& state, const Member& member);

// The slow-start budget, kept in this one place: whether the member is warm or may have this request.
bool slow_start_admits(const RouterState& state, const Group& group, const Member& member,
                       const PendingRequest& pending);

}  // namespace request_router::internal
