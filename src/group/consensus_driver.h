// Drives a voter's consensus: collects inputs, calls Raft::step() (consensus/raft.h) and carries out its
// output. Writes go to the storage, messages to the peers once the writes that they depend on are durable,
// committed commands to the replicated state. A follower of the group runs no consensus; its driver does
// nothing.
//
// Belongs to the group's thread. When the disk fails, this voter no longer votes or acknowledges anything: it
// steps down and stays halted until the process is restarted.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "consensus/raft.h"
#include "group/node_context.h"
#include "group/peer_connections.h"
#include "group/raft_storage.h"
#include "group/replicated_state.h"

namespace database_proxy::group {

// Notified when this voter becomes leader or loses leadership.
class LeadershipObserver {
 public:
  virtual ~LeadershipObserver() = default;
  virtual void on_elected() = 0;
  virtual void on_leadership_lost() = 0;
};

// The outcome of a proposed command or membership change.
struct ProposalOutcome {
  consensus::Index index = 0;          // of the committed entry; 0: not committed, as far as this node knows
  std::optional<std::string> failure;  // the reason, a sentence for the operator
};

// The consensus of a voter; idle on a follower.
class ConsensusDriver {
 public:
  using CompletionCallback = std::function<void(const ProposalOutcome& outcome)>;
  // `is_confirmed`: this node was still leader after the request was made.
  using LeadershipCallback = std::function<void(bool is_confirmed)>;

  ConsensusDriver(NodeContext& context, RaftStorage& storage, PeerConnections& connections,
                  ReplicatedState& state, LeadershipObserver& observer)
      : context_(context), storage_(storage), connections_(connections), state_(state), observer_(observer) {}

  // Opens the storage of a voter and starts consensus; to be called before the group's thread starts. Returns
  // the log entries that the storage contains. Throws std::runtime_error with a one-line message.
  std::vector<consensus::Entry> open();
  // Processes all inputs. To be called in each loop iteration; sets a timer that wakes the loop when the next
  // step is due.
  void step();
  bool has_inputs() const { return !inputs_.empty(); }

  // Queues a message of another voter as input.
  void receive(consensus::Message message);
  // Proposes a command for the log; only a leader accepts it.
  void propose(const std::string& command, CompletionCallback on_completion);
  void change_members(consensus::MembershipChange::Kind what, consensus::NodeId node,
                      CompletionCallback on_completion);
  // Confirms by a round of heartbeats that this node still leads.
  void confirm_leadership(LeadershipCallback on_result);
  // Transfers leadership to `voter`; kNoNode: to the voter with the most advanced log.
  void transfer_leadership(consensus::NodeId voter);

  // Makes this node a member of a new group. Every member must receive the same command; repeating it has no
  // effect. Returns the reason if it is not possible.
  std::optional<std::string> bootstrap(consensus::Membership members);
  // Makes this node the only voter, with all entries of its own log. What the other nodes had committed
  // without this node is lost. Returns the reason if it is not possible.
  std::optional<std::string> recover(const std::string& consequence);

  // Returns nullptr on followers.
  const consensus::Raft* raft() const { return raft_.get(); }
  bool is_leader() const { return raft_ && raft_->is_leader(); }
  // Returns whether this node may answer requests as leader. A new leader knows what is committed only once
  // it has committed an entry of its own term.
  bool may_answer_as_leader() const { return raft_ && raft_->has_committed_in_current_term(); }
  consensus::NodeId id() const { return id_; }
  const std::string& disk_error() const { return disk_error_; }  // empty: none

 private:
  struct EntryPosition {
    consensus::Index index = 0;
    consensus::Term term = 0;
    bool operator<(const EntryPosition& other) const {
      return std::tie(index, term) < std::tie(other.index, other.term);
    }
  };
  struct UnsentMessage {
    std::uint64_t after_write = 0;
    consensus::Message message;
  };

  void start(consensus::PersistentState stored);
  void restart(const consensus::Write& first_write);
  void on_written(std::uint64_t number, const std::string& error);

  void carry_out(consensus::Output output);
  void log_role_change(const consensus::RoleChange& change);
  void send_when_durable(std::vector<consensus::OutgoingMessage> messages);
  void apply_committed(const std::vector<consensus::Entry>& entries);
  void log_members(const consensus::Membership& members) const;
  void take_snapshot_if_due();
  void notify_leadership_change();
  void record_log_positions(const std::vector<consensus::ProposalResult>& results);
  void complete_confirmations(const std::vector<consensus::ReadResult>& results);

  NodeContext& context_;
  RaftStorage& storage_;
  PeerConnections& connections_;
  ReplicatedState& state_;
  LeadershipObserver& observer_;

  consensus::NodeId id_ = consensus::kNoNode;
  std::unique_ptr<consensus::Raft> raft_;
  std::vector<consensus::Input> inputs_;
  net::Loop::TimerId step_timer_ = net::Loop::kNoTimer;
  consensus::Role last_role_ = consensus::Role::kFollower;
  std::optional<consensus::Term> last_logged_campaign_term_;
  consensus::Index snapshot_index_ = 0;

  // Raft numbers its writes from 1 each time it is started, while the storage's numbers keep rising. The base
  // is the difference.
  std::uint64_t write_number_base_ = 0;
  std::uint64_t durable_write_ = 0;
  std::vector<UnsentMessage> unsent_;
  std::string disk_error_;

  std::uint64_t last_ticket_ = 0;
  std::map<std::uint64_t, CompletionCallback> proposals_by_ticket_;  // not in the log yet
  std::map<EntryPosition, CompletionCallback> proposals_in_log_;     // not committed yet
  std::map<std::uint64_t, LeadershipCallback> pending_confirmations_;
};

}  // namespace database_proxy::group
