// The settings of a Raft node.
#pragma once

#include <cstddef>
#include <cstdint>

#include "consensus/types.h"

namespace database_proxy::consensus {

// Fixed when the node starts. docs/design/group.md explains the defaults.
struct Options {
  NodeId self = kNoNode;
  std::uint64_t seed = 0;  // of the randomized election timeouts

  Micros heartbeat_interval{100'000};
  // Each election timeout is drawn at random from this range, so that split votes are rare. With the
  // defaults, an election starts only after several heartbeats are missing.
  Micros election_timeout_min{600'000}, election_timeout_max{1'200'000};

  // Limits of one append, in entries and in bytes.
  std::size_t max_batch_entries = 256, max_batch_bytes = 256 * 1024;
  // Number of entries before a snapshot that stay in the log, so that followers that are slightly behind need
  // no snapshot.
  std::size_t trailing_entries = 512;
  // Proposals are rejected while this many entries are not yet committed.
  std::size_t max_uncommitted_entries = 4096;
  // A learner may be promoted if it is at most this many entries behind the commit index.
  std::size_t max_promotion_lag = 64;

  // Pre-vote (section 9.6 of the Raft paper), ignoring vote requests while in contact with a leader (section
  // 4.2.3), and a leader's step-down when it has lost contact with a majority (section 6.2). Only the model
  // check turns them off, because it does not model time.
  bool pre_vote = true, leader_stickiness = true, check_quorum = true;

  // Deliberate violations of the protocol for the simulator and the model check, whose tests verify that each
  // is detected. No configuration sets them.
  struct Flaws {
    bool vote_not_saved = false, commits_old_terms = false;
  } flaws{};
};

}  // namespace database_proxy::consensus
