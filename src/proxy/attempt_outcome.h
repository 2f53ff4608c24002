// Maps the way an attempt ended to its outcome, as the table of the protocol page defines it.
#pragma once

#include <string_view>

#include "routing/decision_facade.h"

namespace database_proxy::proxy {

// The outcome of an ErrorResponse to a request that was written completely.
inline routing::AttemptOutcome outcome_of_error(std::string_view sqlstate) {
  if (sqlstate == "25006" || sqlstate == "72000") return routing::AttemptOutcome::kDeclined;
  if (sqlstate == "53300") return routing::AttemptOutcome::kRejected;
  return routing::AttemptOutcome::kError;  // XX000 and all unlisted codes: it may have run
}

// `written`: the last byte of the request was written. Before that it cannot have run; after, it may have.
inline routing::AttemptOutcome outcome_of_broken_connection(bool written) {
  return written ? routing::AttemptOutcome::kReset : routing::AttemptOutcome::kNoConnection;
}
inline routing::AttemptOutcome outcome_of_timeout(bool written) {
  return written ? routing::AttemptOutcome::kTimedOut : routing::AttemptOutcome::kNotSent;
}
inline routing::AttemptOutcome outcome_of_cancel(bool written) {
  return written ? routing::AttemptOutcome::kCancelled : routing::AttemptOutcome::kNotSent;
}

}  // namespace database_proxy::proxy
