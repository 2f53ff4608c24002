// Keeps the watch on discovery through changes of its address.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "discovery/discovery_watch.h"

namespace database_proxy::discovery {

class EndpointListSubscription {
 public:
  using Told = std::function<void(EndpointListUpdate)>;
  // `generation`: the version that is known already. Throws std::runtime_error for what is no address.
  EndpointListSubscription(net::Loop& loop, const std::string& address, std::int64_t generation,
                           PollingSchedule schedule, Told told, net::Log log);
  void start() { watch_->start(); }
  // The old address goes on telling until the new one has given its whole list.
  void move_to(const std::string& address);

 private:
  std::unique_ptr<Watch> watch(const std::string& address, std::optional<std::int64_t> generation);
  void told(int number, EndpointListUpdate update);

  net::Loop& loop_;
  PollingSchedule schedule_;
  Told told_;
  net::Log log_;
  std::unique_ptr<Watch> watch_, next_watch_;  // next_: of a new address, until it has answered
  std::string watched_;                        // the address of the newest
  int watches_ = 0;                            // made so far: the newest has this number
};

}  // namespace database_proxy::discovery
