#include "testbench/slow_start_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace database_proxy::testbench {
namespace {

// Returns the number of requests that the protocol allows for a server with a mean of `requests`. The slack
// is there because requests do not arrive evenly.
double with_slack(double requests) {
  constexpr double kSmallCount = 30;
  auto root = std::sqrt(requests);
  return requests < kSmallCount ? requests + 3 * root + 3 : requests + 2 * root + 2;
}

}  // namespace

std::vector<std::string> SlowStartChecker::on_request(Micros now, std::int64_t shard_group,
                                                      const std::string& server, double speed) {
  if (speed < 1) has_seen_warming_up_.store(true, std::memory_order_release);
  if (!has_seen_warming_up_.load(std::memory_order_acquire)) return {};
  std::lock_guard lock(mutex_);
  std::vector<std::string> found;
  auto& window = windows_[shard_group];
  if (now - window.begun >= limits_.window) {
    found = find_overloads(window);
    window = {now, {}};
  }
  auto& received = window.by_server[server];
  ++received.requests;
  received.speed = std::max(received.speed, speed);
  return found;
}

std::vector<std::string> SlowStartChecker::find_overloads(const Window& window) const {
  auto nominal = nominal_requests(window);
  if (!nominal) return {};
  std::vector<std::string> all;
  for (auto& [server, received] : window.by_server)
    all.push_back(fmt::format("{}: {} at {:.2f}", server, received.requests, received.speed));
  std::vector<std::string> found;
  for (auto& [server, received] : window.by_server) {
    if (received.speed >= 1) continue;
    double allowed = with_slack(limits_.overload_multiple * received.speed * *nominal);
    if (received.requests <= allowed) continue;
    found.push_back(fmt::format(
        "{} got {} requests in {} ms at {:.2f} of its full speed, {:.0f} allowed ({})", server,
        received.requests, limits_.window.count() / 1000, received.speed, allowed, fmt::join(all, ", ")));
  }
  return found;
}

std::optional<double> SlowStartChecker::nominal_requests(const Window& window) const {
  if (limits_.nominal_rate > 0)
    return limits_.nominal_rate * std::chrono::duration<double>(limits_.window).count();
  int servers = 0, requests = 0;
  for (auto& [server, received] : window.by_server) {
    if (received.speed < 1) continue;
    ++servers;
    requests += received.requests;
  }
  if (servers == 0) return std::nullopt;
  return static_cast<double>(requests) / servers;
}

}  // namespace database_proxy::testbench
