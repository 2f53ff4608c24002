// What the proxies of one process have in common, as one of them sees it. A proxy by itself has none of this.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "routing/decision_facade.h"

namespace database_proxy::proxy {

// What one proxy holds of what all share.
struct ResourceUsage {
  std::size_t descriptors = 0, clients = 0, asked = 0,
              statement_bytes = 0;  // asked: clients that have ever asked
};

// Called in the thread of the proxy that has it; safe while the others do the same.
class SiblingWorkers {
 public:
  virtual ~SiblingWorkers() = default;
  virtual void publish(const ResourceUsage& held) = 0;
  virtual ResourceUsage others() const = 0;  // the sum over the other proxies, as last published
  // Has the others close something that is easy to miss, soon.
  virtual void request_descriptor() = 0;
  // A client asked to cancel what the session `number` has out; it is another proxy's.
  virtual void cancel(std::uint32_t number, std::uint32_t secret) = 0;
  // Names of open requests are unique over all proxies: a data server would take two of one name for attempts
  // of one request. False: it is open.
  virtual bool reserve_request_name(std::string_view name) = 0;
  virtual void release_request_name(std::string_view name) = 0;
  // Connections to one data server, over all proxies.
  virtual void connection_opened(const std::string& server) = 0;
  virtual void connection_closed(const std::string& server) = 0;
  // Whether the server has so many that idle ones must not be kept.
  virtual bool has_too_many_connections(const std::string& server) const = 0;
  virtual void request_closing_idle(const std::string& server) = 0;  // of the others
  virtual void probed(const routing::ProbeResult& result) = 0;       // a good one, which others may use
};

}  // namespace database_proxy::proxy
