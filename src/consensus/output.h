// The output of Raft::step(): what the driver has to do.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "consensus/messages.h"
#include "consensus/role.h"
#include "consensus/types.h"

namespace database_proxy::consensus {

// One atomic transaction of the store. Its parts are applied in the order of the fields.
struct Write {
  std::uint64_t number = 0;  // increases by one with each write
  std::optional<HardState> hard_state;
  SnapshotPtr snapshot;     // null: unchanged
  Index truncate_from = 0;  // entries at this index and later are removed; 0: none
  Index drop_before = 0;    // entries before this index are removed; 0: none
  std::vector<Entry> append;
};

// A message for another node.
struct OutgoingMessage {
  Message message;
  std::uint64_t required_write = 0;  // the write that must be durable before the message is sent; 0: none
};

// The result of a Proposal or a MembershipChange.
struct ProposalResult {
  std::uint64_t ticket = 0;
  Index index = 0;                    // of the new entry; 0: rejected, and nothing was changed
  Term term = 0;                      // the proposal succeeds if the entry committed at `index` has this term
  const char* rejection_reason = "";  // text for the operator; empty unless rejected
};

// The result of a ReadRequest.
struct ReadResult {
  std::uint64_t ticket = 0;
  bool confirmed = false;  // false: this node is not the leader, or could not confirm that it still is
};

// All output of one step.
struct Output {
  std::vector<Write> writes;
  std::vector<OutgoingMessage> messages;
  // If not null, it replaces the state of the state machine before `committed_entries` are applied.
  SnapshotPtr snapshot_to_restore;
  std::vector<Entry> committed_entries;
  std::vector<ProposalResult> proposal_results;
  std::vector<ReadResult> read_results;
  std::vector<RoleChange> role_changes;
};

}  // namespace database_proxy::consensus
