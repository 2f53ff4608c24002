// The event loop: edge-triggered epoll and timers in one thread. The clock is read once an iteration, and
// now() returns that time throughout the iteration. A second reading, before the sleep, only measures how
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

// Reads the monotonic clock. Code that runs in a loop uses Loop::now() instead.
Micros monotonic_now();

// Returns whether the epoll events report that the peer has closed or the connection failed: the handler must
// then read until it reaches the end of the stream.
constexpr bool reports_disconnect(std::uint32_t events) {
  return (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
}

// Receives the events of one descriptor. They are edge-triggered: the handler must read and write until
// EAGAIN.
class Handler {
 public:
  virtual ~Handler() = default;
  virtual void on_ready(std::uint32_t events) = 0;
};

class EventNotifier;

// An event loop, owned and used by one thread; other threads may only call its EventNotifier. The constructor
// throws std::system_error if no epoll descriptor can be created.
class Loop {
 public:
  using TimerId = Timers::Id;
  static constexpr TimerId kNoTimer = Timers::kNone;

  Loop();
  Micros now() const { return now_; }  // the time of this iteration
  // Returns the earliest time since which the events of this iteration may have been ready: the start of the
  // previous iteration if the loop did not really sleep in between, or the time of an overdue timer, if that
  // is earlier. Otherwise now().
  Micros ready_since() const { return ready_since_; }

  // Registers a descriptor; returns false if epoll rejects it. A handler may outlive its registration, but
  // must not be destroyed before it is removed.
  bool add(int fd, Handler* handler);
  void remove(int fd, Handler* handler);
  std::size_t watched() const { return watched_; }

  // Sets a timer; `when` may be in the past. `callback` runs once, in the loop's thread.
  TimerId at(Micros when, std::function<void()> callback) { return timers_.at(when, std::move(callback)); }
  // Cancels the timer and sets `*timer` to kNoTimer; does nothing if it has fired.
  void cancel(TimerId* timer) { timers_.cancel(std::exchange(*timer, kNoTimer)); }

  // Calls on_ready(EPOLLIN) in the next iteration, which starts without a sleep. For a handler that stops
  // before EAGAIN so that other handlers get their turn.
  void call_again(Handler* handler) { pending_calls_.push_back(handler); }
  // Returns the number of handlers that are called in this iteration because of call_again().
  std::size_t called_again() const { return current_calls_.size(); }
  // Returns the number of this iteration.
  std::uint64_t iteration() const { return iteration_; }

  // Sets the notifier by which other threads end this loop's sleep; nullptr: none. Not owned.
  void set_notifier(EventNotifier* notifier) { notifier_ = notifier; }

  // Makes sleeps end within about ten microseconds of a timer instead of within a millisecond. Costs one
  // extra system call where the kernel does not support epoll_pwait2.
  void set_precise_sleep(bool precise) { precise_sleep_ = precise; }

  // Runs the loop until stop(). `on_iteration_end` runs after the events and timers of each iteration, and
  // once before the first wait. Throws std::system_error if waiting for events fails.
  void run(const std::function<void()>& on_iteration_end);
  // Makes run() return at the end of this iteration. To be called in the loop's own thread.
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
