// The event loop: edge-triggered epoll and timers in one thread. The clock is read once an iteration, and all
// that happens in the iteration happens at that time. A second reading, before the sleep, only measures how
// long the iteration took.
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

// The monotonic clock, read now. Code that runs in a loop takes Loop::now() instead.
Micros monotonic_now();

// Whether epoll's events report the end of the peer, so that reading must go on until it is met.
constexpr bool reports_disconnect(std::uint32_t events) {
  return (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
}

// Is called when its descriptor is ready. Edge-triggered: it must read and write until EAGAIN.
class Handler {
 public:
  virtual ~Handler() = default;
  virtual void on_ready(std::uint32_t events) = 0;
};

class EventNotifier;

// Owned and used by one thread; only an EventNotifier may be called from others. Throws std::system_error
// where the kernel gives no epoll descriptor.
class Loop {
 public:
  using TimerId = Timers::Id;
  static constexpr TimerId kNoTimer = Timers::kNone;

  Loop();
  Micros now() const { return now_; }  // the time of this iteration
  // What this iteration finds ready may have been so since then: since the last iteration began, where this
  // one followed it without a rest, or since the time of a timer that is overdue. Otherwise now().
  Micros ready_since() const { return ready_since_; }

  // False when the kernel will not watch it. A handler may outlive its registration, never the other way.
  bool add(int fd, Handler* handler);
  void remove(int fd, Handler* handler);
  std::size_t watched() const { return watched_; }

  TimerId at(Micros when, std::function<void()> callback) { return timers_.at(when, std::move(callback)); }
  void cancel(TimerId* timer) {
    timers_.cancel(std::exchange(*timer, kNoTimer));
  }  // and forgets it; harmless for one that has fired

  // Calls on_ready(EPOLLIN) in the next iteration, which comes at once: for a handler that stopped before it
  // met EAGAIN, to let others go on.
  void call_again(Handler* handler) { pending_calls_.push_back(handler); }
  // The number of this iteration.
  std::uint64_t iteration() const { return iteration_; }

  // By which another thread ends this loop's sleep; nullptr: none. Not owned.
  void set_notifier(EventNotifier* notifier) { notifier_ = notifier; }

  // Sleeps end within some ten microseconds of a timer instead of within a millisecond. Costs a second system
  // call where the kernel does not know epoll_pwait2.
  void set_precise_sleep(bool precise) { precise_sleep_ = precise; }

  // `on_iteration_end` runs after the events and timers of each iteration, and once before the first wait.
  // Throws std::system_error where the kernel fails to wait.
  void run(const std::function<void()>& on_iteration_end);
  // run() returns at the end of this iteration. In the loop's own thread.
  void stop() { stopped_ = true; }

 private:
  int sleep();
  Micros oldest_ready(Micros last_began, Micros slept_at) const;
  void dispatch(std::size_t fetched);

  Fd epoll_;
  EventNotifier* notifier_ = nullptr;
  Micros now_, ready_since_;
  bool stopped_ = false, precise_sleep_ = false;
  std::size_t watched_ = 0;
  Timers timers_;
  std::vector<epoll_event> batch_;
  std::size_t cursor_ = 0, filled_ = 0;
  std::vector<Handler*> pending_calls_, current_calls_;
  std::uint64_t iteration_ = 0;
};

}  // namespace database_proxy::net
