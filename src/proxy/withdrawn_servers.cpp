#include "proxy/withdrawn_servers.h"

#include <algorithm>
#include <utility>

namespace database_proxy::proxy {
namespace {

using discovery::Lifecycle;

// Longer than any attempt lasts after its server has left the list.
constexpr std::chrono::seconds kForgetAfter{90};

}  // namespace

void WithdrawnServers::withdraw(const std::string& server, Micros notified_at) {
  auto [known, is_new] = withdrawn_.try_emplace(server, notified_at);
  if (!is_new) known->second = std::min(known->second, notified_at);
}

void WithdrawnServers::update(Micros now, const discovery::EndpointListUpdate& update) {
  auto left_out = update.reset ? std::exchange(listed_, {}) : std::set<std::string>{};
  for (auto& endpoint : update.endpoints) {
    left_out.erase(endpoint.id);
    bool is_listed = endpoint.lifecycle != Lifecycle::kRemoved;
    if (is_listed) listed_.insert(endpoint.id);
    if (!is_listed) listed_.erase(endpoint.id);
    if (endpoint.lifecycle == Lifecycle::kUp)
      withdrawn_.erase(endpoint.id);
    else
      withdraw(endpoint.id, std::min(now, endpoint.notified_at.value_or(now)));
  }
  for (auto& server : left_out) withdraw(server, now);
  std::erase_if(withdrawn_, [&](auto& entry) {
    return !listed_.contains(entry.first) && now - entry.second > kForgetAfter;
  });
}

std::optional<WithdrawnServers::Micros> WithdrawnServers::since(const std::string& server) const {
  auto found = withdrawn_.find(server);
  if (found == withdrawn_.end()) return std::nullopt;
  return found->second;
}

}  // namespace database_proxy::proxy
