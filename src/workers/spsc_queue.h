// A one-way queue between two threads: a bounded lock-free ring (Boost.Lockfree's spsc_queue), and a backlog
// owned by the sender, which keeps the items that do not fit while the ring is full.
#pragma once

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstdint>
#include <deque>
#include <utility>

namespace database_proxy::workers {

// A queue with a single producer and a single consumer.
template <typename T>
class SpscQueue {
 public:
  explicit SpscQueue(std::size_t capacity) : ring_(capacity) {}

  // The functions up to overflowed() are for the sender. No item is lost. The backlog has no limit of its
  // own: the sender limits what causes items, such as its open requests.
  void send(T item) {
    if (!backlog_.empty() || !ring_.push(item)) {
      ++overflowed_;
      backlog_.push_back(std::move(item));
    }
  }
  // Moves items from the backlog into the ring while it has room. Returns true if items remain in the backlog
  // and flush() must be called again soon.
  bool flush() {
    while (!backlog_.empty() && ring_.push(backlog_.front())) backlog_.pop_front();
    return !backlog_.empty();
  }
  std::size_t backlog() const { return backlog_.size(); }
  std::uint64_t overflowed() const { return overflowed_; }  // items that went through the backlog

  // The functions below are for the receiver.
  bool has_items() const { return ring_.read_available() > 0; }
  T* front() { return has_items() ? &ring_.front() : nullptr; }
  void pop() { ring_.pop(); }

 private:
  boost::lockfree::spsc_queue<T> ring_;
  std::deque<T> backlog_;
  std::uint64_t overflowed_ = 0;
};

}  // namespace database_proxy::workers
