// What a process has learned of the data servers, for another one that takes its place.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace linenwinch::routing {

struct LearnedServer {
  std::string server;
  int role = 0;  // 0: unknown, 1: primary, 2: replica
  // On the machine's monotonic clock; far in the past: unknown.
  std::chrono::microseconds role_as_of{0}, heard_at{0};
  // Unix time: each process has its own distance of the two clocks, and the machine's may be set between.
  std::chrono::microseconds position_unix{0};
  double limit = 0;             // attempts in flight
  std::vector<double> latency;  // by class, in the settings' order, microseconds; 0: none
};
using Learned = std::vector<LearnedServer>;

}  // namespace linenwinch::routing
