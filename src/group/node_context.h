// The state that all modules of one node share: its options, event loop, log and source of randomness. The
// context outlives the modules.
//
// Belongs to the group's thread, except the task queue, which accepts tasks from any thread.
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

// Interval of status messages between nodes. At two messages a second, five in a row can be lost within the
// shortest time after which a node reacts to missing messages: a link is closed when it has been silent for
// 2.5 s.
constexpr Micros kStatusInterval{500'000};

// Returns the wall clock's time in milliseconds since the Unix epoch.
std::int64_t unix_ms();
// Returns the time elapsed since `taken_at_unix_ms`, which may come from another node's wall clock. Negative
// if that clock is ahead of this node's.
Micros age_of_unix_ms(std::int64_t taken_at_unix_ms);

// Constructed first and destroyed last of all parts of a node.
struct NodeContext {
  // Throws std::invalid_argument for options that check() rejects.
  NodeContext(Options node_options, std::string discovery, discovery::PollingSchedule schedule,
              net::Log sink);
  NodeContext(const NodeContext&) = delete;
  NodeContext& operator=(const NodeContext&) = delete;

  // Returns whether this node is a voter. Voters store the log; every other node follows one of them. The
  // role never changes while the process runs.
  bool is_voter() const { return options.is_voter(); }
  const std::string& name() const { return options.name; }
  void log(net::Level level, const std::string& line) const { log_sink(level, "group: " + line); }

  // Returns 64 random bits.
  std::uint64_t random();
  // Returns a random duration of at least 0 and less than `span`.
  Micros random_below(Micros span);
  // Returns a random time within `span` from now.
  Micros random_time_within(Micros span);

  // Cancels `*timer` if it is set, and sets it to run `call` at `when`.
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
