#include "testbench/withdrawal_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace database_proxy::testbench {
namespace {

using namespace std::chrono_literals;

// Time after which a process that continues has written what it had begun to send when it was stopped.
constexpr Micros kResumeGrace = 150ms;

std::string node_of(std::string_view request) { return std::string(request.substr(0, request.find('c'))); }

}  // namespace

void OutOfServiceChecker::on_listed(Micros now, const std::string& node, const std::string& server,
                                    bool takes_work) {
  std::lock_guard lock(mutex_);
  auto& state = service_states_[{node, server}];
  if (takes_work) return state.drained_at.reset();
  state.returned_at.reset();
  if (!state.drained_at) state.drained_at = now;
}

void OutOfServiceChecker::on_cordoned(Micros now, const std::string& node, const std::string& server) {
  std::lock_guard lock(mutex_);
  auto& state = service_states_[{node, server}];
  state.returned_at.reset();
  if (!state.cordoned_at) state.cordoned_at = now;
}

void OutOfServiceChecker::on_uncordoning(Micros now, const std::string& node, const std::string& server) {
  std::lock_guard lock(mutex_);
  auto& state = service_states_[{node, server}];
  state.cordoned_at.reset();
  state.is_used_since_return = false;
  if (!state.drained_at) state.returned_at = now;
}

void OutOfServiceChecker::on_unanswered(const std::string& node, const std::string& server) {
  std::lock_guard lock(mutex_);
  auto& state = service_states_[{node, server}];
  state.cordoned_at.reset();
  state.returned_at.reset();
}

void OutOfServiceChecker::on_stopped(const std::string& node) {
  std::lock_guard lock(mutex_);
  stopped_.insert(node);
}

void OutOfServiceChecker::on_continued(Micros now, const std::string& node) {
  std::lock_guard lock(mutex_);
  stopped_.erase(node);
  continued_at_[node] = now;
}

bool OutOfServiceChecker::is_suspended(Micros begun, const std::string& node) const {
  if (stopped_.contains(node)) return true;
  auto continued = continued_at_.find(node);
  return continued != continued_at_.end() && begun < continued->second + kResumeGrace;
}

std::optional<std::string> OutOfServiceChecker::on_attempt(Micros begun, std::string_view request,
                                                           const std::string& server) {
  std::lock_guard lock(mutex_);
  if (service_states_.empty()) return std::nullopt;
  auto node = node_of(request);
  auto found = service_states_.find({node, server});
  if (found == service_states_.end()) return std::nullopt;
  auto& state = found->second;
  if (state.returned_at && begun >= *state.returned_at) state.is_used_since_return = true;
  for (auto [since, what] :
       {std::pair(state.cordoned_at, "cordoned"), std::pair(state.drained_at, "draining")}) {
    if (!since || begun - *since <= grace_ || is_suspended(begun, node)) continue;
    return fmt::format("request {} at {}, {} for {} ms", request, server, what, (begun - *since) / 1ms);
  }
  return std::nullopt;
}

std::vector<std::string> OutOfServiceChecker::unused_since_return(Micros now, const std::string& server,
                                                                  Micros allowed) const {
  std::lock_guard lock(mutex_);
  std::vector<std::string> unused;
  for (auto& [key, state] : service_states_) {
    bool is_due = key.second == server && state.returned_at && now - *state.returned_at > allowed;
    if (is_due && !state.is_used_since_return)
      unused.push_back(fmt::format("{} has sent no request to {} for {} ms since it was uncordoned",
                                   key.first, server, (now - *state.returned_at) / 1ms));
  }
  return unused;
}

}  // namespace database_proxy::testbench
