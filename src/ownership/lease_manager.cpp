#include "ownership/lease_manager.h"

#include <algorithm>
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
namespace {

// Number of times per lease duration that propose() runs when no event occurs.
constexpr int kProposalsPerLease = 4;
// Number of reassignment delays without a request after which a node is removed; its leases have all expired
// by then.
constexpr int kNodeRetentionDelays = 4;
// Minimum difference between two nodes' job counts for moving a job; a move at a smaller difference would not
// improve the balance.
constexpr int kRebalanceDifference = 2;

// FNV-1a with its 64-bit offset basis and prime. Unlike std::hash, it gives the same value on every node.
std::uint64_t hash_of(const std::string& job, const std::string& node) {
  constexpr std::uint64_t kOffsetBasis = 1469598103934665603ULL;
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  std::uint64_t hash = kOffsetBasis;
  for (const auto* text : {&job, &node})
    for (unsigned char byte : *text + '\0') hash = (hash ^ byte) * kPrime;
  return hash;
}

}  // namespace

void LeaseManager::on_elected(Micros now) {
  leading_ = true;
  elected_at_ = now;
  last_rebalance_at_ = now;
  due_ = now;
  nodes_.clear();
  leases_.clear();
  proposed_.clear();
  excluded_until_.clear();
}

void LeaseManager::on_renewal_request(Micros now, const LeaseRenewalRequest& request,
                                      const LeaseRegistry& registry) {
  if (!leading_) return;
  auto& node = nodes_[request.node];
  node.last_request_at = now;
  node.eligible_jobs.clear();
  node.eligible_jobs.insert(request.eligible_jobs.begin(), request.eligible_jobs.end());
  due_ = std::min(due_, now);
  for (const auto& [name, job] : registry.jobs()) {
    // A proposed grant to another node may take effect at any time, so the lease is not renewed meanwhile.
    if (job.lease_holder != request.node || proposed_.contains(name)) continue;
    renew_lease(now, request, name, job.token);
  }
}

// Returns the job's lease. A lease whose token is new to this leader counts as renewed at `now`, because this
// leader or an earlier one may have granted it up to now.
LeaseManager::Lease& LeaseManager::observe_lease(Micros now, const std::string& job, Token token) {
  auto& lease = leases_[job];
  if (lease.token != token) lease = {now, token, 0, now, false, false};
  return lease;
}

// Renews the lease, or revokes it if its holder makes no progress or is no longer eligible.
void LeaseManager::renew_lease(Micros now, const LeaseRenewalRequest& request, const std::string& job,
                               Token token) {
  auto& lease = observe_lease(now, job, token);
  if (lease.revoked) return;
  lease.renewed_at = now;
  for (const auto& reported : request.held_leases) {
    if (reported.job != job || reported.token != token || reported.progress == lease.progress) continue;
    lease.progress = reported.progress;
    lease.progressed_at = now;
  }
  bool is_eligible = nodes_.at(request.node).eligible_jobs.contains(job);
  if (is_eligible && now - lease.progressed_at < options_.progress_timeout) return;
  lease.revoked = true;
  excluded_until_[{job, request.node}] = now + options_.exclusion_duration;
  decision_log_.push_back("job " + job + ": " + request.node +
                          (is_eligible ? " holds the lease but does no work" : " is no longer eligible"));
}

LeaseRenewalResponse LeaseManager::renewal_response(const std::string& node, std::uint64_t number,
                                                    const LeaseRegistry& registry) const {
  LeaseRenewalResponse response;
  response.number = number;
  response.lease_duration = options_.duration;
  for (const auto& [name, job] : registry.jobs()) {
    if (job.lease_holder != node || proposed_.contains(name)) continue;
    auto lease = leases_.find(name);
    if (lease != leases_.end() && lease->second.token == job.token) {
      if (lease->second.revoked) continue;
      if (lease->second.release_requested) response.jobs_to_release.push_back(name);
    }
    response.granted.push_back({name, job.token, 0});
  }
  return response;
}

std::vector<Command> LeaseManager::propose(Micros now, const LeaseRegistry& registry) {
  if (!leading_) return {};
  due_ = now + options_.duration / kProposalsPerLease;
  auto jobs = all_eligible_jobs();
  remove_unresponsive_nodes(now);
  std::erase_if(excluded_until_, [&](const auto& exclusion) { return now >= exclusion.second; });
  std::vector<Command> commands;
  for (const auto& job : jobs)
    if (auto grant = propose_grant(now, job, registry)) commands.emplace_back(*std::move(grant));
  rebalance(now, registry);
  return commands;
}

std::set<std::string> LeaseManager::all_eligible_jobs() const {
  std::set<std::string> jobs;
  for (const auto& [name, node] : nodes_) jobs.insert(node.eligible_jobs.begin(), node.eligible_jobs.end());
  return jobs;
}

void LeaseManager::remove_unresponsive_nodes(Micros now) {
  auto retention = options_.safe_reassignment_delay() * kNodeRetentionDelays;
  std::erase_if(nodes_, [&](const auto& node) { return now - node.second.last_request_at > retention; });
}

// Returns a grant for a job whose lease can no longer be held. If the job is not assignable yet, returns
// nullopt and sets due() to at most the time at which it becomes assignable.
std::optional<Grant> LeaseManager::propose_grant(Micros now, const std::string& job,
                                                 const LeaseRegistry& registry) {
  if (proposed_.contains(job)) return std::nullopt;
  const auto* state = registry.job(job);
  std::string previous_holder = state ? state->lease_holder : "";
  // A job without a lease holder waits until all nodes have had time to send their eligible jobs to the new
  // leader.
  auto assignable_at = previous_holder.empty() ? elected_at_ + options_.duration / 2
                                               : observe_lease(now, job, state->token).renewed_at +
                                                     options_.safe_reassignment_delay();
  if (now < assignable_at) {
    due_ = std::min(due_, assignable_at);
    return std::nullopt;
  }
  auto assignee = choose_assignee(now, job, registry, previous_holder);
  if (assignee.empty()) return std::nullopt;
  proposed_[job] = assignee;
  decision_log_.push_back("job " + job + ": proposes a grant to " + assignee +
                          (previous_holder.empty() ? ": no previous lease holder"
                                                   : ": the lease of " + previous_holder + " has expired"));
  return Grant{job, assignee, state ? state->token : 0};
}

// Returns the node with the fewest jobs among the eligible nodes that sent a request within the last lease
// duration, or an empty string if there is none. Ties are broken by a hash, so that a job is assigned to the
// same node again. Excluded nodes and the previous holder are chosen only if no other node is eligible.
std::string LeaseManager::choose_assignee(Micros now, const std::string& job, const LeaseRegistry& registry,
                                          const std::string& previous_holder) const {
  std::string assignee;
  std::tuple<bool, int, std::uint64_t> lowest_rank;
  for (const auto& [name, count] : job_counts(now, registry)) {
    if (!nodes_.at(name).eligible_jobs.contains(job)) continue;
    auto excluded_until = excluded_until_.find({job, name});
    bool is_excluded = excluded_until != excluded_until_.end() && now < excluded_until->second;
    std::tuple rank(name == previous_holder || is_excluded, count, hash_of(job, name));
    if (!assignee.empty() && !(rank < lowest_rank)) continue;
    assignee = name;
    lowest_rank = rank;
  }
  return assignee;
}

// Returns the number of jobs, granted or proposed, of each node that sent a request within the last lease
// duration.
LeaseManager::JobCounts LeaseManager::job_counts(Micros now, const LeaseRegistry& registry) const {
  JobCounts counts;
  for (const auto& [name, node] : nodes_)
    if (now - node.last_request_at < options_.duration) counts[name] = 0;
  for (const auto& [name, job] : registry.jobs())
    if (auto it = counts.find(job.lease_holder); it != counts.end() && !proposed_.contains(name))
      ++it->second;
  for (const auto& [job, assignee] : proposed_)
    if (auto it = counts.find(assignee); it != counts.end()) ++it->second;
  return counts;
}

bool LeaseManager::is_rebalancing(Micros now) const {
  if (now >= last_rebalance_at_ + options_.safe_reassignment_delay()) return false;
  return std::any_of(leases_.begin(), leases_.end(),
                     [](auto& lease) { return lease.second.release_requested; });
}

// Requests the release of one job at a time from a node that has more jobs than another node eligible for it.
void LeaseManager::rebalance(Micros now, const LeaseRegistry& registry) {
  if (now < last_rebalance_at_ + options_.rebalance_interval || !proposed_.empty()) return;
  if (is_rebalancing(now)) return;
  auto counts = job_counts(now, registry);
  for (const auto& [name, job] : registry.jobs()) {
    auto lease = leases_.find(name);
    if (lease == leases_.end() || lease->second.token != job.token || lease->second.revoked) continue;
    const auto* receiver = find_less_loaded_node(name, job.lease_holder, counts);
    if (!receiver) continue;
    lease->second.release_requested = true;
    last_rebalance_at_ = now;
    decision_log_.push_back("job " + name + ": release requested from " + job.lease_holder + ": " +
                            *receiver + " has fewer jobs");
    return;
  }
}

const std::string* LeaseManager::find_less_loaded_node(const std::string& job, const std::string& holder,
                                                       const JobCounts& counts) const {
  auto holder_count = counts.find(holder);
  if (holder_count == counts.end()) return nullptr;
  for (const auto& [name, count] : counts) {
    if (count + kRebalanceDifference > holder_count->second) continue;
    if (!nodes_.at(name).eligible_jobs.contains(job) || excluded_until_.contains({job, name})) continue;
    return &name;
  }
  return nullptr;
}

std::string LeaseManager::fingerprint() const {
  std::string text = leading_ ? "L" + std::to_string(elected_at_.count()) : "-";
  for (const auto& [job, lease] : leases_)
    text += job + std::to_string(lease.renewed_at.count()) + "," + std::to_string(lease.token) +
            (lease.revoked ? "r" : "") + (lease.release_requested ? "m" : "");
  for (const auto& [job, assignee] : proposed_) text.append(job).append(">").append(assignee);
  for (const auto& [name, node] : nodes_) text += name + "@" + std::to_string(node.last_request_at.count());
  return text;
}

}  // namespace database_proxy::ownership
