#include "net/event_notifier.h"

#include <sys/eventfd.h>

#include <cerrno>
#include <system_error>

namespace database_proxy::net {

EventNotifier::EventNotifier(Loop& loop, std::function<bool()> waiting)
    : loop_(loop), waiting_(std::move(waiting)), event_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (!event_ || !loop_.add(event_.get(), this))
    throw std::system_error(errno, std::generic_category(), "eventfd");
  loop_.set_wake(this);
}

EventNotifier::~EventNotifier() {
  loop_.set_wake(nullptr);
  loop_.remove(event_.get(), this);
}

// Edge-triggered: each write is a new edge, so the count need not be read back.
void EventNotifier::on_ready(std::uint32_t) {}

void EventNotifier::signal() {
  std::uint64_t one = 1;
  [[maybe_unused]] auto n = ::write(event_.get(), &one, sizeof one);  // full only after 2^64 - 2 of them
}

}  // namespace database_proxy::net
