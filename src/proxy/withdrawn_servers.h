// Since when data servers are to be given nothing new: cordoned, draining or gone. What an attempt is checked
// against, apart from the decisions. No I/O.
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
  // When the first notice of it was given, to whatever process of the proxy; nullopt: it may be used, or has
  // been gone for so long that it is forgotten.
  std::optional<Micros> since(const std::string& server) const;

 private:
  void withdraw(const std::string& server, Micros notified_at);

  std::map<std::string, Micros> withdrawn_;
  std::set<std::string> listed_;
};

}  // namespace database_proxy::proxy
