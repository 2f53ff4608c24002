// The servers that a process of this proxy may use according to its endpoint list, for other processes whose
// lists are older. No clock, I/O or thread.
#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace database_proxy::endpoint_list {

struct EndpointListView {
  std::string service;           // the address of the discovery service; empty: not known
  std::int64_t generation = 0;   // of the list, as counted by that service
  std::set<std::string> usable;  // ids of the servers that are up in the list
  bool operator==(const EndpointListView&) const = default;
};

}  // namespace database_proxy::endpoint_list
