// Checks from outside that all nodes together do not send a server that is warming up more requests than the
// slow start limits allow. Thread-safe.
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
  double overload_multiple = 3;  // multiple of what a server can process at its age
  Micros window{1'000'000};
  double nominal_rate = 0;  // requests per second of a warm server; 0: derived from what warm servers get
};

class SlowStartChecker {
 public:
  explicit SlowStartChecker(SlowStartLimits limits) : limits_(limits) {}

  // Records a request sent to a server of `shard_group`; `speed` is the server's share of its full speed at
  // its age, 1 when warm. If the group's window has ended, returns a description of each server that got too
  // many requests in it, and starts a new window with this request; otherwise returns an empty list.
  std::vector<std::string> on_request(Micros now, std::int64_t shard_group, const std::string& server,
                                      double speed);

 private:
  struct ReceivedRequests {
    int requests = 0;
    double speed = 0;  // the highest in the window
  };
  struct Window {
    Micros begun{0};
    std::map<std::string, ReceivedRequests> by_server;
  };

  std::vector<std::string> find_overloads(const Window& window) const;
  // Returns the number of requests that a warm server gets in a window; nullopt if it is not known.
  std::optional<double> nominal_requests(const Window& window) const;

  const SlowStartLimits limits_;
  std::atomic<bool> has_seen_warming_up_{false};  // requests are counted only once it is true
  std::mutex mutex_;
  std::map<std::int64_t, Window> windows_;  // by shard group
};

}  // namespace database_proxy::testbench
