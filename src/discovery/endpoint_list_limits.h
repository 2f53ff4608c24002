// How large an endpoint list may be, in whatever form it arrives.
#pragma once

#include <cstddef>

namespace database_proxy::discovery {

// The number of data servers of the largest fleet that the platform describes.
constexpr std::size_t kMaxListedServers = 3200;
// Room for one server's entry in the list: an entry takes about 160 bytes, or 400 if the list is indented by
// 8 spaces a level.
constexpr std::size_t kMaxEntryBytes = 2048;
// The largest text of a list that is read.
constexpr std::size_t kMaxListBytes = kMaxListedServers * kMaxEntryBytes;

}  // namespace database_proxy::discovery
