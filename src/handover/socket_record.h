// The record stored on the listening socket itself for the processes that hold it: the cordons of all of
// them, and the newest endpoint list that any of them has had. All processes share one such record, whereas
// in a folder each has its own.
#pragma once

#include <optional>
#include <string>

#include "handover/process_record.h"
#include "handover/socket_note.h"
#include "net/log.h"

namespace database_proxy::handover {

// Owned and used by the thread of its process exchange.
class SocketRecord {
 public:
  // `listener` must outlive this object.
  SocketRecord(int listener, net::Log log) : socket_text_(listener), log_(std::move(log)) {}

  // Returns the record of the process that wrote last, or nullopt if there is none that can be read.
  const std::optional<ProcessRecord>& read();
  // Replaces the stored record if it lacks something of `own`, into which the result of read() has been
  // merged. Returns whether the stored record has every cordon of `own`.
  bool store(const ProcessRecord& own);
  // Returns whether the record, as last read, still has the content of the last store(): two processes may
  // write at the same time.
  bool is_stored() const;

 private:
  SocketText socket_text_;
  net::Log log_;
  std::string last_text_;  // as last read
  std::optional<ProcessRecord> record_;
  ProcessRecord required_;  // the content that the stored record must have
  bool is_failing_ = false;
};

}  // namespace database_proxy::handover
