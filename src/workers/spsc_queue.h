// A bounded one-way queue between two threads: a lock-free ring (Boost.Lockfree's spsc_queue), and behind it
// a backlog that belongs to the sender, so that what must not be lost is kept while the ring is full.
#pragma once

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstdint>
#include <deque>
#include <utility>

namespace database_proxy::workers {

template <typename T>
class SpscQueue {
 public:
  explicit SpscQueue(std::size_t capacity) : ring_(capacity) {}

  // By the sender. Never loses anything; the sender bounds what it sends by what it sends for.
  void send(T item) {
    if (!backlog_.empty() || !ring_.push(item)) {
      ++overflowed_;
      backlog_.push_back(std::move(item));
    }
  }
  // Moves what fits from the backlog into the ring. True: something is left, so call again soon.
  bool flush() {
    while (!backlog_.empty() && ring_.push(backlog_.front())) backlog_.pop_front();
    return !backlog_.empty();
  }
  std::size_t backlog() const { return backlog_.size(); }
  std::uint64_t overflowed() const { return overflowed_; }  // so many have found the ring full

  // By the receiver.
  bool has_items() const { return ring_.read_available() > 0; }
  T* front() { return has_items() ? &ring_.front() : nullptr; }
  void pop() { ring_.pop(); }

 private:
  boost::lockfree::spsc_queue<T> ring_;
  std::deque<T> backlog_;
  std::uint64_t overflowed_ = 0;
};

}  // namespace database_proxy::workers
