// The phases of a shutdown by time: when a process that was told to stop closes connections, rejects
// requests, and answers and closes what is left before the platform kills it. Pure: no clock and no I/O.
#pragma once

#include <array>

#include "net/loop.h"

namespace database_proxy::proxy {

using net::Micros;

class ShutdownSchedule {
 public:
  // `limit`: the platform kills the process no earlier than this after `begun_at`.
  ShutdownSchedule(Micros begun_at, Micros limit) : begun_at_(begun_at), limit_(limit) {}

  // Connections are closed between requests.
  bool closes_idle_connections(Micros now) const;
  // New requests are rejected.
  bool rejects_requests(Micros now) const;
  // A command that has arrived in part still has time to arrive completely.
  bool awaits_partial_commands(Micros now) const;
  // Every open request gets its final answer, because a later one might not be written before the kill.
  bool ends_requests(Micros now) const { return now >= last_answer_at(); }
  // Every connection is closed.
  bool ends_connections(Micros now) const { return now >= last_close_at(); }

  Micros last_answer_at() const;
  Micros last_close_at() const;
  Micros time_to_kill(Micros now) const { return begun_at_ + limit_ - now; }
  // The times at which a phase begins.
  std::array<Micros, 5> phase_starts() const;

 private:
  Micros rejects_from() const;
  Micros partial_commands_end() const;

  Micros begun_at_, limit_;
};

}  // namespace database_proxy::proxy
