// Reads and writes a record folder in a separate thread: access to a file may take seconds on a busy disk,
// and neither the event loop nor the end of the process may wait for it. Used by the thread of one loop.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
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
  struct FolderOptions {
    std::string path;
    std::uint64_t socket_inode = 0;
    ProcessIdentity own;
    net::Log log;
  };
  struct LastTasks {
    std::optional<ProcessRecord> record_if_unwritten;  // written if the record submitted last is not
    bool removes_own_record = false;
  };

  // Reads the folder once before it returns, and every `interval` afterwards.
  RecordFolderThread(const FolderOptions& folder, Micros interval);
  // Ends like end({}).
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
  // Executes the pending tasks and the last ones, and ends the thread. Waits no longer than on a disk that is
  // not busy: after that the thread is left behind, executes nothing more than its current task, and logs
  // nothing. To be called once.
  void end(const LastTasks& last);

 private:
  class Worker;

  // Shared with the thread, which may outlast this object.
  std::shared_ptr<Worker> worker_;
  std::thread thread_;
};

}  // namespace database_proxy::handover
