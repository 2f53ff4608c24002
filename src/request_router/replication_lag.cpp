#include "replication_lag.h"

#include <algorithm>

#include "primary_discovery.h"
#include "router_state.h"

namespace request_router::internal {
namespace {

// Maximum number of sessions whose last write is kept, which limits the memory to about a megabyte. When it
// is reached, all entries are dropped at once, and reads of these sessions need the newest dropped position.
constexpr std::size_t kMaxSessions = 20000;

// Positions of answers and reports are rounded to a millisecond. A millisecond is subtracted so that no
// recorded position is newer than the applied one.
constexpr Micros kPositionRounding{1000};

// A member keeps up while its reported position is younger than this number of half bounds, that is two
// bounds. The interval and delay of reports cannot be learned from a member that lags.
constexpr int kKeepsUpHalfBounds = 4;

// Maximum growth factor of a learned interval or delay with each report: the shortest observed value counts,
// and a permanent increase is followed within some tens of reports.
constexpr double kCadenceGrowth = 1.05;

// The number of silence limits (four are half of the smallest latency objective) without an attempt after
// which a member that declined a read may be tried again, even for a position later than its estimated one.
constexpr int kRetryBehindSilences = 4;

Micros smoothed_minimum(Micros known, Micros observed) {
  if (known.count() == 0) return observed;
  return std::min(scale(known, kCadenceGrowth), observed);
}

void record_report_cadence(const RouterState& state, MemberReplication& replication, Micros position) {
  if (position == replication.last_reported) return;
  bool is_next = replication.last_reported != kNever && position > replication.last_reported;
  Micros delay = state.now - position;
  if (is_next && delay < state.spans.half_bound * kKeepsUpHalfBounds) {
    replication.report_interval =
        smoothed_minimum(replication.report_interval, position - replication.last_reported);
    replication.report_delay = smoothed_minimum(replication.report_delay, delay);
  }
  replication.last_reported = position;
}

}  // namespace

void SessionPositions::record_write(std::uint64_t session, Micros position) {
  if (last_writes_.size() >= kMaxSessions) {
    last_writes_.clear();
    newest_dropped_ = newest_write_;
  }
  Micros& last = last_writes_.try_emplace(session, kNever).first->second;
  last = std::max(last, position);
  newest_write_ = std::max(newest_write_, last);
}

Micros SessionPositions::last_write(std::uint64_t session) const {
  auto known = last_writes_.find(session);
  return known == last_writes_.end() ? newest_dropped_ : known->second;
}

void SessionPositions::set_shared(Micros now, bool is_shared) {
  if (is_shared_ || is_shared) shared_until_ = now;
  is_shared_ = is_shared;
}

Micros session_position(const RouterState& state, const Request& request) {
  if (state.settings.client_carries_write_age) {
    bool has_written = request.write_age && request.write_age->count() > 0;
    return has_written ? state.now - *request.write_age : kNever;
  }
  if (!request.key) return kNever;
  return std::max(state.sessions.last_write(*request.key),
                  state.sessions.last_write_by_other_process(state.now));
}

Micros required_position(const RouterState& state, const PendingRequest& pending) {
  if (pending.request_class->level == ReadLevel::kBounded) return state.now - pending.request_class->bound;
  return pending.required_position;
}

Micros fresh_within(const RouterState& state, const PendingRequest& pending, const Member& member) {
  bool is_limited =
      pending.request_class->level == ReadLevel::kBounded && state.settings.lag_check == LagCheck::kOff;
  if (!is_limited || &member == find_primary(state, state.groups.at(member.group))) return Micros::max();
  return member.replication.position - required_position(state, pending);
}

bool may_try_behind(const RouterState& state, const Member& member, Micros required) {
  if (state.settings.lag_check == LagCheck::kOff) return false;
  const MemberReplication& replication = member.replication;
  bool has_declined = replication.declined_at != kNever;
  if (has_declined && state.now - replication.declined_at < state.spans.silence_limit) return false;
  if (replication.position == kNever) return true;
  if (state.now - replication.lag + state.settings.catch_up_timeout >= required) return true;
  Micros last_tried = std::max(replication.declined_at, member.last_sent_at);
  return state.now - last_tried > state.spans.silence_limit * kRetryBehindSilences;
}

void record_position(RouterState& state, Member& member, Micros position) {
  if (position <= member.replication.position) return;
  member.replication.position = position;
  member.replication.lag = state.now - position;
  state.request_decision(member);
}

void record_rounded_position(RouterState& state, Member& member, Micros position) {
  record_position(state, member, std::min(position - kPositionRounding, state.now));
}

void record_reported_position(RouterState& state, Member& member, Micros position) {
  record_report_cadence(state, member.replication, position);
  record_rounded_position(state, member, position);
}

Micros next_report_due(const Member& member) {
  const MemberReplication& replication = member.replication;
  bool is_known = replication.report_interval.count() != 0 && replication.last_reported != kNever;
  if (!is_known) return member.probing.last_sent_at;
  return replication.last_reported + replication.report_interval + replication.report_delay;
}

void record_success(RouterState& state, Member& member, const PendingRequest& pending,
                    const InFlightAttempt& attempt, const Outcome& outcome) {
  const RequestClass& request_class = *pending.request_class;
  if (request_class.level == ReadLevel::kWrite && pending.request.key)
    state.sessions.record_write(*pending.request.key, outcome.position.value_or(state.now));
  if (state.settings.lag_check == LagCheck::kOff || member.role.role == Role::kPrimary) return;
  if (request_class.level == ReadLevel::kBounded)
    record_position(state, member, attempt.sent_at - request_class.bound);
  if (pending.required_position != kNever) record_position(state, member, pending.required_position);
}

}  // namespace request_router::internal
