#include "proxy/invariants.h"

#include <fmt/format.h>

#include <chrono>

namespace database_proxy::proxy {
namespace {

// Limits log lines to one per interval, so that a repeated violation does not fill the log.
constexpr net::Micros kLogInterval = std::chrono::seconds(1);

}  // namespace

std::string_view name_of(Invariant invariant) {
  switch (invariant) {
    case Invariant::kSendWithoutClient:
      return "an attempt for an answered request or a disconnected client";
    case Invariant::kSecondAttemptInFlight:
      return "a second attempt in flight";
    case Invariant::kTooManyAttempts:
      return "too many attempts";
    case Invariant::kUnsafeRepeat:
      return "a retry of a request that may have run";
    case Invariant::kTimeoutTooLong:
      return "a server timeout longer than the client waits";
    case Invariant::kSecondAnswer:
      return "a second answer";
    case Invariant::kClosedUnanswered:
      return "a connection closed before its requests were answered";
    case Invariant::kAcceptedTooEarly:
      return "a client accepted before the process can serve";
    case Invariant::kSentWhileOutOfService:
      return "an attempt at a server that is out of service";
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
