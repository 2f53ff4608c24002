// What must never happen, checked where it would: one guard each for sending, repeating, answering, closing
// and accepting. A violation is counted and logged; the request goes on as it would have.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "net/log.h"
#include "net/loop.h"

namespace database_proxy::proxy {

enum class Invariant {
  kSendWithoutClient,  // an attempt begins for a request that has its answer, or whose client has gone
  kSecondAttemptInFlight,
  kTooManyAttempts,
  kUnsafeRepeat,    // of a request that must not run twice and may have run
  kTimeoutTooLong,  // a server is told more time than the client has left, with its slack
  kSecondAnswer,
  kClosedUnanswered,  // the proxy ends a connection whose requests it has read and not answered
  kAcceptedTooEarly,  // a client of an inherited socket, before this process can serve
  kSentToWithdrawn,   // to a server that is cordoned, drains or is gone, later than the grace
};
constexpr std::size_t kInvariants = 9;
std::string_view name_of(Invariant invariant);

// Owned by one proxy, used in its thread.
class InvariantMonitor {
 public:
  InvariantMonitor(const net::Loop& loop, net::Log log) : loop_(loop), log_(std::move(log)) {}

  // Counts a violation where `holds` is false; `detail` makes its text, only then.
  template <class Detail>
  void check(bool holds, Invariant invariant, const Detail& detail) {
    if (!holds) record(invariant, detail());
  }
  std::uint64_t violations() const { return total_; }
  std::uint64_t violations(Invariant invariant) const { return counts_[static_cast<std::size_t>(invariant)]; }

 private:
  void record(Invariant invariant, const std::string& detail);

  const net::Loop& loop_;
  net::Log log_;
  std::array<std::uint64_t, kInvariants> counts_{};
  std::uint64_t total_ = 0;
  net::Micros logged_at_ = net::Micros::min();
};

}  // namespace database_proxy::proxy
