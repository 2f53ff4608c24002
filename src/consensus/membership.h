// The members of a group, and the changes of membership that a node's log contains.
//
// Members change one at a time (section 4.1 of the Raft paper): the majorities before and after such a change
// always overlap. A node uses the latest membership in its log, whether or not that entry is committed.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "consensus/types.h"

namespace database_proxy::consensus {

// The voters and learners of a group. A learner receives the log but neither votes nor counts for a majority.
struct Membership {
  // Both are sorted, and no node is in both.
  std::vector<NodeId> voters, learners;

  // Whether the node is a voter.
  bool is_voter(NodeId id) const;
  // Whether the node is a voter or a learner.
  bool has(NodeId id) const;
  // How many voters form a majority.
  std::size_t majority() const { return voters.size() / 2 + 1; }

  // Adds the node as a voter or a learner and takes it out of the other list; remove() takes it out of both.
  void add_voter(NodeId id);
  void add_learner(NodeId id);
  void remove(NodeId id);

  // The data of an entry of type kMembers: "v" or "l" followed by the id and a space, for each member.
  std::string encode() const;
  // Returns nothing where the text is malformed or names a member twice.
  static std::optional<Membership> decode(const std::string& text);

  bool operator==(const Membership&) const = default;
};

// Every membership that the log may still return to, each with the index of its entry. There is always at
// least one: that of the snapshot, or an empty one for a node that belongs to no group.
class MembershipHistory {
 public:
  MembershipHistory(Index index, Membership initial);

  // The membership in force: the latest in the log, committed or not.
  const Membership& latest() const { return entries_.back().members; }
  // The membership that was in force at `index`; an empty one if that is not known.
  Membership at(Index index) const;
  // Whether the latest change is not committed yet.
  bool has_uncommitted_change(Index commit) const { return entries_.back().index > commit; }
  // Whether the node votes, or votes until the uncommitted change that removes it is committed.
  bool is_voter_until_committed(NodeId id, Index commit) const;

  // Adds the membership of the entry at `index`, which comes after all others.
  void append(Index index, Membership members);
  // Forgets the changes at `from` and later, because these entries are removed from the log.
  void truncate_from(Index from);
  // Forgets the changes before the one in force at `index`, because a snapshot replaces these entries.
  void compact_to(Index index);
  // Forgets everything; `members`, of a snapshot at `index`, takes its place.
  void reset(Index index, Membership members);

 private:
  struct Change {
    Index index;
    Membership members;
  };
  std::vector<Change> entries_;  // sorted by index, never empty
};

}  // namespace database_proxy::consensus
