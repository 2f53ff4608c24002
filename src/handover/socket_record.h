// The record that the listening socket itself keeps for the processes which hold it: the cordons of all, and
// the newest list that any of them has had. One for all processes, unlike those in a folder.
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
  // `listener` must outlive this.
  SocketRecord(int listener, net::Log log) : note_(listener), log_(std::move(log)) {}

  // The record of whichever process has written it last; empty: there is none that can be read.
  const std::optional<ProcessRecord>& read();
  // Replaces it where it lacks something of `own`, which has all that read() gave. True: it holds every
  // cordon of `own`.
  bool store(const ProcessRecord& own);
  // Whether it still holds what was last kept, as last read: two processes may write at the same time.
  bool is_stored() const;

 private:
  SocketNote note_;
  net::Log log_;
  std::string last_text_;  // as last read
  std::optional<ProcessRecord> record_;
  ProcessRecord required_;  // what it has to hold
  bool is_failing_ = false;
};

}  // namespace database_proxy::handover
