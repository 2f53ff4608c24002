#include "routing/facade.h"

#include <algorithm>
#include <cmath>

#include "module/settings.h"

namespace linenwinch::routing {
namespace {

namespace bc = badgercourse;

// Longer than any request lasts after its server has left the list, so that no result can be for a forgotten
// one.
constexpr Micros kForgetServer = std::chrono::seconds(90);

bc::Status status_of(Ending ending) {
  switch (ending) {
    case Ending::kServed:
      return bc::Status::Success;
    case Ending::kMissed:
      return bc::Status::Absent;
    case Ending::kError:
      return bc::Status::Failure;
    case Ending::kTurnedAway:
      return bc::Status::Overloaded;
    case Ending::kNoConnection:
      return bc::Status::Unreachable;
    case Ending::kReset:
      return bc::Status::Broken;
    case Ending::kTimedOut:
      return bc::Status::TimedOut;
    case Ending::kCancelled:
      return bc::Status::Withdrawn;
    case Ending::kNotSent:
      return bc::Status::Void;
  }
  return bc::Status::Failure;
}

bc::Role role_of(ServerRole role) {
  return role == ServerRole::kPrimary   ? bc::Role::Primary
         : role == ServerRole::kReplica ? bc::Role::Replica
                                        : bc::Role::Unknown;
}

}  // namespace

Facade::Facade(bc::Settings settings, std::uint64_t seed, UnixClock clock,
               std::function<void(const std::string&)> log)
    : settings_(settings), router_(std::move(settings), seed), clock_(clock), log_(std::move(log)) {
  for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
    auto& c = settings_.classes[i];
    classes_[c.name] = {i, c.level == bc::ReadLevel::Write, c.effect == bc::Effect::Keyed,
                        c.level == bc::ReadLevel::Write || c.level == bc::ReadLevel::Session};
  }
}

const ClassInfo* Facade::find_class(std::string_view name) const {
  auto it = classes_.find(std::string(name));
  return it == classes_.end() ? nullptr : &it->second;
}

bc::MemberId Facade::member(Micros now, const std::string& server) {
  auto [it, fresh] = numbers_.try_emplace(server, next_member_);
  if (fresh) servers_[next_member_++].name = server;
  servers_[it->second].since = now;
  return it->second;
}

void Facade::update(Micros now, const discovery::MemberUpdate& list, bool cached) {
  bc::MemberList told;
  told.kind = cached ? bc::ListKind::Cached : list.reset ? bc::ListKind::Full : bc::ListKind::Delta;
  if (list.reset)
    for (auto& [number, server] : servers_) server.up = server.listed = false;
  for (auto& m : list.members) {
    bc::MemberEntry entry;
    entry.member = member(now, m.id);
    entry.group = m.cell;
    entry.zone = m.zone;
    entry.condition = m.lifecycle == discovery::Lifecycle::kUp         ? bc::Condition::Ready
                      : m.lifecycle == discovery::Lifecycle::kDraining ? bc::Condition::Draining
                                                                       : bc::Condition::Gone;
    entry.weight = m.weight;
    // 0 says long ago; a true start is kept above 0 even where this machine booted later.
    if (m.started_at_ms > 0) entry.startedAt = std::max(Micros(1), clock_.known(m.started_at_ms));
    auto& server = servers_[entry.member];
    server.up = m.lifecycle == discovery::Lifecycle::kUp;
    server.listed = m.lifecycle != discovery::Lifecycle::kRemoved;
    told.entries.push_back(std::move(entry));
  }
  usable_ = static_cast<std::size_t>(
      std::count_if(servers_.begin(), servers_.end(), [](auto& s) { return s.second.up; }));
  pending_.emplace_back(std::move(told));
  // Servers are replaced by new ones all day; the module forgets them sooner than this.
  std::erase_if(servers_, [&](auto& entry) {
    bool gone = !entry.second.listed && now - entry.second.since > kForgetServer;
    if (gone) numbers_.erase(entry.second.name);
    return gone;
  });
}

// "inflight=7,util=0.61", or the same with colons.
bc::Report Facade::load_report(std::string_view text) const {
  bc::Report report;
  for (auto pair : bc::splitAt(text, ',')) {
    auto at = pair.find_first_of("=:");
    if (at == std::string_view::npos) continue;
    auto name = pair.substr(0, at);
    auto value = bc::toNumber(pair.substr(at + 1));
    if (!value) continue;
    if (name == "x0" && *value > 0 && *value < 9e9) report.position = clock_.known_seconds(*value);
    if (name == "x1") report.primary = *value == 1;
    if (name == "util" || name == "busy") report.busy = *value;
    if (name == "rif" || name == "inflight") report.held = *value;
  }
  return report;
}

void Facade::report(Micros now, const Result& result) {
  bc::Outcome o;
  o.id = result.request;
  o.attempt = result.attempt;
  o.member = member(now, result.server);
  o.status = status_of(result.ending);
  o.taken = result.taken;
  o.closed = result.closed;
  o.role = role_of(result.role);
  if (result.position_unix_ms && *result.position_unix_ms > 0)
    o.position = clock_.known(*result.position_unix_ms);
  o.report = load_report(result.load);
  if (result.closed) attempts_.erase(result.request);
  pending_.emplace_back(std::move(o));
}

void Facade::report(Micros now, const ProbeResult& result) {
  bc::ProbeResult p;
  p.member = member(now, result.server);
  p.ok = result.ok;
  p.taken = result.taken;
  p.report = load_report(result.load);
  pending_.emplace_back(std::move(p));
}

void Facade::gone(Micros now, RequestId request) {
  attempts_.erase(request);
  pending_.emplace_back(bc::ClientGone{request});
  std::erase_if(decided_, [&](auto& d) {
    if (d.request != request || d.what == Decision::What::kProbe) return false;
    // A send that was decided but never fetched would count as in flight at its server for ever.
    if (d.what == Decision::What::kSend) {
      bc::Outcome never;
      never.id = request;
      never.attempt = d.attempt;
      never.member = member(now, d.server);
      never.status = bc::Status::Void;
      never.closed = true;
      pending_.emplace_back(std::move(never));
    }
    return true;
  });
}

void Facade::plan(Micros, bc::Plan plan) { pending_.emplace_back(std::move(plan)); }

double Facade::room(const std::string& server) const {
  auto it = numbers_.find(server);
  return it == numbers_.end() ? 0 : router_.room(it->second);
}

void Facade::ask(Micros now, const Request& request) {
  bc::Request r;
  r.id = request.id;
  r.cls = request.cls;
  r.group = request.cluster;
  r.key = request.session;
  r.expires = request.expires;
  r.retry = request.retry;
  // An age of 0 would say that the session has written nothing: the youngest write is 1 us old.
  if (request.after_unix_ms) r.writeAge = std::max(Micros(1), now - clock_.required(*request.after_unix_ms));
  attempts_[request.id] = 0;
  pending_.emplace_back(std::move(r));
}

Decision Facade::pick(Micros now, const Request& request) {
  ask(now, request);
  flush(now);
  for (auto it = decided_.begin(); it != decided_.end(); ++it)
    if (it->request == request.id && it->what != Decision::What::kProbe) {
      auto decision = std::move(*it);
      decided_.erase(it);
      return decision;
    }
  Decision hold;
  hold.request = request.id;
  return hold;
}

Ticked Facade::tick(Micros now) {
  std::erase_if(timers_, [&](auto& timer) {
    if (timer.first > now) return false;
    pending_.emplace_back(bc::TimerFired{timer.second});
    return true;
  });
  flush(now);
  Ticked ticked;
  ticked.decisions = std::move(decided_);
  decided_.clear();
  for (auto& timer : timers_)
    if (!ticked.next_due || timer.first < *ticked.next_due) ticked.next_due = timer.first;
  return ticked;
}

void Facade::flush(Micros now) {
  if (pending_.empty()) return;
  take(now, router_.handle(now, pending_));
  pending_.clear();
}

void Facade::take(Micros now, std::vector<bc::Action> actions) {
  for (auto& action : actions) {
    Decision d;
    if (auto* send = std::get_if<bc::Send>(&action)) {
      d.what = Decision::What::kSend;
      d.request = send->id;
      d.attempt = attempts_[send->id]++;
      d.server = servers_[send->member].name;
      d.wait = send->timeout;
      d.begin_within = send->startWithin;
    } else if (auto* cancel = std::get_if<bc::Cancel>(&action)) {
      d.what = Decision::What::kCancel;
      d.request = cancel->id;
      d.attempt = cancel->attempt;
    } else if (auto* refuse = std::get_if<bc::Refuse>(&action)) {
      d.what = Decision::What::kRefuse;
      d.request = refuse->id;
      d.retry_after = refuse->retryAfter;
      attempts_.erase(refuse->id);
    } else if (auto* fail = std::get_if<bc::Fail>(&action)) {
      d.what = Decision::What::kFail;
      d.request = fail->id;
      attempts_.erase(fail->id);
    } else if (auto* probe = std::get_if<bc::Probe>(&action)) {
      d.what = Decision::What::kProbe;
      d.server = servers_[probe->member].name;
    } else if (auto* timer = std::get_if<bc::SetTimer>(&action)) {
      timers_.emplace_back(now + timer->after, timer->key);
      continue;
    } else if (auto* log = std::get_if<bc::Log>(&action)) {
      log_(log->text);
      continue;
    } else {
      continue;  // Subscribe: the watch on discovery is always kept
    }
    decided_.push_back(std::move(d));
  }
}

}  // namespace linenwinch::routing
