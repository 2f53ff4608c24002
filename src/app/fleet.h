// `database-proxy fleet ...`: what an operator asks of the group, over the same links as the daemons use.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace database_proxy::app {

int run_fleet(const std::vector<std::string>& arguments);

// One connection to a node, for tools and tests. Blocks, for `timeout_ms` at most a call.
class FleetConnection {
 public:
  // Throws std::runtime_error with one line: nobody there, or turned away.
  FleetConnection(const std::string& address, const std::string& installation, int timeout_ms = 5000);
  ~FleetConnection();
  FleetConnection(const FleetConnection&) = delete;
  FleetConnection& operator=(const FleetConnection&) = delete;
  // The answer's object; throws std::runtime_error where none came in time.
  nlohmann::json send_request(nlohmann::json request);

 private:
  nlohmann::json receive_answer();
  int fd_ = -1;
  std::string address_, received_;
};

}  // namespace database_proxy::app
