// SIGTERM, SIGINT and SIGHUP, reported through a loop.
#pragma once

#include <signal.h>

#include <functional>

#include "net/fd.h"
#include "net/loop.h"

namespace database_proxy::app {

// Blocks the three signals, so that one that arrives before a loop runs stays pending. To be called before
// any thread is created.
void block_handled_signals();

// Waits for SIGTERM or SIGINT, for at most `longest`, and returns whether a signal arrived. For a process
// that has no loop yet. The signals must be blocked.
bool wait_for_termination(net::Micros longest);

// Receives the signals through a descriptor. Owned by the thread of its loop.
class Signals : public net::Handler {
 public:
  // `stop` is called for SIGTERM and SIGINT, `reload` for SIGHUP. Throws std::system_error.
  Signals(net::Loop& loop, std::function<void()> stop, std::function<void()> reload);
  ~Signals() override;
  void on_ready(std::uint32_t events) override;

 private:
  net::Loop& loop_;
  std::function<void()> stop_, reload_;
  net::Fd descriptor_;
};

}  // namespace database_proxy::app
