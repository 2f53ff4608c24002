// Tasks that other threads post to a loop's own thread. For infrequent tasks, such as endpoint list changes,
// cancellations and the steps of a shutdown; frequent messages use workers/spsc_queue.h.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <vector>

#include "net/event_notifier.h"

namespace database_proxy::net {

// Queue of tasks that run in the loop's thread, which owns it; post() and notify() may be called from any
// thread.
class TaskQueue {
 public:
  using Task = std::function<void()>;
  // `has_other_work` returns true while work outside this queue must keep the loop from sleeping; it runs in
  // the loop's thread.
  explicit TaskQueue(
      Loop& loop, std::function<bool()> has_other_work = [] { return false; })
      : notifier_(loop, [this, has_other_work = std::move(has_other_work)] {
          return has_tasks_.load(std::memory_order_acquire) || has_other_work();
        }) {}

  // Adds a task; may be called from any thread. Tasks run in the order in which they were posted. The queue
  // has no size limit: callers must be limited by what they post for (a list change, a client, a shutdown
  // step).
  void post(Task task) {
    {
      std::lock_guard lock(mutex_);
      tasks_.push_back(std::move(task));
      has_tasks_.store(true, std::memory_order_release);
    }
    notifier_.notify();
  }
  // Wakes the loop without a task; may be called from any thread.
  void notify() { notifier_.notify(); }

  // Runs the pending tasks; called in the loop's thread once an iteration. Returns false if there were none,
  // which costs one atomic load.
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
  std::mutex mutex_;  // guards tasks_; held only for a push or a swap
  std::vector<Task> tasks_;
  std::atomic<bool> has_tasks_{false};
  EventNotifier notifier_;
};

}  // namespace database_proxy::net
