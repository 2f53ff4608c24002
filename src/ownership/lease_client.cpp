#include "ownership/lease_client.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <string>
#include <vector>

#include "ownership/fencing_token_guard.h"
#include "ownership/lease_messages.h"
#include "ownership/lease_options.h"

namespace database_proxy::ownership {
namespace {

// Maximum number of open requests, whose responses are still accepted. With at most four requests per lease
// duration, a lease granted for an older request would long have expired; the limit bounds the map while no
// leader responds.
constexpr std::size_t kMaxOpenRequests = 16;

}  // namespace

LeaseRenewalRequest LeaseClient::make_renewal_request(Micros now,
                                                      const std::vector<std::string>& eligible_jobs) {
  LeaseRenewalRequest request;
  request.node = node_;
  request.number = ++last_request_number_;
  request.eligible_jobs = eligible_jobs;
  for (const auto& [job, lease] : leases_) request.held_leases.push_back({job, lease.token, lease.progress});
  request_sent_at_[request.number] = now;
  while (request_sent_at_.size() > kMaxOpenRequests) request_sent_at_.erase(request_sent_at_.begin());
  return request;
}

void LeaseClient::on_renewal_response(Micros /*now*/, const LeaseRenewalResponse& response) {
  auto sent_at = request_sent_at_.find(response.number);
  if (sent_at == request_sent_at_.end()) return;
  auto expires_at = sent_at->second + std::min(response.lease_duration, options_.duration);
  request_sent_at_.erase(request_sent_at_.begin(), std::next(sent_at));
  jobs_to_release_.clear();
  jobs_to_release_.insert(response.jobs_to_release.begin(), response.jobs_to_release.end());
  for (const auto& granted : response.granted) {
    auto released = released_tokens_.find(granted.job);
    if (released != released_tokens_.end() && granted.token <= released->second) continue;
    auto& lease = leases_[granted.job];
    if (granted.token < lease.token) continue;
    if (granted.token > lease.token) lease = {granted.token, expires_at, 0};
    lease.expires_at = std::max(lease.expires_at, expires_at);
  }
}

bool LeaseClient::holds(const std::string& job, Micros now) const {
  auto it = leases_.find(job);
  return it != leases_.end() && (options_.flaw_no_check || now < it->second.expires_at);
}

Token LeaseClient::token(const std::string& job) const {
  auto it = leases_.find(job);
  return it == leases_.end() ? 0 : it->second.token;
}

Micros LeaseClient::expires_at(const std::string& job) const {
  auto it = leases_.find(job);
  return it == leases_.end() ? Micros(0) : it->second.expires_at;
}

std::vector<std::string> LeaseClient::jobs() const {
  std::vector<std::string> jobs;
  for (const auto& [job, lease] : leases_) jobs.push_back(job);
  return jobs;
}

void LeaseClient::record_progress(const std::string& job) {
  if (auto it = leases_.find(job); it != leases_.end()) ++it->second.progress;
}

std::vector<std::string> LeaseClient::expire(Micros now) {
  std::vector<std::string> expired;
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (now < it->second.expires_at || options_.flaw_no_check) {
      ++it;
      continue;
    }
    expired.push_back(it->first);
    it = leases_.erase(it);
  }
  return expired;
}

Token LeaseClient::release(const std::string& job) {
  auto it = leases_.find(job);
  if (it == leases_.end()) return 0;
  auto token = it->second.token;
  released_tokens_[job] = token;
  leases_.erase(it);
  jobs_to_release_.erase(job);
  return token;
}

}  // namespace database_proxy::ownership
