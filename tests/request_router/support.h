// Settings, events and fixtures shared by the tests of the decision module. They model neither servers nor
// load.
#pragma once

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "request_router/router.h"

namespace request_router::test {

using namespace std::chrono_literals;

// Indices of the request classes in `default_settings`.
enum Class : std::size_t { kAny, kBounded, kSession, kFresh, kWrite, kKeyedWrite };

// Returns a class with a latency objective of 400 ms and a deadline of 2 s.
inline RequestClass make_class(const char* name, ReadLevel level, Effect effect) {
  RequestClass result;
  result.name = name;
  result.level = level;
  result.effect = effect;
  result.scope = KeyScope::kGroup;
  result.latency_objective = 400ms;
  result.deadline = 2s;
  result.bound = level == ReadLevel::kBounded ? 300ms : 0ms;
  result.key_window = 1s;
  result.late_weight_share = level == ReadLevel::kWrite ? 0.5 : 0;
  return result;
}

// Returns the settings of a single router with probes, cancellation and positions. They contain every class
// of `Class`.
inline Settings default_settings(LagCheck lag_check = LagCheck::kOff) {
  Settings settings;
  settings.classes = {make_class("any", ReadLevel::kAny, Effect::kPure),
                      make_class("bounded", ReadLevel::kBounded, Effect::kPure),
                      make_class("session", ReadLevel::kSession, Effect::kPure),
                      make_class("fresh", ReadLevel::kFresh, Effect::kPure),
                      make_class("write", ReadLevel::kWrite, Effect::kUnsafe),
                      make_class("keyed", ReadLevel::kWrite, Effect::kKeyed)};
  settings.step = 5ms;
  settings.lag_check = lag_check;
  settings.answers_carry_position = true;
  settings.client_carries_write_age = true;
  settings.report_position = settings.report_role = true;
  settings.report_mode = ReportMode::kOnProbe;
  settings.list_role = ListRole::kInitial;
  settings.probes = settings.cancel = settings.retry_after = true;
  settings.max_attempts = 6;
  settings.max_retry_after = 1s;
  settings.answer_slack = 20ms;
  settings.drain_grace = 500ms;
  settings.overload_window = 2s;
  settings.warm_up = 10s;
  settings.initial_capacity_share = 0.25;
  settings.overload_multiple = 3;
  return settings;
}

// Returns the list entry of a member of group 1.
inline MemberEntry make_entry(MemberId member, bool primary = false, Condition condition = Condition::kReady,
                              Micros started_at = 0ms) {
  MemberEntry result;
  result.member = member;
  result.group = 1;
  result.primary = primary;
  result.condition = condition;
  result.started_at = started_at;
  return result;
}

inline MemberList make_list(ListKind kind, std::vector<MemberEntry> entries) {
  return {kind, std::move(entries)};
}

// Returns a request of session 9 to group 1.
inline Request make_request(RequestId id, Class request_class, Micros expires,
                            std::optional<Micros> write_age = std::nullopt) {
  Request result;
  result.id = id;
  result.request_class = request_class;
  result.group = 1;
  result.expires = expires;
  result.write_age = write_age;
  result.key = 9;
  return result;
}

// Returns the outcome of an attempt. A success is the final answer to its request.
inline Outcome make_outcome(const Send& sent, int attempt, Status status, Role role = Role::kUnknown,
                            std::optional<Micros> position = std::nullopt) {
  Outcome result;
  result.id = sent.id;
  result.attempt = attempt;
  result.member = sent.member;
  result.status = status;
  result.closed = status == Status::kSuccess;
  result.role = role;
  result.position = position;
  return result;
}

// Returns the result of a probe that was answered within 1 ms, with a load report.
inline ProbeResult make_probe_result(MemberId member, Micros position, bool primary) {
  ProbeResult result;
  result.member = member;
  result.ok = true;
  result.taken = 1ms;
  result.report.position = position;
  result.report.primary = primary;
  return result;
}

// Returns the actions of one kind, in their original order.
template <typename Kind>
std::vector<Kind> actions_of(const std::vector<Action>& actions) {
  std::vector<Kind> found;
  for (const auto& action : actions)
    if (const auto* match = std::get_if<Kind>(&action)) found.push_back(*match);
  return found;
}

// Notifies the router of a group with a primary (1) and two replicas (2, 3), and of their positions by
// probes.
inline void add_group_of_three(Router& router) {
  router.handle(10s, {make_list(ListKind::kFull, {make_entry(1, true), make_entry(2), make_entry(3)})});
  router.handle(10s + 5ms, {make_probe_result(1, 10s, true), make_probe_result(2, 9990ms, false),
                            make_probe_result(3, 9990ms, false)});
}

// Returns a router that has been notified of the group of `add_group_of_three`.
inline Router router_of_three(const Settings& settings = default_settings()) {
  Router router(settings, 3);
  add_group_of_three(router);
  return router;
}

// Fixture with a router that knows a group of a primary (1) and two replicas (2, 3).
struct GroupOfThree : ::testing::Test {
  explicit GroupOfThree(const Settings& settings = default_settings()) : router(settings, 7) {
    add_group_of_three(router);
  }
  Router router;
};

// As GroupOfThree, with members that reject a read for which their replication lag is too large.
struct GroupOfThreeWithLagCheck : GroupOfThree {
  GroupOfThreeWithLagCheck() : GroupOfThree(default_settings(LagCheck::kReject)) {}
};

}  // namespace request_router::test
