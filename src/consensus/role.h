// The role of a node in its group, and the reasons for a role change.
#pragma once

#include <cstdint>

#include "consensus/types.h"

namespace database_proxy::consensus {

// The states of a Raft node. kPreCandidate is the pre-vote phase (section 9.6 of the Raft paper); kHalted is
// the final state of a node whose store has failed.
enum class Role : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader, kHalted };

// The reason for a change of role, term or leader.
enum class RoleChangeReason : std::uint8_t {
  kStarted,
  kElectionTimeout,     // no message from a leader was received within the election timeout
  kElected,             // by a majority
  kLeaderContact,       // a message from the leader of this term was received
  kHigherTerm,          // another node has a higher term
  kLostQuorum,          // no majority responded to the leader within the election timeout
  kLeadershipTransfer,  // the leader requested that this node start an election
  kRemoved,             // this node is no longer a member
  kDiskFailed,          // the store failed, so that this node cannot persist votes or entries
};

// Return the text for log lines; that of the role is also part of the operators' status output, which
// operators' tests compare.
const char* text_of(Role role);
const char* text_of(RoleChangeReason reason);

// A change of role, term or leader, for log lines and for components that act on leadership.
struct RoleChange {
  Role role = Role::kFollower;
  RoleChangeReason reason = RoleChangeReason::kStarted;
  Term term = 0;
  NodeId leader = kNoNode;  // kNoNode: not known
};

}  // namespace database_proxy::consensus
