#include "consensus/replication.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace database_proxy::consensus {
namespace {

// An unanswered append is considered lost after this many heartbeat intervals: a response may take one of
// them.
constexpr int kAppendTimeoutHeartbeats = 2;
// An unanswered snapshot is sent again after this many heartbeat intervals, 3 s by default, because sending
// and storing a large one takes time.
constexpr int kSnapshotTimeoutHeartbeats = 30;
// Estimated size of an entry in a message besides its data: term, index, type and encoding.
constexpr std::size_t kEntryOverheadBytes = 32;

// Returns the highest value that a majority has reached. `values` has one element for each voter and is not
// empty.
std::uint64_t reached_by_majority(std::vector<std::uint64_t> values, std::size_t majority) {
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[majority - 1];
}

}  // namespace

bool PeerProgress::on_rejected(Index rejected_index, Index hint) {
  if (is_snapshot_outstanding || rejected_index <= match) return false;
  next = std::max(match + 1, std::min(rejected_index, hint + 1));
  is_append_outstanding = false;
  return true;
}

void PeerProgress::on_accepted(Index index, Index base_index) {
  match = std::max(match, index);
  if (match + 1 >= next) {  // all entries sent so far are durable on the member
    next = match + 1;
    is_append_outstanding = false;
  }
  // The leader's log may meanwhile have been compacted beyond the outstanding snapshot; a newer snapshot is
  // then sent at once.
  if (is_snapshot_outstanding && match >= std::min(snapshot_index, base_index))
    is_snapshot_outstanding = false;
}

void Replication::start(const Membership& members, Index last_index, Micros now) {
  clear();
  update_members(members, last_index, now);
  round_ = 0;
}

void Replication::update_members(const Membership& members, Index last_index, Micros now) {
  auto track = [&](NodeId id) {
    if (id == self_ || peers_.count(id)) return;
    auto& peer = peers_[id];
    peer.next = last_index + 1;
    peer.last_contact = now;
  };
  for (auto id : members.voters) track(id);
  for (auto id : members.learners) track(id);
  std::erase_if(peers_, [&](const auto& peer) { return !members.has(peer.first); });
}

PeerProgress* Replication::find(NodeId id) {
  auto found = peers_.find(id);
  return found == peers_.end() ? nullptr : &found->second;
}

const PeerProgress* Replication::find(NodeId id) const {
  auto found = peers_.find(id);
  return found == peers_.end() ? nullptr : &found->second;
}

std::optional<Index> Replication::majority_match(const Membership& members, Index own_durable) const {
  if (members.voters.empty()) return std::nullopt;
  std::vector<Index> matches;
  for (auto id : members.voters) {
    const auto* peer = find(id);
    const Index peer_match = peer ? peer->match : 0;
    matches.push_back(id == self_ ? own_durable : peer_match);
  }
  return reached_by_majority(std::move(matches), members.majority());
}

std::uint64_t Replication::majority_round(const Membership& members) const {
  std::vector<std::uint64_t> rounds;
  for (auto id : members.voters) {
    const auto* peer = find(id);
    const std::uint64_t peer_round = peer ? peer->round : 0;
    rounds.push_back(id == self_ ? round_ : peer_round);
  }
  return reached_by_majority(std::move(rounds), members.majority());
}

bool Replication::has_quorum_contact(const Membership& members, Micros now, Micros timeout) const {
  std::size_t in_contact = members.is_voter(self_) ? 1 : 0;
  for (const auto& [id, peer] : peers_) {
    if (members.is_voter(id) && now - peer.last_contact < timeout) ++in_contact;
  }
  return in_contact >= members.majority();
}

std::size_t Replication::responsive_voters(const Membership& members, Micros now, Micros timeout) const {
  std::size_t responsive = members.is_voter(self_) ? 1 : 0;
  for (const auto& [id, peer] : peers_) {
    const bool has_answered = peer.round > 0;
    if (members.is_voter(id) && has_answered && now - peer.last_contact < timeout) ++responsive;
  }
  return responsive;
}

NodeId Replication::most_advanced_voter(const Membership& members, Micros now, Micros timeout) const {
  NodeId found = kNoNode;
  Index best_match = 0;
  for (const auto& [id, peer] : peers_) {
    if (!members.is_voter(id) || now - peer.last_contact >= timeout || peer.match < best_match) continue;
    found = id;
    best_match = peer.match;
  }
  return found;
}

void Replication::expire_lost_messages(PeerProgress& peer, Micros now) const {
  const auto elapsed = now - peer.last_sent;
  if (peer.is_snapshot_outstanding && elapsed >= heartbeat_interval_ * kSnapshotTimeoutHeartbeats)
    peer.is_snapshot_outstanding = false;
  if (peer.is_append_outstanding && elapsed >= heartbeat_interval_ * kAppendTimeoutHeartbeats) {
    peer.is_append_outstanding = false;
    peer.next = peer.match + 1;
  }
}

std::optional<Message> Replication::next_message(NodeId id, const LeaderView& view, bool is_heartbeat) {
  auto& peer = peers_.at(id);
  expire_lost_messages(peer, view.now);
  Message message;
  message.to = id;
  message.commit = view.commit;
  message.round = round_;
  const bool needs_snapshot = peer.next <= view.log.base_index();
  if (needs_snapshot && !peer.is_snapshot_outstanding && view.snapshot) {
    message.type = Message::Type::kInstallSnapshot;
    message.snapshot = view.snapshot;
    peer.is_snapshot_outstanding = true;
    peer.snapshot_index = view.snapshot->index;
    peer.last_sent = view.now;
    return message;
  }
  const bool can_append = !peer.is_snapshot_outstanding && !peer.is_append_outstanding && !needs_snapshot;
  const bool has_entries = can_append && peer.next <= view.log.last_index();
  if (!has_entries && !is_heartbeat) return std::nullopt;
  message.index = peer.is_snapshot_outstanding || needs_snapshot ? view.log.base_index() : peer.next - 1;
  message.log_term = view.log.term_at(message.index);
  if (has_entries) {
    add_entries(message, peer.next, view.log);
    peer.next = message.entries.back().index + 1;
    peer.is_append_outstanding = true;
    peer.last_sent = view.now;
  }
  return message;
}

// Adds entries up to the batch limits, but at least one entry, whatever its size.
void Replication::add_entries(Message& message, Index first, const RaftLog& log) const {
  std::size_t bytes = 0;
  for (Index i = first; i <= log.last_index() && message.entries.size() < max_batch_entries_; ++i) {
    const auto& entry = *log.entry(i);
    bytes += entry.data.size() + kEntryOverheadBytes;
    if (bytes > max_batch_bytes_ && !message.entries.empty()) break;
    message.entries.push_back(entry);
  }
}

}  // namespace database_proxy::consensus
