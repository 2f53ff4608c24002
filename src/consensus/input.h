// The inputs that a driver passes to Raft::step().
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "consensus/messages.h"
#include "consensus/types.h"

namespace database_proxy::consensus {

// The time that Raft::due() returned has been reached.
struct Tick {};

// A message from another node was received.
struct MessageReceived {
  Message message;
};

// All writes up to and including this number are durable.
struct WriteCompleted {
  std::uint64_t number = 0;
};

// A write failed because the store is full or defective. From now on this node grants no vote and
// acknowledges no entry, since it could not persist them.
struct WriteFailed {};

// A command for the replicated state machine. Its ProposalResult carries the same ticket.
struct Proposal {
  std::uint64_t ticket = 0;
  std::string data;
};

// The addition, promotion or removal of one member. Its ProposalResult carries the same ticket.
struct MembershipChange {
  enum class Kind : std::uint8_t { kAddLearner, kPromote, kRemove };
  std::uint64_t ticket = 0;
  Kind kind = Kind::kAddLearner;
  NodeId node = kNoNode;
};

// A request to confirm that this node is still the leader before it serves a read (section 6.4 of the Raft
// paper). Its ReadResult carries the same ticket.
struct ReadRequest {
  std::uint64_t ticket = 0;
};

// A request to transfer leadership to another voter.
struct LeadershipTransfer {
  NodeId to = kNoNode;  // kNoNode: the responsive voter whose log matches furthest
};

// The driver has taken a snapshot of its state machine.
struct SnapshotTaken {
  // Index of the last applied entry that the snapshot contains. The input is ignored unless this is after the
  // previous snapshot.
  Index index = 0;
  std::string data;
};

using Input = std::variant<Tick, MessageReceived, WriteCompleted, WriteFailed, Proposal, MembershipChange,
                           ReadRequest, LeadershipTransfer, SnapshotTaken>;

}  // namespace database_proxy::consensus
