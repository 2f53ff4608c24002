// Table tests of the workers' parts that need no I/O, and tests of the state that workers share.
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <thread>

#include "net/timers.h"
#include "workers/connection_balancer.h"
#include "workers/decision_staleness_check.h"
#include "workers/shared_request_registry.h"
#include "workers/spsc_queue.h"
#include "workers/worker_pool.h"
#include "workers/worker_settings.h"

namespace database_proxy::workers {
namespace {

using discovery::Lifecycle;
using routing::Decision;

discovery::EndpointListUpdate update(bool reset, std::vector<std::pair<std::string, Lifecycle>> members) {
  discovery::EndpointListUpdate u;
  u.reset = reset;
  for (auto& [id, lifecycle] : members) {
    discovery::Endpoint m;
    m.id = id;
    m.lifecycle = lifecycle;
    u.endpoints.push_back(m);
  }
  return u;
}

Decision send_to(const std::string& server, std::uint64_t list, Micros made,
                 Micros wait = Micros(1'000'000)) {
  Decision d;
  d.kind = Decision::Kind::kSend;
  d.server = server;
  d.endpoint_list_version = list;
  d.decided_at = made;
  d.timeout = wait;
  return d;
}

}  // namespace

TEST_CASE(
    "staleness check: a send decided before a drain was known is stale, one decided after it is current") {
  DecisionStalenessCheck staleness_check;
  staleness_check.on_endpoint_list(Micros(0), update(true, {{"a", Lifecycle::kUp}, {"b", Lifecycle::kUp}}));
  REQUIRE(staleness_check.version() == 1);
  Micros now(1000);
  CHECK(staleness_check.check(now, send_to("a", 1, now)) == DecisionStalenessCheck::Verdict::kCurrent);
  CHECK(staleness_check.check(now, send_to("a", 2, now)) == DecisionStalenessCheck::Verdict::kAhead);
  staleness_check.on_endpoint_list(now, update(false, {{"a", Lifecycle::kDraining}}));
  CHECK(staleness_check.check(now, send_to("a", 1, now)) == DecisionStalenessCheck::Verdict::kOutOfService);
  CHECK(staleness_check.check(now, send_to("b", 1, now)) == DecisionStalenessCheck::Verdict::kCurrent);
  CHECK(staleness_check.check(now, send_to("a", 2, now)) ==
        DecisionStalenessCheck::Verdict::kCurrent);  // such as a write to a primary that hands over
  // A repeated update does not make decisions stale that were made after the first one.
  staleness_check.on_endpoint_list(now, update(false, {{"a", Lifecycle::kDraining}}));
  CHECK(staleness_check.check(now, send_to("a", 2, now)) == DecisionStalenessCheck::Verdict::kCurrent);
  CHECK(staleness_check.check(now, send_to("a", 1, now)) == DecisionStalenessCheck::Verdict::kOutOfService);
  // A server that is removed, or that a complete list leaves out, is out of service too; one that is up is in
  // service.
  staleness_check.on_endpoint_list(now, update(false, {{"b", Lifecycle::kRemoved}}));
  CHECK(staleness_check.check(now, send_to("b", 3, now)) == DecisionStalenessCheck::Verdict::kOutOfService);
  staleness_check.on_endpoint_list(now, update(true, {{"c", Lifecycle::kUp}}));
  CHECK(staleness_check.check(now, send_to("a", 4, now)) == DecisionStalenessCheck::Verdict::kOutOfService);
  CHECK(staleness_check.check(now, send_to("c", 4, now)) == DecisionStalenessCheck::Verdict::kCurrent);
}

TEST_CASE("staleness check: a send decided long ago or past its timeout is too old, a cancel always passes") {
  DecisionStalenessCheck staleness_check;
  staleness_check.on_endpoint_list(Micros(0), update(true, {{"a", Lifecycle::kUp}}));
  Micros made(5000);
  CHECK(staleness_check.check(made + kMaxDecisionAge, send_to("a", 1, made)) ==
        DecisionStalenessCheck::Verdict::kCurrent);
  CHECK(staleness_check.check(made + kMaxDecisionAge + Micros(1), send_to("a", 1, made)) ==
        DecisionStalenessCheck::Verdict::kTooOld);
  CHECK(staleness_check.check(made + Micros(3000), send_to("a", 1, made, Micros(3000))) ==
        DecisionStalenessCheck::Verdict::kTooOld);
  Decision cancel = send_to("a", 1, made);
  cancel.kind = Decision::Kind::kCancel;
  CHECK(staleness_check.check(made + Micros(10'000'000), cancel) ==
        DecisionStalenessCheck::Verdict::kCurrent);
}

TEST_CASE("staleness check: old changes are forgotten, however many servers come and go") {
  DecisionStalenessCheck staleness_check;
  Micros now(0);
  for (int i = 0; i < 5000; ++i) {
    now += Micros(50'000);
    auto id = "s" + std::to_string(i);
    staleness_check.on_endpoint_list(now, update(false, {{id, Lifecycle::kUp}}));
    staleness_check.on_endpoint_list(now, update(false, {{id, Lifecycle::kRemoved}}));
  }
  CHECK(staleness_check.out_of_service_count() <= 25);
}

TEST_CASE(
    "assignment: to the worker with the fewest clients, in turn if equal, never to a stalled or ended one") {
  std::vector<WorkerSlot> worker_slots(3);
  CHECK(choose_worker_for_client(worker_slots, 0) == 1);
  CHECK(choose_worker_for_client(worker_slots, 2) == 0);
  worker_slots[0].clients = 5;
  worker_slots[1].clients = 3;
  worker_slots[2].clients = 4;
  CHECK(choose_worker_for_client(worker_slots, 0) == 1);
  worker_slots[1].assigned = kMaxAssignedClients;  // it has adopted none of those assigned to it
  CHECK(choose_worker_for_client(worker_slots, 0) == 2);
  worker_slots[2].running = false;
  CHECK(choose_worker_for_client(worker_slots, 0) == 0);
  worker_slots[0].assigned = kMaxAssignedClients;
  CHECK_FALSE(choose_worker_for_client(worker_slots, 0));
  CHECK(choose_worker_to_release_descriptor(worker_slots, std::nullopt) == 0);
  CHECK(choose_worker_to_release_descriptor(worker_slots, 0) == 1);
  CHECK_FALSE(choose_worker_to_release_descriptor(std::vector<WorkerSlot>(2), 0));
}

TEST_CASE("queue: no item is lost or reordered between two threads when the ring is full") {
  SpscQueue<int> queue(8);
  for (int i = 0; i < 100; ++i) queue.send(i);
  CHECK(queue.backlog() > 0);
  CHECK(queue.overflowed() == queue.backlog());
  std::vector<int> got;
  std::thread receiver([&] {
    while (got.size() < 100000)
      if (auto* item = queue.front()) {
        got.push_back(*item);
        queue.pop();
      } else {
        std::this_thread::yield();
      }
  });
  for (int i = 100; i < 100000; ++i) queue.send(i);
  while (queue.flush()) std::this_thread::yield();
  receiver.join();
  for (int i = 0; i < 100000; ++i)
    if (got[static_cast<std::size_t>(i)] != i)
      FAIL("item " << i << " is " << got[static_cast<std::size_t>(i)]);
}

TEST_CASE(
    "shared state: names are reserved once at a time, counters freed with their last user, usage adds up") {
  OpenRequestNames names;
  std::atomic<int> reserved{0};
  std::vector<std::thread> threads;
  for (int t = 0; t < 4; ++t)
    threads.emplace_back([&] {
      for (int i = 0; i < 1000; ++i) reserved += names.reserve("id" + std::to_string(i));
    });
  for (auto& t : threads) t.join();
  CHECK(reserved == 1000);
  CHECK(names.size() == 1000);
  names.release("id7");
  CHECK(names.reserve("id7"));
  ServerConnections connections;
  {
    auto a = connections.counter("a"), again = connections.counter("a");
    CHECK(a == again);
    for (int i = 0; i < 100; ++i) connections.counter("gone" + std::to_string(i));
    CHECK(connections.servers() <= 2);
  }
  ResourceUsageTable usage_table(3);
  usage_table.publish(0, {1, 10, 5, 100});
  usage_table.publish(2, {2, 20, 6, 200});
  CHECK(usage_table.sum_except(0).clients == 20);
  CHECK(usage_table.sum_except(1).descriptors == 3);
  CHECK(usage_table.sum_except(9).statement_bytes == 300);
}

TEST_CASE("split: each worker is a router of its own, and no two share an ordinal or a seed") {
  request_router::Settings settings;
  settings.routers = 3;
  settings.ordinal = 2;
  std::map<int, int> seen;
  for (std::size_t w = 0; w < 4; ++w) {
    auto s = settings_of_worker(settings, w, 4);
    CHECK(s.routers == 12);
    CHECK(s.ordinal < 12);
    ++seen[s.ordinal];
    for (std::size_t other = 0; other < w; ++other) CHECK(seed_of_worker(9, w) != seed_of_worker(9, other));
  }
  CHECK(seen.size() == 4);
}

TEST_CASE(
    "timers: run in the order of a sorted list, with timers set and cancelled at random, also in callbacks") {
  auto seed = std::random_device{}();
  INFO("seed " << seed);
  std::mt19937 random(seed);
  net::Timers timers;
  using Micros = net::Micros;
  std::map<std::pair<Micros, int>, net::Timers::Id> expected;
  std::vector<int> called;
  Micros now(123'456'789);
  int next = 0;
  for (int step = 0; step < 20000; ++step) {
    auto what = random() % 10;
    if (what < 5) {
      // Mostly soon, some beyond one round of the timer wheel, some in the past.
      auto span = std::array<std::int64_t, 4>{2000, 300'000, 30'000'000, -5000}[random() % 4];
      auto when =
          now + Micros(span < 0 ? span : static_cast<std::int64_t>(random() % static_cast<unsigned>(span)));
      int number = next++;
      expected[{when, number}] = timers.at(when, [&called, number] { called.push_back(number); });
    } else if (what < 8 && !expected.empty()) {
      auto it = std::next(expected.begin(), static_cast<long>(random() % expected.size()));
      timers.cancel(it->second);
      timers.cancel(it->second);  // cancelling again has no effect
      expected.erase(it);
    } else {
      auto first = timers.next();
      REQUIRE(first.has_value() == !expected.empty());
      if (first) REQUIRE(*first == expected.begin()->first.first);
      auto longest_step = random() % 50 == 0 ? 9'000'000 : 20'000;
      now += Micros(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(longest_step)));
      called.clear();
      timers.run(now);
      std::vector<int> due;
      while (!expected.empty() && expected.begin()->first.first <= now) {
        due.push_back(expected.begin()->first.second);
        expected.erase(expected.begin());
      }
      REQUIRE(called == due);
    }
    REQUIRE(timers.size() == expected.size());
  }
  // A callback that cancels the next timer and sets one that is due at once.
  called.clear();
  net::Timers::Id victim = net::Timers::kNone;
  now += Micros(60'000'000);
  timers.run(now);
  called.clear();
  timers.at(now + Micros(1), [&] {
    timers.cancel(victim);
    timers.at(now, [&] { called.push_back(2); });
    called.push_back(1);
  });
  victim = timers.at(now + Micros(2), [&] { called.push_back(3); });
  timers.run(now + Micros(10));
  CHECK(called == std::vector<int>{1, 2});
  CHECK(timers.size() == 0);
}

}  // namespace database_proxy::workers
