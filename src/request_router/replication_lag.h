// Replication lag: the position up to which each member has applied the log, and the position that a read
// needs (the freshness filter).
//
// Rule: only a known position counts, and a known position only rises. Positions are points in time on the
// caller's clock. They come from answers, from load reports, and, where members check reads themselves, from
// a read that a member has answered. A bounded read needs a position within its bound, a session read the
// position of the session's last write; any other read needs none (`kNever`).
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "request_router/router.h"
#include "time_units.h"

namespace request_router::internal {

struct InFlightAttempt;
struct Member;
struct PendingRequest;
struct RouterState;

// The known position of one member, and the timing of its reports.
struct MemberReplication {
  Micros position = kNever;       // newest position that is known to be applied
  Micros lag{0};                  // age of `position` when it was recorded
  Micros last_reported = kNever;  // position in the latest report
  Micros report_interval{0};      // smoothed minimum time between reported positions; 0: not known
  Micros report_delay{0};         // smoothed minimum age of positions on arrival, while the member keeps up
  Micros declined_at = kNever;    // when the member last declined a read because it was behind
};

// The position of the last write of each session, for reads that must include that write.
class SessionPositions {
 public:
  // Records the position of a session's write.
  void record_write(std::uint64_t session, Micros position);

  // Returns the position that includes the session's last write. For a session without an entry it is the
  // newest position among the entries that were dropped, or kNever.
  Micros last_write(std::uint64_t session) const;

  // Sets whether another process of the proxy accepts writes of the same sessions from `now` on. A call with
  // false ends the period that a call with true began.
  void set_shared(Micros now, bool is_shared);

  // Returns the latest time at which another process may have accepted a write; kNever if set_shared was
  // never called with true.
  Micros last_write_by_other_process(Micros now) const { return is_shared_ ? now : shared_until_; }

 private:
  std::unordered_map<std::uint64_t, Micros> last_writes_;
  Micros newest_write_ = kNever;    // newest position of all writes
  Micros newest_dropped_ = kNever;  // value of newest_write_ when all sessions were last dropped
  Micros shared_until_ = kNever;
  bool is_shared_ = false;
};

// Returns the position that a session read needs, determined when it arrives; kNever: none.
Micros session_position(const RouterState& state, const Request& request);

// Returns the position that a member must have applied to serve this read at `state.now`; kNever: none.
Micros required_position(const RouterState& state, const PendingRequest& pending);

// Returns whether the member is known to have applied the required position. No other code applies this
// filter.
inline bool is_fresh(const MemberReplication& replication, Micros required) {
  return required == kNever || replication.position >= required;
}

// Returns the time from now within which the last byte of the read has to be sent to the member: until then,
// the position that is known now is within the bound of the read. Micros::max(): the age of the data is not
// limited, or the member itself checks it.
Micros fresh_within(const RouterState& state, const PendingRequest& pending, const Member& member);

// Returns whether a read that requires the position may be tried at a member that is not known to have
// reached it. This is possible only where members check reads themselves: at worst the member declines the
// read without executing it.
bool may_try_behind(const RouterState& state, const Member& member, Micros required);

// Records a position that the member is known to have applied.
void record_position(RouterState& state, Member& member, Micros position);

// Records a position that was rounded by its sender, less the largest rounding error.
void record_rounded_position(RouterState& state, Member& member, Micros position);

// Records the position of a load report, and the interval and the delay of reports.
void record_reported_position(RouterState& state, Member& member, Micros position);

// Returns the time at which the next report with a new position is due; an earlier probe returns no new
// position.
Micros next_report_due(const Member& member);

// Records what a success shows apart from its latency: the position of a write, and, where members check
// reads, the position that this member has applied.
void record_success(RouterState& state, Member& member, const PendingRequest& pending,
                    const InFlightAttempt& attempt, const Outcome& outcome);

}  // namespace request_router::internal
