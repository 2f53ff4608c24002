#include "testbench/fault_injection/soak_node.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <stdexcept>
#include <thread>
#include <utility>

#include "net/socket.h"
#include "net/system_errors.h"

namespace database_proxy::testbench {
namespace {

using namespace std::chrono_literals;
using std::chrono::duration, std::chrono::milliseconds;

// Limits that the operators' page states.
constexpr auto kMaxStartTime = 6s;
constexpr auto kMaxCallTime = 1s;
constexpr auto kShutdownLimit = 3700ms;  // the testbench's longest deadline counts as 3 s, plus 0.7 s
constexpr auto kPollInterval = 20ms;

double seconds_since(std::chrono::steady_clock::time_point then) {
  return duration<double>(std::chrono::steady_clock::now() - then).count();
}

}  // namespace

SoakNode::SoakNode(SoakNodeOptions options) : options_(std::move(options)) {
  std::filesystem::create_directories(options_.folder + "/tmp");
  int error = 0;
  listening_socket_ = net::listen_on(*net::parse_address(fmt::format("127.0.0.1:{}", free_port())), &error);
  if (!listening_socket_) throw std::runtime_error("the soak node cannot listen: " + net::message_of(error));
}

int SoakNode::port() const { return net::local_port(listening_socket_.get()); }

void SoakNode::violation(const Process& process, const std::string& what) {
  figures_.violations.push_back(
      fmt::format("node {}, process {}: {}", options_.folder, process.number, what));
}

SoakNode::Process SoakNode::start(const PlannedUpgrade& plan) {
  Process started;
  started.number = ++started_;
  ProcessUnderTestOptions options;
  options.program = options_.program;
  options.folder = fmt::format("{}/{}", options_.folder, started.number);
  std::filesystem::create_directories(options.folder);
  options.discovery = options_.discovery;
  options.known_members = options_.known;
  options.port = port();
  options.wait_until_ready = false;
  options.sockets = options_.sockets;
  options.memory_mb = options_.memory_mb;
  options.seed = options_.seed;
  options.listening_socket = listening_socket_.get();
  options.operator_address = fmt::format("127.0.0.1:{}", free_port());
  started.faults = std::make_unique<CallFaults>(options.program, options.folder + "/faults",
                                                options_.seed + static_cast<std::uint64_t>(started.number));
  for (auto& fault : plan.call_faults) started.faults->control().rate(fault.fault) = fault.one_in;
  options.environment = started.faults->environment();
  options.environment.emplace_back("TMPDIR", options_.folder + "/tmp");
  started.process = std::make_unique<ProcessUnderTest>(options);
  running_.push_back(started.process.get());
  {
    std::lock_guard lock(mutex_);
    addresses_[started.process.get()] = options.operator_address;
    by_age_.push_back(started.process.get());
  }
  ++figures_.processes;
  return started;
}

void SoakNode::sample_usage() {
  int descriptors = 0;
  double memory_mb = 0;
  for (auto* process : running_) {
    if (process->log().empty()) continue;  // not started yet: still has the testbench's usage
    auto usage = process->usage();
    descriptors += usage.descriptors;
    memory_mb += usage.rss_mb;
  }
  figures_.max_descriptors = std::max(figures_.max_descriptors, descriptors);
  figures_.max_memory_mb = std::max(figures_.max_memory_mb, memory_mb);
}

// Returns whether the process reports itself healthy. Any answer must arrive within 1 s.
bool SoakNode::is_healthy(Process& process) {
  auto requested_at = Clock::now();
  auto answer = process.process->operator_call("health", milliseconds(kMaxCallTime));
  auto taken = seconds_since(requested_at);
  figures_.longest_call_s = std::max(figures_.longest_call_s, taken);
  bool was_reached = taken > 0.5;
  if (was_reached && answer.empty() && !process.was_stopped)
    violation(process, "health call not answered within 1 s");
  return answer.starts_with("YES");
}

bool SoakNode::becomes_healthy(Process& process) {
  auto began = Clock::now();
  while (Clock::now() - began < kMaxStartTime) {
    sample_usage();
    if (is_healthy(process)) {
      if (!process.was_stopped)
        figures_.longest_start_s = std::max(figures_.longest_start_s, seconds_since(began));
      return true;
    }
    if (!process.process->running()) {
      violation(process, "process ended before it was healthy: " + process.process->log());
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  if (!process.was_stopped) violation(process, "process not healthy after 6 s: " + process.process->log());
  return false;
}

void SoakNode::stop_for(Process& process, int milliseconds_stopped) {
  process.was_stopped = true;
  options_.out_of_service_checker->on_stopped(options_.name);
  process.process->signal(SIGSTOP);
  std::this_thread::sleep_for(milliseconds(milliseconds_stopped));
  process.process->signal(SIGCONT);
  options_.out_of_service_checker->on_continued(net::monotonic_now(), options_.name);
}

void SoakNode::kill_process(Process& process) {
  if (process.process->ready()) ++figures_.crashes;
  process.process->signal(SIGKILL);
  std::erase(running_, process.process.get());
  remove_address(process.process.get());
  process.process->wait();
  check_log(process);
}

void SoakNode::check_log(const Process& process) {
  auto log = process.process->log();
  auto at = log.find("invariant broken");
  if (at != std::string::npos) violation(process, log.substr(at, log.find('\n', at) - at));
}

// Ends a process as the platform does: SIGTERM, then SIGKILL at the earliest time that the operators' pages
// allow.
void SoakNode::end_process(Process& process, int sigterms) {
  auto signalled_at = Clock::now();
  for (int i = 0; i < sigterms; ++i) process.process->signal(SIGTERM);
  while (process.process->running()) {
    if (Clock::now() - signalled_at > kShutdownLimit) {
      if (!process.was_stopped) violation(process, "process still running at the shutdown limit");
      return kill_process(process);
    }
    sample_usage();
    std::this_thread::sleep_for(kPollInterval);
  }
  std::erase(running_, process.process.get());
  remove_address(process.process.get());
  figures_.longest_exit_s = std::max(figures_.longest_exit_s, seconds_since(signalled_at));
  if (process.process->exit_code() != 0)
    violation(process, fmt::format("process ended with exit code {}: {}", process.process->exit_code(),
                                   process.process->log()));
  check_log(process);
}

// Injects the planned fault into the successor. Returns true if the successor is to be abandoned.
bool SoakNode::inject_successor_fault(const PlannedUpgrade& plan, Process& successor) {
  if (plan.successor == ProcessFault::kNone) return false;
  std::this_thread::sleep_for(milliseconds(plan.successor_fault_after_ms));
  if (plan.successor == ProcessFault::kKilled) {
    kill_process(successor);
    return true;
  }
  stop_for(successor, plan.stopped_ms);
  return false;
}

void SoakNode::inject_old_process_fault(const PlannedUpgrade& plan) {
  if (plan.old_process == ProcessFault::kStopped) stop_for(serving_, plan.stopped_ms);
  if (plan.old_process == ProcessFault::kKilled) kill_process(serving_);
}

void SoakNode::upgrade(const PlannedUpgrade& plan) {
  ++figures_.upgrades;
  auto successor = start(plan);
  if (plan.has_second_successor) second_successor_ = start(plan);
  bool is_abandoned = inject_successor_fault(plan, successor);
  if (is_abandoned && second_successor_.process) std::swap(successor, second_successor_);
  if (is_abandoned && !successor.process->running()) return;
  if (!becomes_healthy(successor)) return kill_process(successor);
  successor.faults->control().wall_clock_offset_us = plan.wall_clock_step_us;
  for (int i = 0; i < plan.sighups; ++i) {
    serving_.process->signal(SIGHUP);
    successor.process->signal(SIGHUP);
  }
  inject_old_process_fault(plan);
  if (serving_.process->running()) end_process(serving_, plan.sigterms);
  serving_ = std::move(successor);
  if (!is_abandoned && second_successor_.process) {
    if (becomes_healthy(second_successor_)) end_process(serving_, 1), serving_ = std::move(second_successor_);
  }
  second_successor_ = {};
}

void SoakNode::remove_address(const ProcessUnderTest* process) {
  std::lock_guard lock(mutex_);
  addresses_.erase(process);
  std::erase(by_age_, process);
}

std::string SoakNode::operator_address(bool newest) {
  std::lock_guard lock(mutex_);
  if (by_age_.empty()) return "";
  return addresses_.at(newest ? by_age_.back() : by_age_.front());
}

void SoakNode::run() {
  OperatorCalls calls(options_.name, options_.calls, *options_.out_of_service_checker,
                      [this](bool newest) { return operator_address(newest); });
  std::thread operating([&] { calls.run(options_.began, options_.until); });
  play_upgrades();
  operating.join();
  figures_.violations.insert(figures_.violations.end(), calls.violations().begin(), calls.violations().end());
}

void SoakNode::play_upgrades() {
  serving_ = start({});
  if (!becomes_healthy(serving_)) return;
  for (auto& plan : options_.upgrades) {
    auto next = Clock::now() + milliseconds(plan.pause_ms);
    while (Clock::now() < next) {
      sample_usage();
      is_healthy(serving_);
      std::this_thread::sleep_for(kPollInterval);
    }
    if (Clock::now() > options_.until) break;
    upgrade(plan);
    if (!serving_.process->running()) {
      violation(serving_, "process exited unexpectedly: " + serving_.process->log());
      return;
    }
  }
  // Gives the clients time to receive their answers.
  std::this_thread::sleep_until(options_.until + 3s);
  end_process(serving_, 1);
}

}  // namespace database_proxy::testbench
