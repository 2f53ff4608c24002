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

struct RuleLimits {
  Micros drain_grace{1'050'000};  // after word of a drain, 50 ms for the sockets included
  int attempts = 8;               // of one request
  SlowStartLimits slow_start;
};

enum class Rule { kTwoOut, kTooMany, kDrained, kWithdrawn, kCold, kStale, kKey, kWrongValue, kTwoAnswers };
std::string_view name_of(Rule rule);

class RuleChecker {
 public:
  explicit RuleChecker(RuleLimits limits = {})
      : limits_(limits), withdrawals_(limits.drain_grace), slow_start_(limits.slow_start) {}

  // An attempt's last byte came to `server` at `now`; its first at `begun`.
  void attempt(Micros now, Micros begun, std::string_view request, std::string_view server);
  // Whether an attempt of the request has come to a server of late.
  bool was_attempted(std::string_view request);
  // It was answered, or the proxy gave it up by ending its connection.
  void ended(std::string_view request);
  // A change of the list was written to a proxy; `takes` says whether the server may be given new work.
  void told(Micros now, const std::string& server, bool takes);
  // A member of `set` was given a request; `speed` is what its age leaves of its speed, 1 when warm.
  void share(Micros now, std::int64_t set, const std::string& server, double speed);
  void breach(Rule rule, const std::string& what);
  // The same of drains and of operators' commands, by node.
  WithdrawalChecker& withdrawals() { return withdrawals_; }

  struct Breach {
    Rule rule;
    std::uint64_t count = 0;
    std::string first;  // the first one in words
  };
  std::vector<Breach> breaches() const;
  std::uint64_t total() const;
  // A line for each rule that was broken, with the first case; empty: none was.
  std::string breaches_in_words() const;
  // By server: from the word of its newest drain to the last first byte of a request sent to it; -1: none
  // came.
  std::map<std::string, double> drain_last_send_ms() const;

 private:
  struct Record {
    int attempts = 0, out = 0;
  };
  struct Shard {
    std::mutex mutex;
    std::unordered_map<std::string, Record> recent, older;
    Micros swapped{0};
  };
  struct Told {
    Micros at{0};
    bool takes = true;
    Micros last_send{-1};
  };
  Shard& shard(std::string_view request) { return shards_[std::hash<std::string_view>{}(request) % kShards]; }

  static constexpr std::size_t kShards = 64;
  RuleLimits limits_;
  WithdrawalChecker withdrawals_;
  SlowStartChecker slow_start_;
  std::array<Shard, kShards> shards_;
  mutable std::mutex mutex_;  // of what follows
  std::unordered_map<std::string, Told> told_;
  std::map<Rule, Breach> breaches_;
  std::atomic<bool> drains_{false};  // false: none is watched yet
};

}  // namespace database_proxy::testbench
