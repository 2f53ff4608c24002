#include "handover/record_folder_thread.h"

#include <utility>

namespace database_proxy::handover {
namespace {

// The event loop is blocked while it waits.
constexpr std::chrono::milliseconds kMaxWriteWait{10};

}  // namespace

RecordFolderThread::RecordFolderThread(RecordFolder folder, Micros interval)
    : folder_(std::move(folder)),
      interval_(interval),
      other_records_(std::make_shared<const Records>(folder_.read_other_records())),
      thread_([this] { run(); }) {}

RecordFolderThread::~RecordFolderThread() { stop(); }

RecordFolder& RecordFolderThread::stop() {
  {
    std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  wake_.notify_one();
  if (thread_.joinable()) thread_.join();
  return folder_;
}

void RecordFolderThread::write(const ProcessRecord& record) {
  std::unique_lock lock(mutex_);
  tasks_.record = record;
  status_ = WriteStatus::kPending;
  wake_.notify_one();
  write_done_.wait_for(lock, kMaxWriteWait, [this] { return status_ != WriteStatus::kPending; });
}

RecordFolderThread::WriteStatus RecordFolderThread::write_status() const {
  std::lock_guard lock(mutex_);
  return status_;
}

std::shared_ptr<const RecordFolderThread::Records> RecordFolderThread::other_records() const {
  std::lock_guard lock(mutex_);
  return other_records_;
}

void RecordFolderThread::remove(const std::string& name) {
  {
    std::lock_guard lock(mutex_);
    tasks_.removals.push_back(name);
  }
  wake_.notify_one();
}

void RecordFolderThread::remove_stale(Micros now) {
  {
    std::lock_guard lock(mutex_);
    tasks_.stale_as_of = now;
  }
  wake_.notify_one();
}

void RecordFolderThread::run() {
  std::unique_lock lock(mutex_);
  while (true) {
    wake_.wait_for(lock, interval_, [this] { return is_stopping_ || !tasks_.empty(); });
    auto tasks = std::exchange(tasks_, {});
    bool is_last = is_stopping_;
    lock.unlock();
    carry_out(tasks);
    if (is_last) return;
    auto other_records = std::make_shared<const Records>(folder_.read_other_records());
    lock.lock();
    other_records_ = std::move(other_records);
  }
}

void RecordFolderThread::carry_out(const Tasks& tasks) {
  if (tasks.record) set_status(folder_.write(*tasks.record) ? WriteStatus::kWritten : WriteStatus::kFailed);
  for (auto& name : tasks.removals) folder_.remove(name);
  if (tasks.stale_as_of) folder_.remove_stale(*tasks.stale_as_of);
}

// If another record was submitted in the meantime, the write is still pending.
void RecordFolderThread::set_status(WriteStatus status) {
  std::lock_guard lock(mutex_);
  if (!tasks_.record) status_ = status;
  write_done_.notify_one();
}

}  // namespace database_proxy::handover
