// Keeps one watch on the list of data servers alive.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "discovery/endpoint_list_codec.h"
#include "discovery/polling_schedule.h"
#include "net/buffer.h"
#include "net/log.h"
#include "net/loop.h"
#include "net/socket.h"

namespace database_proxy::discovery {

class Watch : public net::Handler {
 public:
  using Told = std::function<void(EndpointListUpdate)>;
  // `host` is what the Host field says; `generation` is the version that is known already. Without one, the
  // whole list comes first: what another discovery counts says nothing here.
  Watch(net::Loop& loop, net::Address address, std::string host, std::optional<std::int64_t> generation,
        PollingSchedule schedule, Told told, net::Log log);
  ~Watch() override;
  void start() { pause(schedule_.before_first_call()); }
  void start_now() { connect(); }
  void on_ready(std::uint32_t events) override;

 private:
  void connect();
  void ask();
  void read(bool ended);
  void broken(const std::string& why, bool refused = false);
  void pause(net::Micros time);
  void disconnect();

  net::Loop& loop_;
  net::Address address_;
  std::string host_;
  std::int64_t generation_;
  Told told_;
  net::Log log_;
  net::Fd fd_;
  net::InBuffer in_;
  net::OutBuffer out_;
  net::Loop::TimerId timer_ = net::Loop::kNoTimer;  // of the answer that is due, or of the next try
  PollingSchedule schedule_;
  bool whole_;  // the next call asks for all of the list
  bool connected_ = false, failing_ = false;
};

}  // namespace database_proxy::discovery
