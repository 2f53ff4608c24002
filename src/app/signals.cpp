#include "app/signals.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>

namespace database_proxy::app {
namespace {

sigset_t set_of(std::initializer_list<int> numbers) {
  sigset_t set;
  sigemptyset(&set);
  for (int number : numbers) sigaddset(&set, number);
  return set;
}

}  // namespace

void block_handled_signals() {
  auto set = set_of({SIGTERM, SIGINT, SIGHUP});
  sigprocmask(SIG_BLOCK, &set, nullptr);
}

bool wait_for_termination(net::Micros longest) {
  constexpr std::int64_t kMicrosPerSecond = 1'000'000, kNanosPerMicro = 1000;
  auto set = set_of({SIGTERM, SIGINT});
  timespec timeout{longest.count() / kMicrosPerSecond, longest.count() % kMicrosPerSecond * kNanosPerMicro};
  return sigtimedwait(&set, nullptr, &timeout) > 0;
}

Signals::Signals(net::Loop& loop, std::function<void()> stop, std::function<void()> reload)
    : loop_(loop), stop_(std::move(stop)), reload_(std::move(reload)) {
  auto set = set_of({SIGTERM, SIGINT, SIGHUP});
  descriptor_ = net::Fd(signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
  if (!descriptor_ || !loop_.add(descriptor_.get(), this))
    throw std::system_error(errno, std::generic_category(), "cannot create a descriptor for signals");
}

Signals::~Signals() { loop_.remove(descriptor_.get(), this); }

// The loop reports readiness once for all pending signals, so a read that fails with a transient error is
// retried.
void Signals::on_ready(std::uint32_t) {
  while (true) {
    signalfd_siginfo info{};
    ssize_t size = read(descriptor_.get(), &info, sizeof info);
    if (size == sizeof info) {
      info.ssi_signo == SIGHUP ? reload_() : stop_();
      continue;
    }
    if (size < 0 && errno == EINTR) continue;
    if (size < 0 && errno != EAGAIN) loop_.call_again(this);
    return;
  }
}

}  // namespace database_proxy::app
