// Keeps the processes that hold one listening socket informed of each other: cordons, the descriptors that
// each holds, cancel requests that came to the wrong one. Each writes a record and reads those of the others
// some ten times a second. Owned and used by the thread of its loop.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>

#include "handover/record_folder.h"
#include "net/log.h"
#include "net/loop.h"

namespace database_proxy::handover {

// What the other processes with this listening socket hold, as far as they run.
struct OtherProcesses {
  std::size_t count = 0;
  std::size_t descriptors = 0;
  bool operator==(const OtherProcesses&) const = default;
};

class ProcessExchange {
 public:
  // What this process gives and takes, in the loop's thread.
  struct Host {
    std::function<endpoint_list::CordonMarks()> cordons;
    std::function<void(const endpoint_list::CordonMarks&, pid_t from)> merge_cordons;
    std::function<endpoint_list::EndpointListView()> endpoints;
    std::function<void(const endpoint_list::EndpointListView&)> add_endpoints;  // of another process
    std::function<std::size_t()> descriptors;                                   // that this process holds
    std::function<void(const OtherProcesses&)> on_others_changed;
    std::function<void(const ForwardedCancel&)> cancel;
  };

  ProcessExchange(net::Loop& loop, const std::string& folder, int listener, Host host, const net::Log& log);
  ~ProcessExchange();
  ProcessExchange(const ProcessExchange&) = delete;
  ProcessExchange& operator=(const ProcessExchange&) = delete;

  void set_stage(ProcessStage stage);
  // The cordons or the endpoint list of this process have changed.
  void on_change() { publish(); }
  // A cancel request names a session that this process does not have.
  void forward_cancel(std::uint32_t session_number, std::uint32_t secret);
  // Reads what the others have written.
  void look();

 private:
  void publish();
  void look_regularly();
  void take_over(const ProcessRecord& record);
  void carry_out_cancels(const ProcessRecord& record);
  void drop_old_cancels();

  net::Loop& loop_;
  Host host_;
  ProcessRecord own_;
  RecordFolder folder_;
  OtherProcesses others_;
  Micros started_at_, stale_removed_at_;
  std::map<pid_t, Micros> last_cancel_;  // by the process that received it
  bool is_unpublished_ = true;           // the record in the folder is not the last one
  net::Loop::TimerId timer_ = net::Loop::kNoTimer;
};

}  // namespace database_proxy::handover
