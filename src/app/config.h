// The configuration: one JSON file, whose path is given by NODE_CONFIG or on the command line.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

#include "discovery/endpoint_list_codec.h"
#include "proxy/server_pool.h"
#include "request_router/router.h"

namespace database_proxy::app {

// An invalid configuration or operator's file; the message is one line.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A file that cannot be read, possibly only for the moment; `error` is the value of errno.
struct UnreadableFile : ConfigError {
  UnreadableFile(const std::string& what, int error) : ConfigError(what), error(error) {}
  int error;
};

// Returns the content of a file; `kind` names the file in the error message. Throws UnreadableFile.
std::string read_file(const std::string& path, const std::string& kind);

// The content of the configuration file.
struct Config {
  std::string name = "linenwinch", listen, discovery;
  std::string operator_address;  // address on which operators are served; empty: none
  std::uint64_t seed = 0;
  std::size_t sockets = 1024, memory = 64 << 20;  // descriptors; bytes
  discovery::EndpointListUpdate known;            // the endpoint list until discovery returns one
  request_router::Settings settings;
  std::string settings_text;  // `settings` as JSON, to detect changes on reload
  proxy::PoolLimits pool;
};

// Throws ConfigError if the text is not a valid configuration.
Config parse_config(std::string_view text);
// Throws UnreadableFile, or ConfigError with the path of the file.
Config read_config(const std::string& path);

}  // namespace database_proxy::app
