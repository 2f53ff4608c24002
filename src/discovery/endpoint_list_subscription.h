// Keeps the endpoint list up to date, also when the address of the discovery service changes.
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

// Owned by a worker pool, or by a single-threaded proxy. All member functions and the update handler run in
// the loop's thread.
class EndpointListSubscription {
 public:
  using UpdateHandler = std::function<void(EndpointListUpdate)>;

  // `generation` is the generation of the list that is already known. Throws std::runtime_error if `address`
  // is not a valid address.
  EndpointListSubscription(net::Loop& loop, const std::string& address, std::int64_t generation,
                           const PollingSchedule& schedule, UpdateHandler on_update, net::Log log);

  void start() { watch_->start(); }
  // Changes the address. Updates from the old address are reported until the new one has sent its full list,
  // so that no change is missed. Throws std::runtime_error if `address` is not a valid address.
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
  std::unique_ptr<DiscoveryWatch> next_watch_;  // watch of a new address that has not answered yet
  std::string latest_address_;
  int watch_count_ = 0;  // also the number of the newest watch
};

}  // namespace database_proxy::discovery
