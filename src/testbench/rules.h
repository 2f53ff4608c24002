// The rules as the data servers see them, checked from outside: whatever a proxy does wrong shows here. No
// I/O; times are passed in. Safe from several threads: each request's record sits behind one of many short
// locks.
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

struct InvariantLimits {
  Micros drain_grace{1'050'000};  // after word of a drain, 50 ms for the sockets included
  int attempts = 8;               // of one request
  SlowStartLimits slow_start;
};

enum class Invariant { kConcurrentAttempts, kTooManyAttempts, kSentAfterDrain, kSentAfterWithdrawal, kSlowStartOverload, kStaleRead, kExpiredIdempotencyKey, kWrongValue, kUnexpectedAnswer };
std::string_view name_of(Invariant invariant);

class InvariantChecker {
 public:
  explicit InvariantChecker(InvariantLimits limits = {})
      : limits_(limits), withdrawals_(limits.drain_grace), slow_start_(limits.slow_start) {}

  // An attempt's last byte came to `server` at `now`; its first at `begun`.
  void on_attempt(Micros now, Micros begun, std::string_view request, std::string_view server);
  // Whether an attempt of the request has come to a server of late.
  bool was_attempted(std::string_view request);
  // It was answered, or the proxy gave it up by ending its connection.
  void on_attempt_end(std::string_view request);
  // A change of the list was written to a proxy; `takes` says whether the server may be given new work.
  void on_listed(Micros now, const std::string& server, bool takes_work);
  // A member of `set` was given a request; `speed` is what its age leaves of its speed, 1 when warm.
  void on_request(Micros now, std::int64_t shard_group, const std::string& server, double speed);
  void record_violation(Invariant invariant, const std::string& what);
  // The same of drains and of operators' commands, by node.
  WithdrawalChecker& withdrawals() { return withdrawals_; }

  struct Violation {
    Invariant invariant;
    std::uint64_t count = 0;
    std::string first;  // the first one in words
  };
  std::vector<Violation> violations() const;
  std::uint64_t total() const;
  // A line for each rule that was broken, with the first case; empty: none was.
  std::string describe_violations() const;
  // By server: from the word of its newest drain to the last first byte of a request sent to it; -1: none
  // came.
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
  LockStripe& stripe_of(std::string_view request) { return stripes_[std::hash<std::string_view>{}(request) % kStripes]; }

  static constexpr std::size_t kStripes = 64;
  InvariantLimits limits_;
  WithdrawalChecker withdrawals_;
  SlowStartChecker slow_start_;
  std::array<LockStripe, kStripes> stripes_;
  mutable std::mutex mutex_;  // of what follows
  std::unordered_map<std::string, ListedState> listed_states_;
  std::map<Invariant, Violation> violations_;
  std::atomic<bool> has_seen_drain_{false};  // false: none is watched yet
};

}  // namespace database_proxy::testbench
