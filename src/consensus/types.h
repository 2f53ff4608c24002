// The basic types shared by all parts of the consensus module, and the entries of the replicated log. Their
// names are those of the Raft paper (Ongaro, "Consensus: Bridging Theory and Practice", 2014).
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace database_proxy::consensus {

// A time on the caller's monotonic clock, or a duration. The module itself reads no clock.
using Micros = std::chrono::microseconds;

// The number of an election period. At most one leader is elected in each term. 0 means no term.
using Term = std::uint64_t;

// The position of an entry in the log. The first entry has index 1; 0 means none.
using Index = std::uint64_t;

// The identity of a node, which belongs to its data directory. A node that restarts with an empty directory
// is a different node with a different id, because it no longer knows the votes that it granted.
using NodeId = std::uint64_t;
constexpr NodeId kNoNode = 0;

// The type of a log entry. The values are stored and sent: a new one must be added at the end.
enum class EntryType : std::uint8_t {
  kNoOp,     // the entry that a new leader appends at the start of its term
  kMembers,  // an encoded Membership
  kCommand,  // a command for the replicated state machine
};

// One entry of the replicated log.
struct Entry {
  Term term = 0;  // of the leader that created it
  Index index = 0;
  EntryType type = EntryType::kNoOp;
  std::string data;
  bool operator==(const Entry&) const = default;
};

// The state that a node must make durable before it answers a vote request: "currentTerm" and "votedFor" of
// the Raft paper.
struct HardState {
  Term term = 0;
  NodeId vote = kNoNode;  // the candidate to which this node granted its vote in `term`
  bool operator==(const HardState&) const = default;
};

}  // namespace database_proxy::consensus
