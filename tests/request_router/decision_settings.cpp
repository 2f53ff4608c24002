#include "decision_settings.h"

#include <chrono>

namespace request_router::test {
namespace {

using namespace std::chrono_literals;

RequestClass draw_class(Generator& random, std::size_t index, Micros base) {
  RequestClass drawn;
  drawn.name = "class" + std::to_string(index);
  drawn.level = random.pick({ReadLevel::kWrite, ReadLevel::kFresh, ReadLevel::kSession, ReadLevel::kBounded,
                             ReadLevel::kBounded, ReadLevel::kAny});
  // Most classes are typical of an operator's configuration; the rest are any valid combination.
  drawn.effect = drawn.level == ReadLevel::kWrite
                     ? random.pick({Effect::kKeyed, Effect::kKeyed, Effect::kUnsafe})
                 : random.permille(850) ? Effect::kPure
                                        : random.pick({Effect::kKeyed, Effect::kUnsafe});
  drawn.scope = random.pick({KeyScope::kAll, KeyScope::kZone, KeyScope::kGroup});
  drawn.latency_objective = base * random.pick({1, 1, 1, 2, 4, 6});
  drawn.deadline = drawn.latency_objective * random.between(1, 8);
  drawn.bound = drawn.level == ReadLevel::kBounded ? random.between(20ms, 800ms) : Micros(0);
  drawn.key_window = random.between(Micros(drawn.latency_objective / 2), Micros(drawn.deadline * 2));
  drawn.priority_weight = random.thousandths(0, 8000);
  drawn.late_weight_share = random.half() ? random.thousandths(50, 1000) : 0;
  return drawn;
}

void draw_server_properties(Generator& random, Settings& drawn) {
  drawn.lag_check = random.pick({LagCheck::kOff, LagCheck::kReject, LagCheck::kHold});
  if (drawn.lag_check == LagCheck::kHold) drawn.catch_up_timeout = random.between(5ms, 200ms);
  drawn.answers_carry_position = random.permille(700);
  drawn.client_carries_write_age = random.half();
  drawn.report_position = random.permille(800);
  drawn.report_role = random.permille(700);
  drawn.report_in_flight = random.half();
  drawn.report_mode =
      random.pick({ReportMode::kOff, ReportMode::kInline, ReportMode::kOnProbe, ReportMode::kOnProbe});
  drawn.list_role = random.pick({ListRole::kOff, ListRole::kInitial, ListRole::kDelayed});
}

void draw_limits(Generator& random, Settings& drawn) {
  drawn.probes = random.permille(750);
  drawn.peers = random.half();
  drawn.cancel = random.permille(650);
  drawn.hedged_requests = random.half();
  drawn.retry_after = random.half();
  drawn.max_attempts = static_cast<int>(random.pick({1, 2, 3, 4, 6, 8, 12}));
  drawn.max_retry_after = random.between(0ms, 1000ms);
  drawn.poll_discovery = random.permille(300);
  drawn.answer_slack = random.between(0ms, 50ms);
  drawn.drain_grace = random.permille(800) ? random.between(50ms, 3000ms) : Micros(0);
  drawn.overload_window = random.between(0ms, 3000ms);
  drawn.warm_up = random.permille(750) ? random.between(500ms, 12000ms) : Micros(0);
  drawn.poll_deadline = random.half() ? random.between(0ms, 2000ms) : Micros(0);
  drawn.initial_capacity_share = random.thousandths(20, 1000);
  drawn.overload_multiple = random.thousandths(500, 6000);
  drawn.removal_not_binding = random.permille(250);
  drawn.over_quota_weight = random.thousandths(0, 1000);
  drawn.cross_zone_fee = random.thousandths(0, 500);
  drawn.probe_fee = random.half() ? random.thousandths(1, 200) : 0;
}

}  // namespace

std::string zone_name(std::int64_t number) { return "zone" + std::to_string(number); }

Settings draw_settings(Generator& random) {
  Settings drawn;
  Micros base = random.between(20ms, 200ms);
  auto classes = static_cast<std::size_t>(random.between(2, 8));
  for (std::size_t index = 0; index < classes; ++index)
    drawn.classes.push_back(draw_class(random, index, base));
  for (auto tenants = random.below(4); tenants > 0; --tenants)
    drawn.tenants.push_back({"tenant" + std::to_string(tenants), random.thousandths(0, 50000), 0.25});
  drawn.zone = zone_name(0);
  drawn.routers = static_cast<int>(random.pick({std::int64_t{1}, std::int64_t{1}, random.between(2, 8),
                                                random.between(9, 60), random.between(61, 300)}));
  drawn.ordinal = static_cast<int>(random.below(drawn.routers));
  drawn.step = random.between(1ms, 5ms);
  draw_server_properties(random, drawn);
  draw_limits(random, drawn);
  return drawn;
}

}  // namespace request_router::test
