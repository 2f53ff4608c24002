// Links of the fault harness: each connection from one process to another is forwarded through a port of the
// harness, so that it can be held, delayed, limited in bandwidth, stalled or reset. Each direction can be
// held on its own. All links run in one thread.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/fd.h"
#include "net/loop.h"
#include "net/socket.h"
#include "testbench/loop_thread.h"

namespace database_proxy::testbench::faults {

using net::Micros;

// Faults in effect on a link. Forward is from the dialer to the target, backward the other direction.
struct LinkState {
  bool hold_forward = false, hold_backward = false;  // bytes stay buffered in the harness until released
  Micros delay{0};                                   // each way
  std::int64_t bytes_per_second = 0;                 // each way; 0: unlimited
  std::int64_t stall_after = -1;  // bytes still forwarded from the dialer before holding; -1: no stall
};

// Forwards connections between processes and applies the state of their links.
class Links {
 public:
  Links();
  ~Links();
  // Returns a port that forwards to `address`, the address of process `to`, for connections from process
  // `from`. Both are names within the harness.
  int add_listener(const std::string& from, const std::string& to, const std::string& address);
  // Registers the source address of the connections from `from`; at a shared listener it selects the link
  // that a connection uses.
  void add_source(const std::string& address, const std::string& from);
  // Creates a link without a port of its own, for connections through a shared listener.
  void add_link(const std::string& from, const std::string& to);
  // Returns one port in front of the server at `address`, for connections from all registered sources; `to`
  // is the other end of their links.
  int add_shared_listener(const std::string& to, const std::string& address);
  void set(const std::string& from, const std::string& to, LinkState state);
  // Sends RST to both ends of all connections of the link.
  void reset(const std::string& from, const std::string& to);
  std::uint64_t bytes_forwarded(const std::string& from, const std::string& to);  // both directions

 private:
  struct Connection;
  struct Link;
  struct SharedListener;
  Link& link(const std::string& from, const std::string& to);

  std::map<std::pair<std::string, std::string>, std::unique_ptr<Link>> links_;
  std::map<std::string, std::string> sources_;  // dialer name by source address
  std::vector<std::unique_ptr<SharedListener>> shared_listeners_;
  LoopThread thread_;
};

}  // namespace database_proxy::testbench::faults
