#include "group/consensus_driver.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>

#include "ownership/lease_registry.h"

namespace database_proxy::group {
namespace {

using namespace std::chrono_literals;
using consensus::Index;
using net::Level;

// Number of applied entries between two snapshots; it keeps the log on disk below two thousand entries.
constexpr Index kSnapshotInterval = 1024;
// The output of one step may require another one. Needing more rounds in one loop iteration would be a fault.
constexpr int kMaxRounds = 64;
constexpr std::size_t kMaxPendingProposals = 4096;
// Bootstrap and recovery replace the stored state. The write numbers of the new state start this far above
// those of the old one, so that old writes still in progress are not taken for new ones.
constexpr std::uint64_t kRestartWriteGap = 1'000'000;
// A recovered group starts this far above the last index of its log, so that no fencing token that a lost
// node may have granted is granted again.
constexpr Index kRecoveryIndexGap = 1'000'000;
// Interval of steps while no timer of consensus is running.
constexpr Micros kIdleStepInterval = 1s;

constexpr const char* kRecoveryConsequence = "what only the lost nodes knew is gone";

}  // namespace

std::vector<consensus::Entry> ConsensusDriver::open() {
  auto start_consensus = [this](consensus::NodeId id, consensus::PersistentState stored) {
    id_ = id;
    start(std::move(stored));
  };
  auto on_written_in_store_thread = [this](std::uint64_t number, const std::string& error) {
    context_.task_queue.post([this, number, error] { on_written(number, error); });
  };
  auto entries = storage_.open(start_consensus, on_written_in_store_thread);
  connections_.set_own_id(id_);
  return entries;
}

void ConsensusDriver::start(consensus::PersistentState stored) {
  consensus::Options options;
  options.self = id_;
  options.seed = context_.random();
  options.heartbeat_interval = context_.options.heartbeat;
  options.election_timeout_min = context_.options.election_min;
  options.election_timeout_max = context_.options.election_max;
  ownership::LeaseRegistry registry;
  Index index = 0;
  if (stored.snapshot) {
    auto decoded = ownership::LeaseRegistry::decode(stored.snapshot->data);
    if (!decoded) throw std::invalid_argument("its snapshot contains no lease registry");
    registry = *decoded;
    index = stored.snapshot->index;
  }
  raft_ = std::make_unique<consensus::Raft>(options, std::move(stored), net::monotonic_now());
  last_role_ = raft_->role();
  snapshot_index_ = index;
  state_.restore(std::move(registry), index);
}

// ---- Inputs

void ConsensusDriver::receive(consensus::Message message) {
  inputs_.emplace_back(consensus::MessageReceived{std::move(message)});
}

void ConsensusDriver::propose(const std::string& command, CompletionCallback on_completion) {
  if (proposals_by_ticket_.size() + proposals_in_log_.size() >= kMaxPendingProposals)
    return on_completion({0, "too many proposals are pending"});
  auto ticket = ++last_ticket_;
  proposals_by_ticket_[ticket] = std::move(on_completion);
  inputs_.emplace_back(consensus::Proposal{ticket, command});
}

void ConsensusDriver::change_members(consensus::MembershipChange::Kind what, consensus::NodeId node,
                                     CompletionCallback on_completion) {
  consensus::MembershipChange change;
  change.ticket = ++last_ticket_;
  change.kind = what;
  change.node = node;
  proposals_by_ticket_[change.ticket] = std::move(on_completion);
  inputs_.emplace_back(change);
}

void ConsensusDriver::confirm_leadership(LeadershipCallback on_result) {
  auto ticket = ++last_ticket_;
  pending_confirmations_[ticket] = std::move(on_result);
  inputs_.emplace_back(consensus::ReadRequest{ticket});
}

void ConsensusDriver::transfer_leadership(consensus::NodeId voter) {
  inputs_.emplace_back(consensus::LeadershipTransfer{voter});
}

void ConsensusDriver::on_written(std::uint64_t number, const std::string& error) {
  if (!error.empty()) {
    if (disk_error_.empty())
      context_.log(Level::kError, fmt::format("its disk failed, it steps down: {}", error));
    disk_error_ = error;
    unsent_.clear();
    inputs_.emplace_back(consensus::WriteFailed{});
    return;
  }
  durable_write_ = std::max(durable_write_, number);
  if (number > write_number_base_)
    inputs_.emplace_back(consensus::WriteCompleted{number - write_number_base_});
  std::erase_if(unsent_, [&](auto& unsent) {
    if (unsent.after_write > durable_write_) return false;
    connections_.send_consensus(unsent.message);
    return true;
  });
}

// ---- Steps

void ConsensusDriver::step() {
  if (!raft_) return;
  for (int round = 0; round < kMaxRounds; ++round) {
    auto now = net::monotonic_now();
    if (inputs_.empty() && now < raft_->due()) break;
    auto inputs = std::exchange(inputs_, {});
    inputs.emplace_back(consensus::Tick{});
    carry_out(raft_->step(now, std::move(inputs)));
  }
  auto due = raft_->due();
  auto wake_at = due == Micros::max() ? context_.loop.now() + kIdleStepInterval : due;
  context_.set_timer(&step_timer_, wake_at, [] {});  // the iteration that it causes calls step()
}

void ConsensusDriver::carry_out(consensus::Output output) {
  for (auto& change : output.role_changes) log_role_change(change);
  for (auto& write : output.writes) storage_.write(write_number_base_ + write.number, write);
  send_when_durable(std::move(output.messages));
  if (output.snapshot_to_restore) {
    if (auto registry = ownership::LeaseRegistry::decode(output.snapshot_to_restore->data))
      state_.restore(std::move(*registry), output.snapshot_to_restore->index);
    snapshot_index_ = output.snapshot_to_restore->index;
  }
  apply_committed(output.committed_entries);
  take_snapshot_if_due();
  notify_leadership_change();
  record_log_positions(output.proposal_results);
  complete_confirmations(output.read_results);
}

void ConsensusDriver::log_role_change(const consensus::RoleChange& change) {
  // Without a majority, a node starts a pre-vote about every second; one log line per term is enough.
  bool is_repeated =
      change.role == consensus::Role::kPreCandidate && last_logged_campaign_term_ == change.term;
  if (change.role == consensus::Role::kPreCandidate) last_logged_campaign_term_ = change.term;
  if (change.leader != consensus::kNoNode) last_logged_campaign_term_ = 0;
  if (is_repeated) return;
  bool shows_leader = change.leader != consensus::kNoNode && change.role != consensus::Role::kLeader;
  auto leader = shows_leader ? fmt::format(" (leader {})", connections_.name_of(change.leader)) : "";
  context_.log(change.role == consensus::Role::kHalted ? Level::kError : Level::kInfo,
               fmt::format("{} in term {}: {}{}", consensus::text_of(change.role), change.term,
                           consensus::text_of(change.reason), leader));
}

void ConsensusDriver::send_when_durable(std::vector<consensus::OutgoingMessage> messages) {
  for (auto& outgoing : messages) {
    auto after_write = write_number_base_ + outgoing.required_write;
    if (outgoing.required_write > 0 && after_write > durable_write_)
      unsent_.push_back({after_write, std::move(outgoing.message)});
    else
      connections_.send_consensus(outgoing.message);
  }
}

void ConsensusDriver::apply_committed(const std::vector<consensus::Entry>& entries) {
  for (auto& entry : entries) {
    if (entry.type == consensus::EntryType::kCommand) state_.apply(entry.index, entry.data);
    if (entry.type == consensus::EntryType::kMembers)
      if (auto members = consensus::Membership::decode(entry.data)) log_members(*members);
    state_.set_applied_index(entry.index);
    auto found = proposals_in_log_.find({entry.index, entry.term});
    if (found == proposals_in_log_.end()) continue;
    auto on_completion = std::move(found->second);
    proposals_in_log_.erase(found);
    on_completion({entry.index, std::nullopt});
  }
}

void ConsensusDriver::log_members(const consensus::Membership& members) const {
  std::string voters;
  for (auto id : members.voters) {
    auto name = connections_.name_of(id);
    voters += fmt::format(" {}", name.empty() ? std::to_string(id) : name);
  }
  context_.log(Level::kInfo, fmt::format("voters are now{} ({} learners)", voters, members.learners.size()));
}

void ConsensusDriver::take_snapshot_if_due() {
  if (state_.applied_index() < snapshot_index_ + kSnapshotInterval) return;
  snapshot_index_ = state_.applied_index();
  inputs_.emplace_back(consensus::SnapshotTaken{snapshot_index_, state_.registry().encode()});
}

void ConsensusDriver::notify_leadership_change() {
  bool was_leader = last_role_ == consensus::Role::kLeader;
  last_role_ = raft_->role();
  if (raft_->is_leader() && !was_leader) observer_.on_elected();
  if (raft_->is_leader() || !was_leader) return;
  observer_.on_leadership_lost();
  for (auto& [position, on_completion] : std::exchange(proposals_in_log_, {}))
    on_completion({0, "unknown: leadership was lost"});
}

void ConsensusDriver::record_log_positions(const std::vector<consensus::ProposalResult>& results) {
  for (auto& result : results) {
    auto found = proposals_by_ticket_.find(result.ticket);
    if (found == proposals_by_ticket_.end()) continue;
    auto on_completion = std::move(found->second);
    proposals_by_ticket_.erase(found);
    if (result.index == 0)
      on_completion({0, result.rejection_reason});
    else
      proposals_in_log_[{result.index, result.term}] = std::move(on_completion);
  }
}

void ConsensusDriver::complete_confirmations(const std::vector<consensus::ReadResult>& results) {
  for (auto& result : results) {
    auto found = pending_confirmations_.find(result.ticket);
    if (found == pending_confirmations_.end()) continue;
    auto on_result = std::move(found->second);
    pending_confirmations_.erase(found);
    on_result(result.confirmed);
  }
}

// ---- Operators' changes of the stored state

std::optional<std::string> ConsensusDriver::bootstrap(consensus::Membership members) {
  if (!raft_) return "this node is none of group.nodes";
  std::sort(members.voters.begin(), members.voters.end());
  if (!members.is_voter(id_)) return "this node is not among the members";
  if (raft_->snapshot_index() > 0 || raft_->last_index() > 0) {
    bool is_repeated = raft_->term_at(1) == 1 && raft_->members() == members;
    if (is_repeated) return std::nullopt;
    return "this node already belongs to a group";
  }
  auto snapshot = std::make_shared<consensus::Snapshot>();
  snapshot->index = snapshot->term = 1;
  snapshot->members = members;
  snapshot->data = ownership::LeaseRegistry().encode();
  consensus::Write first_write;
  first_write.hard_state = consensus::HardState{std::max<consensus::Term>(1, raft_->term()), raft_->vote()};
  first_write.snapshot = snapshot;
  restart(first_write);
  context_.log(Level::kInfo, fmt::format("group bootstrapped with {} voters", members.voters.size()));
  return std::nullopt;
}

std::optional<std::string> ConsensusDriver::recover(const std::string& consequence) {
  if (!raft_) return "this node is not a voter";
  if (consequence != kRecoveryConsequence)
    return fmt::format("recovery requires the consequence, spelled out: {}", kRecoveryConsequence);
  if (raft_->leader() != consensus::kNoNode) return "a leader is heard of: the majority is not lost";
  if (raft_->members().voters.empty()) return "this node belongs to no group";
  auto registry = state_.registry();
  for (auto i = state_.applied_index() + 1; i <= raft_->last_index(); ++i) {
    auto* entry = raft_->entry(i);
    if (!entry || entry->type != consensus::EntryType::kCommand) continue;
    if (auto command = ownership::decode(entry->data)) registry.apply(i, *command);
  }
  auto snapshot = std::make_shared<consensus::Snapshot>();
  snapshot->index = raft_->last_index() + kRecoveryIndexGap;
  snapshot->term = raft_->term() + 1;
  snapshot->members.voters = {id_};
  snapshot->data = registry.encode();
  consensus::Write first_write;
  first_write.hard_state = consensus::HardState{snapshot->term, consensus::kNoNode};
  first_write.snapshot = snapshot;
  first_write.truncate_from = 1;
  restart(first_write);
  context_.log(Level::kWarning,
               "recovered by the operator: this node is the only voter; entries that only the other nodes "
               "had are lost");
  return std::nullopt;
}

// Starts consensus again with a new state, whose first write follows all writes of the old state.
void ConsensusDriver::restart(const consensus::Write& first_write) {
  write_number_base_ += kRestartWriteGap;
  storage_.write(write_number_base_, first_write);
  consensus::PersistentState stored;
  stored.hard_state = *first_write.hard_state;
  stored.snapshot = first_write.snapshot;
  inputs_.clear();
  unsent_.clear();
  start(std::move(stored));
}

}  // namespace database_proxy::group
