// The interface of a proxy to the other proxies of its process, which are called its siblings. A proxy that
// is alone in its process has none.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "routing/decision_facade.h"

namespace database_proxy::proxy {

// The amounts of the shared resources that one proxy holds.
struct ResourceUsage {
  std::size_t descriptors = 0, clients = 0;
  std::size_t used_clients = 0;                       // clients that have ever sent a request
  std::size_t statement_bytes = 0, answer_bytes = 0;  // buffers, as MemoryBudget counts them
};

// Called in the thread of its own proxy. Concurrent calls by other proxies are safe.
class SiblingWorkers {
 public:
  virtual ~SiblingWorkers() = default;
  virtual void publish(const ResourceUsage& usage) = 0;
  virtual ResourceUsage sibling_usage() const = 0;  // the sum over the siblings, as last published
  // Whether clients that were accepted elsewhere may still be assigned to this proxy.
  virtual bool may_be_assigned_clients() const = 0;
  // Requests that a sibling soon closes something that is not needed, to free a descriptor.
  virtual void request_descriptor() = 0;
  // Forwards a client's request to cancel the statement of session `number`, which belongs to another proxy.
  virtual void cancel(std::uint32_t number, std::uint32_t secret) = 0;
  // Reserves the name of a request. Names of open requests are unique over all proxies: a data server would
  // take two requests of one name for attempts of one request. Returns false if a request of that name is
  // open.
  virtual bool reserve_request_name(std::string_view name) = 0;
  virtual void release_request_name(std::string_view name) = 0;
  // Count the connections to each data server over all proxies.
  virtual void connection_opened(const std::string& server) = 0;
  virtual void connection_closed(const std::string& server) = 0;
  // Whether the server has too many connections for idle ones to be kept.
  virtual bool has_too_many_connections(const std::string& server) const = 0;
  virtual void request_closing_idle(const std::string& server) = 0;  // at the siblings
  // Passes a successful probe result on to the siblings.
  virtual void share_probe_result(const routing::ProbeResult& result) = 0;
};

}  // namespace database_proxy::proxy
