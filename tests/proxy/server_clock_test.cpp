// The distance between the servers' clock and this machine's monotonic clock, determined without relying on
// any single reading.
#include "routing/server_clock.h"

#include <catch2/catch.hpp>

namespace database_proxy::routing {
namespace {

using namespace std::chrono_literals;

constexpr Micros kHour = 1h;
constexpr Micros kTrueDistance = 400'000h;

// A machine whose wall clock is off by `error`, and servers whose clock is correct.
struct Machine {
  explicit Machine(Micros error) : clock(live(error)) {}
  static UnixClock live(Micros error) { return UnixClock::live(kTrueDistance + error); }
  void on_primary_answer(Micros at) {
    clock.on_primary_position(kTrueDistance + at - 1ms, at - 2ms, at);
    primary = clock.position(kTrueDistance + at - 1ms, at, true);
  }
  // Returns the position of a replica that lags by `lag`; nullopt: not usable yet.
  std::optional<Micros> position_of_replica(Micros at, Micros lag) {
    return clock.position(kTrueDistance + at - lag, at, false);
  }
  ServerClock clock;
  std::optional<Micros> primary;
};

}  // namespace

TEST_CASE("clock: with a correct wall clock, a replica's position is usable once a primary has answered") {
  Machine machine(0us);
  CHECK(!machine.position_of_replica(1s, 200ms));
  machine.on_primary_answer(1s + 5ms);
  CHECK(machine.position_of_replica(1s + 10ms, 200ms) == 1s + 10ms - 200ms);
}

TEST_CASE("clock: whatever the error of the wall clock, no position is taken for newer than it is") {
  for (Micros error : std::initializer_list<Micros>{-kHour, -3s, -1s, 1s, 3s, kHour}) {
    Machine machine(error);
    INFO(error.count());
    for (Micros at = 1s; at < 8s; at += 10ms) {
      auto known = machine.position_of_replica(at, 2s);
      if (known) CHECK(*known <= at - 2s + 2ms);
      machine.on_primary_answer(at + 5ms);
    }
    auto known = machine.position_of_replica(8s, 200ms);
    REQUIRE(known);  // the distance has been determined
    CHECK(*known >= 8s - 200ms - 5ms);
  }
}

TEST_CASE(
    "clock: a step of the wall clock, alone or with the servers' clocks, lets no stale position pass as "
    "fresh") {
  for (Micros step : std::initializer_list<Micros>{-kHour, -3s, 3s, kHour}) {
    for (bool are_servers_stepped : {false, true}) {
      Machine machine(0us);
      for (Micros at = 1s; at < 2s; at += 10ms) machine.on_primary_answer(at);
      machine.clock.on_local_distance(2s, kTrueDistance + step);
      Micros shift = are_servers_stepped ? step : 0us;
      INFO(step.count() << " " << are_servers_stepped);
      for (Micros at = 2s; at < 4s; at += 10ms) {
        auto known = machine.clock.position(kTrueDistance + shift + at - 2s, at, false);
        if (known) CHECK(*known <= at - 2s + 2ms);
        auto now = kTrueDistance + shift + at + 4ms;
        machine.clock.on_primary_position(now, at + 3ms, at + 5ms);
        machine.clock.position(now, at + 5ms, true);
      }
      auto known = machine.clock.position(kTrueDistance + shift + 4s - 200ms, 4s, false);
      REQUIRE(known);
      CHECK(*known >= 4s - 200ms - 5ms);
    }
  }
}

TEST_CASE(
    "clock: a former primary's outdated position does not make replicas look newer while others contradict "
    "it") {
  Machine machine(0us);
  for (Micros at = 1s; at < 3s; at += 10ms) {
    machine.on_primary_answer(at);
    machine.clock.on_primary_position(kTrueDistance + at - 30s, at, at + 2ms);
    auto known = machine.position_of_replica(at + 3ms, 2s);
    REQUIRE(known);
    CHECK(*known <= at + 3ms - 2s + 2ms);
  }
}

TEST_CASE("clock: a position that a read must include is never rounded down by a change of the distance") {
  Machine machine(-kHour);
  auto commit_ms = (kTrueDistance + 1s) / 1ms;
  auto before = machine.clock.required(commit_ms);
  for (Micros at = 1s; at < 2s; at += 10ms) machine.on_primary_answer(at);
  CHECK(machine.clock.required(commit_ms) >= 1s);
  CHECK(before >= 1s);
}

}  // namespace database_proxy::routing
