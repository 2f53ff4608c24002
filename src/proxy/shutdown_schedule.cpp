#include "proxy/shutdown_schedule.h"

#include <algorithm>
#include <chrono>

namespace database_proxy::proxy {
namespace {

using namespace std::chrono_literals;

// New connections keep arriving for up to 0.4 s after SIGTERM, and clients keep using theirs. Both are served
// as before until kContinueServing has passed.
constexpr Micros kContinueServing = 500ms, kRejectAfter = 700ms;
// The time that a command which has arrived in part at kRejectAfter has to arrive completely.
constexpr Micros kPartialCommandGrace = 2500ms;
// The times before the platform's kill at which open requests end, and at which connections are closed. They
// are apart because a process may be held up for 0.15 s in between.
constexpr Micros kLastAnswerBeforeKill = 400ms, kLastCloseBeforeKill = 250ms;

}  // namespace

bool ShutdownSchedule::closes_idle_connections(Micros now) const {
  return now >= begun_at_ + kContinueServing;
}

bool ShutdownSchedule::rejects_requests(Micros now) const { return now >= rejects_from(); }

bool ShutdownSchedule::awaits_partial_commands(Micros now) const { return now < partial_commands_end(); }

Micros ShutdownSchedule::last_answer_at() const { return begun_at_ + limit_ - kLastAnswerBeforeKill; }

Micros ShutdownSchedule::last_close_at() const { return begun_at_ + limit_ - kLastCloseBeforeKill; }

Micros ShutdownSchedule::rejects_from() const { return std::min(begun_at_ + kRejectAfter, last_answer_at()); }

Micros ShutdownSchedule::partial_commands_end() const { return rejects_from() + kPartialCommandGrace; }

std::array<Micros, 5> ShutdownSchedule::phase_starts() const {
  return {begun_at_ + kContinueServing, rejects_from(), partial_commands_end(), last_answer_at(),
          last_close_at()};
}

}  // namespace database_proxy::proxy
