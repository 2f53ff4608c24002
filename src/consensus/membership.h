// The members of a group, and the membership changes in a node's log.
//
// Members are added and removed one at a time (section 4.1 of the Raft paper), so that any majority before a
// change overlaps any majority after it. A node uses the latest membership in its log, whether or not that
// entry is committed.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "consensus/types.h"

namespace database_proxy::consensus {

// The voters and learners of a group. A learner receives the log, but does not vote and does not count
// towards a majority.
struct Membership {
  // Both lists are sorted, and no node is in both.
  std::vector<NodeId> voters, learners;

  bool is_voter(NodeId id) const;
  // Returns whether the node is a voter or a learner.
  bool has(NodeId id) const;
  // The number of voters that form a majority.
  std::size_t majority() const { return voters.size() / 2 + 1; }

  // Adds the node as a voter or a learner, and removes it from the other list; remove() removes it from both.
  void add_voter(NodeId id);
  void add_learner(NodeId id);
  void remove(NodeId id);

  // Returns the data of an entry of type kMembers: for each member "v" (voter) or "l" (learner), the id and a
  // space.
  std::string encode() const;
  // Returns nullopt if the text is malformed or contains a member twice.
  static std::optional<Membership> decode(const std::string& text);

  bool operator==(const Membership&) const = default;
};

// Every membership that may be in effect again after the log is truncated, each with the index of its entry.
// There is always at least one: that of the snapshot, or an empty one for a node that belongs to no group.
class MembershipHistory {
 public:
  MembershipHistory(Index index, Membership initial);

  // The membership in effect: the latest in the log, committed or not.
  const Membership& latest() const { return entries_.back().members; }
  // Returns the membership in effect at `index`, or an empty one if it is not known.
  Membership at(Index index) const;
  // Returns whether the latest change is not yet committed.
  bool has_uncommitted_change(Index commit) const { return entries_.back().index > commit; }
  // Returns whether the node is a voter, or was one before the latest change while that is not yet committed.
  bool is_voter_until_committed(NodeId id, Index commit) const;

  // Adds the membership of the entry at `index`, which is after all changes so far.
  void append(Index index, Membership members);
  // Removes the changes at `from` and later, because their entries are removed from the log.
  void truncate_from(Index from);
  // Removes the changes before the one in effect at `index`, because a snapshot replaces their entries.
  void compact_to(Index index);
  // Replaces all changes by `members`, the membership of a snapshot at `index`.
  void reset(Index index, Membership members);

 private:
  struct Change {
    Index index;
    Membership members;
  };
  std::vector<Change> entries_;  // sorted by index, never empty
};

}  // namespace database_proxy::consensus
