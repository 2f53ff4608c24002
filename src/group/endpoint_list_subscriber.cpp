#include "group/endpoint_list_subscriber.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <stdexcept>
#include <utility>

#include "group/jobs.h"
#include "net/socket.h"
#include "ownership/lease_registry.h"
#include "peers/message_codec.h"

namespace database_proxy::group {
namespace {

using endpoint_list::Source;
using net::Level;

// The publication time of a list that the group committed is not known.
constexpr std::int64_t kUnknownPublicationTime = 0;

}  // namespace

void apply_update(EndpointsById* endpoints, const discovery::EndpointListUpdate& update) {
  if (update.reset) endpoints->clear();
  for (auto& endpoint : update.endpoints) {
    if (endpoint.lifecycle == discovery::Lifecycle::kRemoved)
      endpoints->erase(endpoint.id);
    else
      (*endpoints)[endpoint.id] = endpoint;
  }
}

discovery::EndpointListUpdate make_complete_list(const EndpointsById& endpoints, std::int64_t generation) {
  discovery::EndpointListUpdate list;
  list.generation = generation;
  list.reset = true;
  for (auto& [id, endpoint] : endpoints) list.endpoints.push_back(endpoint);
  return list;
}

EndpointListSubscriber::EndpointListSubscriber(NodeContext& context, PeerConnections& connections,
                                               ReplicatedState& state, EndpointListObserver& observer,
                                               discovery::EndpointListUpdate known)
    : context_(context),
      connections_(connections),
      state_(state),
      observer_(observer),
      selector_(context.options.installation),
      effective_list_(std::move(known)) {}

void EndpointListSubscriber::start() {
  last_contact_ = net::monotonic_now();
  randomize_fallback_delay();
}

// Spread over the nodes, so that they do not all poll the discovery service at the same time.
void EndpointListSubscriber::randomize_fallback_delay() {
  fallback_delay_ =
      context_.options.fallback_timeout + context_.random_below(context_.options.fallback_jitter);
}

void EndpointListSubscriber::on_discovery_changed() {
  if (fallback_watch_) start_fallback_poll();
}

void EndpointListSubscriber::put_into_effect(bool is_restart) {
  effective_list_ = selector_.list();
  is_published_ = selector_.source() == Source::kGroup;
  observer_.on_effective_endpoint_list(effective_list_, is_restart);
}

// ---- From the group

// Returns whether the entry publishes an endpoint list that can be parsed.
bool EndpointListSubscriber::restore_from_entry(const consensus::Entry& entry) {
  if (entry.type != consensus::EntryType::kCommand) return false;
  auto command = ownership::decode(entry.data);
  auto* publish = command ? std::get_if<ownership::Publish>(&*command) : nullptr;
  if (!publish || publish->job != kEndpointListJob || publish->data.empty()) return false;
  try {
    auto list = discovery::parse_endpoint_list(publish->data);
    if (selector_.consider(Source::kOwnCopy, context_.options.installation, std::move(list),
                           kUnknownPublicationTime))
      put_into_effect(false);
    return true;
  } catch (const std::invalid_argument&) {
    return false;  // an earlier entry may hold a valid list
  }
}

void EndpointListSubscriber::restore_from_log(const std::vector<consensus::Entry>& entries) {
  // Only the newest valid list is needed.
  for (auto i = entries.size(); i > 0; --i)
    if (restore_from_entry(entries[i - 1])) return;
}

void EndpointListSubscriber::on_endpoint_list_published() {
  auto* job = state_.job(kEndpointListJob);
  if (!job || job->data.empty()) return;
  try {
    auto list = discovery::parse_endpoint_list(job->data);
    list.reset = true;
    auto previous_generation =
        selector_.has_list() ? selector_.list().generation : std::numeric_limits<std::int64_t>::min();
    if (!selector_.consider(Source::kGroup, context_.options.installation, std::move(list),
                            kUnknownPublicationTime)) {
      is_published_ = selector_.source() == Source::kGroup;
      return;
    }
    last_contact_ = std::max(last_contact_, net::monotonic_now());
    put_into_effect(selector_.list().generation < previous_generation);
  } catch (const std::invalid_argument& e) {
    context_.log(Level::kError, fmt::format("the published endpoint list cannot be parsed: {}", e.what()));
  }
}

void EndpointListSubscriber::on_lease_holder_status(const peers::EndpointListStatus& status) {
  if (age_of_unix_ms(status.sent_at_unix_ms) > context_.options.fallback_timeout) return;
  // While the lease holder's newest list has not reached this node, the list here is out of date, and a
  // status message does not count as contact.
  if (is_published_ && effective_list_.generation >= status.generation) last_contact_ = net::monotonic_now();
}

// ---- Copies from voters, while the group has no lease holder

peers::EncodedMessage EndpointListSubscriber::encode_copy() const {
  peers::EndpointListCopy copy;
  copy.published_at_unix_ms = selector_.published_at_ms();
  copy.installation = context_.options.installation;
  copy.list = peers::encode_published_list(selector_.list());
  return peers::encode(copy);
}

void EndpointListSubscriber::on_follower_joined(peers::Link& link) {
  if (selector_.has_list() && !is_published_) link.send(encode_copy());
}

void EndpointListSubscriber::on_copy_request(peers::Link& link) {
  if (selector_.has_list()) link.send(encode_copy());
}

void EndpointListSubscriber::on_confirmation(peers::Link& link, const peers::EncodedMessage& message) {
  if (link.peer().role != peers::PeerRole::kVoter) return;
  auto confirmation = peers::decode_endpoint_list_confirmation(message);
  if (age_of_unix_ms(confirmation.sent_at_unix_ms) > context_.options.fallback_timeout) return;
  connections_.disseminate(message, &link);
  if (effective_list_.generation >= confirmation.generation && selector_.has_list())
    last_contact_ = net::monotonic_now();
  else
    link.send(peers::encode(peers::EndpointListCopyRequest{}));
}

void EndpointListSubscriber::on_copy(peers::Link& link, const peers::EncodedMessage& message) {
  if (link.peer().role != peers::PeerRole::kVoter) return;
  auto copy = peers::decode_endpoint_list_copy(message);
  try {
    auto list = discovery::parse_endpoint_list(copy.list);
    if (!selector_.consider(Source::kPeer, copy.installation, std::move(list), copy.published_at_unix_ms))
      return;
    // An old copy that a voter kept on its disk does not show that the list is still current.
    if (age_of_unix_ms(copy.published_at_unix_ms) <= context_.options.fallback_timeout)
      last_contact_ = net::monotonic_now();
    put_into_effect(false);
    connections_.disseminate(message, &link);
  } catch (const std::invalid_argument& e) {
    context_.log(Level::kError, fmt::format("the copy of the endpoint list from {} cannot be parsed: {}",
                                            link.peer().name, e.what()));
  }
}

// ---- The fallback

void EndpointListSubscriber::check_last_contact() {
  bool is_unavailable = net::monotonic_now() - last_contact_ > fallback_delay_;
  if (is_unavailable == is_group_unavailable_) return;
  is_group_unavailable_ = is_unavailable;
  if (!is_unavailable) {
    context_.log(Level::kInfo, "the endpoint list is heard of again");
    fallback_watch_.reset();
    return observer_.on_group_unavailable(EndpointListFallback::kNone);
  }
  context_.log(
      Level::kWarning,
      context_.is_voter()
          ? "no contact with the lease holder of the endpoint list: this voter asks the list service for all"
          : "no contact with a source of the endpoint list: this proxy asks by itself");
  randomize_fallback_delay();
  if (context_.is_voter()) start_fallback_poll();
  observer_.on_group_unavailable(context_.is_voter() ? EndpointListFallback::kVoterPolls
                                                     : EndpointListFallback::kProcessPolls);
}

void EndpointListSubscriber::start_fallback_poll() {
  std::optional<std::int64_t> known_generation;
  fallback_endpoints_.clear();
  if (selector_.has_list()) {
    known_generation = effective_list_.generation;
    for (auto& endpoint : effective_list_.endpoints) fallback_endpoints_[endpoint.id] = endpoint;
  }
  if (!known_generation) ++complete_polls_;
  fallback_watch_ = std::make_unique<discovery::DiscoveryWatch>(
      context_.loop, *net::parse_address(context_.discovery_address), context_.discovery_address,
      known_generation, context_.polling_schedule,
      [this](const discovery::EndpointListUpdate& update) { on_fallback_update(update); }, context_.log_sink);
  fallback_watch_->start_now();
}

void EndpointListSubscriber::on_fallback_update(const discovery::EndpointListUpdate& update) {
  apply_update(&fallback_endpoints_, update);
  last_fallback_answer_ = net::monotonic_now();
  auto list = make_complete_list(fallback_endpoints_, update.generation);
  if (!selector_.consider(Source::kService, context_.options.installation, std::move(list), unix_ms()))
    return;
  put_into_effect(false);
  connections_.disseminate(encode_copy(), nullptr);
}

// Copies are sent after a change only; confirmations in between report that the last copy is still valid.
void EndpointListSubscriber::send_confirmation() {
  bool is_discovery_responsive = last_fallback_answer_.count() > 0 &&
                                 net::monotonic_now() - last_fallback_answer_ <= kEndpointListValidity;
  if (!fallback_watch_ || !is_discovery_responsive) return;
  peers::EndpointListConfirmation confirmation{effective_list_.generation, unix_ms()};
  connections_.disseminate(peers::encode(confirmation), nullptr);
}

}  // namespace database_proxy::group
