// Links of the fault rig: each connection from one process to another runs through a port of the rig's own,
// so that it can be cut, delayed, slowed, stalled or reset, one direction at a time. All in one thread.
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

struct LinkState {
  bool hold_forward = false, hold_backward = false;  // bytes stay in the rig until it passes them again
  Micros delay{0};                             // each way
  std::int64_t bytes_per_second = 0;           // each way; 0: as they come
  std::int64_t stall_after = -1;               // bytes that still pass from the dialer, then it is held
};

class Links {
 public:
  Links();
  ~Links();
  // A port that leads from one process to another's address; both names are the rig's own.
  int add_listener(const std::string& from, const std::string& to, const std::string& address);
  // One port in front of a server, for dialers from anywhere: which pair's link a connection takes is told by
  // the address it comes from. `pair` makes a link of that kind, without a port.
  void add_source(const std::string& address, const std::string& from);
  void add_link(const std::string& from, const std::string& to);
  int add_shared_listener(const std::string& to, const std::string& address);
  void set(const std::string& from, const std::string& to, LinkState state);
  void reset(const std::string& from, const std::string& to);  // RST on all its connections, both ends
  std::uint64_t bytes_forwarded(const std::string& from, const std::string& to);  // bytes

 private:
  struct Connection;
  struct Link;
  struct SharedListener;
  Link& link(const std::string& from, const std::string& to);

  std::map<std::pair<std::string, std::string>, std::unique_ptr<Link>> links_;
  std::map<std::string, std::string> sources_;  // by address
  std::vector<std::unique_ptr<SharedListener>> shared_listeners_;
  LoopThread thread_;
};

}  // namespace database_proxy::testbench::faults
