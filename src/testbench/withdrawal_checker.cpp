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

void WithdrawalChecker::on_listed(Micros now, const std::string& node, const std::string& server,
                                  bool takes_work) {
  std::lock_guard lock(mutex_);
  auto& withdrawal = withdrawals_[{node, server}];
  if (takes_work) return withdrawal.drained_at.reset();
  withdrawal.returned_at.reset();
  if (!withdrawal.drained_at) withdrawal.drained_at = now;
}

void WithdrawalChecker::on_cordoned(Micros now, const std::string& node, const std::string& server) {
  std::lock_guard lock(mutex_);
  auto& withdrawal = withdrawals_[{node, server}];
  withdrawal.returned_at.reset();
  if (!withdrawal.cordoned_at) withdrawal.cordoned_at = now;
}

void WithdrawalChecker::on_uncordoning(Micros now, const std::string& node, const std::string& server) {
  std::lock_guard lock(mutex_);
  auto& withdrawal = withdrawals_[{node, server}];
  withdrawal.cordoned_at.reset();
  withdrawal.is_used_since_return = false;
  if (!withdrawal.drained_at) withdrawal.returned_at = now;
}

void WithdrawalChecker::on_unanswered(const std::string& node, const std::string& server) {
  std::lock_guard lock(mutex_);
  auto& withdrawal = withdrawals_[{node, server}];
  withdrawal.cordoned_at.reset();
  withdrawal.returned_at.reset();
}

void WithdrawalChecker::on_stopped(const std::string& node) {
  std::lock_guard lock(mutex_);
  stopped_.insert(node);
}

void WithdrawalChecker::on_continued(Micros now, const std::string& node) {
  std::lock_guard lock(mutex_);
  stopped_.erase(node);
  continued_at_[node] = now;
}

bool WithdrawalChecker::is_suspended(Micros begun, const std::string& node) const {
  if (stopped_.contains(node)) return true;
  auto continued = continued_at_.find(node);
  return continued != continued_at_.end() && begun < continued->second + kResumeGrace;
}

std::optional<std::string> WithdrawalChecker::on_attempt(Micros begun, std::string_view request,
                                                         const std::string& server) {
  std::lock_guard lock(mutex_);
  if (withdrawals_.empty()) return std::nullopt;
  auto node = node_of(request);
  auto found = withdrawals_.find({node, server});
  if (found == withdrawals_.end()) return std::nullopt;
  auto& withdrawal = found->second;
  if (withdrawal.returned_at && begun >= *withdrawal.returned_at) withdrawal.is_used_since_return = true;
  for (auto [since, what] :
       {std::pair(withdrawal.cordoned_at, "cordoned"), std::pair(withdrawal.drained_at, "draining")}) {
    if (!since || begun - *since <= grace_ || is_suspended(begun, node)) continue;
    return fmt::format("request {} at {}, {} for {} ms", request, server, what, (begun - *since) / 1ms);
  }
  return std::nullopt;
}

std::vector<std::string> WithdrawalChecker::unused_since_return(Micros now, const std::string& server,
                                                                Micros allowed) const {
  std::lock_guard lock(mutex_);
  std::vector<std::string> unused;
  for (auto& [key, withdrawal] : withdrawals_) {
    bool is_due = key.second == server && withdrawal.returned_at && now - *withdrawal.returned_at > allowed;
    if (is_due && !withdrawal.is_used_since_return)
      unused.push_back(fmt::format("{} has sent no request to {} for {} ms since it was uncordoned",
                                   key.first, server, (now - *withdrawal.returned_at) / 1ms));
  }
  return unused;
}

}  // namespace database_proxy::testbench
