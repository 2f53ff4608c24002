// What operators need of a running process: their door, its cordons, and what it shares with a process that
// takes over. Nothing of it exists where none is asked for.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "app/config.h"
#include "handover/exchange.h"
#include "operator/desk.h"
#include "operator/door.h"
#include "proxy/proxy.h"

namespace linenwinch::app {

// What the environment says of this start. Throws ConfigError for what is no descriptor's number.
struct Started {
  std::string operators;  // NODE_OPERATOR, which goes before the configuration; empty: none
  int listen_fd = -1;     // NODE_ACCEPT_FD
  std::string folder;     // TMPDIR; empty: there is none

  static Started from_environment();
};

class Operations {
 public:
  Operations(net::Loop& loop, const Config& config, const Started& started, net::Log log);

  // Adds to the options what they need for this; to be called before a proxy is made of them.
  void prepare(proxy::ProxyOptions* options);
  struct House {
    operation::House desk;
    std::function<std::size_t()> descriptors;
    std::function<void(int, std::size_t)> beside;
    std::function<void(std::function<void(routing::Learned)>)> learned;
    std::function<void(const routing::Learned&)> learn;
  };
  void open(House house);
  void serving() {
    if (exchange_) exchange_->set_stage(handover::Stage::kServing);
  }
  void leaving() {
    if (exchange_) exchange_->set_stage(handover::Stage::kLeaving);
  }
  bool relieved() {
    if (exchange_) exchange_->look();
    return exchange_ && exchange_->relieved();
  }

 private:
  net::Loop& loop_;
  net::Log log_;
  std::string address_, folder_;
  int listen_fd_;
  operation::Desk desk_;
  std::optional<operation::Door> door_;
  std::optional<handover::Exchange> exchange_;
};

}  // namespace linenwinch::app
