#include "proxy/withdrawn_servers.h"

#include <algorithm>
#include <utility>

namespace database_proxy::proxy {
namespace {

using discovery::Lifecycle;

// Longer than any attempt lasts after its server has left the list.
constexpr std::chrono::seconds kForgetAfter{90};

}  // namespace

void ServersOutOfService::set_out_of_service(const std::string& server, Micros notified_at) {
  auto [known, is_new] = out_of_service_since_.try_emplace(server, notified_at);
  if (!is_new) known->second = std::min(known->second, notified_at);
}

void ServersOutOfService::update(Micros now, const discovery::EndpointListUpdate& update) {
  auto left_out = update.reset ? std::exchange(listed_, {}) : std::set<std::string>{};
  for (auto& endpoint : update.endpoints) {
    left_out.erase(endpoint.id);
    bool is_listed = endpoint.lifecycle != Lifecycle::kRemoved;
    if (is_listed) listed_.insert(endpoint.id);
    if (!is_listed) listed_.erase(endpoint.id);
    if (endpoint.lifecycle == Lifecycle::kUp)
      out_of_service_since_.erase(endpoint.id);
    else
      set_out_of_service(endpoint.id, std::min(now, endpoint.notified_at.value_or(now)));
  }
  for (auto& server : left_out) set_out_of_service(server, now);
  std::erase_if(out_of_service_since_, [&](auto& entry) {
    return !listed_.contains(entry.first) && now - entry.second > kForgetAfter;
  });
}

std::optional<ServersOutOfService::Micros> ServersOutOfService::since(const std::string& server) const {
  auto found = out_of_service_since_.find(server);
  if (found == out_of_service_since_.end()) return std::nullopt;
  return found->second;
}

}  // namespace database_proxy::proxy
