// Repeats a start that failed with a transient error, for as long as the platform waits for the process.
#pragma once

#include <set>
#include <stdexcept>
#include <string>

#include "net/log.h"
#include "net/loop.h"

namespace database_proxy::app {

// The process received SIGTERM or SIGINT before it had started.
struct StartAborted : std::runtime_error {
  StartAborted() : std::runtime_error("stopped by a signal before it had started") {}
};

// The retries of one start.
class StartRetry {
 public:
  explicit StartRetry(net::Log log) : log_(std::move(log)), started_at_(net::monotonic_now()) {}

  // To be called after a step of the start has failed with `error`, a value of errno. Waits briefly and
  // returns true if the step is to be repeated. Returns false if the error is not transient or has lasted too
  // long. Throws StartAborted.
  bool wait_after(int error, const std::string& what);

 private:
  net::Log log_;
  net::Micros started_at_;
  std::set<std::string> logged_;
};

}  // namespace database_proxy::app
