// The role that a node has in its group, and why it changes.
#pragma once

#include <cstdint>

#include "consensus/types.h"

namespace database_proxy::consensus {

// The states of a Raft node. kPreCandidate is the pre-vote phase (section 9.6 of the paper), kHalted the
// final state of a node whose store has failed.
enum class Role : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader, kHalted };

// Why a role, term or leader changed.
enum class RoleChangeReason : std::uint8_t {
  kStarted,
  kElectionTimeout,     // no message of a leader arrived for an election timeout
  kElected,             // by a majority
  kLeaderContact,       // a message of this term's leader arrived
  kHigherTerm,          // another node has a higher term
  kLostQuorum,          // no majority answered the leader for an election timeout
  kLeadershipTransfer,  // the leader asked this node to start an election
  kRemoved,             // this node is no longer a member
  kDiskFailed,          // the store failed, so that this node can promise nothing any more
};

// The names in log lines and in the operator's status. Tests of operators compare them.
const char* text_of(Role role);
const char* text_of(RoleChangeReason reason);

// A change of role, term or leader, for the log and for those who act upon leadership.
struct RoleChange {
  Role role = Role::kFollower;
  RoleChangeReason reason = RoleChangeReason::kStarted;
  Term term = 0;
  NodeId leader = kNoNode;  // kNoNode: not known
};

}  // namespace database_proxy::consensus
