// Leadership transfer (section 3.10 of the Raft paper).
//
// The leader rejects new proposals, waits until the target's log matches its own, and then sends the target a
// TimeoutNow message, which makes it start an election at once. If no election has succeeded by the deadline,
// the leader resumes normal operation.
#pragma once

#include "consensus/types.h"

namespace database_proxy::consensus {

// The progress of a leader's transfer. The leader owns it, and cancels it when it steps down.
class TransferProgress {
 public:
  enum class Phase : std::uint8_t {
    kNone,
    kCatchingUp,         // the target's log does not yet match the leader's
    kElectionRequested,  // TimeoutNow has been sent to the target
  };

  void begin(NodeId target, Micros deadline);
  void on_election_requested() { change_phase(Phase::kElectionRequested); }
  void cancel() { change_phase(Phase::kNone); }
  // Cancels a transfer whose deadline has passed.
  void expire(Micros now);

  bool is_active() const { return phase_ != Phase::kNone; }
  bool is_catching_up() const { return phase_ == Phase::kCatchingUp; }
  NodeId target() const { return target_; }

 private:
  void change_phase(Phase phase) { phase_ = phase; }

  Phase phase_ = Phase::kNone;
  NodeId target_ = kNoNode;
  Micros deadline_{0};
};

}  // namespace database_proxy::consensus
