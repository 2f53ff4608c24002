// How far each member has applied the log, and how far it must have for a read: the freshness filter.
//
// Rule: only a known position counts, and a known position only rises. Positions are points on the caller's
// clock. They come from answers, from load reports, and, where members check reads themselves, from a read
// that a member has answered. A bounded read needs a position within its bound, a session read the session's
// last write; any other read needs none (`kNever`).
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

// What is known of the position of one member.
struct MemberReplication {
  Micros position = kNever;       // newest one known to be applied
  Micros lag{0};                  // age of `position` when it was recorded
  Micros last_reported = kNever;  // newest position that a report has brought
  Micros report_interval{0};      // time between the positions of two reports; 0: not known
  Micros report_delay{0};         // age of a reported position on its arrival, while the member keeps up
  Micros declined_at = kNever;    // when the member last turned a read away, being behind
};

// The last write of each session, for reads that must show it.
class SessionPositions {
 public:
  // Takes in the position of a session's write.
  void record_write(std::uint64_t session, Micros position);

  // The position that shows the session's last write. For a session that is not remembered, it is the newest
  // one that was dropped with the others, or kNever.
  Micros last_write(std::uint64_t session) const;

  // Another process of the proxy takes writes of the same sessions from now on, or did so until now.
  void set_shared(Micros now, bool is_shared);

  // The latest time at which another process may have taken a write; kNever: there has been none.
  Micros last_write_by_other_process(Micros now) const { return is_shared_ ? now : shared_until_; }

 private:
  std::unordered_map<std::uint64_t, Micros> last_writes_;
  Micros newest_write_ = kNever;    // of all writes
  Micros newest_dropped_ = kNever;  // the newest when all sessions were dropped
  Micros shared_until_ = kNever;
  bool is_shared_ = false;
};

// The position that a session read needs when it arrives; kNever where there is none.
Micros session_position(const RouterState& state, const Request& request);

// The position that a member must have applied for this read at the time of the batch; kNever: none.
Micros required_position(const RouterState& state, const PendingRequest& pending);

// The freshness filter, kept in this one place: whether the position is known to have been reached.
inline bool is_fresh(const MemberReplication& replication, Micros required) {
  return required == kNever || replication.position >= required;
}

// Where members check reads, one that is slightly behind may be tried: at worst it turns the read away
// untouched. Whether this member may be tried for this position.
bool may_try_behind(const RouterState& state, const Member& member, Micros required);

// Takes in a position that the member is known to have applied.
void record_position(RouterState& state, Member& member, Micros position);

// Takes in the position of an answer, which is rounded.
void record_rounded_position(RouterState& state, Member& member, Micros position);

// Takes in the position of a load report, and how often and how late reports are renewed.
void record_reported_position(RouterState& state, Member& member, Micros position);

// When the next report will bring a new position; a probe before brings nothing new.
Micros next_report_due(const Member& member);

// Takes in what a success shows besides its latency: the position of a write, and, where members check reads,
// how far this member has applied the log.
void record_success(RouterState& state, Member& member, const PendingRequest& pending,
                    const InFlightAttempt& attempt, const Outcome& outcome);

}  // namespace request_router::internal
