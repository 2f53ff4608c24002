// Which servers a process of this proxy may use, by the endpoint list that it has: what another process whose
// list is older must know. Pure.
#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace database_proxy::endpoint_list {

struct EndpointListView {
  std::string service;           // the address of the discovery service; empty: not known
  std::int64_t generation = 0;   // of the list, by the count of that service
  std::set<std::string> usable;  // ids of the servers that the list has as up
  bool operator==(const EndpointListView&) const = default;
};

}  // namespace database_proxy::endpoint_list
