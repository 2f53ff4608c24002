#include "consensus/leadership_transfer.h"

namespace database_proxy::consensus {

void TransferProgress::begin(NodeId target, Micros deadline) {
  target_ = target;
  deadline_ = deadline;
  change_phase(Phase::kCatchingUp);
}

void TransferProgress::expire(Micros now) {
  if (is_active() && now >= deadline_) cancel();
}

}  // namespace database_proxy::consensus
