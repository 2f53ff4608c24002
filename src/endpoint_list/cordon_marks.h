// The operators' cordon and uncordon commands on data servers, in the form in which processes of this proxy
// exchange them. No clock, I/O or thread.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace database_proxy::endpoint_list {

using Micros = std::chrono::microseconds;  // on the machine's monotonic clock, which all its processes share

// The last command on one server. Of two marks, from any processes, the one with the later time takes effect.
struct CordonMark {
  Micros changed_at{0};
  bool is_cordoned = false;
  bool operator==(const CordonMark&) const = default;
};
using CordonMarks = std::map<std::string, CordonMark>;  // by the server's id

// The maximum number of marks, greater than the number of servers at any site. It keeps a faulty script from
// filling the memory.
constexpr std::size_t kMaxCordonMarks = 1024;

}  // namespace database_proxy::endpoint_list
