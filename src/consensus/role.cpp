#include "consensus/role.h"

namespace database_proxy::consensus {

const char* text_of(Role role) {
  switch (role) {
    case Role::kFollower:
      return "follower";
    case Role::kPreCandidate:
      return "pre-candidate";
    case Role::kCandidate:
      return "candidate";
    case Role::kLeader:
      return "leader";
    case Role::kHalted:
      return "halted";
  }
  return "?";
}

const char* text_of(RoleChangeReason reason) {
  switch (reason) {
    case RoleChangeReason::kStarted:
      return "started";
    case RoleChangeReason::kElectionTimeout:
      return "no leader was heard of";
    case RoleChangeReason::kElected:
      return "elected by a majority";
    case RoleChangeReason::kLeaderContact:
      return "heard of the leader of this term";
    case RoleChangeReason::kHigherTerm:
      return "somebody has a higher term";
    case RoleChangeReason::kLostQuorum:
      return "no majority answered for an election timeout";
    case RoleChangeReason::kLeadershipTransfer:
      return "asked by the leader";
    case RoleChangeReason::kRemoved:
      return "no longer a member";
    case RoleChangeReason::kDiskFailed:
      return "its disk failed";
  }
  return "?";
}

}  // namespace database_proxy::consensus
