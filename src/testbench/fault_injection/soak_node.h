// One node of a soak test. Acts as the platform (holds the listening socket; starts, health-checks and ends
// processes), owns the processes, and records measurements and violations.
#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "net/fd.h"
#include "testbench/fault_injection/call_faults.h"
#include "testbench/fault_injection/operator_calls.h"
#include "testbench/fault_injection/soak_script.h"
#include "testbench/process_under_test.h"

namespace database_proxy::testbench {

struct SoakNodeOptions {
  std::string program, folder, discovery;
  nlohmann::json known;
  std::uint64_t seed = 1;
  std::size_t sockets = 256, memory_mb = 64;
  int connections = 0;  // of the node's clients: a crash may lose that many requests
  std::string name;     // prefix of its requests' ids
  std::vector<PlannedUpgrade> upgrades;
  std::vector<PlannedCall> calls;
  OutOfServiceChecker* out_of_service_checker = nullptr;
  std::chrono::steady_clock::time_point began;
  std::chrono::steady_clock::time_point until;
};

struct SoakNodeFigures {
  int upgrades = 0, processes = 0, crashes = 0;  // crashes: processes killed while serving
  double longest_start_s = 0, longest_exit_s = 0, longest_call_s = 0;
  int max_descriptors = 0;
  double max_memory_mb = 0;
  std::vector<std::string> violations;
};

class SoakNode {
 public:
  explicit SoakNode(SoakNodeOptions options);
  int port() const;
  // Runs the upgrades until the time is over, then ends the processes. To be called in a thread of its own.
  void run();
  const SoakNodeFigures& figures() const { return figures_; }

 private:
  using Clock = std::chrono::steady_clock;
  struct Process {
    std::unique_ptr<CallFaults> faults;
    std::unique_ptr<ProcessUnderTest> process;
    int number = 0;
    bool was_stopped = false;  // by SIGSTOP: its times are not checked
  };

  std::string operator_address(bool newest);
  void play_upgrades();
  Process start(const PlannedUpgrade& plan);
  void upgrade(const PlannedUpgrade& plan);
  bool inject_successor_fault(const PlannedUpgrade& plan, Process& successor);
  void inject_old_process_fault(const PlannedUpgrade& plan);
  bool becomes_healthy(Process& process);
  bool is_healthy(Process& process);
  void stop_for(Process& process, int milliseconds);
  void kill_process(Process& process);
  void end_process(Process& process, int sigterms);
  void check_log(const Process& process);
  void sample_usage();
  void violation(const Process& process, const std::string& what);

  SoakNodeOptions options_;
  net::Fd listening_socket_;
  Process serving_, second_successor_;
  std::vector<const ProcessUnderTest*> running_;
  std::mutex mutex_;                                          // guards addresses_ and by_age_
  std::map<const ProcessUnderTest*, std::string> addresses_;  // operators' addresses of running processes
  std::vector<const ProcessUnderTest*> by_age_;
  void remove_address(const ProcessUnderTest* process);
  int started_ = 0;
  SoakNodeFigures figures_;
};

}  // namespace database_proxy::testbench
