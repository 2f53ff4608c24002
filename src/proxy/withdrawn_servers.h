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

class ServersOutOfService {
 public:
  using Micros = std::chrono::microseconds;

  void update(Micros now, const discovery::EndpointListUpdate& update);
  // The time at which any process of the proxy was first notified that the server is out of service; nullopt:
  // the server may be used, or was removed long enough ago that its entry was dropped.
  std::optional<Micros> since(const std::string& server) const;

 private:
  void set_out_of_service(const std::string& server, Micros notified_at);

  std::map<std::string, Micros> out_of_service_since_;
  std::set<std::string> listed_;
};

}  // namespace database_proxy::proxy
