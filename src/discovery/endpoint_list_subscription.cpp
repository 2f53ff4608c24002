#include "discovery/endpoint_list_subscription.h"

#include <fmt/format.h>

#include <stdexcept>

namespace database_proxy::discovery {

EndpointListSubscription::EndpointListSubscription(net::Loop& loop, const std::string& address,
                                                   std::int64_t generation, PollingSchedule schedule,
                                                   Told told, net::Log log)
    : loop_(loop), schedule_(std::move(schedule)), told_(std::move(told)), log_(std::move(log)) {
  watch_ = watch(address, generation);
}

std::unique_ptr<Watch> EndpointListSubscription::watch(const std::string& address,
                                                       std::optional<std::int64_t> generation) {
  auto parsed = net::parse_address(address);
  if (!parsed) throw std::runtime_error("discovery is no address: '" + address + "'");
  watched_ = address;
  return std::make_unique<Watch>(
      loop_, *parsed, address, generation, schedule_,
      [this, number = ++watches_](EndpointListUpdate update) { told(number, std::move(update)); }, log_);
}

void EndpointListSubscription::told(int number, EndpointListUpdate update) {
  // No change falls between the two watches, and a new address that answers nothing takes nothing away.
  if (next_watch_ && number == watches_) watch_ = std::move(next_watch_);
  if (!update.members.empty() || update.reset)
    log_(net::Level::kInfo, fmt::format("list version {}: {} {}", update.generation, update.members.size(),
                                        update.reset ? "servers in all" : "changes"));
  told_(std::move(update));
}

void EndpointListSubscription::move_to(const std::string& address) {
  if (address == watched_) return;
  next_watch_ = watch(address, std::nullopt);
  next_watch_->start_now();
}

}  // namespace database_proxy::discovery
