// An operator of one node of a soak: makes the planned calls at whichever of its processes, asks again where
// none answers, and notes what was answered.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "testbench/fault_injection/soak_script.h"
#include "testbench/withdrawal_checker.h"

namespace database_proxy::testbench {

class OperatorCalls {
 public:
  // The operators' address of the newest or the oldest process of the node; empty: none runs.
  using FindAddress = std::function<std::string(bool newest)>;

  OperatorCalls(std::string node, std::vector<PlannedCall> calls, WithdrawalChecker& checker,
                FindAddress find_address)
      : node_(std::move(node)), calls_(std::move(calls)), checker_(checker), find_address_(std::move(find_address)) {}

  // Makes the calls, up to the last or to `until`. In a thread of its own.
  void run(std::chrono::steady_clock::time_point started, std::chrono::steady_clock::time_point until);
  // After run().
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  void execute(const PlannedCall& call);
  void confirm_uncordoned(const PlannedCall& call);
  std::string send_with_retries(const PlannedCall& call);

  const std::string node_;
  const std::vector<PlannedCall> calls_;
  WithdrawalChecker& checker_;
  FindAddress find_address_;
  std::vector<std::string> violations_;
};

}  // namespace database_proxy::testbench
