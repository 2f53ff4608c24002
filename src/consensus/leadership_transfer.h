// The handing over of leadership (section 3.10 of the Raft paper).
//
// The leader takes no more proposals, waits until the log of the target matches its own, and then tells the
// target to start an election at once. It leads on if no election has succeeded by the deadline.
#pragma once

#include "consensus/types.h"

namespace database_proxy::consensus {

// How far a leader's transfer has come. The leader owns it, and cancels it when it stops leading.
class TransferProgress {
 public:
  enum class Phase : std::uint8_t {
    kNone,
    kCatchingUp,         // the target's log does not match the leader's yet
    kElectionRequested,  // the target was told to start an election
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
