// What Raft::step() asks its driver to do.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "consensus/messages.h"
#include "consensus/role.h"
#include "consensus/types.h"

namespace database_proxy::consensus {

// One transaction of the store. Its parts are carried out in this order, all or none.
struct Write {
  std::uint64_t number = 0;  // rises by one with each write
  std::optional<HardState> hard_state;
  SnapshotPtr snapshot;     // null: unchanged
  Index truncate_from = 0;  // entries at this index and later are removed; 0: none
  Index drop_before = 0;    // entries before this index are removed; 0: none
  std::vector<Entry> append;
};

// A message for another node.
struct OutgoingMessage {
  Message message;
  std::uint64_t required_write = 0;  // it is sent once the write of this number is durable; 0: at once
};

// The answer to a Proposal or a MembershipChange.
struct ProposalResult {
  std::uint64_t ticket = 0;
  Index index = 0;                    // 0: rejected, nothing was changed
  Term term = 0;                      // it is in force once the entry of this term is committed at `index`
  const char* rejection_reason = "";  // rejected: a sentence for the operator
};

// The answer to a ReadRequest.
struct ReadResult {
  std::uint64_t ticket = 0;
  bool confirmed = false;  // false: this node does not lead, or leads no longer
};

// All that one step asks for.
struct Output {
  std::vector<Write> writes;
  std::vector<OutgoingMessage> messages;
  SnapshotPtr
      snapshot_to_restore;  // not null: it replaces the state machine, before `committed_entries` are applied
  std::vector<Entry> committed_entries;
  std::vector<ProposalResult> proposal_results;
  std::vector<ReadResult> read_results;
  std::vector<RoleChange> role_changes;
};

}  // namespace database_proxy::consensus
