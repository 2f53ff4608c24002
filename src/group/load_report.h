// The load of a data server as known from the health check of a lease holder.
#pragma once

#include <string>

#include "group/options.h"

namespace database_proxy::group {

// One data server's answer to a health check, as the lease holder received it.
struct LoadReport {
  std::string server;
  std::string load;  // the load report as the server wrote it
  Micros check_duration{0};
  Micros age{0};  // lower bound; as accurate as the two machines' clocks agree
};

}  // namespace database_proxy::group
