// What a driver may feed into Raft::step().
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "consensus/messages.h"
#include "consensus/types.h"

namespace database_proxy::consensus {

// The time that Raft::due() named has come.
struct Tick {};

// A message of another node arrived.
struct MessageReceived {
  Message message;
};

// All writes up to this one are durable.
struct WriteCompleted {
  std::uint64_t number = 0;
};

// The store is full or broken. From now on this node promises nothing.
struct WriteFailed {};

// A command for the replicated state machine. The ProposalResult has the same ticket.
struct Proposal {
  std::uint64_t ticket = 0;
  std::string data;
};

// A change of one member. The ProposalResult has the same ticket.
struct MembershipChange {
  enum class Kind : std::uint8_t { kAddLearner, kPromote, kRemove };
  std::uint64_t ticket = 0;
  Kind kind = Kind::kAddLearner;
  NodeId node = kNoNode;
};

// A request to confirm that this node still leads, before it answers a read (section 6.4 of the paper). The
// ReadResult has the same ticket.
struct ReadRequest {
  std::uint64_t ticket = 0;
};

// A request to hand leadership over.
struct LeadershipTransfer {
  NodeId to = kNoNode;  // kNoNode: the voter whose log is the most advanced
};

// The driver has made a snapshot of its state machine.
struct SnapshotTaken {
  Index index = 0;  // of the last applied entry that it contains; ignored unless after the last snapshot
  std::string data;
};

using Input = std::variant<Tick, MessageReceived, WriteCompleted, WriteFailed, Proposal, MembershipChange,
                           ReadRequest, LeadershipTransfer, SnapshotTaken>;

}  // namespace database_proxy::consensus
