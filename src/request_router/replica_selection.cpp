#include "replica_selection.h"

#include <algorithm>
#include <vector>

#include "router_state.h"

namespace request_router::internal {
namespace {

// Costs that differ by less than this ratio are equal: averages of about ten answers scatter by as much.
constexpr double kEqualCostRatio = 1.25;

// Reads whose latency objective is so many times the smallest one are long against the others.
constexpr int kLongReadRatio = 4;

// A replica is stale when its position is older than so many half bounds, that is two bounds: no bounded
// read will go there soon.
constexpr int kStaleHalfBounds = 4;

// Attempts that a read keeps for members that are known to be fresh.
constexpr int kReservedAttempts = 2;

// A read that was postponed for this fraction of its time to full value may ask the primary for surplus
// capacity. A third leaves replicas time to catch up, and the primary time to answer.
constexpr double kPrimaryReadWait = 0.35;

// Such reads use no more than this fraction of the primary's limit; the rest is for writes.
constexpr double kPrimaryReadFraction = 0.5;

// While every replica lags, a postponed read goes to the primary when so many times its usual latency there
// is left: late enough for a replica to catch up, early enough for most answers.
constexpr double kLastMomentRatio = 1.5;

// Where the primary's limit is too small to speak of a fraction of it, reads are given so many times the
// part of them that one member has.
constexpr double kSmallLimitShares = 2;

// A member that could serve the read, and at what cost.
struct Candidate {
  double cost;
  Member* member;
};

// Which of two members of about the same cost goes first.
bool is_preferred(const Member& member, const Member& other) {
  if (member.same_zone != other.same_zone) return member.same_zone;
  return member.preference_order < other.preference_order;
}

// Of the members of about the least cost, one of the same zone goes first, then this router's own order
// decides, so that hundreds of routers with the same knowledge do not choose alike.
Member* least_cost_member(const std::vector<Candidate>& candidates) {
  double least = 1e300;
  for (const Candidate& candidate : candidates) least = std::min(least, candidate.cost);
  Member* best = nullptr;
  for (const Candidate& candidate : candidates) {
    Member* member = candidate.member;
    if (candidate.cost > least * kEqualCostRatio) continue;
    if (!best || is_preferred(*member, *best)) best = member;
  }
  return best;
}

// The choice of a member for one read.
class ReadSelection {
 public:
  ReadSelection(RouterState& state, const Group& group, const PendingRequest& pending, Member* primary)
      : state_(state),
        group_(group),
        pending_(pending),
        primary_(primary),
        required_(required_position(state, pending)),
        replica_was_current_(pending.request_class->level != ReadLevel::kBounded) {}

  Member* select() {
    if (is_long_read())
      if (Member* member = long_read_member()) return member;
    collect_fresh();
    if (candidates_.empty() && may_try_behind_members()) collect_behind();
    return candidates_.empty() ? primary_for_read() : least_cost_member(candidates_);
  }

 private:
  bool is_replica_candidate(const Member& member) const {
    return &member != primary_ && is_usable(state_, member, Duty::kReads) &&
           !pending_.has_failed_at(member.id);
  }

  bool is_long_read() const {
    const RequestClass& request_class = *pending_.request_class;
    return request_class.level == ReadLevel::kAny &&
           request_class.latency_objective >= state_.spans.smallest_objective * kLongReadRatio;
  }

  bool is_stale(const Member& member) const {
    return member.replication.position < state_.now - state_.spans.half_bound * kStaleHalfBounds;
  }

  double cost(const Member& member) const {
    return expected_cost(state_, member, pending_.request.request_class);
  }

  // A long read that any member may serve goes where freshness is spent already, or to the same replica each
  // time: a member may apply nothing while it holds one, and spread they make all replicas lag.
  Member* long_read_member() {
    Member* best = nullptr;
    for (Member* member : group_.members) {
      if (!is_replica_candidate(*member) || !is_allowed_by_plan(pending_, *member)) continue;
      if (capacity_share(state_, *member) < 1 || !has_capacity(state_, group_, *member, pending_)) continue;
      has_replica_ = true;
      if (cost(*member) > to_double(pending_.request_class->latency_objective)) continue;
      if (!best || is_better_for_long_read(*member, *best)) best = member;
    }
    return best;
  }

  bool is_better_for_long_read(const Member& member, const Member& best) const {
    bool stale = is_stale(member);
    if (stale != is_stale(best)) return stale;
    return member.preference_order < best.preference_order;
  }

  void collect_fresh() {
    for (Member* member : group_.members)
      if (consider(*member) && is_fresh(member->replication, required_)) add_if_capacity(*member);
  }

  bool may_try_behind_members() const {
    return required_ != kNever &&
           static_cast<int>(pending_.attempts.size()) < state_.settings.max_attempts - kReservedAttempts;
  }

  void collect_behind() {
    for (Member* member : group_.members) {
      if (!consider(*member) || is_fresh(member->replication, required_)) continue;
      if (may_try_behind(state_, *member, required_)) add_if_capacity(*member);
    }
  }

  // Notes that there is a replica, and whether its last known position was within the bound of the read.
  // False: the plan does not allow it.
  bool consider(const Member& member) {
    if (!is_replica_candidate(member)) return false;
    has_replica_ = true;
    const MemberReplication& replication = member.replication;
    bool was_current = replication.position != kNever &&
                       replication.lag - replication.report_delay <= pending_.request_class->bound;
    replica_was_current_ = replica_was_current_ || was_current;
    return is_allowed_by_plan(pending_, member);
  }

  void add_if_capacity(Member& member) {
    if (has_capacity(state_, group_, member, pending_)) candidates_.push_back({cost(member), &member});
  }

  // Exception to postponing: no replica is left, or the read waited long and the primary has capacity.
  Member* primary_for_read() {
    if (!primary_ || !has_capacity(state_, group_, *primary_, pending_)) return nullptr;
    const double limit = primary_->concurrency.limit;
    if (limit * kPrimaryReadFraction < 1 && exceeds_small_limit()) return nullptr;
    if (!has_replica_) return primary_;
    if (static_cast<double>(primary_->in_flight.size()) >= limit * kPrimaryReadFraction) return nullptr;
    Micros earliest = earliest_primary_read();
    if (state_.now >= earliest) return primary_;
    state_.timers.wake_no_later_than(earliest);
    return nullptr;
  }

  // The draw is told from those for members by inverting the member's id.
  bool exceeds_small_limit() const {
    double draw = state_.deterministic_fraction(pending_.request.id, ~primary_->id);
    return draw * static_cast<double>(group_.members.size()) > kSmallLimitShares;
  }

  // From when the read may go to the primary. A bounded read stays postponed while every replica truly lags,
  // until the last moment; where the last known position of one was within the bound, it need not wait so
  // long.
  Micros earliest_primary_read() const {
    Micros waited =
        pending_.arrived_at + scale(pending_.full_value_until - pending_.arrived_at, kPrimaryReadWait);
    if (replica_was_current_) return waited;
    double time_needed = kLastMomentRatio * state_.load(*primary_) *
                         state_.average_latency(*primary_, pending_.request.request_class);
    return std::max(waited, pending_.full_value_until - to_micros(time_needed));
  }

  RouterState& state_;
  const Group& group_;
  const PendingRequest& pending_;
  Member* primary_;  // null: none is known
  Micros required_;  // the position that the read needs
  std::vector<Candidate> candidates_;
  bool has_replica_ = false;
  bool replica_was_current_;  // some replica was within the bound by its last known position
};

}  // namespace

Member* select_member(RouterState& state, const Group& group, const PendingRequest& pending) {
  Member* primary = find_primary(state, group);
  if (!pending.needs_primary()) return ReadSelection(state, group, pending, primary).select();
  if (!primary) return select_primary_trial(state, group, pending);
  return has_capacity(state, group, *primary, pending) ? primary : nullptr;
}

}  // namespace request_router::internal
