// The operator's own file: JSON that deploy/operator.schema.json describes, and that is checked against it.
// Each subsystem has one object of its own here, and one member of OperatorFile.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "app/config.h"
#include "app/logger.h"
#include "group/options.h"
#include "workers/worker_pool.h"

namespace database_proxy::app {

struct OperatorFile {
  workers::WorkerPoolOptions workers;
  LogOptions log;
  std::string congestion;               // of sockets; empty: the system's own
  std::string source;                   // address that connections leave from; empty: as the system chooses
  std::optional<group::Options> group;  // none: no thread, socket, file or allocation of it
};

// Throw ConfigError with one line: the path of the first key that is wrong, why, and how many more are.
OperatorFile parse_operator_file(std::string_view text);
OperatorFile read_operator_file(const std::string& path);

// What is good but hardly meant, a line each.
std::vector<std::string> warnings(const OperatorFile& file);

// What of a newly read file differs from the one in force and needs a restart, as a list of keys; empty:
// nothing.
std::string keys_needing_restart(const OperatorFile& running, const OperatorFile& read);

}  // namespace database_proxy::app
