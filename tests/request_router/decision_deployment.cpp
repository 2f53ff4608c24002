#include "decision_deployment.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace request_router::test {

using namespace std::chrono_literals;

void SimulatedDeployment::draw_deployment() {
  groups_ = random_.pick({1, 1, 2, 3, 6});
  zones_ = random_.between(1, 3);
  std::int64_t each = random_.permille(60) ? 30 : random_.between(1, 7);
  for (std::int64_t group = 0; group < groups_; ++group)
    for (std::int64_t index = 0; index < each; ++index) add_member(group, index == 0).stays = index == 0;
  mean_gap_ = random_.pick({Micros(700), Micros(2ms), Micros(5ms), Micros(12ms), Micros(40ms)});
  if (long_) mean_gap_ = settings_.classes[0].latency_objective;
  // A calm deployment shows the rules of long quiet times, a stormy one those that answer troubles.
  mean_change_ = random_.pick({Micros(40ms), Micros(150ms), Micros(400ms), Micros(1500ms)});
  if (long_) mean_change_ = 1s;
}

SimulatedMember& SimulatedDeployment::add_member(GroupId group, bool primary) {
  MemberId id = ++last_member_;
  SimulatedMember& member = members_[id];
  member.entry.member = id;
  member.entry.group = group;
  member.entry.zone = zone_name(random_.below(zones_));
  member.entry.weight = random_.thousandths(100, 3000);
  member.entry.started_at = random_.permille(700) ? Micros(0) : now_ - random_.between(0ms, 20s);
  member.primary = primary;
  member.lag = random_.between(1ms, 60ms);
  member.work = settings_.classes[0].latency_objective * random_.between(20, 300) / 1000;
  member.report_every = random_.between(1ms, 100ms);
  member.capacity = random_.between(2, 48);
  return member;
}

void SimulatedDeployment::plan(Micros at, Chore chore) { due_.push({at, ++order_, chore, TimerFired{}}); }

void SimulatedDeployment::plan(Micros at, Event event) {
  due_.push({at, ++order_, Chore::kNone, std::move(event)});
}

Micros SimulatedDeployment::position(const SimulatedMember& member) const {
  return member.primary ? now_ : now_ - member.lag;
}

Report SimulatedDeployment::report(MemberId id) {
  auto& member = members_[id];
  Report report;
  Micros renewed = now_ - now_ % member.report_every;
  if (settings_.report_position) report.position = renewed - (member.primary ? Micros(0) : member.lag);
  if (settings_.report_role) report.primary = member.primary;
  if (random_.half()) report.busy = random_.thousandths(0, 1000);
  std::int64_t others = member.in_flight * (settings_.routers > 1 ? random_.between(1, 12) : 1);
  if (settings_.report_in_flight && random_.permille(900)) report.in_flight = static_cast<double>(others);
  return report;
}

MemberList SimulatedDeployment::full_list(ListKind kind) {
  MemberList list{kind, {}};
  for (auto& [id, member] : members_)
    if (member.listed) list.entries.push_back(listed_entry(member));
  return list;
}

MemberEntry SimulatedDeployment::listed_entry(SimulatedMember& member) {
  MemberEntry listed = member.entry;
  if (settings_.list_role == ListRole::kInitial) listed.primary = member.primary;
  if (settings_.list_role == ListRole::kDelayed) listed.primary = member.primary != random_.permille(200);
  return listed;
}

MemberList SimulatedDeployment::next_list() {
  if (random_.permille(60)) return {ListKind::kFailed, {}};
  if (random_.permille(300)) return full_list(random_.permille(800) ? ListKind::kFull : ListKind::kCached);
  MemberList list{ListKind::kDelta, {}};
  for (auto& [id, member] : members_)
    if (member.stays || changed_.count(id)) list.entries.push_back(listed_entry(member));
  changed_.clear();
  return list;
}

void SimulatedDeployment::announce(SimulatedMember& member) {
  changed_.insert(member.entry.member);
  plan(now_ + random_.between(Micros(0), random_.half() ? Micros(5ms) : Micros(600ms)), Chore::kSendList);
}

SimulatedMember& SimulatedDeployment::any_member() {
  auto found = members_.begin();
  std::advance(found, random_.below(static_cast<std::int64_t>(members_.size())));
  return found->second;
}

void SimulatedDeployment::change_world(std::vector<Event>& batch) {
  auto& member = any_member();
  if (long_) return set_lags(member.entry.group);
  switch (random_.below(16)) {
    case 0:
      return set_condition(member);
    case 1:
      return restart(member);
    case 2:
      return fail_over(member.entry.group);
    case 3:
      return join_or_remove(member);
    case 4:
      return void(batch.emplace_back(new_plan()));
    case 5:
      return void(
          batch.emplace_back(PeerMessage{static_cast<int>(random_.below(settings_.routers)), "hello"}));
    case 6:
      return void(batch.emplace_back(stray_outcome(member)));
    case 7:
      return void(load_ = random_.pick({10, 25, 50, 100, 100, 200, 600, 1000}));
    case 8:
      return plan(now_, Chore::kSendList);
    case 9:
      return set_health(member);
    case 10:
      return set_lags(member.entry.group);
    default:
      return set_behaviour(member);
  }
}

void SimulatedDeployment::set_condition(SimulatedMember& member) {
  member.entry.condition =
      random_.pick({Condition::kReady, Condition::kDraining, Condition::kDraining, Condition::kGone});
  if (member.stays && member.entry.condition == Condition::kGone)
    member.entry.condition = Condition::kDraining;
  announce(member);
  if (member.entry.condition != Condition::kReady && random_.permille(700))
    for (auto& [id, other] : members_)  // the rest of the group is made whole first
      if (other.entry.group == member.entry.group && id != member.entry.member) heal(other);
}

void SimulatedDeployment::heal(SimulatedMember& member) {
  member.health = Health::kUp;
  if (std::exchange(member.entry.condition, Condition::kReady) != Condition::kReady) announce(member);
}

void SimulatedDeployment::restart(SimulatedMember& member) {
  member.entry.started_at = now_;
  member.entry.condition = Condition::kReady;
  member.health = Health::kUp;
  member.listed = true;
  member.failing = member.breaking = member.vanishing = member.voiding = 0;
  if (member.primary && random_.half()) fail_over(member.entry.group);
  announce(member);
}

void SimulatedDeployment::fail_over(GroupId group) {
  std::vector<SimulatedMember*> others;
  for (auto& [id, member] : members_) {
    if (member.entry.group != group) continue;
    if (!member.primary && member.health == Health::kUp) others.push_back(&member);
    if (!random_.permille(50)) member.primary = false;
  }
  if (others.empty() || random_.permille(250)) return;
  auto& chosen = *others[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(others.size())))];
  chosen.primary = true;
  if (random_.permille(300)) chosen.entry.started_at = now_ - random_.between(0ms, 2s);
  if (random_.half()) announce(chosen);
}

void SimulatedDeployment::join_or_remove(SimulatedMember& member) {
  if (members_.size() < 60 && random_.half()) {
    auto& joined = add_member(random_.below(groups_), false);
    joined.entry.started_at = random_.permille(700) ? now_ : Micros(0);
    return announce(joined);
  }
  member.listed = member.stays || !member.listed;
  plan(now_ + random_.between(0ms, 100ms), full_list(ListKind::kFull));
}

void SimulatedDeployment::set_health(SimulatedMember& member) {
  member.health = random_.pick({Health::kUp, Health::kUp, Health::kRefusing, Health::kSilent});
  for (auto& [id, other] : members_)
    if (random_.permille(400)) other.health = Health::kUp;
}

void SimulatedDeployment::set_lags(GroupId group) {
  Micros most = random_.pick({Micros(5ms), Micros(60ms), Micros(500ms), Micros(5s)});
  for (auto& [id, member] : members_)
    if (member.entry.group == group) member.lag = random_.between(Micros(1), most);
}

void SimulatedDeployment::set_behaviour(SimulatedMember& member) {
  bool calm = random_.half();
  member.work = settings_.classes[0].latency_objective *
                (calm ? random_.between(20, 200) : random_.between(20, 2500)) / 1000;
  member.capacity = random_.between(2, 48);
  member.report_every = random_.between(1ms, 100ms);
  member.failing = calm ? 0 : random_.pick({0, 20, 300, 900});
  member.breaking = calm ? 0 : random_.pick({0, 0, 20, 300});
  member.voiding = calm ? 0 : random_.pick({0, 0, 20, 100});
  member.vanishing = calm ? 0 : random_.pick({0, 0, 30, 100, 250});
}

Plan SimulatedDeployment::new_plan() {
  Plan drawn;
  for (std::int64_t group = 0; group < groups_; ++group) {
    if (random_.permille(300)) continue;
    std::vector<ZoneShare> shares;
    std::int64_t left = random_.half() ? 1000 : random_.between(300, 1000);
    for (std::int64_t zone = 0; zone < zones_; ++zone) {
      std::int64_t share = zone + 1 == zones_ ? left : random_.between(0, left);
      left -= share;
      shares.push_back({zone_name(zone), static_cast<double>(share) / 1000, random_.thousandths(0, 600)});
    }
    drawn.groups.emplace_back(group, std::move(shares));
  }
  if (random_.permille(300)) drawn.groups.clear();
  return drawn;
}

Outcome SimulatedDeployment::stray_outcome(SimulatedMember& member) {
  Outcome stray;
  stray.id = ++last_request_;
  stray.member = random_.half() ? member.entry.member : MemberId(1000000);
  stray.status =
      random_.pick({Status::kSuccess, Status::kCancelled, Status::kUnreachable, Status::kDeclined});
  stray.closed = true;
  return stray;
}

}  // namespace request_router::test
