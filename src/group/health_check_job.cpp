#include "group/health_check_job.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "group/jobs.h"
#include "peers/message_codec.h"

namespace database_proxy::group {
namespace {

using namespace std::chrono_literals;

// A check without a result after this time counts as lost.
constexpr Micros kCheckTimeout = 2s;
// A primary's data is never stale, so it is only checked for whether it still is the primary.
constexpr Micros kPrimaryCheckInterval = 1s;
// Limit for one shard group between two calls of run(); further reports are dropped.
constexpr std::size_t kMaxUnsentReports = 256;
// The field of a load report by which a primary declares itself, in the two forms that servers write.
constexpr const char* kPrimaryField = "x1=1";
constexpr const char* kPrimaryFieldWithColon = "x1:1";

bool is_primary(const std::string& load) {
  return load.find(kPrimaryField) != std::string::npos ||
         load.find(kPrimaryFieldWithColon) != std::string::npos;
}

}  // namespace

void HealthCheckJob::start(std::unique_ptr<HealthChecker> checker) {
  checker_ = std::move(checker);
  checker_->update_endpoints(subscriber_.effective_endpoint_list());
}

void HealthCheckJob::on_effective_endpoint_list(const discovery::EndpointListUpdate& list) {
  if (checker_) checker_->update_endpoints(list);
  primaries_.clear();
}

void HealthCheckJob::end_loop_iteration() {
  if (checker_) checker_->end_loop_iteration();
}

std::vector<std::string> HealthCheckJob::job_names() const {
  std::set<std::int64_t> shard_groups;
  for (auto& endpoint : subscriber_.effective_endpoint_list().endpoints)
    shard_groups.insert(endpoint.shard_group);
  std::vector<std::string> names;
  names.reserve(shard_groups.size());
  for (auto shard_group : shard_groups) names.push_back(health_check_job_name(shard_group));
  return names;
}

void HealthCheckJob::run(Micros now) {
  for (auto& job : leases_.held_jobs()) {
    auto shard_group = health_checked_shard_group(job);
    if (!shard_group || !leases_.holds(job, now)) continue;
    if (gossip_.is_subscribed(*shard_group))
      check_shard_group(*shard_group, now);
    else
      leases_.record_progress(job);  // without a subscription there is nothing to check
  }
  send_reports();
}

// Checks replicas in turn, so that the newest report of a shard group is never older than a fraction of the
// interval at which each single replica is checked.
void HealthCheckJob::check_shard_group(std::int64_t shard_group, Micros now) {
  auto job = health_check_job_name(shard_group);
  std::erase_if(pending_checks_, [&](auto& check) { return now - check.second > kCheckTimeout; });
  std::vector<std::string> replicas;
  for (auto& endpoint : subscriber_.effective_endpoint_list().endpoints) {
    if (endpoint.shard_group != shard_group || endpoint.lifecycle != discovery::Lifecycle::kUp) continue;
    auto primary = primaries_.find(endpoint.id);
    if (primary == primaries_.end())
      replicas.push_back(endpoint.id);
    else if (now - primary->second >= kPrimaryCheckInterval)
      check_server(job, endpoint.id, now);
  }
  if (replicas.empty()) return;
  auto& round_robin = round_robins_[shard_group];
  for (auto due = count_due_checks(&round_robin, replicas.size(), now); due > 0; --due)
    check_server(job, replicas[round_robin.next_replica++ % replicas.size()], now);
}

std::int64_t HealthCheckJob::count_due_checks(RoundRobin* round_robin, std::size_t replicas,
                                              Micros now) const {
  auto count = static_cast<std::int64_t>(replicas);
  // A single replica is checked twice as often, as there are no reports of other replicas in between.
  auto interval = context_.options.probe_interval / std::max<std::int64_t>(2, count);
  auto due = (now - round_robin->last_due) / interval;
  if (due > count) {  // the first call, or after a pause: checks all at once
    round_robin->last_due = now;
    return count;
  }
  round_robin->last_due += interval * due;
  return due;
}

void HealthCheckJob::check_server(const std::string& job, const std::string& server, Micros now) {
  // The lease is checked right before the effect.
  if (!leases_.holds_now(job)) return;
  if (pending_checks_.emplace(server, now).second) checker_->check(server);
}

void HealthCheckJob::on_result(const HealthCheckResult& result) {
  auto& endpoints = subscriber_.effective_endpoint_list().endpoints;
  auto endpoint = std::find_if(endpoints.begin(), endpoints.end(),
                               [&](auto& candidate) { return candidate.id == result.server; });
  pending_checks_.erase(result.server);
  if (endpoint == endpoints.end() || !result.ok) return;
  auto& reports = unsent_reports_[endpoint->shard_group];
  if (reports.size() >= kMaxUnsentReports) return;
  if (is_primary(result.load))
    primaries_[result.server] = net::monotonic_now();
  else
    primaries_.erase(result.server);
  // The load report is dated to the start of the check: the server measured its load then at the latest.
  auto measured_at = unix_ms() - result.duration / Micros(1000);
  reports.push_back({result.server, result.load, result.duration, measured_at});
}

void HealthCheckJob::send_reports() {
  for (auto& [shard_group, unsent] : unsent_reports_) {
    if (unsent.empty()) continue;
    auto job = health_check_job_name(shard_group);
    peers::LoadReports reports;
    reports.header = {job, leases_.token(job)};
    reports.sent_at_unix_ms = unix_ms();
    reports.loads = std::exchange(unsent, {});
    // The lease is checked right before the effect.
    if (!leases_.holds_now(job)) continue;
    leases_.record_progress(job);
    gossip_.on_job_report(peers::encode(reports), nullptr);
  }
}

}  // namespace database_proxy::group
