// Reads that wait until the leader knows that it still leads (section 6.4 of the Raft paper).
//
// A read is confirmed once a majority has answered a heartbeat round that began after the read. All reads
// that arrive in one step share the next round.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "consensus/output.h"

namespace database_proxy::consensus {

// The reads that wait. Raft owns it; it is empty on a node that does not lead.
class ReadIndex {
 public:
  // Adds a read that `round` or a later one confirms, and asks for such a round.
  void add(std::uint64_t ticket, std::uint64_t round);
  bool empty() const { return pending_.empty(); }

  // Answers the reads that this round confirms.
  void confirm(std::uint64_t round, std::vector<ReadResult>* results);
  // Answers all reads as not confirmed, because this node no longer leads.
  void fail_all(std::vector<ReadResult>* results);

  // Whether a read waits for a round that has not begun. The caller begins one.
  bool take_round_request() { return std::exchange(is_round_requested_, false); }

 private:
  struct PendingRead {
    std::uint64_t ticket, round;
  };
  std::vector<PendingRead> pending_;
  bool is_round_requested_ = false;
};

}  // namespace database_proxy::consensus
