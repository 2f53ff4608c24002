// A request that has not received its final answer, with its attempts.
#pragma once

#include <algorithm>
#include <vector>

#include "request_router/router.h"
#include "time_units.h"
#include "zone_routing.h"

namespace request_router::internal {

// One attempt of a request at one member.
struct Attempt {
  MemberId member = 0;
  Micros sent_at{0};
  bool is_in_flight = true;
  bool may_have_run = false;           // known after it has ended
  bool has_failed = false;             // the member answered with an error
  bool is_cancelled = false;           // by this router, to try another member
  bool reached_member = true;          // its member has received the complete request
  Micros fresh_until = Micros::max();  // until when the data of its member was known to be recent enough
  bool was_too_late = false;  // not sent, because `fresh_until` had passed when its connection was ready
};

// A request with the state of its decisions.
struct PendingRequest {
  Request request;
  const RequestClass* request_class = nullptr;  // in the settings; never null
  Micros arrived_at{0};
  Micros full_value_until{0};         // end of the time in which an answer has the full priority weight
  Micros required_position = kNever;  // session reads: the position that includes the session's last write
  std::vector<Attempt> attempts;
  int in_flight_count = 0;
  ZoneAssignment zones;

  // Whether the member has answered the request with an error.
  bool has_failed_at(MemberId member) const {
    return std::any_of(attempts.begin(), attempts.end(), [&](const Attempt& attempt) {
      return attempt.has_failed && attempt.member == member;
    });
  }

  // Whether only the primary can serve the request.
  bool needs_primary() const {
    return request_class->level == ReadLevel::kWrite || request_class->level == ReadLevel::kFresh;
  }
};

}  // namespace request_router::internal
