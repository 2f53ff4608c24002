#include "consensus/raft.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <stdexcept>
#include <utility>

namespace database_proxy::consensus {
namespace {

using Type = Message::Type;

// A snapshot whose receipt is not told is sent again after so many heartbeats; large ones take a while.
constexpr int kSnapshotPatience = 30;
// An append without an answer is sent again after so many heartbeats: the link may have lost it.
constexpr int kAppendPatience = 2;

bool holds(const std::vector<NodeId>& ids, NodeId id) {
  return std::binary_search(ids.begin(), ids.end(), id);
}
void insert(std::vector<NodeId>* ids, NodeId id) {
  if (!holds(*ids, id)) ids->insert(std::upper_bound(ids->begin(), ids->end(), id), id);
}

}  // namespace

const char* text_of(Role role) {
  switch (role) {
    case Role::kFollower:
      return "follower";
    case Role::kPreCandidate:
      return "pre-candidate";
    case Role::kCandidate:
      return "candidate";
    case Role::kLeader:
      return "leader";
    case Role::kHalted:
      return "halted";
  }
  return "?";
}

const char* text_of(RoleChangeReason reason) {
  switch (reason) {
    case RoleChangeReason::kStarted:
      return "started";
    case RoleChangeReason::kSilence:
      return "no leader was heard of";
    case RoleChangeReason::kElected:
      return "elected by a majority";
    case RoleChangeReason::kHeard:
      return "heard of the leader of this term";
    case RoleChangeReason::kHigherTerm:
      return "somebody has a higher term";
    case RoleChangeReason::kLostQuorum:
      return "no majority answered for an election timeout";
    case RoleChangeReason::kHandedOver:
      return "asked by the leader";
    case RoleChangeReason::kRemoved:
      return "no longer a member";
    case RoleChangeReason::kDiskFailed:
      return "its disk failed";
  }
  return "?";
}

bool Membership::votes(NodeId id) const { return holds(voters, id); }
bool Membership::has(NodeId id) const { return holds(voters, id) || holds(learners, id); }

std::string Membership::encode() const {
  std::string text;
  for (auto id : voters) text += "v" + std::to_string(id) + " ";
  for (auto id : learners) text += "l" + std::to_string(id) + " ";
  return text;
}

std::optional<Membership> Membership::decode(const std::string& text) {
  Membership members;
  for (std::size_t at = 0; at < text.size();) {
    auto end = text.find(' ', at);
    if (end == std::string::npos || end < at + 2) return std::nullopt;
    NodeId id = 0;
    auto [stop, error] = std::from_chars(text.data() + at + 1, text.data() + end, id);
    if (error != std::errc() || stop != text.data() + end || id == kNobody || members.has(id))
      return std::nullopt;
    if (text[at] != 'v' && text[at] != 'l') return std::nullopt;
    insert(text[at] == 'v' ? &members.voters : &members.learners, id);
    at = end + 1;
  }
  return members;
}

Raft::Raft(Options options, PersistentState stored, Micros now)
    : options_(options), random_(options.seed), now_(now) {
  auto demand = [](bool ok, const char* what) {
    if (!ok) throw std::invalid_argument(std::string("impossible state of the group: ") + what);
  };
  demand(options_.self != kNobody, "this node has no id");
  demand(options_.heartbeat.count() > 0 && options_.election_min > options_.heartbeat &&
             options_.election_max > options_.election_min,
         "times must rise from heartbeat over the shortest to the longest election timeout");
  hard_ = stored.hard;
  snapshot_ = std::move(stored.snapshot);
  if (snapshot_) {
    base_index_ = snapshot_->index;
    base_term_ = snapshot_->term;
    configs_.emplace_back(snapshot_->index, snapshot_->members);
  } else {
    configs_.emplace_back(0, Membership{});
  }
  auto& entries = stored.entries;
  std::size_t first = 0;
  if (!entries.empty() && entries[0].index <= base_index_) {
    demand(entries[0].index > 0, "an entry at index 0");
    base_index_ = entries[0].index;
    base_term_ = entries[0].term;
    first = 1;
  }
  for (std::size_t i = first; i < entries.size(); ++i) {
    auto& entry = entries[i];
    demand(entry.index == last_index() + 1, "a gap in the log");
    demand(entry.term >= term_at(last_index()) && entry.term <= hard_.term, "terms of the log out of order");
    if (entry.type == EntryType::kMembers && (!snapshot_ || entry.index > snapshot_->index)) {
      auto members = Membership::decode(entry.data);
      demand(members.has_value(), "an entry of members that cannot be read");
      configs_.emplace_back(entry.index, *members);
    }
    log_.push_back(std::move(entry));
  }
  demand(!snapshot_ || last_index() >= snapshot_->index, "the log ends before the snapshot");
  commit_ = applied_ = snapshot_index();
  durable_ = last_index();
  reset_election();
}

std::uint64_t Raft::random() {  // splitmix64
  std::uint64_t x = random_ += 0x9e3779b97f4a7c15;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
  x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
  return x ^ (x >> 31);
}

void Raft::reset_election() {
  auto span = static_cast<std::uint64_t>((options_.election_max - options_.election_min).count());
  election_at_ = now_ + options_.election_min + Micros(static_cast<std::int64_t>(random() % span));
}

Term Raft::term_at(Index index) const {
  if (index == base_index_) return base_term_;
  auto* found = entry(index);
  return found ? found->term : 0;
}

const Entry* Raft::entry(Index index) const {
  return index > base_index_ && index <= last_index() ? &log_[index - base_index_ - 1] : nullptr;
}

Micros Raft::due() const {
  if (role_ == Role::kHalted) return Micros::max();
  if (is_leader()) return heartbeat_at_;
  return may_campaign() ? election_at_ : Micros::max();
}

Output Raft::step(Micros now, std::vector<Input> inputs) {
  now_ = std::max(now_, now);
  out_ = {};
  for (auto& input : inputs) {
    std::visit([this](auto& i) { on(i); }, input);
    write_open_ = false;
  }
  if (is_leader() && std::exchange(want_round_, false)) broadcast(true);
  return std::move(out_);
}

// ---- what the disk is told
// ---------------------------------------------------------------------------------

Write& Raft::write() {
  if (!write_open_) {
    out_.writes.emplace_back();
    out_.writes.back().number = ++writes_;
    pending_.push_back({writes_, last_index()});
    write_open_ = true;
  }
  return out_.writes.back();
}

void Raft::save_hard() {
  write().hard = hard_;
  if (options_.flaws.vote_not_saved) write().hard->vote = kNobody;
  hard_write_ = writes_;
}

void Raft::append_entry(Entry entry) {
  if (entry.type == EntryType::kMembers)
    if (auto members = Membership::decode(entry.data)) configs_.emplace_back(entry.index, *members);
  auto& w = write();
  w.append.push_back(entry);
  log_.push_back(std::move(entry));
  pending_.back().last = last_index();
}

void Raft::truncate(Index from) {
  while (last_index() >= from) log_.pop_back();
  while (configs_.size() > 1 && configs_.back().first >= from) configs_.pop_back();
  for (auto& p : pending_) p.last = std::min(p.last, from - 1);
  durable_ = std::min(durable_, from - 1);
  write_open_ = false;  // within one write, truncation comes before what is appended
  write().truncate_from = from;
}

void Raft::send(Message m) {
  m.from = options_.self;
  m.term = m.term ? m.term : hard_.term;
  out_.messages.push_back({std::move(m), hard_write_ > durable_writes_ ? hard_write_ : 0});
}

void Raft::record_role_change(RoleChangeReason reason) {
  out_.role_changes.push_back({role_, reason, hard_.term, leader_});
}

void Raft::on(WriteCompleted w) {
  if (role_ == Role::kHalted) return;
  durable_writes_ = std::max(durable_writes_, w.number);
  auto before = durable_;
  while (!pending_.empty() && pending_.front().number <= w.number) {
    durable_ = std::max(durable_, pending_.front().last);
    pending_.pop_front();
  }
  // A vote for itself counts once it is remembered.
  if (role_ == Role::kCandidate && hard_write_ <= durable_writes_) {
    votes_[options_.self] = true;
    count_votes();
  }
  if (durable_ == before) return;
  if (is_leader())
    advance();
  else if (leader_ != kNobody)
    accept_reply();
}

void Raft::on(WriteFailed) {
  if (role_ == Role::kHalted) return;
  fail_reads();
  role_ = Role::kHalted;
  leader_ = kNobody;
  peers_.clear();
  record_role_change(RoleChangeReason::kDiskFailed);
}

void Raft::on(SnapshotTaken& s) {
  if (s.index <= snapshot_index() || s.index > applied_) return;
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->index = s.index;
  snapshot->term = term_at(s.index);
  snapshot->data = std::move(s.data);
  for (auto& [index, members] : configs_)
    if (index <= s.index) snapshot->members = members;
  // The last set of members at or before it stays, as what the log goes on from.
  while (configs_.size() > 1 && configs_[1].first <= s.index) configs_.erase(configs_.begin());
  configs_.front().first = std::min(configs_.front().first, s.index);
  snapshot_ = snapshot;
  auto& w = write();
  w.snapshot = snapshot;
  if (s.index > options_.trailing && s.index - options_.trailing > base_index_) {
    Index base = s.index - options_.trailing;
    base_term_ = term_at(base);
    log_.erase(log_.begin(), log_.begin() + static_cast<std::ptrdiff_t>(base - base_index_));
    base_index_ = base;
    w.drop_before = base;  // that one stays: it tells the term there
  }
}

// ---- elections
// ---------------------------------------------------------------------------------------------

void Raft::follow(Term term, NodeId leader, RoleChangeReason reason) {
  bool changed = term != hard_.term || role_ != Role::kFollower || leader_ != leader;
  if (term > hard_.term) {
    hard_ = {term, kNobody};
    verified_ = 0;
    save_hard();
  }
  if (is_leader()) {
    fail_reads();
    transferring_ = false;
    peers_.clear();
  }
  if (role_ != Role::kFollower || leader_ == kNobody) reset_election();
  role_ = Role::kFollower;
  leader_ = leader;
  votes_.clear();
  if (changed) record_role_change(reason);
}

// Also one whose own removal is not committed yet: the others may need its log to go on (section 4.2.2).
bool Raft::may_campaign() const {
  if (members().votes(options_.self)) return true;
  auto n = configs_.size();
  return n > 1 && configs_[n - 1].first > commit_ && configs_[n - 2].second.votes(options_.self);
}

void Raft::pre_campaign() {
  if (!options_.pre_vote) return campaign(false, RoleChangeReason::kSilence);
  role_ = Role::kPreCandidate;
  leader_ = kNobody;
  reset_election();
  votes_.clear();
  votes_[options_.self] = true;
  record_role_change(RoleChangeReason::kSilence);
  request_votes(true, false);
  count_votes();
}

void Raft::campaign(bool forced, RoleChangeReason reason) {
  role_ = Role::kCandidate;
  leader_ = kNobody;
  hard_ = {hard_.term + 1, options_.self};
  verified_ = 0;
  save_hard();
  reset_election();
  votes_.clear();
  record_role_change(reason);
  request_votes(false, forced);
  count_votes();
}

void Raft::request_votes(bool pre, bool forced) {
  for (auto id : members().voters) {
    if (id == options_.self) continue;
    Message m;
    m.type = pre ? Type::kRequestPreVote : Type::kRequestVote;
    m.to = id;
    m.term = pre ? hard_.term + 1 : hard_.term;
    m.index = last_index();
    m.log_term = term_at(last_index());
    m.forced = forced;
    send(std::move(m));
  }
}

bool Raft::caught_up_with(const Message& m) const {
  auto own = term_at(last_index());
  return m.log_term > own || (m.log_term == own && m.index >= last_index());
}

void Raft::on_request_vote(const Message& m) {
  bool pre = m.type == Type::kRequestPreVote;
  // Whoever hears a leader lets nobody disturb it: neither one that was cut off nor one that was removed.
  bool led = is_leader() || (leader_ != kNobody && now_ - heard_ < options_.election_min);
  if (options_.sticky && led && !m.forced && m.term >= hard_.term) return;
  Message reply;
  reply.type = pre ? Type::kRequestPreVoteResponse : Type::kRequestVoteResponse;
  reply.to = m.from;
  if (pre) {
    reply.reject = m.term <= hard_.term || !caught_up_with(m);
    reply.term = reply.reject ? hard_.term : m.term;
    return send(std::move(reply));
  }
  if (m.term > hard_.term) follow(m.term, kNobody, RoleChangeReason::kHigherTerm);
  reply.reject = m.term < hard_.term || (hard_.vote != kNobody && hard_.vote != m.from) || !caught_up_with(m);
  if (!reply.reject) {
    if (hard_.vote != m.from) {
      hard_.vote = m.from;
      save_hard();
    }
    reset_election();
  }
  reply.term = hard_.term;
  send(std::move(reply));
}

void Raft::on_request_vote_response(const Message& m) {
  bool pre = m.type == Type::kRequestPreVoteResponse;
  if (m.term > hard_.term && !(pre && !m.reject))
    return follow(m.term, kNobody, RoleChangeReason::kHigherTerm);
  if (pre ? role_ != Role::kPreCandidate || (!m.reject && m.term != hard_.term + 1)
          : role_ != Role::kCandidate || m.term != hard_.term)
    return;
  votes_[m.from] = !m.reject;
  count_votes();
}

void Raft::count_votes() {
  std::size_t granted = 0;
  for (auto& [id, yes] : votes_) granted += yes && members().votes(id);
  if (granted < majority() || members().voters.empty()) return;
  if (role_ == Role::kPreCandidate)
    campaign(false, RoleChangeReason::kSilence);
  else if (role_ == Role::kCandidate)
    lead();
}

void Raft::timeout_now(const Message& m) {
  if (m.term == hard_.term && role_ == Role::kFollower && may_campaign())
    campaign(true, RoleChangeReason::kHandedOver);
}

void Raft::lead() {
  role_ = Role::kLeader;
  leader_ = options_.self;
  led_since_ = now_;
  peers_.clear();
  refresh_peers();
  round_ = 0;
  transferring_ = false;
  record_role_change(RoleChangeReason::kElected);
  own_first_ = propose_entry(EntryType::kNoOp, "");
  broadcast(true);
}

void Raft::refresh_peers() {
  auto add = [&](NodeId id) {
    if (id == options_.self || peers_.count(id)) return;
    auto& peer = peers_[id];
    peer.next = last_index() + 1;
    peer.heard = now_;
  };
  for (auto id : members().voters) add(id);
  for (auto id : members().learners) add(id);
  std::erase_if(peers_, [&](auto& p) { return !members().has(p.first); });
}

bool Raft::quorum_heard() const {
  std::size_t heard = members().votes(options_.self);
  // As patient as those who follow: one that hears nobody is led by another a timeout sooner.
  for (auto& [id, peer] : peers_) heard += members().votes(id) && now_ - peer.heard < options_.election_min;
  return heard >= majority();
}

void Raft::on(Tick) {
  if (role_ == Role::kHalted) return;
  if (is_leader()) {
    if (options_.check_quorum && !quorum_heard())
      return follow(hard_.term, kNobody, RoleChangeReason::kLostQuorum);
    if (transferring_ && now_ >= transfer_until_) transferring_ = false;
    if (now_ >= heartbeat_at_) broadcast(true);
  } else if (now_ >= election_at_ && may_campaign()) {
    pre_campaign();
  }
}

// ---- the log
// -----------------------------------------------------------------------------------------------

Index Raft::propose_entry(EntryType type, std::string data) {
  append_entry({hard_.term, last_index() + 1, type, std::move(data)});
  return last_index();
}

void Raft::broadcast(bool heartbeat) {
  if (heartbeat) {
    ++round_;
    heartbeat_at_ = now_ + options_.heartbeat;
  }
  for (auto& [id, peer] : peers_) send_to(id, peer, heartbeat);
  if (heartbeat) settle_reads();
}

void Raft::send_to(NodeId id, Peer& peer, bool heartbeat) {
  auto overdue = [&](int beats) { return now_ - peer.sent >= options_.heartbeat * beats; };
  if (peer.snapshotting && overdue(kSnapshotPatience)) peer.snapshotting = false;
  if (peer.outstanding && overdue(kAppendPatience)) {
    peer.outstanding = false;
    peer.next = peer.match + 1;
  }
  Message m;
  m.to = id;
  m.commit = commit_;
  m.round = round_;
  if (peer.next <= base_index_ && !peer.snapshotting && snapshot_) {
    m.type = Type::kInstallSnapshot;
    m.snapshot = snapshot_;
    peer.snapshotting = true;
    peer.snapshot = snapshot_->index;
    peer.sent = now_;
    return send(std::move(m));
  }
  bool carries =
      !peer.snapshotting && !peer.outstanding && peer.next > base_index_ && peer.next <= last_index();
  if (!carries && !heartbeat) return;
  m.index = peer.snapshotting || peer.next <= base_index_ ? base_index_ : peer.next - 1;
  m.log_term = term_at(m.index);
  if (carries) {
    std::size_t bytes = 0;
    for (Index i = peer.next; i <= last_index() && m.entries.size() < options_.batch_entries; ++i) {
      auto& e = *entry(i);
      bytes += e.data.size() + 32;
      if (bytes > options_.batch_bytes && !m.entries.empty()) break;
      m.entries.push_back(e);
    }
    peer.next = m.entries.back().index + 1;
    peer.outstanding = true;
    peer.sent = now_;
  }
  send(std::move(m));
}

// To the leader: how far this node's log is the leader's, and durable.
void Raft::accept_reply() {
  Message reply;
  reply.type = Type::kAppendEntriesResponse;
  reply.to = leader_;
  reply.index = std::min(verified_, durable_);
  send(std::move(reply));
}

void Raft::append(Message& m) {
  Message reply;
  reply.type = Type::kAppendEntriesResponse;
  reply.to = m.from;
  reply.round = m.round;
  if (m.term < hard_.term) {
    reply.reject = true;
    reply.refused = m.index;
    reply.index = last_index();
    return send(std::move(reply));
  }
  follow(m.term, m.from, RoleChangeReason::kHeard);
  heard_ = now_;
  reset_election();
  // What is committed is the leader's as well, whatever it begins with.
  if (m.index < base_index_) {
    auto skip = std::min<std::size_t>(base_index_ - m.index, m.entries.size());
    m.entries.erase(m.entries.begin(), m.entries.begin() + static_cast<std::ptrdiff_t>(skip));
    m.index = base_index_;
    m.log_term = base_term_;
  }
  if (m.index > last_index() || term_at(m.index) != m.log_term) {
    reply.reject = true;
    reply.refused = m.index;
    Index hint = std::min(m.index - 1, last_index());
    // Not entry by entry: the whole term that does not fit.
    auto bad = term_at(m.index);
    if (bad != 0)
      while (hint > commit_ && term_at(hint) == bad) --hint;
    reply.index = std::max(hint, commit_);
    return send(std::move(reply));
  }
  Index at = m.index;
  for (auto& e : m.entries) {
    ++at;
    if (e.index != at) return;  // no entry of a leader looks so
    if (at <= last_index()) {
      if (term_at(at) == e.term) continue;
      if (at <= commit_) return;
      truncate(at);
    }
    append_entry(std::move(e));
  }
  verified_ = std::max(verified_, at);
  commit_to(std::min(m.commit, verified_));
  reply.index = std::min(verified_, durable_);
  send(std::move(reply));
}

void Raft::on_append_entries_response(const Message& m) {
  if (m.term > hard_.term) return follow(m.term, kNobody, RoleChangeReason::kHigherTerm);
  auto it = peers_.find(m.from);
  if (!is_leader() || m.term != hard_.term || it == peers_.end()) return;
  auto& peer = it->second;
  peer.heard = now_;
  peer.round = std::max(peer.round, m.round);
  if (m.reject) {
    if (!peer.snapshotting && m.refused > peer.match) {  // else it is an old one
      peer.next = std::max(peer.match + 1, std::min(m.refused, m.index + 1));
      peer.outstanding = false;
      send_to(m.from, peer, false);
    }
    return settle_reads();
  }
  peer.match = std::max(peer.match, m.index);
  if (peer.match + 1 >= peer.next) {  // all that was sent is durable there
    peer.next = peer.match + 1;
    peer.outstanding = false;
  }
  // Also where the log has moved on beyond it meanwhile: then the next one follows at once.
  if (peer.snapshotting && peer.match >= std::min(peer.snapshot, base_index_)) peer.snapshotting = false;
  advance();
  settle_reads();
  if (is_leader() && it->second.next <= last_index()) send_to(m.from, it->second, false);
  check_transfer();
}

void Raft::advance() {
  std::vector<Index> matches;
  for (auto id : members().voters) {
    if (id == options_.self)
      matches.push_back(durable_);
    else if (auto it = peers_.find(id); it != peers_.end())
      matches.push_back(it->second.match);
    else
      matches.push_back(0);
  }
  if (matches.empty()) return;
  std::sort(matches.begin(), matches.end(), std::greater<>());
  Index at = matches[majority() - 1];
  // Only entries of the own term are committed by count; older ones with them (section 3.6.2).
  if (at <= commit_ || (term_at(at) != hard_.term && !options_.flaws.commits_old_terms)) return;
  commit_to(at);
  broadcast(true);  // followers hear of it at once
  if (!members().has(options_.self) && configs_.back().first <= commit_)
    follow(hard_.term, kNobody, RoleChangeReason::kRemoved);
}

void Raft::commit_to(Index index) {
  if (index <= commit_) return;
  commit_ = std::min(index, last_index());
  for (; applied_ < commit_; ++applied_)
    if (auto* e = entry(applied_ + 1)) out_.committed.push_back(*e);
}

void Raft::restore(const Message& m) {
  if (m.term < hard_.term || !m.snapshot) return;
  follow(m.term, m.from, RoleChangeReason::kHeard);
  heard_ = now_;
  reset_election();
  auto& s = *m.snapshot;
  if (s.index <= commit_) {
    verified_ = std::max(verified_, commit_);
    return accept_reply();
  }
  // Entries behind it may have been promised already: they stay where they fit.
  if (s.index <= last_index() && term_at(s.index) == s.term) {
    verified_ = std::max(verified_, s.index);
    commit_to(s.index);
    return accept_reply();
  }
  log_.clear();
  base_index_ = s.index;
  base_term_ = s.term;
  snapshot_ = m.snapshot;
  configs_.assign(1, {s.index, s.members});
  commit_ = applied_ = s.index;
  out_.restored = snapshot_;
  out_.committed.clear();
  for (auto& p : pending_) p.last = 0;
  durable_ = 0;
  verified_ = s.index;
  write_open_ = false;
  auto& w = write();
  w.snapshot = snapshot_;
  w.truncate_from = 1;
  pending_.back().last = s.index;
}

// ---- what the driver asks
// ----------------------------------------------------------------------------------

void Raft::on(Proposal& p) {
  ProposalResult answer{p.ticket, 0, 0, ""};
  if (!is_leader())
    answer.why = "this node does not lead";
  else if (transferring_)
    answer.why = "leadership is being handed over";
  else if (last_index() - commit_ >= options_.uncommitted)
    answer.why = "too much is not committed yet";
  if (*answer.why == 0) {
    answer.index = propose_entry(EntryType::kCommand, std::move(p.data));
    answer.term = hard_.term;
    broadcast(false);
  }
  out_.proposed.push_back(answer);
}

void Raft::on(MembershipChange& c) {
  ProposalResult answer{c.ticket, 0, 0, ""};
  auto next = members();
  bool votes = next.votes(c.node), has = next.has(c.node);
  auto peer = peers_.find(c.node);
  if (!is_leader())
    answer.why = "this node does not lead";
  else if (transferring_)
    answer.why = "leadership is being handed over";
  else if (configs_.back().first > commit_ || !has_committed_in_current_term())
    answer.why = "another change of members is under way";
  else if (c.node == kNobody || (c.what == MembershipChange::What::kAddLearner && has))
    answer.why = "it is a member already";
  else if (c.what != MembershipChange::What::kAddLearner && !has)
    answer.why = "it is no member";
  else if (c.what == MembershipChange::What::kPromote && votes)
    answer.why = "it votes already";
  else if (c.what == MembershipChange::What::kPromote &&
           (peer == peers_.end() || peer->second.match + options_.caught_up < commit_))
    answer.why = "it has not caught up yet";
  else if (c.what == MembershipChange::What::kRemove && votes && next.voters.size() == 1)
    answer.why = "it is the last voter";
  if (*answer.why == 0) {
    std::erase(next.voters, c.node);
    std::erase(next.learners, c.node);
    if (c.what == MembershipChange::What::kAddLearner) insert(&next.learners, c.node);
    if (c.what == MembershipChange::What::kPromote) insert(&next.voters, c.node);
    // A majority of those that are left must be there, or this change would be the last one ever.
    std::size_t there = next.votes(options_.self);
    for (auto& [id, p] : peers_)
      there += next.votes(id) && p.round > 0 && now_ - p.heard < options_.election_max;
    if (there < next.voters.size() / 2 + 1)
      answer.why = "too few of the voters that would be left are heard of";
  }
  if (*answer.why == 0) {
    answer.index = propose_entry(EntryType::kMembers, next.encode());
    answer.term = hard_.term;
    refresh_peers();
    broadcast(false);
  }
  out_.proposed.push_back(answer);
}

void Raft::on(ReadRequest r) {
  if (!has_committed_in_current_term()) return out_.reads.push_back({r.ticket, false});
  readings_.push_back({r.ticket, round_ + 1});  // a round that begins after this
  want_round_ = true;
}

void Raft::settle_reads() {
  if (readings_.empty() || !is_leader()) return;
  std::vector<std::uint64_t> rounds;
  for (auto id : members().voters) {
    auto it = peers_.find(id);
    rounds.push_back(id == options_.self ? round_ : it == peers_.end() ? 0 : it->second.round);
  }
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  auto confirmed = rounds[majority() - 1];
  std::erase_if(readings_, [&](auto& r) {
    if (r.round > confirmed) return false;
    out_.reads.push_back({r.ticket, true});
    return true;
  });
}

void Raft::fail_reads() {
  for (auto& r : readings_) out_.reads.push_back({r.ticket, false});
  readings_.clear();
  want_round_ = false;
}

void Raft::on(LeadershipTransfer t) {
  if (!is_leader() || transferring_) return;
  NodeId to = t.to;
  Index best = 0;
  if (to == kNobody)
    for (auto& [id, peer] : peers_)
      if (members().votes(id) && now_ - peer.heard < options_.election_min && peer.match >= best)
        to = id, best = peer.match;
  if (to == kNobody || !members().votes(to) || !peers_.count(to)) return;
  transferring_ = true;
  transfer_sent_ = false;
  transfer_to_ = to;
  transfer_until_ = now_ + options_.election_max;
  check_transfer();
}

void Raft::check_transfer() {
  if (!is_leader() || !transferring_ || transfer_sent_) return;
  auto it = peers_.find(transfer_to_);
  if (it == peers_.end() || it->second.match < last_index()) return;
  Message m;
  m.type = Type::kTimeoutNow;
  m.to = transfer_to_;
  send(std::move(m));
  transfer_sent_ = true;
}

void Raft::on(MessageReceived& r) {
  auto& m = r.message;
  if (role_ == Role::kHalted || m.to != options_.self || m.from == options_.self) return;
  switch (m.type) {
    case Type::kRequestPreVote:
    case Type::kRequestVote:
      return on_request_vote(m);
    case Type::kRequestPreVoteResponse:
    case Type::kRequestVoteResponse:
      return on_request_vote_response(m);
    case Type::kAppendEntries:
      return append(m);
    case Type::kAppendEntriesResponse:
      return on_append_entries_response(m);
    case Type::kInstallSnapshot:
      return restore(m);
    case Type::kTimeoutNow:
      return timeout_now(m);
  }
}

std::string Raft::fingerprint() const {
  std::string f;
  auto add = [&](std::uint64_t x) {
    f += std::to_string(x);
    f.push_back(',');
  };
  add(static_cast<std::uint64_t>(role_));
  add(hard_.term);
  add(hard_.vote);
  add(leader_);
  add(commit_);
  add(verified_);
  add(base_index_);
  for (auto& e : log_) add(e.term), add(static_cast<std::uint64_t>(e.type)), f += e.data;
  for (auto& [id, yes] : votes_) add(id), add(yes);
  for (auto& [id, p] : peers_) add(id), add(p.match), add(p.next), add(p.outstanding), add(p.snapshotting);
  return f;
}

}  // namespace database_proxy::consensus
