#include "app/start_retry.h"

#include <chrono>

#include "app/signals.h"
#include "net/system_errors.h"

namespace database_proxy::app {
namespace {

using namespace std::chrono_literals;

// The platform gives a new process 6 s until it serves; it needs some of them after its start.
constexpr net::Micros kMaxStartDuration = 5500ms;
constexpr net::Micros kRetryInterval = 50ms;

}  // namespace

bool StartRetry::wait_after(int error, const std::string& what) {
  if (!net::is_transient(error)) return false;
  if (net::monotonic_now() - started_at_ > kMaxStartDuration) return false;
  if (logged_.insert(what).second) log_(net::Level::kWarning, what + "; trying again");
  if (wait_for_termination(kRetryInterval)) throw StartAborted();
  return true;
}

}  // namespace database_proxy::app
