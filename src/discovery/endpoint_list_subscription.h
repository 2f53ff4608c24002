// Keeps the endpoint list up to date through changes of the discovery service's address.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "discovery/discovery_watch.h"
#include "discovery/endpoint_list_codec.h"
#include "discovery/polling_schedule.h"
#include "net/log.h"
#include "net/loop.h"

namespace database_proxy::discovery {

// Owned by a worker pool, or by a proxy with one thread. All calls, and the handler, are on the loop's
// thread.
class EndpointListSubscription {
 public:
  using UpdateHandler = std::function<void(EndpointListUpdate)>;

  // `generation`: the generation that is known already. Throws std::runtime_error if `address` is none.
  EndpointListSubscription(net::Loop& loop, const std::string& address, std::int64_t generation,
                           const PollingSchedule& schedule, UpdateHandler on_update, net::Log log);

  void start() { watch_->start(); }
  // Changes the address. Updates of the old one are reported until the new one has given its full list, so
  // that no change is missed. Throws std::runtime_error if `address` is none.
  void change_address(const std::string& address);

 private:
  std::unique_ptr<DiscoveryWatch> make_watch(const std::string& address,
                                             std::optional<std::int64_t> generation);
  void on_update(int watch_number, EndpointListUpdate update);

  net::Loop& loop_;
  PollingSchedule schedule_;
  UpdateHandler on_update_;
  net::Log log_;
  std::unique_ptr<DiscoveryWatch> watch_;
  std::unique_ptr<DiscoveryWatch> next_watch_;  // of a new address, until it has answered
  std::string latest_address_;
  int watch_count_ = 0;  // the newest has this number
};

}  // namespace database_proxy::discovery
