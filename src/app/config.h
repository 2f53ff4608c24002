// The configuration: one JSON file, named by NODE_CONFIG or on the command line.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

#include "badgercourse/router.h"
#include "discovery/members.h"
#include "proxy/server_pool.h"

namespace linenwinch::app {

// What is wrong, as one line.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name = "linenwinch", listen, discovery;
  std::string operators;  // the address of the operators' door; empty: there is none
  std::uint64_t seed = 0;
  std::size_t sockets = 1024, memory = 64 << 20;  // descriptors; bytes
  discovery::MemberUpdate known;
  badgercourse::Settings settings;
  std::string settings_text;  // the same as it stood in the file, to compare
  proxy::PoolLimits pool;
};

Config parse_config(std::string_view text);
Config read_config(const std::string& path);

}  // namespace linenwinch::app
