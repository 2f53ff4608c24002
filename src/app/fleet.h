// `database-proxy fleet ...`: what an operator asks of the group, over the same links as the daemons use.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace database_proxy::app {

int run_fleet(const std::vector<std::string>& arguments);

// One connection to a node, for tools and tests. Blocks, for `patience_ms` at most a call.
class FleetCall {
 public:
  // Throws std::runtime_error with one line: nobody there, or turned away.
  FleetCall(const std::string& address, const std::string& installation, int patience_ms = 5000);
  ~FleetCall();
  FleetCall(const FleetCall&) = delete;
  FleetCall& operator=(const FleetCall&) = delete;
  // The answer's object; throws std::runtime_error where none came in time.
  nlohmann::json ask(nlohmann::json request);

 private:
  nlohmann::json next();
  int fd_ = -1;
  std::string address_, in_;
};

}  // namespace database_proxy::app
