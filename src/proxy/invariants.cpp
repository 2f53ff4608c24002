#include "proxy/invariants.h"

#include <fmt/format.h>

#include <chrono>

namespace database_proxy::proxy {
namespace {

// A fault that repeats must not fill the log.
constexpr net::Micros kLogInterval = std::chrono::seconds(1);

}  // namespace

std::string_view name_of(Invariant invariant) {
  switch (invariant) {
    case Invariant::kSendWithoutClient:
      return "an attempt without a client";
    case Invariant::kSecondAttemptInFlight:
      return "a second attempt in flight";
    case Invariant::kTooManyAttempts:
      return "too many attempts";
    case Invariant::kUnsafeRepeat:
      return "a repeat of what may have run";
    case Invariant::kTimeoutTooLong:
      return "a timeout longer than the client waits";
    case Invariant::kSecondAnswer:
      return "a second answer";
    case Invariant::kClosedUnanswered:
      return "a connection closed before its answers";
    case Invariant::kAcceptedTooEarly:
      return "a client accepted before the process can serve";
    case Invariant::kSentToWithdrawn:
      return "an attempt at a server that was taken out";
  }
  return "?";
}

void InvariantMonitor::record(Invariant invariant, const std::string& detail) {
  ++counts_[static_cast<std::size_t>(invariant)];
  ++total_;
  if (logged_at_ != net::Micros::min() && loop_.now() - logged_at_ < kLogInterval) return;
  logged_at_ = loop_.now();
  log_(net::Level::kError,
       fmt::format("invariant broken: {}: {} ({} so far)", name_of(invariant), detail, total_));
}

}  // namespace database_proxy::proxy
