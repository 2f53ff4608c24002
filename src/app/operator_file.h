// The operator's file: JSON that is validated against deploy/operator.schema.json. Each subsystem has one
// object in the file and one member of OperatorFile.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "app/config.h"
#include "app/logger.h"
#include "group/options.h"
#include "workers/worker_pool.h"

namespace database_proxy::app {

// The content of the operator's file.
struct OperatorFile {
  workers::WorkerPoolOptions workers;
  LogOptions log;
  std::string congestion;               // TCP congestion control of sockets; empty: the system's default
  std::string source;                   // source address of outgoing connections; empty: chosen by the system
  std::optional<group::Options> group;  // none: the group takes no thread, socket, file or memory
};

// Throw ConfigError with one line: the path of the first invalid key, the reason, and the number of further
// errors.
OperatorFile parse_operator_file(std::string_view text);
OperatorFile read_operator_file(const std::string& path);

// Returns a line for each setting that is valid but probably not intended.
std::vector<std::string> warnings(const OperatorFile& file);

// Returns the keys, as a list in one line, that differ between the file in effect and a newly read one and
// take effect only after a restart; empty: none.
std::string keys_needing_restart(const OperatorFile& running, const OperatorFile& read);

}  // namespace database_proxy::app
