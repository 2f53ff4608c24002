#include "consensus/membership.h"

#include <algorithm>
#include <charconv>
#include <system_error>
#include <utility>

namespace database_proxy::consensus {
namespace {

constexpr char kVoterPrefix = 'v';
constexpr char kLearnerPrefix = 'l';

bool contains(const std::vector<NodeId>& ids, NodeId id) {
  return std::binary_search(ids.begin(), ids.end(), id);
}

void insert_sorted(std::vector<NodeId>* ids, NodeId id) {
  if (!contains(*ids, id)) ids->insert(std::upper_bound(ids->begin(), ids->end(), id), id);
}

}  // namespace

bool Membership::is_voter(NodeId id) const { return contains(voters, id); }

bool Membership::has(NodeId id) const { return contains(voters, id) || contains(learners, id); }

void Membership::add_voter(NodeId id) {
  remove(id);
  insert_sorted(&voters, id);
}

void Membership::add_learner(NodeId id) {
  remove(id);
  insert_sorted(&learners, id);
}

void Membership::remove(NodeId id) {
  std::erase(voters, id);
  std::erase(learners, id);
}

std::string Membership::encode() const {
  std::string text;
  for (auto id : voters) text += kVoterPrefix + std::to_string(id) + " ";
  for (auto id : learners) text += kLearnerPrefix + std::to_string(id) + " ";
  return text;
}

std::optional<Membership> Membership::decode(const std::string& text) {
  Membership members;
  for (std::size_t at = 0; at < text.size();) {
    const auto end = text.find(' ', at);
    if (end == std::string::npos || end < at + 2) return std::nullopt;
    NodeId id = 0;
    const auto [stop, error] = std::from_chars(text.data() + at + 1, text.data() + end, id);
    if (error != std::errc() || stop != text.data() + end) return std::nullopt;
    if (id == kNoNode || members.has(id)) return std::nullopt;
    if (text[at] != kVoterPrefix && text[at] != kLearnerPrefix) return std::nullopt;
    insert_sorted(text[at] == kVoterPrefix ? &members.voters : &members.learners, id);
    at = end + 1;
  }
  return members;
}

MembershipHistory::MembershipHistory(Index index, Membership initial) { reset(index, std::move(initial)); }

Membership MembershipHistory::at(Index index) const {
  Membership found;
  for (const auto& change : entries_) {
    if (change.index <= index) found = change.members;
  }
  return found;
}

bool MembershipHistory::is_voter_until_committed(NodeId id, Index commit) const {
  if (latest().is_voter(id)) return true;
  if (entries_.size() < 2 || !has_uncommitted_change(commit)) return false;
  return entries_[entries_.size() - 2].members.is_voter(id);
}

void MembershipHistory::append(Index index, Membership members) {
  entries_.push_back({index, std::move(members)});
}

void MembershipHistory::truncate_from(Index from) {
  while (entries_.size() > 1 && entries_.back().index >= from) entries_.pop_back();
}

void MembershipHistory::compact_to(Index index) {
  while (entries_.size() > 1 && entries_[1].index <= index) entries_.erase(entries_.begin());
  entries_.front().index = std::min(entries_.front().index, index);
}

void MembershipHistory::reset(Index index, Membership members) {
  entries_.clear();
  append(index, std::move(members));
}

}  // namespace database_proxy::consensus
