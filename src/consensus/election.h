// The local state of an election: the timeout that starts it, and the tally of votes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "consensus/membership.h"
#include "consensus/types.h"

namespace database_proxy::consensus {

// The randomized election timeout of section 3.4 of the Raft paper. The same seed gives the same sequence of
// timeouts.
class ElectionTimer {
 public:
  // Draws timeouts of at least `min` and less than `max`.
  ElectionTimer(std::uint64_t seed, Micros min, Micros max) : random_state_(seed), min_(min), max_(max) {}

  // Draws a new timeout and starts it at `now`.
  void reset(Micros now);
  Micros deadline() const { return deadline_; }
  bool has_expired(Micros now) const { return now >= deadline_; }

 private:
  std::uint64_t next_random();

  std::uint64_t random_state_;
  Micros min_, max_;
  Micros deadline_{0};
};

// The responses that a candidate or pre-candidate has received in its current election.
class VoteTally {
 public:
  void clear() { votes_.clear(); }
  // Records a voter's response, which replaces an earlier one of the same voter.
  void record(NodeId voter, bool is_granted) { votes_[voter] = is_granted; }
  // Returns whether a majority of the voters has granted its vote; always false in a group without voters.
  bool has_majority(const Membership& members) const;
  // The responses so far, by voter; true: granted.
  const std::map<NodeId, bool>& votes() const { return votes_; }

 private:
  std::map<NodeId, bool> votes_;
};

}  // namespace database_proxy::consensus
