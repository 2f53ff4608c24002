#include "group/node_context.h"

#include <chrono>
#include <utility>

namespace database_proxy::group {
namespace {

// Makes the node's random numbers differ from those of other users of the same seed.
constexpr std::uint64_t kSeedMask = 0x6c77677270;
constexpr std::uint64_t kFnvPrime = 1099511628211;

}  // namespace

std::int64_t unix_ms() {
  return std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1);
}

Micros age_of_unix_ms(std::int64_t taken_at_unix_ms) { return Micros((unix_ms() - taken_at_unix_ms) * 1000); }

NodeContext::NodeContext(Options node_options, std::string discovery, discovery::PollingSchedule schedule,
                         net::Log sink)
    : options(std::move(node_options)),
      discovery_address(std::move(discovery)),
      polling_schedule(schedule),
      log_sink(std::move(sink)),
      task_queue(loop),
      random_state_(options.seed ^ kSeedMask) {
  // The name is mixed in, so that nodes with the same configured seed draw different numbers.
  for (unsigned char letter : options.name) random_state_ = (random_state_ ^ letter) * kFnvPrime;
  check(options);
}

// splitmix64, as published by Steele, Lea and Flood (2014).
std::uint64_t NodeContext::random() {
  std::uint64_t mixed = random_state_ += 0x9e3779b97f4a7c15;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
  return mixed ^ (mixed >> 31);
}

Micros NodeContext::random_below(Micros span) {
  return Micros(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(span.count())));
}

Micros NodeContext::random_time_within(Micros span) { return loop.now() + random_below(span); }

void NodeContext::set_timer(net::Loop::TimerId* timer, Micros when, std::function<void()> call) {
  loop.cancel(timer);
  *timer = loop.at(when, std::move(call));
}

}  // namespace database_proxy::group
