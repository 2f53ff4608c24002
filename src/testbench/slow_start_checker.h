// Checks from outside that a server which is warming up is not given more than it can do, by all nodes
// together. Safe from several threads.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "net/loop.h"

namespace database_proxy::testbench {

using net::Micros;

struct SlowStartLimits {
  double overload_multiple = 3;  // of what a server can do at its age
  Micros window{1'000'000};
  double nominal_rate = 0;  // requests a second of a warm server; 0: what the warm ones get tells it
};

class SlowStartChecker {
 public:
  explicit SlowStartChecker(SlowStartLimits limits) : limits_(limits) {}

  // A server of `set` was given a request; `speed` is what its age leaves of its speed, 1 when warm. Returns,
  // in words, which servers got too much in the window that has ended with this request.
  std::vector<std::string> on_request(Micros now, std::int64_t shard_group, const std::string& server, double speed);

 private:
  struct ReceivedRequests {
    int requests = 0;
    double speed = 0;  // the largest
  };
  struct Window {
    Micros begun{0};
    std::map<std::string, ReceivedRequests> by_server;  // by server
  };

  std::vector<std::string> find_overloads(const Window& window) const;
  // What a warm server gets in a window; none: nothing tells it.
  std::optional<double> nominal_requests(const Window& window) const;

  const SlowStartLimits limits_;
  std::atomic<bool> has_seen_warming_up_{false};  // before that nothing is counted
  std::mutex mutex_;
  std::map<std::int64_t, Window> windows_;  // by set
};

}  // namespace database_proxy::testbench
