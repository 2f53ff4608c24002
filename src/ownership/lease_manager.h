// The leader's side of leases: which node is granted which job. Uses no clock, I/O or thread; every time is a
// parameter, read from the leader's monotonic clock.
//
// At most one node at a time acts on a job, because:
// - A lease holder sends renewal requests continuously. The leader responds only after a majority has
//   confirmed, after the request arrived, that it is still the leader. The response extends the lease to
//   LeaseOptions::duration after the request was *sent*, by the holder's clock.
// - The leader reassigns a job only after safe_reassignment_delay() has passed, by its own clock, since it
//   received the holder's last request that it may have granted. The delay is the lease duration, an
//   allowance for clocks of different rates and a margin for pauses. A new leader counts from its own
//   election, which happens after every response of earlier leaders.
// - A holder checks its lease immediately before each effect. If it is suspended between the check and the
//   effect, the receiver rejects the effect by its fencing token (ownership/fencing_token_guard.h).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "ownership/fencing_token_guard.h"
#include "ownership/lease_commands.h"
#include "ownership/lease_messages.h"
#include "ownership/lease_options.h"
#include "ownership/lease_registry.h"

namespace database_proxy::ownership {

// Grants, renews, revokes and rebalances leases. Each node owns one manager and calls it on its event loop;
// it is active only between on_elected() and on_leadership_lost().
class LeaseManager {
 public:
  explicit LeaseManager(LeaseOptions options) : options_(options) {}

  // Starts leading at `now`. An earlier leader may have renewed the lease of any job in the registry just
  // before.
  void on_elected(Micros now);
  void on_leadership_lost() { leading_ = false; }
  bool leading() const { return leading_; }

  // Records a node's request. Its renewal_response() may be sent only after leadership has been confirmed by
  // a round of messages that began after this call.
  void on_renewal_request(Micros now, const LeaseRenewalRequest& request, const LeaseRegistry& registry);
  // Returns the response to request `number` of `node`, with the leases that it renews.
  LeaseRenewalResponse renewal_response(const std::string& node, std::uint64_t number,
                                        const LeaseRegistry& registry) const;

  // Returns the grants to propose now. Call after each change of the registry, after each request, and at
  // due().
  std::vector<Command> propose(Micros now, const LeaseRegistry& registry);
  // Records that the proposal for this job was applied or failed, so that the job may be proposed again.
  void on_proposal_finished(const std::string& job) { proposed_.erase(job); }
  // Returns the time by which propose() must be called next.
  Micros due() const { return due_; }

  // Returns the log lines for the decisions made since the last call, and clears them.
  std::vector<std::string> take_decision_log() { return std::exchange(decision_log_, {}); }
  // Returns the state as a text, by which the model checker recognizes states that it has already explored.
  std::string fingerprint() const;

 private:
  struct Node {
    Micros last_request_at{0};
    std::set<std::string> eligible_jobs;
  };
  struct Lease {
    Micros renewed_at{0};  // arrival time of the last request that may have been granted
    Token token = 0;
    std::uint64_t progress = 0;
    Micros progressed_at{0};
    bool revoked = false;            // no longer renewed, so that it expires
    bool release_requested = false;  // the holder is to release the job for a less loaded node
  };
  struct JobOnNode {
    std::string job, node;
    bool operator<(const JobOnNode& other) const {
      return std::tie(job, node) < std::tie(other.job, other.node);
    }
  };
  using JobCounts = std::map<std::string, int>;  // by node

  Lease& observe_lease(Micros now, const std::string& job, Token token);
  void renew_lease(Micros now, const LeaseRenewalRequest& request, const std::string& job, Token token);
  std::set<std::string> all_eligible_jobs() const;
  void remove_unresponsive_nodes(Micros now);
  std::optional<Grant> propose_grant(Micros now, const std::string& job, const LeaseRegistry& registry);
  std::string choose_assignee(Micros now, const std::string& job, const LeaseRegistry& registry,
                              const std::string& previous_holder) const;
  JobCounts job_counts(Micros now, const LeaseRegistry& registry) const;
  bool is_rebalancing(Micros now) const;
  void rebalance(Micros now, const LeaseRegistry& registry);
  const std::string* find_less_loaded_node(const std::string& job, const std::string& holder,
                                           const JobCounts& counts) const;

  LeaseOptions options_;
  bool leading_ = false;
  Micros elected_at_{0}, due_{0}, last_rebalance_at_{0};
  std::map<std::string, Node> nodes_;            // by name; nodes that sent a request recently
  std::map<std::string, Lease> leases_;          // by job
  std::map<std::string, std::string> proposed_;  // by job; the node of a grant not yet applied
  std::map<JobOnNode, Micros> excluded_until_;
  std::vector<std::string> decision_log_;
};

}  // namespace database_proxy::ownership
