// What the lower layers need of a logger: somewhere to hand a line to. The logger itself is in src/app/.
#pragma once

#include <functional>
#include <string>

namespace database_proxy::net {

enum class Level { kInfo, kWarning, kError };
using Log = std::function<void(Level, const std::string&)>;

}  // namespace database_proxy::net
