// What the lower layers need of a logger. The logger itself is in src/app/.
#pragma once

#include <functional>
#include <string>

namespace database_proxy::net {

// How urgent a line is for an operator.
enum class Level { kDebug, kInfo, kWarning, kError };
// Receives one line without its end. May be called from the thread that owns it only.
using Log = std::function<void(Level, const std::string&)>;

}  // namespace database_proxy::net
