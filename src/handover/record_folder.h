// The files that hold the records of processes, in a folder that all of them share and nobody empties. Any
// call may fail temporarily, and the folder may contain files of other programs, of other nodes and of the
// past.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "handover/process_record.h"
#include "net/log.h"

namespace database_proxy::handover {

class RecordFolder {
 public:
  // `socket_inode` distinguishes the records of this listening socket from those of other sockets in the
  // folder.
  RecordFolder(std::string path, std::uint64_t socket_inode, ProcessIdentity own, net::Log log);

  // Replaces this process's record. It is written to a temporary file and renamed, so that a reader finds
  // either the old or the new one. Returns false if it could not be written: the old one stays, and the
  // caller has to retry.
  bool write(const ProcessRecord& record);
  // Reads the folder and returns the last valid record of each other process with this socket, whether or not
  // the process still runs.
  const std::map<std::string, ProcessRecord>& read_other_records();
  // Removes the record of another process, or that of this process once no process needs it.
  void remove(const std::string& name);
  void remove_own() { remove(own_name_); }
  // Removes the files of processes of any listening socket that ended long ago.
  void remove_stale(Micros now);

 private:
  struct FileVersion {
    std::uint64_t inode = 0;
    std::int64_t modified_at_ns = 0, size = -1;
    bool operator==(const FileVersion&) const = default;
  };
  std::vector<std::string> list_names(const std::string& prefix) const;
  std::optional<std::string> read_file(const std::string& name) const;
  std::optional<FileVersion> version_of(const std::string& name) const;
  void read_if_changed(const std::string& name);

  std::string path_, socket_prefix_, own_name_;
  net::Log log_;
  bool is_failing_ = false;
  std::map<std::string, FileVersion> versions_;
  std::map<std::string, ProcessRecord> records_;
};

}  // namespace database_proxy::handover
