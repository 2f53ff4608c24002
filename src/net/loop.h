// The event loop: edge-triggered epoll, timers, one thread. The clock is read once a turn, and all that
// happens in it happens at that time. A second reading, before the sleep, only tells how long the turn itself
// took.
#pragma once

#include <sys/epoll.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "net/fd.h"
#include "net/timers.h"

namespace database_proxy::net {

Micros monotonic_now();

// Whether an event speaks of the peer's end, so that reading must go on until that is met.
constexpr bool ends(std::uint32_t events) { return events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR); }

// Told when its descriptor is ready. Edge-triggered: read and write until EAGAIN.
class Handler {
 public:
  virtual ~Handler() = default;
  virtual void on_ready(std::uint32_t events) = 0;
};

class EventNotifier;

class Loop {
 public:
  using TimerId = Timers::Id;
  static constexpr TimerId kNoTimer = Timers::kNone;

  Loop();
  Micros now() const { return now_; }  // the time of this turn
  // What this turn finds ready may have been so since then: since the last turn began, where this one
  // followed it without a rest, or since the time of a timer that is overdue. Otherwise now().
  Micros ready_since() const { return ready_since_; }

  // False when the kernel will not watch it. A handler may outlive its registration, never the other way.
  bool add(int fd, Handler* handler);
  void remove(int fd, Handler* handler);
  std::size_t watched() const { return watched_; }

  TimerId at(Micros when, std::function<void()> call) { return timers_.at(when, std::move(call)); }
  void cancel(TimerId* timer) {
    timers_.cancel(std::exchange(*timer, kNoTimer));
  }  // and forgets it; harmless for one that has fired

  // Calls on_ready(EPOLLIN) in the next turn, which comes at once: for what had to stop to let others go on.
  void again(Handler* handler) { again_.push_back(handler); }
  std::uint64_t turn() const { return turn_; }

  // Another thread's means to end this loop's sleep; nullptr: none. Not owned.
  void set_wake(EventNotifier* wake) { wake_ = wake; }

  // Sleeps end within some ten microseconds of a timer instead of within a millisecond. Costs a second system
  // call where the kernel does not know epoll_pwait2.
  void set_fine(bool fine) { fine_ = fine; }

  // `end_of_turn` runs after the events and timers of each turn, and once before the first wait.
  void run(const std::function<void()>& end_of_turn);
  void stop() { stopped_ = true; }

 private:
  int sleep();
  Micros oldest_ready(Micros began, Micros slept_at) const;

  Fd epoll_;
  EventNotifier* wake_ = nullptr;
  Micros now_, ready_since_;
  bool stopped_ = false, fine_ = false;
  std::size_t watched_ = 0;
  Timers timers_;
  std::vector<epoll_event> batch_;
  std::size_t cursor_ = 0, filled_ = 0;
  std::vector<Handler*> again_, due_;
  std::uint64_t turn_ = 0;
};

}  // namespace database_proxy::net
