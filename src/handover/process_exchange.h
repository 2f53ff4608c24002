// Exchanges state between the processes that hold one listening socket: cordons, endpoint lists, the number
// of descriptors that each holds, and cancel requests that a process without the session received. Each
// process writes a record into a shared folder and reads the records of the other processes 40 times a
// second. Cordons and the newest endpoint list must outlast any process and any failure of the folder, so
// they are also stored on the socket itself. Owned and used by the thread of its loop.
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

// Totals over the other running processes that hold this listening socket.
struct OtherProcesses {
  std::size_t count = 0;
  std::size_t descriptors = 0;
  // Whether each process that accepts clients has read this process's record, and so keeps to its share of
  // the common limits.
  bool know_this_process = true;
  bool operator==(const OtherProcesses&) const = default;
};

class ProcessExchange {
 public:
  // Callbacks into this process, called in the loop's thread.
  struct Host {
    std::function<endpoint_list::CordonMarks()> cordons;
    // Apply state of another process. They return whether it changed the state of this one.
    std::function<bool(const endpoint_list::CordonMarks&, pid_t from)> merge_cordons;
    std::function<bool(const endpoint_list::EndpointListView&)> add_endpoints;
    std::function<endpoint_list::EndpointListView()> endpoints;
    std::function<std::size_t()> descriptors;  // the number that this process holds
    std::function<void(const OtherProcesses&)> on_other_processes_changed;
    std::function<void(const ForwardedCancel&)> cancel;
  };

  // `folder` is empty if the processes share no folder.
  ProcessExchange(net::Loop& loop, const std::string& folder, int listener, Host host, const net::Log& log);
  ~ProcessExchange();
  ProcessExchange(const ProcessExchange&) = delete;
  ProcessExchange& operator=(const ProcessExchange&) = delete;

  void set_stage(ProcessStage stage);
  // Merges the record stored on the socket. To be called before the cordons or the endpoint list of this
  // process change: the stored record is replaced as a whole, so what other processes have added has to be
  // merged first. Returns whether the state of this process changed.
  bool merge_from_socket();
  // Writes the record of this process. To be called after its cordons or its endpoint list have changed.
  void publish();
  // Returns whether the cordons of this process are stored where a process that starts later finds them,
  // whatever happens to this one.
  bool are_cordons_stored() const { return is_stored_on_socket_ || is_stored_in_folder(); }
  // Forwards a cancel request for a session that this process does not have.
  void forward_cancel(std::uint32_t session_number, std::uint32_t secret);
  // Reads the records of the other processes and merges them.
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
  std::map<pid_t, Micros> last_cancel_;  // time of the last executed cancel, by the process that received it
  bool is_stored_on_socket_ = false;     // whether the last published record is
  net::Loop::TimerId timer_ = net::Loop::kNoTimer;
};

}  // namespace database_proxy::handover
