// The operators' commands on data servers, as processes tell them to each other. Pure.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace database_proxy::endpoint_list {

using Micros = std::chrono::microseconds;  // on the machine's monotonic clock, which all its processes share

// The last command on one server. Of two, from whatever process, the one with the later time holds.
struct CordonMark {
  Micros changed_at{0};
  bool is_cordoned = false;
  bool operator==(const CordonMark&) const = default;
};
using CordonMarks = std::map<std::string, CordonMark>;  // by the server's id

// More servers than any site has: a mistake in a script must not fill the memory.
constexpr std::size_t kMostCordonMarks = 1024;

}  // namespace database_proxy::endpoint_list
