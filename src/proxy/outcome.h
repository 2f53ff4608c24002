// The table of the protocol page: what an attempt's end proves.
#pragma once

#include <string_view>

#include "routing/facade.h"

namespace linenwinch::proxy {

// An ErrorResponse to a request that was written whole.
inline routing::Ending ending_of_error(std::string_view sqlstate) {
  if (sqlstate == "25006" || sqlstate == "72000") return routing::Ending::kMissed;
  if (sqlstate == "53300") return routing::Ending::kTurnedAway;
  return routing::Ending::kError;  // XX000, and what nobody has named: it may have run
}

// The last byte written separates "never ran" from "may have".
inline routing::Ending ending_of_break(bool written) {
  return written ? routing::Ending::kReset : routing::Ending::kNoConnection;
}
inline routing::Ending ending_of_timeout(bool written) {
  return written ? routing::Ending::kTimedOut : routing::Ending::kNotSent;
}
inline routing::Ending ending_of_cancel(bool written) {
  return written ? routing::Ending::kCancelled : routing::Ending::kNotSent;
}

}  // namespace linenwinch::proxy
