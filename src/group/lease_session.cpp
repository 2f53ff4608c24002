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

// Renewals in the length of a lease: several may be lost before it runs out.
constexpr int kRenewalsPerLease = 8;
// A lease holder that shows no progress is relieved after this long: the list service may keep one call open
// for 6 s, which is no idleness.
constexpr Micros kLeastIdleTime = 10s;
constexpr int kIdleLeases = 4;
// The lease manager never wakes the loop more often than this.
constexpr Micros kShortestManagerPause = 1ms;

ownership::LeaseOptions lease_options(const Options& options) {
  ownership::LeaseOptions lease;
  lease.duration = options.lease;
  lease.progress_timeout = std::max<Micros>(kLeastIdleTime, options.lease * kIdleLeases);
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

// ---- The holder's side

void LeaseSession::start_renewing() {
  auto first = context_.random_time_within(context_.options.lease / kRenewalsPerLease);
  renewal_timer_ = context_.loop.at(first, [this] { request_renewal(); });
}

void LeaseSession::request_renewal() {
  auto next = context_.loop.now() + context_.options.lease / kRenewalsPerLease;
  renewal_timer_ = context_.loop.at(next, [this] { request_renewal(); });
  auto eligible_jobs = is_leaving_ ? std::vector<std::string>() : events_.eligible_jobs();
  auto request = client_.make_renewal_request(net::monotonic_now(), eligible_jobs);
  forwarding_.send_to_leader(peers::encode(peers::RoutedLeaseRenewalRequest{context_.name(), request}));
}

void LeaseSession::on_renewal_response(const peers::EncodedMessage& message) {
  auto response = peers::decode_lease_renewal_response(message).response;
  client_.on_renewal_response(net::monotonic_now(), response);
  auto to_give_up = client_.jobs_to_release();
  for (auto& job : to_give_up) release(job);
  if (!is_leaving_) return;
  for (auto& job : client_.jobs()) release(job);
}

void LeaseSession::release(const std::string& job) {
  auto token = client_.release(job);
  if (token == 0) return;
  context_.log(Level::kInfo, fmt::format("gives up job {} (token {})", job, token));
  events_.on_lease_lost(job);
  forwarding_.propose(ownership::encode(ownership::Release{job, token}));
}

void LeaseSession::release_all() {
  is_leaving_ = true;
  context_.loop.cancel(&renewal_timer_);
  // Without any eligible job no lease comes back.
  if (!context_.options.jobs.empty()) request_renewal();
  for (auto& job : client_.jobs()) release(job);
}

void LeaseSession::expire(Micros now) {
  for (auto& job : client_.expire(now)) {
    context_.log(Level::kWarning, fmt::format("lets job {} go: its lease has run out", job));
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
    if (is_confirmed && manager_.leading()) answer_renewal(node, number, via);
  });
}

void LeaseSession::answer_renewal(const std::string& node, std::uint64_t number, const std::string& via) {
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
  auto wake_at = std::max(manager_.due(), context_.loop.now() + kShortestManagerPause);
  context_.set_timer(&manager_timer_, wake_at, [] {});  // the turn that it causes calls this again
}

}  // namespace database_proxy::group
