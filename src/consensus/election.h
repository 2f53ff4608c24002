// The parts of an election that are not messages: the timeout that starts it, and the count of votes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "consensus/membership.h"
#include "consensus/types.h"

namespace database_proxy::consensus {

// The random election timeout of section 3.4 of the Raft paper. The same seed gives the same timeouts.
class ElectionTimer {
 public:
  // Timeouts are at least `min` and less than `max`.
  ElectionTimer(std::uint64_t seed, Micros min, Micros max) : random_state_(seed), min_(min), max_(max) {}

  // Draws a new timeout, which begins now.
  void reset(Micros now);
  Micros deadline() const { return deadline_; }
  bool has_expired(Micros now) const { return now >= deadline_; }

 private:
  std::uint64_t next_random();

  std::uint64_t random_state_;
  Micros min_, max_;
  Micros deadline_{0};
};

// The votes that a candidate or pre-candidate has received in its current attempt.
class VoteTally {
 public:
  void clear() { votes_.clear(); }
  // A later answer of the same voter replaces the earlier one.
  void record(NodeId voter, bool is_granted) { votes_[voter] = is_granted; }
  // Whether a majority of the voters has granted its vote. Never the case in a group without voters.
  bool has_majority(const Membership& members) const;
  // The answers so far; true: granted.
  const std::map<NodeId, bool>& votes() const { return votes_; }

 private:
  std::map<NodeId, bool> votes_;
};

}  // namespace database_proxy::consensus
