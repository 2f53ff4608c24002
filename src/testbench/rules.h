// Checks the proxy's invariants from outside, on what the servers observe. It does no I/O; the caller passes
// the time. Thread-safe: the state of each request is guarded by one of many lock stripes.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "net/loop.h"
#include "testbench/slow_start_checker.h"
#include "testbench/withdrawal_checker.h"

namespace database_proxy::testbench {

using net::Micros;

// The limits that the invariants are checked against.
struct InvariantLimits {
  Micros drain_grace{1'050'000};  // after the notice of a drain; includes 50 ms for the sockets
  int attempts = 8;               // maximum for one request
  SlowStartLimits slow_start;
};

enum class Invariant {
  kConcurrentAttempts,
  kTooManyAttempts,
  kSentAfterDrain,
  kSentWhileOutOfService,
  kSlowStartOverload,
  kStaleRead,
  kExpiredIdempotencyKey,
  kWrongValue,
  kUnexpectedAnswer
};
std::string_view name_of(Invariant invariant);

class InvariantChecker {
 public:
  explicit InvariantChecker(InvariantLimits limits = {})
      : limits_(limits), out_of_service_checker_(limits.drain_grace), slow_start_(limits.slow_start) {}

  // Records an attempt at `server` whose first byte arrived at `begun` and its last byte at `now`.
  void on_attempt(Micros now, Micros begun, std::string_view request, std::string_view server);
  // Returns whether an attempt of the request has reached a server within the retention period.
  bool was_attempted(std::string_view request);
  // Records that an attempt was answered, or that the proxy abandoned it by closing its connection.
  void on_attempt_end(std::string_view request);
  // Records that an endpoint list update was written to a proxy; `takes_work`: the server may get new
  // requests.
  void on_listed(Micros now, const std::string& server, bool takes_work);
  // Records a request sent to a server of `shard_group`; `speed` is the server's share of its full speed at
  // its age, 1 when warm.
  void on_request(Micros now, std::int64_t shard_group, const std::string& server, double speed);
  // Counts a violation and keeps the description of the first one of each invariant.
  void record_violation(Invariant invariant, const std::string& detail);
  // Checks drains and operators' commands per node.
  OutOfServiceChecker& out_of_service_checker() { return out_of_service_checker_; }

  struct Violation {
    Invariant invariant;
    std::uint64_t count = 0;
    std::string first;  // description of the first violation
  };
  std::vector<Violation> violations() const;
  std::uint64_t total() const;
  // Returns one line for each violated invariant, with its first violation; empty if there is none.
  std::string describe_violations() const;
  // Returns, by server, the time from the notice of its latest drain to the first byte of the last attempt
  // sent to it; -1 if there was none.
  std::map<std::string, double> drain_last_send_ms() const;

 private:
  struct RequestState {
    int attempts = 0, in_flight = 0;
  };
  struct LockStripe {
    std::mutex mutex;
    std::unordered_map<std::string, RequestState> recent, older;
    Micros rotated_at{0};
  };
  struct ListedState {
    Micros at{0};
    bool takes_work = true;
    Micros last_attempt{-1};
  };
  LockStripe& stripe_of(std::string_view request) {
    return stripes_[std::hash<std::string_view>{}(request) % kStripes];
  }

  static constexpr std::size_t kStripes = 64;
  InvariantLimits limits_;
  OutOfServiceChecker out_of_service_checker_;
  SlowStartChecker slow_start_;
  std::array<LockStripe, kStripes> stripes_;
  mutable std::mutex mutex_;  // guards the members below
  std::unordered_map<std::string, ListedState> listed_states_;
  std::map<Invariant, Violation> violations_;
  std::atomic<bool> has_seen_drain_{false};  // false: no drain has been recorded yet
};

}  // namespace database_proxy::testbench
