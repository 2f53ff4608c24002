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
      return "no contact with a leader within the election timeout";
    case RoleChangeReason::kElected:
      return "elected by a majority";
    case RoleChangeReason::kLeaderContact:
      return "received a message from the leader of this term";
    case RoleChangeReason::kHigherTerm:
      return "another node has a higher term";
    case RoleChangeReason::kLostQuorum:
      return "no response from a majority within the election timeout";
    case RoleChangeReason::kLeadershipTransfer:
      return "leadership transfer requested by the leader";
    case RoleChangeReason::kRemoved:
      return "no longer a member";
    case RoleChangeReason::kDiskFailed:
      return "disk write failed";
  }
  return "?";
}

}  // namespace database_proxy::consensus
