// What all modules of one node share: its options, its event loop, its log and its source of randomness. It
// outlives them.
//
// Everything here belongs to the group's thread, except the task_queue, which takes calls from any thread.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "discovery/polling_schedule.h"
#include "group/options.h"
#include "net/log.h"
#include "net/loop.h"
#include "net/task_queue.h"

namespace database_proxy::group {

// Status messages between nodes go out this often: twice a second, so that five in a row can be lost within
// the shortest interval after which anybody draws a conclusion (2.5 s, a link's silence).
constexpr Micros kStatusInterval{500'000};

// Milliseconds of the wall clock.
std::int64_t unix_ms();
// Since a time that may have been taken by another node's wall clock; negative where that one is ahead.
Micros age_of_unix_ms(std::int64_t taken_at_unix_ms);

// Constructed first and destroyed last of all parts of a node.
struct NodeContext {
  // Throws std::invalid_argument for options that check() rejects.
  NodeContext(Options node_options, std::string discovery, discovery::PollingSchedule schedule,
              net::Log sink);
  NodeContext(const NodeContext&) = delete;
  NodeContext& operator=(const NodeContext&) = delete;

  // Voters keep the log; all other nodes follow one of them. It never changes while the process runs.
  bool is_voter() const { return options.is_voter(); }
  const std::string& name() const { return options.name; }
  void log(net::Level level, const std::string& line) const { log_sink(level, "group: " + line); }

  std::uint64_t random();
  // At least 0 and below `span`.
  Micros random_below(Micros span);
  // At a random time within `span` from now.
  Micros random_time_within(Micros span);

  // Replaces what the timer was set to.
  void set_timer(net::Loop::TimerId* timer, Micros when, std::function<void()> call);

  Options options;
  std::string discovery_address;
  discovery::PollingSchedule polling_schedule;
  net::Log log_sink;
  net::Loop loop;
  net::TaskQueue task_queue;

 private:
  std::uint64_t random_state_;
};

}  // namespace database_proxy::group
