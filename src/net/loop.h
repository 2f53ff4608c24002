// The event loop: edge-triggered epoll, timers, one thread. The clock is read once a turn.
#pragma once

#include <sys/epoll.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "net/fd.h"

namespace linenwinch::net {

using Micros = std::chrono::microseconds;  // on the monotonic clock, or a span of it

Micros monotonic_now();

// Told when its descriptor is ready. Edge-triggered: read and write until EAGAIN.
class Handler {
 public:
  virtual ~Handler() = default;
  virtual void on_ready(std::uint32_t events) = 0;
};

class Wake;

class Loop {
 public:
  using TimerId = std::pair<Micros, std::uint64_t>;
  static constexpr TimerId kNoTimer{Micros(0), 0};

  Loop();
  Micros now() const { return now_; }  // the time of this turn

  // False when the kernel will not watch it. A handler may outlive its registration, never the other way.
  bool add(int fd, Handler* handler);
  void remove(int fd, Handler* handler);
  std::size_t watched() const { return watched_; }

  TimerId at(Micros when, std::function<void()> call);
  void cancel(TimerId* timer);  // and forgets it; harmless for one that has fired

  // Calls on_ready(EPOLLIN) in the next turn, which comes at once: for what had to stop to let others go on.
  void again(Handler* handler) { again_.push_back(handler); }
  std::uint64_t turn() const { return turn_; }

  // Another thread's means to end this loop's sleep; nullptr: none. Not owned.
  void set_wake(Wake* wake) { wake_ = wake; }

  // Sleeps end within some ten microseconds of a timer instead of within a millisecond. Costs a second system
  // call where the kernel does not know epoll_pwait2.
  void set_fine(bool fine) { fine_ = fine; }

  // `end_of_turn` runs after the events and timers of each turn, and once before the first wait.
  void run(const std::function<void()>& end_of_turn);
  void stop() { stopped_ = true; }

 private:
  int wait_ms() const;
  int sleep(int milliseconds);

  Fd epoll_;
  Wake* wake_ = nullptr;
  Micros now_;
  bool stopped_ = false, fine_ = false;
  std::size_t watched_ = 0;
  std::uint64_t next_timer_ = 1;
  std::map<TimerId, std::function<void()>> timers_;
  std::vector<epoll_event> batch_;
  std::size_t cursor_ = 0, filled_ = 0;
  std::vector<Handler*> again_, due_;
  std::uint64_t turn_ = 0;
};

}  // namespace linenwinch::net
