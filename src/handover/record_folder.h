// The files in which processes keep their records, in a folder that all of them have and nobody empties.
// Every call may fail for a while, and the folder may hold files of other programs, nodes and times.
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
  // `socket_inode` tells records of this listening socket from those of others in the same folder.
  RecordFolder(std::string path, std::uint64_t socket_inode, ProcessIdentity own, net::Log log);

  // Replaces this process's record: written beside and renamed, so that a reader finds the old or the new
  // one. False: it could not be written, and the old one stands; to be tried again.
  bool write(const ProcessRecord& record);
  // The last good record of each other process with this socket, whether or not it still runs.
  const std::map<std::string, ProcessRecord>& read_other_records();
  // Removes the record of another process, or an own one that nobody needs.
  void remove(const std::string& name);
  void remove_own() { remove(own_name_); }
  // Removes what processes left behind that ended long ago, of whatever socket.
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
