// Settings and shorthands shared by the tests of the module. No servers and no load are modelled.
#pragma once

#include <gtest/gtest.h>

#include <chrono>
#include <vector>

#include "request_router/router.h"

namespace request_router::test {

using namespace std::chrono_literals;

enum Class : std::size_t { kAny, kBounded, kSession, kFresh, kWrite, kKeyedWrite };

inline Settings settings(Checks checks = Checks::kOff) {
  auto request_class = [](const char* name, ReadLevel level, Effect effect) {
    RequestClass c;
    c.name = name;
    c.level = level;
    c.effect = effect;
    c.scope = KeyScope::kGroup;
    c.latency_objective = 400ms;
    c.deadline = 2s;
    c.bound = level == ReadLevel::kBounded ? 300ms : 0ms;
    c.key_window = 1s;
    c.late_weight_share = level == ReadLevel::kWrite ? 0.5 : 0;
    return c;
  };
  Settings s;
  s.classes = {request_class("any", ReadLevel::kAny, Effect::kPure),
               request_class("bounded", ReadLevel::kBounded, Effect::kPure),
               request_class("session", ReadLevel::kSession, Effect::kPure),
               request_class("fresh", ReadLevel::kFresh, Effect::kPure),
               request_class("write", ReadLevel::kWrite, Effect::kUnsafe),
               request_class("keyed", ReadLevel::kWrite, Effect::kKeyed)};
  s.step = 5ms;
  s.checks = checks;
  s.positions = true;
  s.client_carries_write_age = true;
  s.report_position = s.report_role = true;
  s.reports = ReportMode::kOnProbe;
  s.list_role = ListRole::kInitial;
  s.probes = s.cancel = s.retry_after = true;
  s.max_attempts = 6;
  s.max_retry_after = 1s;
  s.answer_slack = 20ms;
  s.drain_grace = 500ms;
  s.overload_window = 2s;
  s.warm_up = 10s;
  s.initial_capacity_share = 0.25;
  s.overload_multiple = 3;
  return s;
}

inline MemberEntry entry(MemberId member, bool primary = false, Condition condition = Condition::kReady,
                         Micros started_at = 0ms) {
  MemberEntry e;
  e.member = member;
  e.group = 1;
  e.primary = primary;
  e.condition = condition;
  e.started_at = started_at;
  return e;
}

inline MemberList list(ListKind kind, std::vector<MemberEntry> entries) { return {kind, std::move(entries)}; }

inline Request request(RequestId id, Class request_class, Micros expires,
                       std::optional<Micros> write_age = std::nullopt) {
  Request r;
  r.id = id;
  r.request_class = request_class;
  r.group = 1;
  r.expires = expires;
  r.write_age = write_age;
  r.key = 9;
  return r;
}

inline Outcome outcome(const Send& sent, int attempt, Status status, Role role = Role::kUnknown,
                       std::optional<Micros> position = std::nullopt) {
  Outcome o;
  o.id = sent.id;
  o.attempt = attempt;
  o.member = sent.member;
  o.status = status;
  o.closed = status == Status::kSuccess;
  o.role = role;
  o.position = position;
  return o;
}

inline ProbeResult probed(MemberId member, Micros position, bool primary) {
  ProbeResult p;
  p.member = member;
  p.ok = true;
  p.taken = 1ms;
  p.report.position = position;
  p.report.primary = primary;
  return p;
}

template <typename T>
std::vector<T> only(const std::vector<Action>& actions) {
  std::vector<T> found;
  for (auto& action : actions)
    if (auto* match = std::get_if<T>(&action)) found.push_back(*match);
  return found;
}

}  // namespace request_router::test
