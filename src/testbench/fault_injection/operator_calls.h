// Simulates an operator of one node in a soak test: sends the planned commands to one of the node's
// processes, retries when there is no answer, and records the answers.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "testbench/fault_injection/soak_script.h"
#include "testbench/withdrawal_checker.h"

namespace database_proxy::testbench {

// Sends the planned operator commands of one node and checks their answers.
class OperatorCalls {
 public:
  // Returns the operators' address of the newest or the oldest process of the node; empty: none runs.
  using FindAddress = std::function<std::string(bool newest)>;

  OperatorCalls(std::string node, std::vector<PlannedCall> calls, OutOfServiceChecker& checker,
                FindAddress find_address)
      : node_(std::move(node)),
        calls_(std::move(calls)),
        checker_(checker),
        find_address_(std::move(find_address)) {}

  // Executes the calls in turn, and returns after the last or at the first one due after `until`. Runs in a
  // thread of its own.
  void run(std::chrono::steady_clock::time_point started, std::chrono::steady_clock::time_point until);
  // To be called after run() has returned.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  void execute(const PlannedCall& call);
  void confirm_uncordoned(const PlannedCall& call);
  std::string send_with_retries(const PlannedCall& call);

  const std::string node_;
  const std::vector<PlannedCall> calls_;
  OutOfServiceChecker& checker_;
  FindAddress find_address_;
  std::vector<std::string> violations_;
};

}  // namespace database_proxy::testbench
