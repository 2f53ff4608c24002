// What a node knows of the load of a data server from the health checks of another process.
#pragma once

#include <string>

#include "group/options.h"

namespace database_proxy::group {

// One answer of one data server, as another process received it.
struct LoadReport {
  std::string server;
  std::string load;  // the server's own text
  Micros check_duration{0};
  Micros age{0};  // at least; as good as the clocks of both machines agree
};

}  // namespace database_proxy::group
