// Invariants of the proxy, each checked at the place where it could be violated: sending, retrying,
// answering, closing and accepting have one check each. A violation is counted and logged; the request
// continues as it would without the check.
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
  kSendWithoutClient,  // an attempt begins for an answered request, or one whose client has disconnected
  kSecondAttemptInFlight,
  kTooManyAttempts,
  kUnsafeRepeat,    // retry of a request that must not run twice and may have run
  kTimeoutTooLong,  // a server is given a longer timeout than the client's remaining time plus slack
  kSecondAnswer,
  kClosedUnanswered,       // the proxy closes a connection that has requests read and not answered
  kAcceptedTooEarly,       // a client of an inherited socket accepted before this process can serve
  kSentWhileOutOfService,  // to a server that is cordoned, draining or removed, after the grace period
};
constexpr std::size_t kInvariants = 9;
std::string_view name_of(Invariant invariant);

// Owned by one proxy and used only in its thread.
class InvariantMonitor {
 public:
  InvariantMonitor(const net::Loop& loop, net::Log log) : loop_(loop), log_(std::move(log)) {}

  // Counts a violation if `holds` is false; only then is `detail` called to make the text for the log.
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
