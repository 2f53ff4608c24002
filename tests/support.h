// Settings and shorthands shared by the tests of the module. No servers and no load are modelled.
#pragma once

#include <gtest/gtest.h>

#include <chrono>
#include <vector>

#include "badgercourse/router.h"

namespace badgercourse::test {

using namespace std::chrono_literals;

enum Class : std::size_t { kAny, kBounded, kSession, kFresh, kWrite, kKeyedWrite };

inline Settings settings(Checks checks = Checks::Off) {
  auto cls = [](const char* name, ReadLevel level, Effect effect) {
    RequestClass c;
    c.name = name;
    c.level = level;
    c.effect = effect;
    c.scope = KeyScope::Group;
    c.aim = 400ms;
    c.deadline = 2s;
    c.bound = level == ReadLevel::Bounded ? 300ms : 0ms;
    c.keyWindow = 1s;
    c.lateShare = level == ReadLevel::Write ? 0.5 : 0;
    return c;
  };
  Settings s;
  s.classes = {
      cls("any", ReadLevel::Any, Effect::Pure),         cls("bounded", ReadLevel::Bounded, Effect::Pure),
      cls("session", ReadLevel::Session, Effect::Pure), cls("fresh", ReadLevel::Fresh, Effect::Pure),
      cls("write", ReadLevel::Write, Effect::Unsafe),   cls("keyed", ReadLevel::Write, Effect::Keyed)};
  s.step = 5ms;
  s.checks = checks;
  s.positions = true;
  s.carriedMarks = true;
  s.reportPosition = s.reportRole = true;
  s.reports = ReportMode::OnProbe;
  s.listRole = ListRole::Start;
  s.probes = s.cancel = s.retryAfter = true;
  s.maxAttempts = 6;
  s.maxRetryAfter = 1s;
  s.answerSlack = 20ms;
  s.drainGrace = 500ms;
  s.fallTime = 2s;
  s.warmUp = 10s;
  s.coldShare = 0.25;
  s.tipMultiple = 3;
  return s;
}

inline MemberEntry entry(MemberId member, bool primary = false, Condition condition = Condition::Ready,
                         Micros startedAt = 0ms) {
  MemberEntry e;
  e.member = member;
  e.group = 1;
  e.primary = primary;
  e.condition = condition;
  e.startedAt = startedAt;
  return e;
}

inline MemberList list(ListKind kind, std::vector<MemberEntry> entries) { return {kind, std::move(entries)}; }

inline Request request(RequestId id, Class cls, Micros expires,
                       std::optional<Micros> writeAge = std::nullopt) {
  Request r;
  r.id = id;
  r.cls = cls;
  r.group = 1;
  r.expires = expires;
  r.writeAge = writeAge;
  r.key = 9;
  return r;
}

inline Outcome outcome(const Send& sent, int attempt, Status status, Role role = Role::Unknown,
                       std::optional<Micros> position = std::nullopt) {
  Outcome o;
  o.id = sent.id;
  o.attempt = attempt;
  o.member = sent.member;
  o.status = status;
  o.closed = status == Status::Success;
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

}  // namespace badgercourse::test
