// The leader's side of leases: which node owns which job. Pure: every time is a parameter, of the leader's
// monotonic clock.
//
// How a job has one owner at a time:
// - A holder sends renewal requests all the time. The leader responds once a majority has confirmed, after
// the
//   request arrived, that it still leads. The response extends the lease to `length` after the request was
//   *sent*, by the holder's clock.
// - The leader reassigns a job only after safe_reassignment_delay() has passed by its own clock since the
// last
//   request of the holder that it may have granted: `length`, a part more for clocks of different rate, and a
//   margin for pauses. A new leader counts from its election, which comes after every response of those
//   before it.
// - A holder checks its lease right before each effect. One that stops between check and effect is refused by
//   its fencing token (ownership/fencing_token_guard.h).
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

// Each node owns one and calls it on its event loop; it only acts between on_elected() and
// on_leadership_lost().
class LeaseManager {
 public:
  explicit LeaseManager(LeaseOptions options) : options_(options) {}

  // This node leads from `now` on. Any job of the registry may be under a lease granted just before.
  void on_elected(Micros now);
  void on_leadership_lost() { leading_ = false; }
  bool leading() const { return leading_; }

  // Records a node's request. renewal_response() may be sent once leadership is confirmed by a round that
  // began after this call.
  void on_renewal_request(Micros now, const LeaseRenewalRequest& request, const LeaseRegistry& registry);
  // The leases of `node` that its request `number` renews.
  LeaseRenewalResponse renewal_response(const std::string& node, std::uint64_t number,
                                        const LeaseRegistry& registry) const;

  // The grants to propose now. To be called after each change of the registry, each request, and at due().
  std::vector<Command> propose(Micros now, const LeaseRegistry& registry);
  // The proposal for this job was applied, or failed; the job may be proposed again.
  void on_proposal_finished(const std::string& job) { proposed_.erase(job); }
  // When propose() has to be called next, at the latest.
  Micros due() const { return due_; }

  // Returns the log lines about decisions since the last call.
  std::vector<std::string> take_decision_log() { return std::exchange(decision_log_, {}); }
  // The state as a text, by which the model check recognizes states that it has explored.
  std::string fingerprint() const;

 private:
  struct Node {
    Micros last_request_at{0};
    std::set<std::string> eligible_jobs;
  };
  struct Lease {
    Micros renewed_at{0};  // arrival of the last request that may have been granted
    Token token = 0;
    std::uint64_t progress = 0;
    Micros progressed_at{0};
    bool revoked = false;            // no longer renewed: it expires
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
  std::map<std::string, Node> nodes_;            // by name: those that sent requests lately
  std::map<std::string, Lease> leases_;          // by job
  std::map<std::string, std::string> proposed_;  // by job: the node of a grant that is not applied yet
  std::map<JobOnNode, Micros> excluded_until_;
  std::vector<std::string> decision_log_;
};

}  // namespace database_proxy::ownership
