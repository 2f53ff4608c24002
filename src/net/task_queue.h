// Tasks that other threads hand to a loop's own thread: rare ones, such as endpoint list changes, cancels and
// steps of a shutdown. What is frequent goes over workers/spsc_queue.h.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <vector>

#include "net/event_notifier.h"

namespace database_proxy::net {

// Owned by the thread of the loop; post() and notify() may be called from any thread.
class TaskQueue {
 public:
  using Task = std::function<void()>;
  // `has_other_work`: further work that must keep the loop from sleeping; it runs in the loop's thread.
  explicit TaskQueue(
      Loop& loop, std::function<bool()> has_other_work = [] { return false; })
      : notifier_(loop, [this, has_other_work = std::move(has_other_work)] {
          return has_tasks_.load(std::memory_order_acquire) || has_other_work();
        }) {}

  // From any thread. Tasks run in the order in which they were posted. Unbounded by itself: whoever posts
  // must be bounded by what it posts for (a list change, a client, a step).
  void post(Task task) {
    {
      std::lock_guard lock(mutex_);
      tasks_.push_back(std::move(task));
      has_tasks_.store(true, std::memory_order_release);
    }
    notifier_.notify();
  }
  void notify() { notifier_.notify(); }

  // In the loop's thread, once an iteration: runs what waits; false where nothing did. Costs one load then.
  bool run_pending() {
    if (!has_tasks_.load(std::memory_order_acquire)) return false;
    std::vector<Task> tasks;
    {
      std::lock_guard lock(mutex_);
      tasks.swap(tasks_);
      has_tasks_.store(false, std::memory_order_release);
    }
    for (auto& task : tasks) task();
    return !tasks.empty();
  }

 private:
  std::mutex mutex_;  // guards tasks_; held for a push or a swap only
  std::vector<Task> tasks_;
  std::atomic<bool> has_tasks_{false};
  EventNotifier notifier_;
};

}  // namespace database_proxy::net
