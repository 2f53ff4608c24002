#include "routing/decision_facade.h"

#include <algorithm>
#include <cmath>

#include "request_router/settings.h"

namespace database_proxy::routing {
namespace {

namespace bc = request_router;

// Longer than any request lasts after its server has left the list, so that no result can be for a forgotten
// one.
constexpr Micros kForgetServer = std::chrono::seconds(90);

bc::Status status_of(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kServed:
      return bc::Status::kSuccess;
    case AttemptOutcome::kDeclined:
      return bc::Status::kDeclined;
    case AttemptOutcome::kError:
      return bc::Status::kFailure;
    case AttemptOutcome::kRejected:
      return bc::Status::kOverloaded;
    case AttemptOutcome::kNoConnection:
      return bc::Status::kUnreachable;
    case AttemptOutcome::kReset:
      return bc::Status::kBroken;
    case AttemptOutcome::kTimedOut:
      return bc::Status::kTimedOut;
    case AttemptOutcome::kCancelled:
      return bc::Status::kCancelled;
    case AttemptOutcome::kNotSent:
      return bc::Status::kNotStarted;
  }
  return bc::Status::kFailure;
}

bc::Role role_of(ServerRole role) {
  return role == ServerRole::kPrimary   ? bc::Role::kPrimary
         : role == ServerRole::kReplica ? bc::Role::kReplica
                                        : bc::Role::kUnknown;
}

}  // namespace

DecisionFacade::DecisionFacade(bc::Settings settings, std::uint64_t seed, UnixClock clock,
                               std::function<void(const std::string&)> log)
    : settings_(settings), router_(std::move(settings), seed), clock_(clock), log_(std::move(log)) {
  for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
    auto& c = settings_.classes[i];
    classes_[c.name] = {i, c.level == bc::ReadLevel::kWrite, c.effect == bc::Effect::kKeyed,
                        c.level == bc::ReadLevel::kWrite || c.level == bc::ReadLevel::kSession};
  }
}

const RequestClassInfo* DecisionFacade::find_class(std::string_view name) const {
  auto it = classes_.find(std::string(name));
  return it == classes_.end() ? nullptr : &it->second;
}

bc::MemberId DecisionFacade::member(Micros now, const std::string& server) {
  auto [it, fresh] = numbers_.try_emplace(server, next_member_);
  if (fresh) servers_[next_member_++].name = server;
  servers_[it->second].since = now;
  return it->second;
}

void DecisionFacade::update(Micros now, const discovery::EndpointListUpdate& list, bool cached) {
  bc::MemberList told;
  told.kind = cached ? bc::ListKind::kCached : list.reset ? bc::ListKind::kFull : bc::ListKind::kDelta;
  if (list.reset)
    for (auto& [number, server] : servers_) server.up = server.on_endpoint_list = false;
  for (auto& m : list.members) {
    bc::MemberEntry entry;
    entry.member = member(now, m.id);
    entry.group = m.cell;
    entry.zone = m.zone;
    entry.condition = m.lifecycle == discovery::Lifecycle::kUp         ? bc::Condition::kReady
                      : m.lifecycle == discovery::Lifecycle::kDraining ? bc::Condition::kDraining
                                                                       : bc::Condition::kGone;
    entry.weight = m.weight;
    // 0 says long ago; a true start is kept above 0 even where this machine booted later.
    if (m.started_at_ms > 0) entry.started_at = std::max(Micros(1), clock_.known(m.started_at_ms));
    auto& server = servers_[entry.member];
    server.up = m.lifecycle == discovery::Lifecycle::kUp;
    server.on_endpoint_list = m.lifecycle != discovery::Lifecycle::kRemoved;
    told.entries.push_back(std::move(entry));
  }
  usable_ = static_cast<std::size_t>(
      std::count_if(servers_.begin(), servers_.end(), [](auto& s) { return s.second.up; }));
  pending_.emplace_back(std::move(told));
  // Servers are replaced by new ones all day; the module forgets them sooner than this.
  std::erase_if(servers_, [&](auto& entry) {
    bool on_client_disconnected = !entry.second.on_endpoint_list && now - entry.second.since > kForgetServer;
    if (on_client_disconnected) numbers_.erase(entry.second.name);
    return on_client_disconnected;
  });
}

// "inflight=7,util=0.61", or the same with colons.
bc::Report DecisionFacade::load_report(std::string_view text) const {
  bc::Report report;
  for (auto pair : bc::split_at(text, ',')) {
    auto at = pair.find_first_of("=:");
    if (at == std::string_view::npos) continue;
    auto name = pair.substr(0, at);
    auto value = bc::to_number(pair.substr(at + 1));
    if (!value) continue;
    if (name == "x0" && *value > 0 && *value < 9e9) report.position = clock_.known_seconds(*value);
    if (name == "x1") report.primary = *value == 1;
    if (name == "util" || name == "busy") report.busy = *value;
    if (name == "rif" || name == "inflight") report.held = *value;
  }
  return report;
}

void DecisionFacade::report(Micros now, const AttemptResult& result) {
  bc::Outcome o;
  o.id = result.request;
  o.attempt = result.attempt;
  o.member = member(now, result.server);
  o.status = status_of(result.outcome);
  o.taken = result.taken;
  o.closed = result.closed;
  o.role = role_of(result.role);
  if (result.position_unix_ms && *result.position_unix_ms > 0)
    o.position = clock_.known(*result.position_unix_ms);
  o.report = load_report(result.load);
  if (result.closed) attempts_.erase(result.request);
  pending_.emplace_back(std::move(o));
}

void DecisionFacade::report(Micros now, const ProbeResult& result) {
  bc::ProbeResult p;
  p.member = member(now, result.server);
  p.ok = result.ok;
  p.taken = result.taken;
  p.report = load_report(result.load);
  pending_.emplace_back(std::move(p));
}

void DecisionFacade::on_client_disconnected(Micros now, RequestId request) {
  attempts_.erase(request);
  pending_.emplace_back(bc::ClientGone{request});
  std::erase_if(decided_, [&](auto& d) {
    if (d.request != request || d.kind == Decision::Kind::kProbe) return false;
    // A send that was decided but never fetched would count as in flight at its server for ever.
    if (d.kind == Decision::Kind::kSend) {
      bc::Outcome never;
      never.id = request;
      never.attempt = d.attempt;
      never.member = member(now, d.server);
      never.status = bc::Status::kNotStarted;
      never.closed = true;
      pending_.emplace_back(std::move(never));
    }
    return true;
  });
}

void DecisionFacade::plan(Micros, bc::Plan plan) { pending_.emplace_back(std::move(plan)); }

double DecisionFacade::spare_capacity(const std::string& server) const {
  auto it = numbers_.find(server);
  return it == numbers_.end() ? 0 : router_.room(it->second);
}

void DecisionFacade::submit(Micros now, const Request& request) {
  bc::Request r;
  r.id = request.id;
  r.request_class = request.request_class;
  r.group = request.shard_group;
  r.key = request.session;
  r.expires = request.expires;
  r.retry = request.is_retry;
  // An age of 0 would say that the session has written nothing: the youngest write is 1 us old.
  if (request.after_unix_ms) r.write_age = std::max(Micros(1), now - clock_.required(*request.after_unix_ms));
  attempts_[request.id] = 0;
  pending_.emplace_back(std::move(r));
}

Decision DecisionFacade::pick(Micros now, const Request& request) {
  submit(now, request);
  flush(now);
  for (auto it = decided_.begin(); it != decided_.end(); ++it)
    if (it->request == request.id && it->kind != Decision::Kind::kProbe) {
      auto decision = std::move(*it);
      decided_.erase(it);
      return decision;
    }
  Decision hold;
  hold.request = request.id;
  return hold;
}

TickResult DecisionFacade::tick(Micros now) {
  std::erase_if(timers_, [&](auto& timer) {
    if (timer.first > now) return false;
    pending_.emplace_back(bc::TimerFired{timer.second});
    return true;
  });
  flush(now);
  TickResult ticked;
  ticked.decisions = std::move(decided_);
  decided_.clear();
  for (auto& timer : timers_)
    if (!ticked.next_due || timer.first < *ticked.next_due) ticked.next_due = timer.first;
  return ticked;
}

void DecisionFacade::flush(Micros now) {
  if (pending_.empty()) return;
  take(now, router_.handle(now, pending_));
  pending_.clear();
}

void DecisionFacade::take(Micros now, std::vector<bc::Action> actions) {
  for (auto& action : actions) {
    Decision d;
    if (auto* send = std::get_if<bc::Send>(&action)) {
      d.kind = Decision::Kind::kSend;
      d.request = send->id;
      d.attempt = attempts_[send->id]++;
      d.server = servers_[send->member].name;
      d.timeout = send->timeout;
      d.start_within = send->start_within;
    } else if (auto* cancel = std::get_if<bc::Cancel>(&action)) {
      d.kind = Decision::Kind::kCancel;
      d.request = cancel->id;
      d.attempt = cancel->attempt;
    } else if (auto* reject = std::get_if<bc::Reject>(&action)) {
      d.kind = Decision::Kind::kReject;
      d.request = reject->id;
      d.retry_after = reject->retry_after;
      attempts_.erase(reject->id);
    } else if (auto* fail = std::get_if<bc::Fail>(&action)) {
      d.kind = Decision::Kind::kFail;
      d.request = fail->id;
      attempts_.erase(fail->id);
    } else if (auto* probe = std::get_if<bc::Probe>(&action)) {
      d.kind = Decision::Kind::kProbe;
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

}  // namespace database_proxy::routing
