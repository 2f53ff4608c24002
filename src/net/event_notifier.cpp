#include "net/event_notifier.h"

#include <sys/eventfd.h>

#include <cerrno>
#include <system_error>

namespace database_proxy::net {

EventNotifier::EventNotifier(Loop& loop, std::function<bool()> has_work)
    : loop_(loop), has_work_(std::move(has_work)), event_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (!event_ || !loop_.add(event_.get(), this))
    throw std::system_error(errno, std::generic_category(), "eventfd");
  loop_.set_notifier(this);
}

EventNotifier::~EventNotifier() {
  loop_.set_notifier(nullptr);
  loop_.remove(event_.get(), this);
}

// The descriptor is edge-triggered: each write is a new edge, so the counter need not be read.
void EventNotifier::on_ready(std::uint32_t) {}

void EventNotifier::signal() {
  std::uint64_t one = 1;
  // Fails only if the counter, which is never read, has reached 2^64 - 2: then the loop has an event anyway.
  [[maybe_unused]] auto written = ::write(event_.get(), &one, sizeof one);
}

}  // namespace database_proxy::net
