// The quantities that every part of the consensus module shares, and the entries of the replicated log. Terms
// are those of the Raft paper (Ongaro, "Consensus: Bridging Theory and Practice", 2014).
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace database_proxy::consensus {

// A time on the caller's monotonic clock, or a duration. The module itself reads no clock.
using Micros = std::chrono::microseconds;

// The number of an election period. At most one leader is elected in each. 0: no term.
using Term = std::uint64_t;

// The position of an entry in the log. The first entry has index 1; 0 means none.
using Index = std::uint64_t;

// Identifies one data directory. A node that restarts with an empty directory is a different node, because it
// does not remember the votes that it granted.
using NodeId = std::uint64_t;
constexpr NodeId kNoNode = 0;

// What an entry of the log means. Values are stored and sent: a new one is added at the end.
enum class EntryType : std::uint8_t {
  kNoOp,     // the entry with which a leader starts its term
  kMembers,  // an encoded Membership
  kCommand,  // data for the replicated state machine
};

// One entry of the replicated log.
struct Entry {
  Term term = 0;  // of the leader that created it
  Index index = 0;
  EntryType type = EntryType::kNoOp;
  std::string data;
  bool operator==(const Entry&) const = default;
};

// What a node must remember before it answers a vote request: "currentTerm" and "votedFor" of the paper.
struct HardState {
  Term term = 0;
  NodeId vote = kNoNode;  // the candidate that received this node's vote in `term`
  bool operator==(const HardState&) const = default;
};

}  // namespace database_proxy::consensus
