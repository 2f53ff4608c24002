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

// A cordon must take effect at every process within a second, and a cancel within 0.1 s of its receipt.
constexpr Micros kScanInterval = 25ms, kFolderReadInterval = 25ms;
// Interval of the removal of records that ended processes left behind.
constexpr Micros kStaleCheckInterval = 30s;
// By then every process has read a forwarded cancel.
constexpr Micros kCancelLifetime = 2s;
constexpr std::size_t kMaxCancels = 256;
// A smaller change of the number of descriptors is not worth writing a record.
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
      socket_record_(listener, log),
      started_at_(net::monotonic_now()),
      stale_removed_at_(started_at_) {
  own_record_.process = ProcessIdentity::own();
  if (!folder.empty())
    folder_.emplace(RecordFolderThread::FolderOptions{folder, inode_of(listener), own_record_.process, log},
                    kFolderReadInterval);
  scan_periodically();  // cordons take effect from the first decision on
  remove_stale(started_at_);
}

// Other running processes may not have read the last cordon marks yet: the record stays, and they merge the
// marks and remove it. Without other processes, the record stays only for cordons that are not stored on the
// socket. On a busy disk none of this is waited for: an earlier record stays, as after a kill.
ProcessExchange::~ProcessExchange() {
  loop_.cancel(&timer_);
  if (!folder_) return;
  bool is_needed = other_processes_.count > 0 || (!is_stored_on_socket_ && !own_record_.cordons.empty());
  RecordFolderThread::LastTasks last;
  if (is_needed) last.record_if_unwritten = own_record_;
  last.removes_own_record = !is_needed;
  folder_->end(last);
}

bool ProcessExchange::is_stored_in_folder() const {
  return folder_ && folder_->write_status() == RecordFolderThread::WriteStatus::kWritten;
}

// A record that could not be stored is published again.
bool ProcessExchange::is_publishing_due() const {
  bool has_failed = folder_ && folder_->write_status() == RecordFolderThread::WriteStatus::kFailed;
  return !is_stored_on_socket_ || has_failed;
}

void ProcessExchange::set_stage(ProcessStage stage) {
  if (std::exchange(own_record_.stage, stage) != stage) publish();
}

void ProcessExchange::forward_cancel(std::uint32_t session_number, std::uint32_t secret) {
  if (other_processes_.count == 0 || own_record_.cancels.size() >= kMaxCancels) return;
  auto now = net::monotonic_now();
  // Cancels are distinguished by their times, so each needs a later one than the last.
  if (!own_record_.cancels.empty()) now = std::max(now, own_record_.cancels.back().received_at + Micros(1));
  own_record_.cancels.push_back({now, session_number, secret});
  publish();
}

void ProcessExchange::drop_old_cancels() {
  auto oldest = net::monotonic_now() - kCancelLifetime;
  std::erase_if(own_record_.cancels, [oldest](auto& cancel) { return cancel.received_at < oldest; });
}

void ProcessExchange::publish() {
  drop_old_cancels();
  own_record_.written_at = net::monotonic_now();
  own_record_.descriptors = host_.descriptors();
  own_record_.cordons = host_.cordons();
  own_record_.endpoints = host_.endpoints();
  if (folder_) folder_->write(own_record_);
  is_stored_on_socket_ = socket_record_.store(own_record_);
}

bool ProcessExchange::merge_from_socket() {
  auto& record = socket_record_.read();
  return record && record->process != own_record_.process && merge_record(*record);
}

void ProcessExchange::carry_out_cancels(const ProcessRecord& record) {
  auto& last = last_cancel_.try_emplace(record.process.pid, started_at_).first->second;
  for (auto& cancel : record.cancels) {
    if (cancel.received_at <= last) continue;
    last = cancel.received_at;
    host_.cancel(cancel);
  }
}

// Times in the future of the monotonic clock are from an earlier boot of the machine.
bool ProcessExchange::merge_record(const ProcessRecord& record) {
  auto marks = record.cordons;
  auto now = net::monotonic_now();
  std::erase_if(marks, [now](auto& mark) { return mark.second.changed_at > now; });
  bool has_new_cordons = host_.merge_cordons(marks, record.process.pid);
  bool is_of_this_boot = record.written_at <= now;
  return (is_of_this_boot && host_.add_endpoints(record.endpoints)) || has_new_cordons;
}

void ProcessExchange::scan_records() {
  OtherProcesses other_processes;
  std::vector<std::string> ended_records;
  std::set<pid_t> running_pids;
  auto records = folder_ ? folder_->other_records() : std::make_shared<const RecordFolderThread::Records>();
  bool has_updates = merge_from_socket();
  for (auto& [name, record] : *records) {
    has_updates |= merge_record(record);
    if (state_of(record.process) == ProcessState::kGone) {
      ended_records.push_back(name);
      continue;
    }
    carry_out_cancels(record);
    ++other_processes.count;
    other_processes.descriptors += record.descriptors;
    running_pids.insert(record.process.pid);
    bool accepts_clients = record.stage != ProcessStage::kShuttingDown;
    if (accepts_clients && !record.known_processes.contains(own_record_.process.pid))
      other_processes.know_this_process = false;
  }
  bool has_changed = std::exchange(other_processes_, other_processes) != other_processes;
  has_updates |= std::exchange(own_record_.known_processes, running_pids) != running_pids;
  if (has_changed) host_.on_other_processes_changed(other_processes);
  has_updates |= other_processes.count > 0 &&
                 difference(host_.descriptors(), own_record_.descriptors) >= kDescriptorStep;
  is_stored_on_socket_ = is_stored_on_socket_ && socket_record_.is_stored();
  if (is_publishing_due() || has_changed || has_updates) publish();
  // By now the marks of the ended processes are in this process's record.
  if (!are_cordons_stored()) return;
  for (auto& name : ended_records) folder_->remove(name);
}

void ProcessExchange::scan_periodically() {
  scan_records();
  auto now = net::monotonic_now();
  if (now - stale_removed_at_ > kStaleCheckInterval) remove_stale(now);
  timer_ = loop_.at(loop_.now() + kScanInterval, [this] { scan_periodically(); });
}

void ProcessExchange::remove_stale(Micros now) {
  stale_removed_at_ = now;
  if (folder_) folder_->remove_stale(now);
}

}  // namespace database_proxy::handover
