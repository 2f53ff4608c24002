#include "decision_deployment.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace request_router::test {

using namespace std::chrono_literals;

void SimulatedDeployment::draw_deployment() {
  groups_ = random_.pick({1, 1, 2, 3, 6});
  zones_ = random_.between(1, 3);
  std::int64_t members_per_group = random_.permille(60) ? 30 : random_.between(1, 7);
  for (std::int64_t group = 0; group < groups_; ++group)
    for (std::int64_t index = 0; index < members_per_group; ++index)
      add_member(group, index == 0).permanent = index == 0;
  mean_request_interval_ = random_.pick({Micros(700), Micros(2ms), Micros(5ms), Micros(12ms), Micros(40ms)});
  if (long_run_) mean_request_interval_ = settings_.classes[0].latency_objective;
  // Rare changes exercise the rules for long stable periods, frequent changes the rules that handle failures.
  mean_change_interval_ = random_.pick({Micros(40ms), Micros(150ms), Micros(400ms), Micros(1500ms)});
  if (long_run_) mean_change_interval_ = 1s;
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
  member.service_time = settings_.classes[0].latency_objective * random_.between(20, 300) / 1000;
  member.report_interval = random_.between(1ms, 100ms);
  member.capacity = random_.between(2, 48);
  return member;
}

void SimulatedDeployment::schedule(Micros at, Task task) {
  scheduled_.push({at, ++last_sequence_, task, TimerFired{}});
}

void SimulatedDeployment::schedule(Micros at, Event event) {
  scheduled_.push({at, ++last_sequence_, Task::kNone, std::move(event)});
}

Micros SimulatedDeployment::position(const SimulatedMember& member) const {
  return member.primary ? now_ : now_ - member.lag;
}

Report SimulatedDeployment::report(MemberId id) {
  auto& member = members_[id];
  Report report;
  Micros renewed = now_ - now_ % member.report_interval;
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
    if (member.permanent || changed_members_.count(id)) list.entries.push_back(listed_entry(member));
  changed_members_.clear();
  return list;
}

void SimulatedDeployment::schedule_list_update(SimulatedMember& member) {
  changed_members_.insert(member.entry.member);
  schedule(now_ + random_.between(Micros(0), random_.half() ? Micros(5ms) : Micros(600ms)), Task::kSendList);
}

SimulatedMember& SimulatedDeployment::random_member() {
  auto found = members_.begin();
  std::advance(found, random_.below(static_cast<std::int64_t>(members_.size())));
  return found->second;
}

void SimulatedDeployment::change_deployment(std::vector<Event>& batch) {
  auto& member = random_member();
  if (long_run_) return set_lags(member.entry.group);
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
      return void(request_interval_percent_ = random_.pick({10, 25, 50, 100, 100, 200, 600, 1000}));
    case 8:
      return schedule(now_, Task::kSendList);
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
  if (member.permanent && member.entry.condition == Condition::kGone)
    member.entry.condition = Condition::kDraining;
  schedule_list_update(member);
  if (member.entry.condition != Condition::kReady && random_.permille(700))
    for (auto& [id, other] : members_)  // makes all other members of the group healthy and ready
      if (other.entry.group == member.entry.group && id != member.entry.member) restore(other);
}

void SimulatedDeployment::restore(SimulatedMember& member) {
  member.health = Health::kUp;
  if (std::exchange(member.entry.condition, Condition::kReady) != Condition::kReady)
    schedule_list_update(member);
}

void SimulatedDeployment::restart(SimulatedMember& member) {
  member.entry.started_at = now_;
  member.entry.condition = Condition::kReady;
  member.health = Health::kUp;
  member.listed = true;
  member.failure_permille = member.broken_permille = member.lost_permille = member.not_started_permille = 0;
  if (member.primary && random_.half()) fail_over(member.entry.group);
  schedule_list_update(member);
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
  if (random_.half()) schedule_list_update(chosen);
}

void SimulatedDeployment::join_or_remove(SimulatedMember& member) {
  if (members_.size() < 60 && random_.half()) {
    auto& joined = add_member(random_.below(groups_), false);
    joined.entry.started_at = random_.permille(700) ? now_ : Micros(0);
    return schedule_list_update(joined);
  }
  member.listed = member.permanent || !member.listed;
  MemberList list = full_list(ListKind::kFull);
  schedule(now_ + random_.between(0ms, 100ms), std::move(list));
}

void SimulatedDeployment::set_health(SimulatedMember& member) {
  member.health = random_.pick({Health::kUp, Health::kUp, Health::kRefusing, Health::kUnresponsive});
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
  member.service_time = settings_.classes[0].latency_objective *
                        (calm ? random_.between(20, 200) : random_.between(20, 2500)) / 1000;
  member.capacity = random_.between(2, 48);
  member.report_interval = random_.between(1ms, 100ms);
  member.failure_permille = calm ? 0 : random_.pick({0, 20, 300, 900});
  member.broken_permille = calm ? 0 : random_.pick({0, 0, 20, 300});
  member.not_started_permille = calm ? 0 : random_.pick({0, 0, 20, 100});
  member.lost_permille = calm ? 0 : random_.pick({0, 0, 30, 100, 250});
}

Plan SimulatedDeployment::new_plan() {
  Plan drawn;
  for (std::int64_t group = 0; group < groups_; ++group) {
    if (random_.permille(300)) continue;
    std::vector<ZoneShare> shares;
    std::int64_t remaining = random_.half() ? 1000 : random_.between(300, 1000);
    for (std::int64_t zone = 0; zone < zones_; ++zone) {
      std::int64_t share = zone + 1 == zones_ ? remaining : random_.between(0, remaining);
      remaining -= share;
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
