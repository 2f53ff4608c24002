// Reads and writes a record folder in a separate thread: access to a file may take seconds on a busy disk,
// and the event loop must not wait for it. Used by the thread of one loop.
#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "handover/record_folder.h"

namespace database_proxy::handover {

// One directory or one file is open at a time.
constexpr std::size_t kFolderDescriptors = 1;

class RecordFolderThread {
 public:
  using Records = std::map<std::string, ProcessRecord>;
  enum class WriteStatus { kPending, kWritten, kFailed };

  // Reads the folder once before it returns, and every `interval` afterwards.
  RecordFolderThread(RecordFolder folder, Micros interval);
  // Waits for the pending tasks.
  ~RecordFolderThread();
  RecordFolderThread(const RecordFolderThread&) = delete;
  RecordFolderThread& operator=(const RecordFolderThread&) = delete;

  // Submits this process's record for writing; it supersedes an earlier one that is not written yet. Waits
  // for the write no longer than it takes on a disk that is not busy.
  void write(const ProcessRecord& record);
  // Returns the status of the record that was submitted last.
  WriteStatus write_status() const;
  // Returns the records of the other processes, as last read.
  std::shared_ptr<const Records> other_records() const;
  // Both are executed after a record that was submitted before.
  void remove(const std::string& name);
  void remove_stale(Micros now);
  // Executes the pending tasks and ends the thread. Afterwards only the caller uses the returned folder.
  RecordFolder& stop();

 private:
  struct Tasks {
    std::optional<ProcessRecord> record;
    std::vector<std::string> removals;
    std::optional<Micros> stale_as_of;
    bool empty() const { return !record && removals.empty() && !stale_as_of; }
  };

  void run();
  void carry_out(const Tasks& tasks);
  void set_status(WriteStatus status);

  RecordFolder folder_;
  const Micros interval_;
  mutable std::mutex mutex_;
  std::condition_variable wake_, write_done_;
  Tasks tasks_;
  WriteStatus status_ = WriteStatus::kFailed;  // nothing is written yet
  std::shared_ptr<const Records> other_records_;
  bool is_stopping_ = false;
  std::thread thread_;
};

}  // namespace database_proxy::handover
