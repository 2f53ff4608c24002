#include "group/lease_session.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <set>

#include "peers/message_codec.h"

namespace database_proxy::group {
namespace {

using namespace std::chrono_literals;
using net::Level;

// Renewal requests per lease duration: several may be lost before the lease expires.
constexpr int kRenewalsPerLease = 8;
// A lease holder that reports no progress loses the job after the longer of these two times. The discovery
// service may keep one call open for 6 s, during which its caller is not idle.
constexpr Micros kMinIdleTime = 10s;
constexpr int kIdleTimeInLeases = 4;  // lease durations
// The shortest interval at which the lease manager wakes the loop.
constexpr Micros kMinManagerInterval = 1ms;

ownership::LeaseOptions lease_options(const Options& options) {
  ownership::LeaseOptions lease;
  lease.duration = options.lease;
  lease.progress_timeout = std::max<Micros>(kMinIdleTime, options.lease * kIdleTimeInLeases);
  return lease;
}

}  // namespace

LeaseSession::LeaseSession(NodeContext& context, ConsensusDriver& consensus, ReplicatedState& state,
                           LeaderForwarding& forwarding, LeaseEvents& events)
    : context_(context),
      consensus_(consensus),
      state_(state),
      forwarding_(forwarding),
      events_(events),
      manager_(lease_options(context.options)),
      client_(context.name(), lease_options(context.options)) {}

// ---- The lease holder's side

void LeaseSession::start_renewing() {
  auto first = context_.random_time_within(context_.options.lease / kRenewalsPerLease);
  renewal_timer_ = context_.loop.at(first, [this] { request_renewal(); });
}

void LeaseSession::request_renewal() {
  auto next = context_.loop.now() + context_.options.lease / kRenewalsPerLease;
  renewal_timer_ = context_.loop.at(next, [this] { request_renewal(); });
  auto eligible_jobs = is_releasing_all_ ? std::vector<std::string>() : events_.eligible_jobs();
  auto request = client_.make_renewal_request(net::monotonic_now(), eligible_jobs);
  forwarding_.send_to_leader(peers::encode(peers::RoutedLeaseRenewalRequest{context_.name(), request}));
}

void LeaseSession::on_renewal_response(const peers::EncodedMessage& message) {
  auto response = peers::decode_lease_renewal_response(message).response;
  client_.on_renewal_response(net::monotonic_now(), response);
  auto jobs_to_release = client_.jobs_to_release();
  for (auto& job : jobs_to_release) release(job);
  if (!is_releasing_all_) return;
  for (auto& job : client_.jobs()) release(job);
}

void LeaseSession::release(const std::string& job) {
  auto token = client_.release(job);
  if (token == 0) return;
  context_.log(Level::kInfo, fmt::format("releases job {} (token {})", job, token));
  events_.on_lease_lost(job);
  forwarding_.propose(ownership::encode(ownership::Release{job, token}));
}

void LeaseSession::release_all() {
  is_releasing_all_ = true;
  context_.loop.cancel(&renewal_timer_);
  // This request lists no eligible job, so the leader grants this node no lease again.
  if (!context_.options.jobs.empty()) request_renewal();
  for (auto& job : client_.jobs()) release(job);
}

void LeaseSession::expire(Micros now) {
  for (auto& job : client_.expire(now)) {
    context_.log(Level::kWarning, fmt::format("stops job {}: its lease has run out", job));
    events_.on_lease_lost(job);
  }
}

// ---- The leader's side

void LeaseSession::on_renewal_request(const peers::EncodedMessage& message) {
  if (!manager_.leading() || !consensus_.may_answer_as_leader()) return;
  auto routed = peers::decode_lease_renewal_request(message);
  manager_.on_renewal_request(net::monotonic_now(), routed.request, state_.registry());
  consensus_.confirm_leadership([this, node = routed.request.node, number = routed.request.number,
                                 via = routed.via](bool is_confirmed) {
    if (is_confirmed && manager_.leading()) send_renewal_response(node, number, via);
  });
}

void LeaseSession::send_renewal_response(const std::string& node, std::uint64_t number,
                                         const std::string& via) {
  peers::RoutedLeaseRenewalResponse routed;
  routed.route = {node, via};
  routed.response = manager_.renewal_response(node, number, state_.registry());
  routed.response.number = number;
  forwarding_.return_response(peers::encode(routed));
}

void LeaseSession::run_lease_manager() {
  if (!manager_.leading() || !consensus_.may_answer_as_leader()) return;
  auto now = net::monotonic_now();
  if (now >= manager_.due()) {
    for (auto& command : manager_.propose(now, state_.registry())) {
      auto job = std::get<ownership::Grant>(command).job;
      consensus_.propose(ownership::encode(command), [this, job](const ProposalOutcome& outcome) {
        if (outcome.failure) manager_.on_proposal_finished(job);
      });
    }
  }
  for (auto& line : manager_.take_decision_log()) context_.log(Level::kInfo, line);
  auto wake_at = std::max(manager_.due(), context_.loop.now() + kMinManagerInterval);
  context_.set_timer(&manager_timer_, wake_at, [] {});  // the loop iteration that it causes calls this again
}

}  // namespace database_proxy::group
