// A memory file that the processes on one listening socket share: the first one creates it, each later one
// finds it among the descriptors of a process that runs. It needs no folder, and exists while any process has
// it open.
#pragma once

#include <cstddef>
#include <string>

#include "net/fd.h"

namespace database_proxy::handover {

// Returns the file of this name and size, filled with zeros if this process creates it; an empty Fd if the
// system offers none. `name` has at most 200 characters. Looks through the processes of this user, once.
net::Fd open_shared_memory_file(const std::string& name, std::size_t size);

}  // namespace database_proxy::handover
