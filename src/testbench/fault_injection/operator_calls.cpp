#include "testbench/fault_injection/operator_calls.h"

#include <fmt/format.h>

#include <thread>

#include "testbench/process_under_test.h"

namespace database_proxy::testbench {
namespace {

using namespace std::chrono_literals;

constexpr auto kCallTimeout = 1s;
// A stopped or ending process does not answer; attempts alternate between the newest and the oldest process.
constexpr int kAttempts = 8;
constexpr auto kRetryInterval = 150ms;

std::string command_line(const PlannedCall& call) {
  return fmt::format("{} {}", call.kind == CallKind::kCordon ? "cordon" : "uncordon", call.server);
}

}  // namespace

std::string OperatorCalls::send_with_retries(const PlannedCall& call) {
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    bool use_newest = call.at_newest != (attempt % 2 == 1);
    auto answer = operator_call(find_address_(use_newest), command_line(call), kCallTimeout);
    if (!answer.empty()) return answer;
    std::this_thread::sleep_for(kRetryInterval);
  }
  return "";
}

void OperatorCalls::confirm_uncordoned(const PlannedCall& call) {
  auto answer = send_with_retries(call);
  if (answer == "YES\n")
    violations_.push_back(fmt::format("{}: {} was uncordoned but is cordoned again", node_, call.server));
}

void OperatorCalls::execute(const PlannedCall& call) {
  if (call.kind == CallKind::kRepeatUncordon) return confirm_uncordoned(call);
  bool is_cordon = call.kind == CallKind::kCordon;
  if (!is_cordon && call.is_known) checker_.on_uncordoning(net::monotonic_now(), node_, call.server);
  auto answer = send_with_retries(call);
  bool is_accepted = answer.starts_with("YES");
  if (!call.is_known) {
    if (is_accepted)
      violations_.push_back(fmt::format("{}: {} was answered with {}", node_, command_line(call), answer));
    return;
  }
  if (answer.empty()) return checker_.on_unanswered(node_, call.server);
  if (!is_accepted) {
    violations_.push_back(fmt::format("{}: {} was answered with {}", node_, command_line(call), answer));
    return checker_.on_unanswered(node_, call.server);
  }
  if (is_cordon) checker_.on_cordoned(net::monotonic_now(), node_, call.server);
}

void OperatorCalls::run(std::chrono::steady_clock::time_point started,
                        std::chrono::steady_clock::time_point until) {
  for (auto& call : calls_) {
    auto at = started + std::chrono::milliseconds(call.at_ms);
    if (at > until) return;
    std::this_thread::sleep_until(at);
    execute(call);
  }
}

}  // namespace database_proxy::testbench
