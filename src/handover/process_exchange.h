// Keeps the processes that hold one listening socket informed of each other: cordons, endpoint lists, the
// descriptors that each holds, cancel requests that came to the wrong one. Each writes a record into a folder
// that all have, and reads those of the others 40 times a second. What must outlast any process and any
// failure of the folder, cordons and the newest list, the socket itself keeps as well. Owned and used by the
// thread of its loop.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "handover/record_folder_thread.h"
#include "handover/socket_record.h"
#include "net/log.h"
#include "net/loop.h"

namespace database_proxy::handover {

// What the other processes with this listening socket hold, as far as they run.
struct OtherProcesses {
  std::size_t count = 0;
  std::size_t descriptors = 0;
  // Each that accepts clients has read this process's record, and so keeps to its part of what they share.
  bool know_this_process = true;
  bool operator==(const OtherProcesses&) const = default;
};

class ProcessExchange {
 public:
  // What this process gives and takes, in the loop's thread.
  struct Host {
    std::function<endpoint_list::CordonMarks()> cordons;
    // Of another process. They return whether this one has learned something.
    std::function<bool(const endpoint_list::CordonMarks&, pid_t from)> merge_cordons;
    std::function<bool(const endpoint_list::EndpointListView&)> add_endpoints;
    std::function<endpoint_list::EndpointListView()> endpoints;
    std::function<std::size_t()> descriptors;  // that this process holds
    std::function<void(const OtherProcesses&)> on_other_processes_changed;
    std::function<void(const ForwardedCancel&)> cancel;
  };

  // `folder`: empty where processes have none in common.
  ProcessExchange(net::Loop& loop, const std::string& folder, int listener, Host host, const net::Log& log);
  ~ProcessExchange();
  ProcessExchange(const ProcessExchange&) = delete;
  ProcessExchange& operator=(const ProcessExchange&) = delete;

  void set_stage(ProcessStage stage);
  // Before the cordons or the endpoint list of this process change: what the socket keeps is replaced as a
  // whole, so that what others have added has to be known first.
  bool merge_from_socket();
  // After they have changed.
  void publish();
  // Whether a process that comes later will know each cordon of this one, whatever becomes of this one.
  bool are_cordons_stored() const { return is_stored_on_socket_ || is_stored_in_folder(); }
  // A cancel request names a session that this process does not have.
  void forward_cancel(std::uint32_t session_number, std::uint32_t secret);
  // Reads what the others have written.
  void scan_records();

 private:
  void scan_periodically();
  bool is_stored_in_folder() const;
  bool is_publishing_due() const;
  bool merge_record(const ProcessRecord& record);
  void remove_stale(Micros now);
  void carry_out_cancels(const ProcessRecord& record);
  void drop_old_cancels();

  net::Loop& loop_;
  Host host_;
  ProcessRecord own_record_;
  std::optional<RecordFolderThread> folder_;
  SocketRecord socket_record_;
  OtherProcesses other_processes_;
  Micros started_at_, stale_removed_at_;
  std::map<pid_t, Micros> last_cancel_;  // by the process that received it
  bool is_stored_on_socket_ = false;     // the last record is
  net::Loop::TimerId timer_ = net::Loop::kNoTimer;
};

}  // namespace database_proxy::handover
