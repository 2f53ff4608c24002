#include "net/loop.h"

#include <time.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

#include "net/event_notifier.h"

namespace database_proxy::net {

Micros monotonic_now() {
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return Micros(std::int64_t{t.tv_sec} * 1'000'000 + t.tv_nsec / 1000);
}

Loop::Loop() : epoll_(epoll_create1(EPOLL_CLOEXEC)), now_(monotonic_now()), ready_since_(now_), batch_(256) {
  if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

bool Loop::add(int fd, Handler* handler) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.ptr = handler;
  if (epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event) != 0) return false;
  ++watched_;
  return true;
}

void Loop::remove(int fd, Handler* handler) {
  if (epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr) == 0) --watched_;
  // Events of this turn that were already fetched must not reach a handler that has gone.
  for (std::size_t i = cursor_; i < filled_; ++i)
    if (batch_[i].data.ptr == handler) batch_[i].data.ptr = nullptr;
  for (auto* list : {&again_, &due_})
    std::replace(list->begin(), list->end(), handler, static_cast<Handler*>(nullptr));
}

// Until something is ready, another thread wakes it, or the next timer is due.
int Loop::sleep() {
  auto most = static_cast<int>(batch_.size());
  if (!again_.empty() || (wake_ && !wake_->may_sleep()))
    return epoll_wait(epoll_.get(), batch_.data(), most, 0);
  auto next = timers_.next();
  auto left = next ? std::clamp<std::int64_t>((*next - now_).count(), 0, 1'000'000) : 1'000'000;
  if (fine_ && left > 0) {
    timespec t{left / 1'000'000, left % 1'000'000 * 1000};
    int n = epoll_pwait2(epoll_.get(), batch_.data(), most, &t, nullptr);
    if (n >= 0 || errno == EINTR) return n;
    fine_ = false;  // this kernel does not know it
  }
  return epoll_wait(epoll_.get(), batch_.data(), most, static_cast<int>((left + 999) / 1000));
}

// `began`: the last turn; `slept_at`: when it was over. A sleep this short was none.
Micros Loop::oldest_ready(Micros began, Micros slept_at) const {
  constexpr Micros kNoRest{1000};
  auto since = now_ - slept_at <= kNoRest ? began : now_;
  return std::min(since, timers_.next().value_or(since));
}

void Loop::run(const std::function<void()>& end_of_turn) {
  now_ = monotonic_now();
  end_of_turn();
  while (!stopped_) {
    auto began = now_, slept_at = monotonic_now();
    int n = sleep();
    if (wake_) wake_->awake();
    if (n < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_wait");
    now_ = std::max(now_, monotonic_now());
    ready_since_ = oldest_ready(began, slept_at);
    ++turn_;
    due_ = std::exchange(again_, {});
    filled_ = static_cast<std::size_t>(std::max(0, n));
    for (cursor_ = 0; cursor_ < filled_;) {
      auto event = batch_[cursor_++];
      if (auto* handler = static_cast<Handler*>(event.data.ptr)) handler->on_ready(event.events);
    }
    cursor_ = filled_ = 0;
    for (std::size_t i = 0; i < due_.size(); ++i)
      if (due_[i]) due_[i]->on_ready(EPOLLIN);
    due_.clear();
    timers_.run(now_);
    end_of_turn();
  }
}

}  // namespace database_proxy::net
