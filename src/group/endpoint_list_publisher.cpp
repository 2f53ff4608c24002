#include "group/endpoint_list_publisher.h"

#include <chrono>
#include <optional>
#include <utility>

#include "group/jobs.h"
#include "net/socket.h"
#include "peers/message_codec.h"

namespace database_proxy::group {
namespace {

using namespace std::chrono_literals;

// A list that is not in the registry after this time is proposed again. An election takes longer, a
// replication round much less.
constexpr Micros kProposalRetryInterval = 400ms;

}  // namespace

void EndpointListPublisher::run(Micros now) {
  if (!leases_.holds(kEndpointListJob, now)) return;
  if (!watch_) start_polling(now);
  publish();
  report_status(now);
}

void EndpointListPublisher::on_discovery_changed() {
  watch_.reset();
  is_complete_ = false;
}

// Continues from the published list, whichever node published it.
void EndpointListPublisher::start_polling(Micros now) {
  auto& effective_list = subscriber_.effective_endpoint_list();
  bool is_published = subscriber_.is_published();
  std::optional<std::int64_t> known_generation;
  endpoints_.clear();
  if (is_published) {
    known_generation = effective_list.generation;
    for (auto& endpoint : effective_list.endpoints) endpoints_[endpoint.id] = endpoint;
  }
  generation_ = effective_list.generation;
  is_complete_ = is_published;
  if (!known_generation) ++complete_polls_;
  is_publishing_ = false;
  // A published list counts as an answer, because a poll that waits for a change takes up to 5 s.
  last_discovery_answer_ = is_published ? now : Micros(0);
  watch_ = std::make_unique<discovery::DiscoveryWatch>(
      context_.loop, *net::parse_address(context_.discovery_address), context_.discovery_address,
      known_generation, context_.polling_schedule,
      [this](const discovery::EndpointListUpdate& update) { on_update(update); }, context_.log_sink);
  watch_->start_now();
}

void EndpointListPublisher::on_update(const discovery::EndpointListUpdate& update) {
  apply_update(&endpoints_, update);
  is_complete_ = is_complete_ || update.reset;
  bool has_changed = update.reset || !update.endpoints.empty() || update.generation != generation_;
  generation_ = update.generation;
  last_discovery_answer_ = net::monotonic_now();
  leases_.record_progress(kEndpointListJob);
  if (!has_changed || !is_complete_) return;
  to_publish_ = peers::encode_published_list(make_complete_list(endpoints_, update.generation));
  version_to_publish_ = update.generation;
  is_publishing_ = true;
  last_proposed_ = Micros(0);
  publish();
}

void EndpointListPublisher::publish() {
  auto now = net::monotonic_now();
  if (!is_publishing_ || now - last_proposed_ < kProposalRetryInterval) return;
  auto token = leases_.token(kEndpointListJob);
  auto* job = state_.job(kEndpointListJob);
  if (job && job->publisher_token == token && job->data == to_publish_) {
    is_publishing_ = false;
    return;
  }
  last_proposed_ = now;
  auto command = ownership::encode(ownership::Publish{
      kEndpointListJob, token, static_cast<std::uint64_t>(version_to_publish_), to_publish_});
  if (!leases_.holds_now(kEndpointListJob)) return;  // right before the effect
  forwarding_.propose(command);
}

void EndpointListPublisher::report_status(Micros now) {
  bool is_discovery_responsive =
      last_discovery_answer_.count() > 0 && now - last_discovery_answer_ < kEndpointListValidity;
  if (now - last_status_ < kStatusInterval || !is_discovery_responsive) return;
  last_status_ = now;
  peers::EndpointListStatus status;
  status.header = {kEndpointListJob, leases_.token(kEndpointListJob)};
  status.generation = generation_;
  status.sent_at_unix_ms = unix_ms();
  if (!leases_.holds_now(kEndpointListJob)) return;  // right before the effect
  gossip_.on_job_report(peers::encode(status), nullptr);
}

}  // namespace database_proxy::group
