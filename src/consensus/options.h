// The settings of a Raft node.
#pragma once

#include <cstddef>
#include <cstdint>

#include "consensus/types.h"

namespace database_proxy::consensus {

// Set once, when the node starts. docs/design/group.md tells where the defaults come from.
struct Options {
  NodeId self = kNoNode;
  std::uint64_t seed = 0;  // of the random election timeouts

  Micros heartbeat_interval{100'000};
  // An election timeout is drawn between these two each time, so that candidates seldom collide. The default
  // lets several heartbeats be late before an election starts.
  Micros election_timeout_min{600'000}, election_timeout_max{1'200'000};

  // The most that one append carries.
  std::size_t max_batch_entries = 256, max_batch_bytes = 256 * 1024;
  // Entries that remain in the log before a snapshot, for followers that are a little behind.
  std::size_t trailing_entries = 512;
  // Proposals are rejected while so many entries are not committed.
  std::size_t max_uncommitted_entries = 4096;
  // A learner that is at most so many entries behind the commit index may be promoted.
  std::size_t max_promotion_lag = 64;

  // Pre-votes, ignored vote requests while a leader is known, and a leader that steps down without a majority
  // (sections 9.6, 4.2.3 and 6.2 of the paper). Only the model check turns them off, since it has no times.
  bool pre_vote = true, leader_stickiness = true, check_quorum = true;

  // Rules taken away, only for the simulator, which must find each of them. No configuration sets them.
  struct Flaws {
    bool vote_not_saved = false, commits_old_terms = false;
  } flaws{};
};

}  // namespace database_proxy::consensus
