// Linearizable reads by read index (section 6.4 of the Raft paper): reads wait until the leader has confirmed
// that it is still the leader.
//
// A read is confirmed once a majority has acknowledged a heartbeat round that began after the read was
// received. All reads received in one step share the next round.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "consensus/output.h"

namespace database_proxy::consensus {

// The pending reads. Raft owns it; it is empty on a node that is not the leader.
class ReadIndex {
 public:
  // Adds a read that `round` or a later round confirms, and requests a new round.
  void add(std::uint64_t ticket, std::uint64_t round);
  bool empty() const { return pending_.empty(); }

  // Adds a confirmed result for each pending read that `round` confirms.
  void confirm(std::uint64_t round, std::vector<ReadResult>* results);
  // Adds an unconfirmed result for each pending read, because this node is no longer the leader.
  void fail_all(std::vector<ReadResult>* results);

  // Returns whether a pending read needs a round that has not begun, and clears the request: the caller
  // begins the round.
  bool take_round_request() { return std::exchange(is_round_requested_, false); }

 private:
  struct PendingRead {
    std::uint64_t ticket, round;
  };
  std::vector<PendingRead> pending_;
  bool is_round_requested_ = false;
};

}  // namespace database_proxy::consensus
