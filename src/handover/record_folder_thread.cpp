#include "handover/record_folder_thread.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <utility>

namespace database_proxy::handover {
namespace {

// The event loop is blocked while it waits.
constexpr std::chrono::milliseconds kMaxWriteWait{10};
// The last connection is closed 0.25 s before the platform may kill the process.
constexpr std::chrono::milliseconds kMaxEndWait{100};

}  // namespace

class RecordFolderThread::Worker {
 public:
  explicit Worker(const FolderOptions& options)
      : log_(options.log),
        folder_(options.path, options.socket_inode, options.own,
                [this](net::Level level, const std::string& text) { log(level, text); }),
        other_records_(std::make_shared<const Records>(folder_.read_other_records())) {}

  // Executed by the thread.
  void run(Micros interval);

  void write(const ProcessRecord& record);
  WriteStatus write_status() const {
    std::lock_guard lock(mutex_);
    return status_;
  }
  std::shared_ptr<const Records> other_records() const {
    std::lock_guard lock(mutex_);
    return other_records_;
  }
  void remove(const std::string& name);
  void remove_stale(Micros now);
  // Returns whether the thread has executed its last task.
  bool end(const LastTasks& last);

 private:
  struct Tasks {
    std::optional<ProcessRecord> record;
    std::vector<std::string> removals;
    std::optional<Micros> stale_as_of;
    bool empty() const { return !record && removals.empty() && !stale_as_of; }
  };

  void carry_out(const Tasks& tasks);
  void carry_out(const LastTasks& last);
  void set_status(WriteStatus status);
  bool is_abandoned() const {
    std::lock_guard lock(mutex_);
    return is_abandoned_;
  }
  void log(net::Level level, const std::string& text) const {
    std::lock_guard lock(log_mutex_);
    if (is_log_open_) log_(level, text);
  }
  void close_log() {
    std::lock_guard lock(log_mutex_);
    is_log_open_ = false;
  }

  const net::Log log_;
  mutable std::mutex log_mutex_;  // not mutex_: the event loop must not wait for a line to be written
  bool is_log_open_ = true;
  RecordFolder folder_;  // used by the thread alone once it runs
  mutable std::mutex mutex_;
  std::condition_variable wake_, write_done_, ended_;
  Tasks tasks_;
  WriteStatus status_ = WriteStatus::kFailed;  // nothing is written yet
  std::shared_ptr<const Records> other_records_;
  std::optional<LastTasks> last_;  // set when the thread is to end
  bool has_ended_ = false, is_abandoned_ = false;
};

void RecordFolderThread::Worker::run(Micros interval) {
  std::unique_lock lock(mutex_);
  while (true) {
    wake_.wait_for(lock, interval, [this] { return last_ || !tasks_.empty(); });
    auto tasks = std::exchange(tasks_, {});
    auto last = last_;
    lock.unlock();
    carry_out(tasks);
    if (last) carry_out(*last);
    auto other_records = last ? nullptr : std::make_shared<const Records>(folder_.read_other_records());
    lock.lock();
    if (last) break;
    other_records_ = std::move(other_records);
  }
  has_ended_ = true;
  ended_.notify_one();
}

void RecordFolderThread::Worker::write(const ProcessRecord& record) {
  std::unique_lock lock(mutex_);
  tasks_.record = record;
  status_ = WriteStatus::kPending;
  wake_.notify_one();
  write_done_.wait_for(lock, kMaxWriteWait, [this] { return status_ != WriteStatus::kPending; });
}

void RecordFolderThread::Worker::remove(const std::string& name) {
  {
    std::lock_guard lock(mutex_);
    tasks_.removals.push_back(name);
  }
  wake_.notify_one();
}

void RecordFolderThread::Worker::remove_stale(Micros now) {
  {
    std::lock_guard lock(mutex_);
    tasks_.stale_as_of = now;
  }
  wake_.notify_one();
}

bool RecordFolderThread::Worker::end(const LastTasks& last) {
  std::unique_lock lock(mutex_);
  last_ = last;
  wake_.notify_one();
  if (ended_.wait_for(lock, kMaxEndWait, [this] { return has_ended_; })) return true;
  is_abandoned_ = true;
  lock.unlock();
  close_log();
  return false;
}

void RecordFolderThread::Worker::carry_out(const Tasks& tasks) {
  if (tasks.record && !is_abandoned())
    set_status(folder_.write(*tasks.record) ? WriteStatus::kWritten : WriteStatus::kFailed);
  for (auto& name : tasks.removals)
    if (!is_abandoned()) folder_.remove(name);
  if (tasks.stale_as_of && !is_abandoned()) folder_.remove_stale(*tasks.stale_as_of);
}

void RecordFolderThread::Worker::carry_out(const LastTasks& last) {
  if (last.record_if_unwritten && write_status() != WriteStatus::kWritten && !is_abandoned())
    folder_.write(*last.record_if_unwritten);
  if (last.removes_own_record && !is_abandoned()) folder_.remove_own();
}

// If another record was submitted in the meantime, the write is still pending.
void RecordFolderThread::Worker::set_status(WriteStatus status) {
  std::lock_guard lock(mutex_);
  if (!tasks_.record) status_ = status;
  write_done_.notify_one();
}

RecordFolderThread::RecordFolderThread(const FolderOptions& folder, Micros interval)
    : worker_(std::make_shared<Worker>(folder)),
      thread_([worker = worker_, interval] { worker->run(interval); }) {}

RecordFolderThread::~RecordFolderThread() {
  if (thread_.joinable()) end({});
}

void RecordFolderThread::end(const LastTasks& last) {
  if (worker_->end(last))
    thread_.join();
  else
    thread_.detach();
}

void RecordFolderThread::write(const ProcessRecord& record) { worker_->write(record); }

RecordFolderThread::WriteStatus RecordFolderThread::write_status() const { return worker_->write_status(); }

std::shared_ptr<const RecordFolderThread::Records> RecordFolderThread::other_records() const {
  return worker_->other_records();
}

void RecordFolderThread::remove(const std::string& name) { worker_->remove(name); }

void RecordFolderThread::remove_stale(Micros now) { worker_->remove_stale(now); }

}  // namespace database_proxy::handover
