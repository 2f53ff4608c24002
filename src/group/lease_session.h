// Both sides of the leases on jobs at one node: the lease holder's side (ownership::LeaseClient), which
// renews leases with the leader, and the leader's side (ownership::LeaseManager), which grants them through
// the log.
//
// Belongs to the group's thread. The code of a job calls holds() right before each effect, and sends the
// lease's fencing token with the effect. A lease that is not renewed expires by this node's own clock, of
// which LeaseEvents is notified.
#pragma once

#include <string>
#include <vector>

#include "group/consensus_driver.h"
#include "group/leader_forwarding.h"
#include "group/node_context.h"
#include "group/replicated_state.h"
#include "ownership/lease.h"

namespace database_proxy::group {

// Provides the jobs to request leases for, and is notified when a lease ends.
class LeaseEvents {
 public:
  virtual ~LeaseEvents() = default;
  // Returns the jobs that this node is eligible for, according to its options and the endpoint list.
  virtual std::vector<std::string> eligible_jobs() const = 0;
  // The lease has expired or was released.
  virtual void on_lease_lost(const std::string& job) = 0;
};

// Both sides of this node's leases.
class LeaseSession {
 public:
  LeaseSession(NodeContext& context, ConsensusDriver& consensus, ReplicatedState& state,
               LeaderForwarding& forwarding, LeaseEvents& events);

  // The lease holder's side. Sends eight renewal requests per lease duration, the first at a random time.
  void start_renewing();
  // Releases every lease and accepts no further ones.
  void release_all();
  void on_renewal_response(const peers::EncodedMessage& message);
  // Removes the leases that have expired by `now`.
  void expire(Micros now);

  bool holds(const std::string& job, Micros now) const { return client_.holds(job, now); }
  bool holds_now(const std::string& job) const { return client_.holds(job, net::monotonic_now()); }
  ownership::Token token(const std::string& job) const { return client_.token(job); }
  std::vector<std::string> held_jobs() const { return client_.jobs(); }
  // Records work done for the job. The leader gives a job without progress to another node.
  void record_progress(const std::string& job) { client_.record_progress(job); }

  // The leader's side.
  void on_elected() { manager_.on_elected(net::monotonic_now()); }
  void on_leadership_lost() { manager_.on_leadership_lost(); }
  void on_grant_applied(const std::string& job) { manager_.on_proposal_finished(job); }
  void on_renewal_request(const peers::EncodedMessage& message);
  // Proposes the grants that are due. To be called in each iteration of the loop.
  void run_lease_manager();

 private:
  void request_renewal();
  void release(const std::string& job);
  void send_renewal_response(const std::string& node, std::uint64_t number, const std::string& via);

  NodeContext& context_;
  ConsensusDriver& consensus_;
  ReplicatedState& state_;
  LeaderForwarding& forwarding_;
  LeaseEvents& events_;
  ownership::LeaseManager manager_;
  ownership::LeaseClient client_;
  net::Loop::TimerId renewal_timer_ = net::Loop::kNoTimer;
  net::Loop::TimerId manager_timer_ = net::Loop::kNoTimer;
  bool is_releasing_all_ = false;
};

}  // namespace database_proxy::group
