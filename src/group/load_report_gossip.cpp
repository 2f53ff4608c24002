#include "group/load_report_gossip.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "group/jobs.h"
#include "peers/message_codec.h"

namespace database_proxy::group {
namespace {

using namespace std::chrono_literals;

// Older reports are dropped: the load has changed since then, and the primary may have.
constexpr Micros kMaxReportAge = 1s;
// Time for which a shard group is checked after the last request. Processes do not request again while they
// receive reports, so each time a subscription expires, many processes make one check each.
constexpr Micros kSubscriptionDuration = 30s;
// Requests for one shard group are forwarded at most this often, whichever processes make them.
constexpr Micros kMinForwardInterval = 250ms;
// Limit of subscriptions at one node. Beyond it all are dropped; those in use are requested again.
constexpr std::size_t kMaxSubscriptions = 4096;

}  // namespace

void LoadReportGossip::on_job_report(const peers::EncodedMessage& message, peers::Link* from) {
  auto header = peers::decode_job_report_header(message);
  if (header.token == 0 || !state_.admit_effect(header.job, header.token)) return;
  connections_.disseminate(message, from);
  if (header.job == kPlacementJob) return observer_.on_placement_status(peers::decode_plan_number(message));
  if (header.job == kEndpointListJob)
    return observer_.on_endpoint_list_status(peers::decode_endpoint_list_status(message));
  deliver_load_reports(message);
}

void LoadReportGossip::deliver_load_reports(const peers::EncodedMessage& message) {
  std::vector<LoadReport> reports;
  for (auto& load : peers::decode_server_loads(message)) {
    LoadReport report;
    report.server = std::move(load.server);
    report.load = std::move(load.report);
    report.check_duration = load.check_duration;
    report.age = std::max(Micros(0), age_of_unix_ms(load.measured_at_unix_ms));
    if (report.age <= kMaxReportAge) reports.push_back(std::move(report));
  }
  if (!reports.empty()) observer_.on_load_reports(std::move(reports));
}

bool LoadReportGossip::is_subscribed(std::int64_t shard_group) const {
  auto found = subscriptions_.find(shard_group);
  return found != subscriptions_.end() &&
         net::monotonic_now() - found->second.last_request < kSubscriptionDuration;
}

void LoadReportGossip::subscribe(std::int64_t shard_group, peers::Link* from) {
  if (subscriptions_.size() >= kMaxSubscriptions && !subscriptions_.contains(shard_group))
    subscriptions_.clear();
  auto now = net::monotonic_now();
  auto [entry, is_new] = subscriptions_.try_emplace(shard_group, Subscription{now, now});
  auto& subscription = entry->second;
  subscription.last_request = now;
  if (!is_new && now - subscription.last_forwarded < kMinForwardInterval) return;
  subscription.last_forwarded = now;
  forward_subscription(shard_group, from);
}

void LoadReportGossip::forward_subscription(std::int64_t shard_group, const peers::Link* from) {
  auto message = peers::encode(peers::LoadSubscription{shard_group});
  if (!context_.is_voter()) {
    if (!from) connections_.send_to_upstream(message);
    return;
  }
  if (!from || from->peer().role != peers::PeerRole::kVoter) connections_.broadcast_to_voters(message);
  auto* job = state_.job(health_check_job_name(shard_group));
  if (!job) return;
  auto lease_holder = connections_.downstream().find(job->lease_holder);
  if (lease_holder != connections_.downstream().end() && lease_holder->second.link != from)
    lease_holder->second.link->send(message);
}

}  // namespace database_proxy::group
