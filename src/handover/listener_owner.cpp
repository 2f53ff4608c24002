#include "handover/listener_owner.h"

#include <fcntl.h>
#include <unistd.h>

#include "handover/process_identity.h"

namespace database_proxy::handover {

bool ListenerOwner::claim() const { return fcntl(listener_, F_SETOWN, getpid()) == 0; }

bool ListenerOwner::is_served_by_other() const {
  auto owner = other_owner();
  return owner > 0 && state_of(owner) == ProcessState::kRunning;
}

pid_t ListenerOwner::other_owner() const {
  auto owner = static_cast<pid_t>(fcntl(listener_, F_GETOWN));
  bool is_other = owner > 0 && owner != getpid() && state_of(owner) != ProcessState::kGone;
  return is_other ? owner : 0;
}

bool ListenerOwner::is_abandoned() const {
  auto owner = static_cast<pid_t>(fcntl(listener_, F_GETOWN));
  return owner <= 0 || state_of(owner) == ProcessState::kGone;
}

}  // namespace database_proxy::handover
