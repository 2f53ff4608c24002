// Reads and writes a record folder in a thread of its own: where the disk is busy, a file may take seconds,
// and the loop must not wait for it. Used by the thread of one loop.
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

// A directory or a file at a time.
constexpr std::size_t kFolderDescriptors = 1;

class RecordFolderThread {
 public:
  using Records = std::map<std::string, ProcessRecord>;
  enum class WriteStatus { kPending, kWritten, kFailed };

  // Reads the folder once before it returns, and every `interval` from then on.
  RecordFolderThread(RecordFolder folder, Micros interval);
  // Waits for what is under way.
  ~RecordFolderThread();
  RecordFolderThread(const RecordFolderThread&) = delete;
  RecordFolderThread& operator=(const RecordFolderThread&) = delete;

  // Replaces this process's record, in place of an earlier one that is not written yet. Waits for it no
  // longer than a disk that is not busy takes.
  void write(const ProcessRecord& record);
  // Of the record that was handed over last.
  WriteStatus write_status() const;
  // Those of other processes, as last read.
  std::shared_ptr<const Records> other_records() const;
  // After what was handed over before.
  void remove(const std::string& name);
  void remove_stale(Micros now);
  // Ends the thread; the folder is the caller's from then on.
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
