#include "handover/process_exchange.h"

#include <sys/stat.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>
#include <vector>

namespace database_proxy::handover {
namespace {

using namespace std::chrono_literals;

// A cordon holds at every process within a second, and a cancel within 0.1 s of its coming.
constexpr Micros kLookInterval = 50ms;
// Records that ended processes left behind are looked for so often.
constexpr Micros kStaleCheckInterval = 30s;
// Every process has read a forwarded cancel by then.
constexpr Micros kCancelLifetime = 2s;
constexpr std::size_t kMostCancels = 256;
// A change of so few descriptors is not worth a record.
constexpr std::size_t kDescriptorStep = 4;

std::uint64_t inode_of(int descriptor) {
  struct stat info {};
  return fstat(descriptor, &info) == 0 ? info.st_ino : 0;
}

std::size_t difference(std::size_t left, std::size_t right) {
  return std::max(left, right) - std::min(left, right);
}

}  // namespace

ProcessExchange::ProcessExchange(net::Loop& loop, const std::string& folder, int listener, Host host,
                                 const net::Log& log)
    : loop_(loop),
      host_(std::move(host)),
      folder_(folder, inode_of(listener), ProcessIdentity::own(), log),
      started_at_(net::monotonic_now()),
      stale_removed_at_(started_at_) {
  own_.process = ProcessIdentity::own();
  folder_.remove_stale(started_at_);
  look_regularly();  // cordons hold from the first decision on
}

// Where others run, the last marks may not have been read yet: they take them over and remove the record.
ProcessExchange::~ProcessExchange() {
  loop_.cancel(&timer_);
  if (is_unpublished_) folder_.write(own_);
  if (others_.count == 0) folder_.remove_own();
}

void ProcessExchange::set_stage(ProcessStage stage) {
  if (std::exchange(own_.stage, stage) != stage) publish();
}

void ProcessExchange::forward_cancel(std::uint32_t session_number, std::uint32_t secret) {
  if (others_.count == 0 || own_.cancels.size() >= kMostCancels) return;
  auto now = net::monotonic_now();
  // Told apart by their times.
  if (!own_.cancels.empty()) now = std::max(now, own_.cancels.back().received_at + Micros(1));
  own_.cancels.push_back({now, session_number, secret});
  publish();
}

void ProcessExchange::drop_old_cancels() {
  auto oldest = net::monotonic_now() - kCancelLifetime;
  std::erase_if(own_.cancels, [oldest](auto& cancel) { return cancel.received_at < oldest; });
}

void ProcessExchange::publish() {
  drop_old_cancels();
  own_.written_at = net::monotonic_now();
  own_.descriptors = host_.descriptors();
  own_.cordons = host_.cordons();
  own_.endpoints = host_.endpoints();
  is_unpublished_ = !folder_.write(own_);
}

void ProcessExchange::carry_out_cancels(const ProcessRecord& record) {
  auto& last = last_cancel_.try_emplace(record.process.pid, started_at_).first->second;
  for (auto& cancel : record.cancels) {
    if (cancel.received_at <= last) continue;
    last = cancel.received_at;
    host_.cancel(cancel);
  }
}

// Times that are still to come are of another start of the machine.
void ProcessExchange::take_over(const ProcessRecord& record) {
  auto marks = record.cordons;
  auto now = net::monotonic_now();
  std::erase_if(marks, [now](auto& mark) { return mark.second.changed_at > now; });
  host_.merge_cordons(marks, record.process.pid);
  host_.add_endpoints(record.endpoints);
}

void ProcessExchange::look() {
  OtherProcesses others;
  std::vector<std::string> ended;
  for (auto& [name, record] : folder_.read_others()) {
    take_over(record);
    if (state_of(record.process) == ProcessState::kGone) {
      ended.push_back(name);
      continue;
    }
    carry_out_cancels(record);
    ++others.count;
    others.descriptors += record.descriptors;
  }
  bool has_changed = std::exchange(others_, others) != others;
  if (has_changed) host_.on_others_changed(others);
  bool is_news = others.count > 0 && difference(host_.descriptors(), own_.descriptors) >= kDescriptorStep;
  if (is_unpublished_ || !ended.empty() || has_changed || is_news) publish();
  // Their marks stand in this process's record by now.
  if (is_unpublished_) return;
  for (auto& name : ended) folder_.remove(name);
}

void ProcessExchange::look_regularly() {
  look();
  auto now = net::monotonic_now();
  if (now - stale_removed_at_ > kStaleCheckInterval) {
    stale_removed_at_ = now;
    folder_.remove_stale(now);
  }
  timer_ = loop_.at(loop_.now() + kLookInterval, [this] { look_regularly(); });
}

}  // namespace database_proxy::handover
