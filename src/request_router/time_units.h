// Durations and points in time of the decision module: conversions to and from floating-point microseconds,
// in which averages and ratios are kept, and the value that represents "never".
#pragma once

#include <cstdint>

#include "request_router/router.h"

namespace request_router::internal {

// The time of an event that has not occurred, or an unknown log position. It lies far in the past, so that
// comparisons treat it as older than everything; a quarter of the range keeps differences from overflowing.
constexpr Micros kNever{INT64_MIN / 4};

// The duration in microseconds.
inline double to_double(Micros span) { return static_cast<double>(span.count()); }

// The duration for a number of microseconds, rounded towards zero.
inline Micros to_micros(double microseconds) { return Micros(static_cast<std::int64_t>(microseconds)); }

// The given fraction (or multiple) of a duration, rounded towards zero.
inline Micros scale(Micros span, double fraction) { return to_micros(to_double(span) * fraction); }

}  // namespace request_router::internal
