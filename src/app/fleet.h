// `database-proxy fleet ...`: an operator's admin commands to the consensus group, sent over the protocol
// that the daemons use among themselves.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace database_proxy::app {

// Runs the sub-command of `fleet` that the arguments name. Returns the exit code; throws std::runtime_error
// with one line if the command fails.
int run_fleet(const std::vector<std::string>& arguments);

// A blocking connection to one node, for admin commands and tests. Each send or receive blocks for at most
// `timeout_ms`.
class FleetConnection {
 public:
  // Throws std::runtime_error with one line if the node cannot be reached or rejects the connection.
  FleetConnection(const std::string& address, const std::string& installation, int timeout_ms = 5000);
  ~FleetConnection();
  FleetConnection(const FleetConnection&) = delete;
  FleetConnection& operator=(const FleetConnection&) = delete;
  // Sends the request and returns the answer. Throws std::runtime_error if the connection fails or no answer
  // arrives in time.
  nlohmann::json send_request(nlohmann::json request);

 private:
  nlohmann::json receive_answer();
  int fd_ = -1;
  std::string address_, received_;
};

}  // namespace database_proxy::app
