#include "testbench/fault_injection/operator_calls.h"

#include <fmt/format.h>

#include <thread>

#include "testbench/process_under_test.h"

namespace database_proxy::testbench {
namespace {

using namespace std::chrono_literals;

constexpr auto kCallTimeout = 1s;
// A process that is stopped or ends gives no answer; so often another one is asked.
constexpr int kAttempts = 8;
constexpr auto kBetweenAttempts = 150ms;

std::string line_of(const PlannedCall& call) {
  return fmt::format("{} {}", call.kind == CallKind::kCordon ? "cordon" : "uncordon", call.server);
}

}  // namespace

std::string OperatorCalls::answer_to(const PlannedCall& call) {
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    bool asks_newest = call.at_newest != (attempt % 2 == 1);
    auto answer = operator_call(find_(asks_newest), line_of(call), kCallTimeout);
    if (!answer.empty()) return answer;
    std::this_thread::sleep_for(kBetweenAttempts);
  }
  return "";
}

void OperatorCalls::confirm_return(const PlannedCall& call) {
  auto answer = answer_to(call);
  if (answer == "YES\n")
    violations_.push_back(fmt::format("{}: {} was put back, and is cordoned again", node_, call.server));
}

void OperatorCalls::make(const PlannedCall& call) {
  if (call.kind == CallKind::kRepeatUncordon) return confirm_return(call);
  bool is_cordon = call.kind == CallKind::kCordon;
  if (!is_cordon && call.is_known) checker_.on_uncordoning(net::monotonic_now(), node_, call.server);
  auto answer = answer_to(call);
  bool is_yes = answer.starts_with("YES");
  if (!call.is_known) {
    if (is_yes) violations_.push_back(fmt::format("{}: {} is answered {}", node_, line_of(call), answer));
    return;
  }
  if (answer.empty()) return checker_.on_unanswered(node_, call.server);
  if (!is_yes) {
    violations_.push_back(fmt::format("{}: {} is answered {}", node_, line_of(call), answer));
    return checker_.on_unanswered(node_, call.server);
  }
  if (is_cordon) checker_.on_cordoned(net::monotonic_now(), node_, call.server);
}

void OperatorCalls::run(std::chrono::steady_clock::time_point began,
                        std::chrono::steady_clock::time_point until) {
  for (auto& call : calls_) {
    auto at = began + std::chrono::milliseconds(call.at_ms);
    if (at > until) return;
    std::this_thread::sleep_until(at);
    make(call);
  }
}

}  // namespace database_proxy::testbench
