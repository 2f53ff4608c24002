#include "replica_selection.h"

#include <algorithm>
#include <vector>

#include "router_state.h"

namespace request_router::internal {
namespace {

// Costs that differ by less than this ratio count as equal: averages of about ten answers scatter by as much.
constexpr double kEqualCostRatio = 1.25;

// A read is long if its latency objective is at least this multiple of the smallest one.
constexpr int kLongReadRatio = 4;

// A replica is stale when its position is older than this number of half bounds, that is two bounds: no
// bounded read will be sent there soon.
constexpr int kStaleHalfBounds = 4;

// The number of attempts of a read that are reserved for members that are known to be fresh.
constexpr int kReservedAttempts = 2;

// A read that was postponed for this fraction of the time in which its answer has full value may use surplus
// capacity of the primary. About a third leaves replicas time to catch up, and the primary time to answer.
constexpr double kPrimaryReadWait = 0.35;

// Maximum fraction of the primary's concurrency limit that such reads use; the rest is reserved for writes.
constexpr double kPrimaryReadFraction = 0.5;

// While every replica lags, a postponed read is sent to the primary when the time left is this multiple of
// its usual latency there: late enough for a replica to catch up, early enough for most answers.
constexpr double kLastMomentRatio = 1.5;

// Where kPrimaryReadFraction of the primary's limit is less than one request, the fraction of reads that may
// use the primary is this multiple of one member's equal share of them.
constexpr double kSmallLimitShares = 2;

// A member that can serve the read, and its cost.
struct Candidate {
  double cost;
  Member* member;
};

// Whether the member is preferred to the other one, which has about the same cost.
bool is_preferred(const Member& member, const Member& other) {
  if (member.same_zone != other.same_zone) return member.same_zone;
  return member.preference_order < other.preference_order;
}

// Returns the preferred member among those of about the least cost: members of this router's zone come first,
// then this router's own order decides, so that hundreds of routers with the same information do not all
// choose the same member.
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

// Selects the member for one read.
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
    return &member != primary_ && is_usable(state_, member, MemberUse::kReads) &&
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

  // Returns the member for a long read that any member may serve: a stale replica, or otherwise the same
  // replica each time. A member may apply no log while it executes such a read, so that long reads that are
  // spread over the replicas make all of them lag.
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
    return required_ != kNever && has_attempts_left(state_, pending_, kReservedAttempts);
  }

  void collect_behind() {
    for (Member* member : group_.members) {
      if (!consider(*member) || is_fresh(member->replication, required_)) continue;
      if (may_try_behind(state_, *member, required_)) add_if_capacity(*member);
    }
  }

  // Records that there is a replica, and whether its last known position was within the bound of the read.
  // Returns whether the member is a replica that the zone plan allows.
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

  // Returns the primary if the read may use it instead of being postponed: no replica can serve the read, or
  // the read has waited long and the primary has capacity.
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

  // The inverted member id distinguishes this draw from those for members.
  bool exceeds_small_limit() const {
    double draw = state_.deterministic_fraction(pending_.request.id, ~primary_->id);
    return draw * static_cast<double>(group_.members.size()) > kSmallLimitShares;
  }

  // The time from which the read may be sent to the primary. While every replica lags, a bounded read stays
  // postponed until the last moment (kLastMomentRatio); where the last known position of a replica was within
  // the bound, it waits only for kPrimaryReadWait.
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
  bool replica_was_current_;  // a replica was within the bound according to its last known position
};

}  // namespace

Member* select_member(RouterState& state, const Group& group, const PendingRequest& pending) {
  Member* primary = find_primary(state, group);
  if (!pending.needs_primary()) return ReadSelection(state, group, pending, primary).select();
  if (!primary) return select_primary_trial(state, group, pending);
  return has_capacity(state, group, *primary, pending) ? primary : nullptr;
}

}  // namespace request_router::internal
