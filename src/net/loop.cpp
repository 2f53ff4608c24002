#include "net/loop.h"

#include <algorithm>
#include <cerrno>
#include <ctime>
#include <system_error>

#include "net/event_notifier.h"

namespace database_proxy::net {
namespace {

constexpr std::int64_t kMicrosPerSecond = 1'000'000, kNanosPerMicro = 1000, kMicrosPerMilli = 1000;
// Upper limit of a sleep, also without timers; nothing depends on its value.
constexpr std::int64_t kMaxSleepMicros = 1'000'000;
constexpr std::size_t kEventsPerIteration = 256;

}  // namespace

Micros monotonic_now() {
  timespec time{};
  clock_gettime(CLOCK_MONOTONIC, &time);
  return Micros(std::int64_t{time.tv_sec} * kMicrosPerSecond + time.tv_nsec / kNanosPerMicro);
}

Loop::Loop()
    : epoll_(epoll_create1(EPOLL_CLOEXEC)),
      now_(monotonic_now()),
      ready_since_(now_),
      batch_(kEventsPerIteration) {
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
  // Events of this iteration that were already fetched must not reach a handler that may have been destroyed.
  for (std::size_t i = cursor_; i < filled_; ++i)
    if (batch_[i].data.ptr == handler) batch_[i].data.ptr = nullptr;
  for (auto* list : {&pending_calls_, &current_calls_})
    std::replace(list->begin(), list->end(), handler, static_cast<Handler*>(nullptr));
}

// Waits until a descriptor is ready, another thread notifies the loop, or the next timer is due. Returns the
// number of events, or -1 with errno.
int Loop::sleep() {
  auto max_events = static_cast<int>(batch_.size());
  bool must_not_sleep = !pending_calls_.empty() || (notifier_ && !notifier_->prepare_to_sleep());
  if (must_not_sleep) return epoll_wait(epoll_.get(), batch_.data(), max_events, 0);
  auto next = timers_.next();
  auto sleep_micros = kMaxSleepMicros;
  if (next) sleep_micros = std::clamp<std::int64_t>((*next - now_).count(), 0, kMaxSleepMicros);
  if (precise_sleep_ && sleep_micros > 0) {
    timespec time{sleep_micros / kMicrosPerSecond, sleep_micros % kMicrosPerSecond * kNanosPerMicro};
    int fetched = epoll_pwait2(epoll_.get(), batch_.data(), max_events, &time, nullptr);
    if (fetched >= 0 || errno == EINTR) return fetched;
    precise_sleep_ = false;  // the kernel does not support epoll_pwait2
  }
  return epoll_wait(epoll_.get(), batch_.data(), max_events,
                    static_cast<int>((sleep_micros + kMicrosPerMilli - 1) / kMicrosPerMilli));
}

// `last_began`: when the previous iteration began; `slept_at`: when it ended.
Micros Loop::oldest_ready(Micros last_began, Micros slept_at) const {
  constexpr Micros kMaxNegligibleSleep{1000};  // may be only the cost of the system call
  auto since = now_ - slept_at <= kMaxNegligibleSleep ? last_began : now_;
  return std::min(since, timers_.next().value_or(since));
}

void Loop::run(const std::function<void()>& on_iteration_end) {
  now_ = monotonic_now();
  on_iteration_end();
  while (!stopped_) {
    auto last_began = now_, slept_at = monotonic_now();
    int fetched = sleep();
    if (notifier_) notifier_->mark_awake();
    if (fetched < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_wait");
    now_ = std::max(now_, monotonic_now());
    ready_since_ = oldest_ready(last_began, slept_at);
    ++iteration_;
    current_calls_ = std::exchange(pending_calls_, {});
    dispatch(static_cast<std::size_t>(std::max(0, fetched)));
    timers_.run(now_);
    on_iteration_end();
  }
}

// Calls the handlers of the fetched events. A handler may remove any other meanwhile; remove() clears the
// entries after the cursor that belong to the removed one.
void Loop::dispatch(std::size_t fetched) {
  filled_ = fetched;
  for (cursor_ = 0; cursor_ < filled_;) {
    auto event = batch_[cursor_++];
    if (auto* handler = static_cast<Handler*>(event.data.ptr)) handler->on_ready(event.events);
  }
  cursor_ = filled_ = 0;
  for (auto& handler : current_calls_)
    if (handler) handler->on_ready(EPOLLIN);
  current_calls_.clear();
}

}  // namespace database_proxy::net
