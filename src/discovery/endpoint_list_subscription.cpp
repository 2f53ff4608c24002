#include "discovery/endpoint_list_subscription.h"

#include <fmt/format.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

#include "discovery/discovery_watch.h"
#include "discovery/endpoint_list_codec.h"
#include "discovery/polling_schedule.h"
#include "net/log.h"
#include "net/loop.h"
#include "net/socket.h"

namespace database_proxy::discovery {

EndpointListSubscription::EndpointListSubscription(net::Loop& loop, const std::string& address,
                                                   std::int64_t generation, const PollingSchedule& schedule,
                                                   UpdateHandler on_update, net::Log log)
    : loop_(loop), schedule_(schedule), on_update_(std::move(on_update)), log_(std::move(log)) {
  watch_ = make_watch(address, generation);
}

std::unique_ptr<DiscoveryWatch> EndpointListSubscription::make_watch(const std::string& address,
                                                                     std::optional<std::int64_t> generation) {
  auto parsed = net::parse_address(address);
  if (!parsed) throw std::runtime_error("discovery is not a valid address: '" + address + "'");
  latest_address_ = address;
  auto handler = [this, number = ++watch_count_](EndpointListUpdate update) {
    on_update(number, std::move(update));
  };
  return std::make_unique<DiscoveryWatch>(loop_, *parsed, address, generation, schedule_, handler, log_);
}

void EndpointListSubscription::on_update(int watch_number, EndpointListUpdate update) {
  // A new address replaces the old one only after its first answer: it may never answer.
  if (next_watch_ && watch_number == watch_count_) watch_ = std::move(next_watch_);
  if (!update.endpoints.empty() || update.reset)
    log_(net::Level::kInfo, fmt::format("list version {}: {} {}", update.generation, update.endpoints.size(),
                                        update.reset ? "servers in all" : "changes"));
  on_update_(std::move(update));
}

void EndpointListSubscription::change_address(const std::string& address) {
  if (address == latest_address_) return;
  next_watch_ = make_watch(address, std::nullopt);
  next_watch_->start_now();
}

}  // namespace database_proxy::discovery
