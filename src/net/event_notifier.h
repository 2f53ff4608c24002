// How one thread notifies another's loop that work waits for it. A write to the kernel is spent only where
// the other side sleeps or is about to.
#pragma once

#include <atomic>
#include <functional>

#include "net/fd.h"
#include "net/loop.h"

namespace database_proxy::net {

// Owned by the thread that sleeps and registered with its loop; notify() may be called from any thread.
class EventNotifier : public Handler {
 public:
  // `has_work` returns whether work waits that the loop was not notified of; it runs in the loop's own
  // thread. Throws std::system_error when the kernel gives no descriptor.
  EventNotifier(Loop& loop, std::function<bool()> has_work);
  ~EventNotifier() override;
  EventNotifier(const EventNotifier&) = delete;
  EventNotifier& operator=(const EventNotifier&) = delete;

  // After the work has been made visible. Both sides use read-modify-write operations on the same flag:
  // either the sleeper sees the work, or this call sees that it sleeps.
  void notify() {
    if (sleeping_.exchange(false, std::memory_order_acq_rel)) signal();
  }
  // By the loop: false where work waits, so that it must not sleep.
  bool prepare_to_sleep() {
    sleeping_.exchange(true, std::memory_order_acq_rel);
    if (!has_work_()) return true;
    mark_awake();
    return false;
  }
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
