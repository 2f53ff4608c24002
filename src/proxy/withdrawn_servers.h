// Records since when data servers must not receive new attempts, because they are cordoned, draining or
// removed. Attempts are checked against it independently of the decisions. No I/O.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "discovery/endpoint_list_codec.h"

namespace database_proxy::proxy {

class WithdrawnServers {
 public:
  using Micros = std::chrono::microseconds;

  void update(Micros now, const discovery::EndpointListUpdate& update);
  // The time at which any process of the proxy first received notice of the withdrawal; nullopt: the server
  // may be used, or was removed long enough ago that its entry was dropped.
  std::optional<Micros> since(const std::string& server) const;

 private:
  void withdraw(const std::string& server, Micros notified_at);

  std::map<std::string, Micros> withdrawn_;
  std::set<std::string> listed_;
};

}  // namespace database_proxy::proxy
