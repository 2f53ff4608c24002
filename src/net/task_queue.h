// Calls that other threads want done in a loop's own thread: rare ones, such as list changes, cancels and
// steps of a shutdown. What is frequent goes over rings (ring.h).
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <vector>

#include "net/event_notifier.h"

namespace database_proxy::net {

class TaskQueue {
 public:
  using Call = std::function<void()>;
  // `more`: further work that must keep the loop from sleeping; it runs in the loop's thread.
  explicit TaskQueue(
      Loop& loop, std::function<bool()> more = [] { return false; })
      : wake_(loop,
              [this, more = std::move(more)] { return waiting_.load(std::memory_order_acquire) || more(); }) {
  }

  // From any thread. Calls run in the order in which they were posted. Unbounded by itself: whoever posts
  // must be bounded by what it posts for (a list change, a client, a step).
  void post(Call call) {
    {
      std::lock_guard lock(mutex_);
      calls_.push_back(std::move(call));
      waiting_.store(true, std::memory_order_release);
    }
    wake_.notify();
  }
  void notify() { wake_.notify(); }

  // In the loop's thread, once a turn. Costs one load where nothing waits.
  bool drain() {
    if (!waiting_.load(std::memory_order_acquire)) return false;
    std::vector<Call> calls;
    {
      std::lock_guard lock(mutex_);
      calls.swap(calls_);
      waiting_.store(false, std::memory_order_release);
    }
    for (auto& call : calls) call();
    return !calls.empty();
  }

 private:
  std::mutex mutex_;  // held for a push or a swap only
  std::vector<Call> calls_;
  std::atomic<bool> waiting_{false};
  EventNotifier wake_;
};

}  // namespace database_proxy::net
