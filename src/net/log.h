// The logging interface of the lower layers. The logger itself is in src/app/.
#pragma once

#include <functional>
#include <string>

namespace database_proxy::net {

// Severity of a log line.
enum class Level { kDebug, kInfo, kWarning, kError };
// Writes one line, given without a line end. May be called only from the thread that owns the logger.
using Log = std::function<void(Level, const std::string&)>;

}  // namespace database_proxy::net
