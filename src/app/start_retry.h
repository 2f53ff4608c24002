// A start that fails for a reason that passes is made again, for as long as the platform waits for it.
#pragma once

#include <set>
#include <stdexcept>
#include <string>

#include "net/log.h"
#include "net/loop.h"

namespace database_proxy::app {

// The process was told to end before it had started.
struct StartAborted : std::runtime_error {
  StartAborted() : std::runtime_error("told to end before it had started") {}
};

class StartRetry {
 public:
  explicit StartRetry(net::Log log) : log_(std::move(log)), started_at_(net::monotonic_now()) {}

  // A part of the start has failed with this error. Returns after a moment where it is to be made again;
  // false: the error does not pass, or has lasted too long. Throws StartAborted.
  bool wait_after(int error, const std::string& what);

 private:
  net::Log log_;
  net::Micros started_at_;
  std::set<std::string> logged_;
};

}  // namespace database_proxy::app
