// The message that nodes of a group exchange. One structure serves all types; src/peers encodes it.
#pragma once

#include <cstdint>
#include <vector>

#include "consensus/snapshot.h"
#include "consensus/types.h"

namespace database_proxy::consensus {

// A remote procedure call of the Raft paper, or its response. Fields that a type does not use keep their
// default.
struct Message {
  // Values are sent: a new one is added at the end.
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
  Term term = 0;  // of the sender; of a pre-vote and its grant: the term that an election would start

  // Vote requests: the index of the candidate's last entry. Appends: of the entry before `entries`. Responses
  // to appends: the highest index known to match, or, with `reject`, a hint where the logs may agree.
  Index index = 0;
  Term log_term = 0;         // vote requests and appends: the term of the entry at `index`
  Index commit = 0;          // appends: the leader's commit index
  Index rejected_index = 0;  // rejected appends: the `index` of the append that did not fit
  bool reject = false;
  bool forced = false;      // vote requests: the leader asked for this election with kTimeoutNow
  std::uint64_t round = 0;  // appends and their responses: the heartbeat round that a response confirms
  std::vector<Entry> entries;
  SnapshotPtr snapshot;  // kInstallSnapshot
};

}  // namespace database_proxy::consensus
