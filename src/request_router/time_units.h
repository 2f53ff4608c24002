// Spans and points of time as the decision module uses them: conversions to and from floating-point
// microseconds, in which averages and ratios are kept, and the value that stands for "never".
#pragma once

#include <cstdint>

#include "request_router/router.h"

namespace request_router::internal {

// A time that has not come, or a log position that is not known. It lies far in the past, so that comparisons
// treat it as older than everything; a quarter of the range keeps differences from overflowing.
constexpr Micros kNever{INT64_MIN / 4};

// The span in microseconds.
inline double to_double(Micros span) { return static_cast<double>(span.count()); }

// The span of so many microseconds, rounded towards zero.
inline Micros to_micros(double microseconds) { return Micros(static_cast<std::int64_t>(microseconds)); }

// The given fraction (or multiple) of a span, rounded towards zero.
inline Micros scale(Micros span, double fraction) { return to_micros(to_double(span) * fraction); }

}  // namespace request_router::internal
