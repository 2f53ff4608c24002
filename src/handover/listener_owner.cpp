#include "handover/listener_owner.h"

#include <fcntl.h>
#include <unistd.h>

#include <csignal>

#include "handover/process_identity.h"

namespace database_proxy::handover {
namespace {

// Values of F_SETSIG on the open file description. The kernel never sends these signals, because O_ASYNC is
// not set.
constexpr int kClaimedSignal = 0, kReleasedSignal = SIGURG;

}  // namespace

bool ListenerOwner::claim() const {
  if (fcntl(listener_, F_SETOWN, getpid()) != 0) return false;
  fcntl(listener_, F_SETSIG, kClaimedSignal);
  return true;
}

void ListenerOwner::release() const { fcntl(listener_, F_SETSIG, kReleasedSignal); }

bool ListenerOwner::is_served_by_other() const {
  auto owner = other_owner();
  return owner > 0 && state_of(owner) == ProcessState::kRunning;
}

pid_t ListenerOwner::other_owner() const {
  auto owner = static_cast<pid_t>(fcntl(listener_, F_GETOWN));
  bool is_other = owner > 0 && owner != getpid() && state_of(owner) != ProcessState::kGone;
  return is_other ? owner : 0;
}

bool ListenerOwner::is_vacant() const {
  if (fcntl(listener_, F_GETSIG) == kReleasedSignal) return true;
  auto owner = static_cast<pid_t>(fcntl(listener_, F_GETOWN));
  return owner <= 0 || state_of(owner) == ProcessState::kGone;
}

}  // namespace database_proxy::handover
