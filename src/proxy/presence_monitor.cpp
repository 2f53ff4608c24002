#include "proxy/presence_monitor.h"

#include <algorithm>
#include <utility>

namespace database_proxy::proxy {
namespace {

using namespace std::chrono_literals;

// An attempt must not begin more than 0.1 s after its client has closed the connection; a system may delay a
// confirmation by 40 ms.
constexpr Micros kMaxPresenceAge = 80ms;
// Limits of the interval between two looks at whether output was confirmed, and the share of the time since
// it was sent that the interval takes between them.
constexpr Micros kMinCheckInterval = 1ms, kMaxCheckInterval = 50ms;
constexpr int kCheckDivisor = 4;

}  // namespace

void PresenceMonitor::on_present(Micros at) { present_at_ = std::max(present_at_.value_or(at), at); }

void PresenceMonitor::on_output_accepted(std::uint64_t total, Micros now) {
  if (std::exchange(accepted_, total) == total) return;
  if (!unconfirmed_) unconfirmed_ = Output{total, now};
}

void PresenceMonitor::on_output_confirmed(std::uint64_t total) {
  if (!unconfirmed_ || total < unconfirmed_->end) return;
  on_present(unconfirmed_->sent_at);
  unconfirmed_.reset();
}

bool PresenceMonitor::is_known(Micros now) const {
  return present_at_ && now - *present_at_ <= kMaxPresenceAge;
}

Micros PresenceMonitor::check_interval(Micros now) const {
  auto waited = unconfirmed_ ? now - unconfirmed_->sent_at : Micros(0);
  return std::clamp(waited / kCheckDivisor, kMinCheckInterval, kMaxCheckInterval);
}

}  // namespace database_proxy::proxy
