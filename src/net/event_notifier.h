// Notifies the loop of another thread of pending work. The eventfd is written only if the loop sleeps or is
// about to.
#pragma once

#include <atomic>
#include <functional>

#include "net/fd.h"
#include "net/loop.h"

namespace database_proxy::net {

// Owned by the thread of the loop and registered with the loop; notify() may be called from any thread.
class EventNotifier : public Handler {
 public:
  // `has_work` returns whether there is pending work of which the loop was not notified; it runs in the
  // loop's own thread. Throws std::system_error if the eventfd cannot be created or registered.
  EventNotifier(Loop& loop, std::function<bool()> has_work);
  ~EventNotifier() override;
  EventNotifier(const EventNotifier&) = delete;
  EventNotifier& operator=(const EventNotifier&) = delete;

  // Wakes the loop if it sleeps; to be called after the work has been published. Both sides use
  // read-modify-write operations on the same flag: either the loop sees the work, or this call sees that the
  // loop sleeps.
  void notify() {
    if (sleeping_.exchange(false, std::memory_order_acq_rel)) signal();
  }
  // Called by the loop before it sleeps: marks it as sleeping, or returns false if there is pending work, so
  // that it must not sleep.
  bool prepare_to_sleep() {
    sleeping_.exchange(true, std::memory_order_acq_rel);
    if (!has_work_()) return true;
    mark_awake();
    return false;
  }
  // Called by the loop after a sleep.
  void mark_awake() { sleeping_.store(false, std::memory_order_relaxed); }
  void on_ready(std::uint32_t events) override;

 private:
  void signal();

  Loop& loop_;
  std::function<bool()> has_work_;
  Fd event_;
  std::atomic<bool> sleeping_{false};
};

}  // namespace database_proxy::net
