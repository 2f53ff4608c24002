// The message that the nodes of a group exchange. One structure serves all types; src/peers encodes it.
#pragma once

#include <cstdint>
#include <vector>

#include "consensus/snapshot.h"
#include "consensus/types.h"

namespace database_proxy::consensus {

// A remote procedure call of the Raft paper, or its response. Fields that a type does not use keep their
// default value.
struct Message {
  // The values are sent between nodes: a new one must be added at the end.
  enum class Type : std::uint8_t {
    kRequestPreVote,
    kRequestPreVoteResponse,
    kRequestVote,
    kRequestVoteResponse,
    kAppendEntries,
    kAppendEntriesResponse,
    kInstallSnapshot,
    kTimeoutNow
  };
  Type type = Type::kAppendEntries;
  NodeId from = kNoNode, to = kNoNode;
  // The sender's term; in a pre-vote request and its grant, the term that the election would start.
  Term term = 0;

  // Vote requests: index of the candidate's last entry. Appends: index of the entry before `entries`.
  // Responses to appends: the highest index known to match or, with `reject`, a hint for the highest index at
  // which the logs may agree.
  Index index = 0;
  Term log_term = 0;         // vote requests and appends: the term of the entry at `index`
  Index commit = 0;          // appends: the leader's commit index
  Index rejected_index = 0;  // rejected appends: the `index` of the rejected append
  bool reject = false;
  bool forced = false;      // vote requests: the leader requested this election with kTimeoutNow
  std::uint64_t round = 0;  // appends and their responses: the heartbeat round that a response acknowledges
  std::vector<Entry> entries;
  SnapshotPtr snapshot;  // kInstallSnapshot
};

}  // namespace database_proxy::consensus
