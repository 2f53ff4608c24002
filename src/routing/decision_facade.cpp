#include "routing/decision_facade.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "request_router/settings.h"

namespace database_proxy::routing {
namespace {

namespace router = request_router;

// Longer than any request can last after its server has left the list, so that no result can name a server
// that was already removed here.
constexpr Micros kForgetServerAfter = std::chrono::seconds(90);
// A position in a load report beyond this, in Unix seconds, is not a valid time.
constexpr double kLatestUnixSeconds = 9e9;
constexpr double kMicrosPerSecond = 1e6;
// The smallest age and the earliest start time that the module's events can express: 0 means none there.
constexpr Micros kMinTime{1};

router::Status status_of(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kServed:
      return router::Status::kSuccess;
    case AttemptOutcome::kDeclined:
      return router::Status::kDeclined;
    case AttemptOutcome::kError:
      return router::Status::kFailure;
    case AttemptOutcome::kRejected:
      return router::Status::kOverloaded;
    case AttemptOutcome::kNoConnection:
      return router::Status::kUnreachable;
    case AttemptOutcome::kReset:
      return router::Status::kBroken;
    case AttemptOutcome::kTimedOut:
      return router::Status::kTimedOut;
    case AttemptOutcome::kCancelled:
      return router::Status::kCancelled;
    case AttemptOutcome::kNotSent:
      return router::Status::kNotStarted;
  }
  return router::Status::kFailure;
}

router::Role role_of(ServerRole role) {
  switch (role) {
    case ServerRole::kPrimary:
      return router::Role::kPrimary;
    case ServerRole::kReplica:
      return router::Role::kReplica;
    case ServerRole::kUnknown:
      return router::Role::kUnknown;
  }
  return router::Role::kUnknown;
}

router::Condition condition_of(discovery::Lifecycle lifecycle) {
  switch (lifecycle) {
    case discovery::Lifecycle::kUp:
      return router::Condition::kReady;
    case discovery::Lifecycle::kDraining:
      return router::Condition::kDraining;
    case discovery::Lifecycle::kRemoved:
      return router::Condition::kGone;
  }
  return router::Condition::kGone;
}

std::string_view describe(router::SendReason reason) {
  switch (reason) {
    case router::SendReason::kKnownPrimary:
      return "it is the primary";
    case router::SendReason::kDrainingPrimary:
      return "it is the primary, draining within its grace period";
    case router::SendReason::kPrimaryTrial:
      return "no primary is known, and it may be the primary";
    case router::SendReason::kReplica:
      return "a replica with the lowest cost";
    case router::SendReason::kReadAtPrimary:
      return "the primary, because no replica can serve the read in time";
  }
  return "";
}

std::string_view describe(router::GiveUpReason reason) {
  switch (reason) {
    case router::GiveUpReason::kUnknownGroup:
      return "no server of its shard group is known";
    case router::GiveUpReason::kBeyondPlan:
      return "it exceeds the zones' shares in the placement plan";
    case router::GiveUpReason::kCannotMeetDeadline:
      return "it cannot be answered in time";
  }
  return "";
}

router::ListKind kind_of(const discovery::EndpointListUpdate& list, bool cached) {
  if (cached) return router::ListKind::kCached;
  return list.reset ? router::ListKind::kFull : router::ListKind::kDelta;
}

}  // namespace

DecisionFacade::DecisionFacade(router::Settings settings, std::uint64_t seed, UnixClock clock,
                               std::function<void(const std::string&)> log)
    : settings_(settings), router_(std::move(settings), seed), clock_(clock), log_(std::move(log)) {
  for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
    auto& request_class = settings_.classes[i];
    RequestClassInfo info;
    info.index = i;
    info.is_write = request_class.level == router::ReadLevel::kWrite;
    info.needs_key = request_class.effect == router::Effect::kKeyed;
    info.effect = request_class.effect;
    info.is_repeatable = request_class.effect != router::Effect::kUnsafe;
    info.has_session = info.is_write || request_class.level == router::ReadLevel::kSession;
    classes_[request_class.name] = info;
  }
}

const RequestClassInfo* DecisionFacade::find_class(std::string_view name) const {
  auto it = classes_.find(std::string(name));
  return it == classes_.end() ? nullptr : &it->second;
}

router::MemberId DecisionFacade::find_or_add_member(Micros now, const std::string& server) {
  auto [it, is_new] = member_ids_.try_emplace(server, next_member_);
  if (is_new) servers_[next_member_++].name = server;
  servers_[it->second].last_seen = now;
  return it->second;
}

router::MemberEntry DecisionFacade::to_entry(Micros now, const discovery::Endpoint& endpoint) {
  router::MemberEntry entry;
  entry.member = find_or_add_member(now, endpoint.id);
  entry.group = endpoint.shard_group;
  entry.zone = endpoint.zone;
  entry.condition = condition_of(endpoint.lifecycle);
  entry.weight = endpoint.weight;
  entry.notified_at = endpoint.notified_at;
  // 0 means long ago, so a known start time is kept above 0 even if this machine booted after it.
  if (endpoint.started_at_ms > 0)
    entry.started_at = std::max(kMinTime, clock_.start(endpoint.started_at_ms, now));
  entry.started_at = std::max(entry.started_at, endpoint.uncordoned_at);
  return entry;
}

void DecisionFacade::update(Micros now, const discovery::EndpointListUpdate& list, bool cached) {
  if (list.reset)
    for (auto& [id, server] : servers_) server.is_up = server.is_listed = false;
  router::MemberList members;
  members.kind = kind_of(list, cached);
  for (auto& endpoint : list.endpoints) {
    members.entries.push_back(to_entry(now, endpoint));
    auto& server = servers_[members.entries.back().member];
    server.is_up = endpoint.lifecycle == discovery::Lifecycle::kUp;
    server.is_listed = endpoint.lifecycle != discovery::Lifecycle::kRemoved;
    server.listed_as = endpoint;
  }
  usable_servers_ = static_cast<std::size_t>(
      std::count_if(servers_.begin(), servers_.end(), [](auto& entry) { return entry.second.is_up; }));
  pending_events_.emplace_back(std::move(members));
  forget_old_servers(now);
}

// Servers are replaced by new ones continually. The module forgets them earlier than this facade does.
void DecisionFacade::forget_old_servers(Micros now) {
  std::erase_if(servers_, [&](auto& entry) {
    auto& server = entry.second;
    bool is_old = !server.is_listed && now - server.last_seen > kForgetServerAfter;
    if (is_old) member_ids_.erase(server.name);
    return is_old;
  });
}

// Parses a load report such as "inflight=7,util=0.61"; colons may replace the equals signs. Unknown names are
// ignored.
router::Report DecisionFacade::parse_load_report(Micros now, std::string_view text, Micros duration) {
  router::Report report;
  std::optional<Micros> unix_position;
  for (auto field : router::split_at(text, ',')) {
    auto separator = field.find_first_of("=:");
    if (separator == std::string_view::npos) continue;
    auto name = field.substr(0, separator);
    auto value = router::to_number(field.substr(separator + 1));
    if (!value) continue;
    if (name == "x0" && *value > 0 && *value < kLatestUnixSeconds)
      unix_position = Micros(static_cast<std::int64_t>(std::floor(*value * kMicrosPerSecond)));
    if (name == "x1") report.primary = *value == 1;
    if (name == "util" || name == "busy") report.busy = *value;
    if (name == "rif" || name == "inflight") report.in_flight = *value;
  }
  if (!unix_position) return report;
  bool is_primary = report.primary.value_or(false);
  if (is_primary) clock_.on_primary_report(*unix_position, now - duration, now);
  report.position = clock_.position(*unix_position, now, is_primary);
  return report;
}

void DecisionFacade::report(Micros now, const AttemptResult& result) {
  router::Outcome outcome;
  outcome.id = result.request;
  outcome.attempt = result.attempt;
  outcome.member = find_or_add_member(now, result.server);
  outcome.status = status_of(result.outcome);
  outcome.taken = result.duration;
  outcome.closed = result.closed;
  outcome.role = role_of(result.role);
  if (result.position_unix_ms && *result.position_unix_ms > 0) {
    Micros unix_position = ServerClock::to_micros(*result.position_unix_ms);
    bool is_primary = result.role == ServerRole::kPrimary;
    bool proves_time = is_primary && result.outcome == AttemptOutcome::kServed;
    if (proves_time) clock_.on_primary_position(unix_position, now - result.duration, now);
    outcome.position = clock_.position(unix_position, now, is_primary);
  }
  outcome.report = parse_load_report(now, result.load_report, result.duration);
  if (result.closed) attempts_.erase(result.request);
  pending_events_.emplace_back(outcome);
}

void DecisionFacade::report(Micros now, const ProbeResult& result) {
  router::ProbeResult probe;
  probe.member = find_or_add_member(now, result.server);
  probe.ok = result.ok;
  probe.taken = result.duration;
  probe.report = parse_load_report(now, result.load_report, result.duration);
  pending_events_.emplace_back(probe);
}

void DecisionFacade::on_client_disconnected(Micros now, RequestId request) {
  attempts_.erase(request);
  pending_events_.emplace_back(router::ClientGone{request});
  std::erase_if(decisions_, [&](auto& decision) {
    if (decision.request != request || decision.kind == Decision::Kind::kProbe) return false;
    if (decision.kind == Decision::Kind::kSend) withdraw_decision(now, decision);
    return true;
  });
}

// Reports a send that was decided but never returned to the caller as not started. Otherwise it would count
// as in flight at its server forever.
void DecisionFacade::withdraw_decision(Micros now, const Decision& decision) {
  router::Outcome outcome;
  outcome.id = decision.request;
  outcome.attempt = decision.attempt;
  outcome.member = find_or_add_member(now, decision.server);
  outcome.status = router::Status::kNotStarted;
  outcome.closed = true;
  pending_events_.emplace_back(outcome);
}

void DecisionFacade::plan(Micros, router::Plan plan) { pending_events_.emplace_back(std::move(plan)); }

void DecisionFacade::share_sessions(Micros now, bool is_shared) { router_.share_sessions(now, is_shared); }

double DecisionFacade::spare_capacity(const std::string& server) const {
  auto it = member_ids_.find(server);
  return it == member_ids_.end() ? 0 : router_.surplus_capacity(it->second);
}

void DecisionFacade::submit(Micros now, const Request& request) {
  router::Request submitted;
  submitted.id = request.id;
  submitted.request_class = request.request_class;
  submitted.group = request.shard_group;
  submitted.key = request.session;
  submitted.expires = request.expires;
  submitted.retry = request.is_retry;
  // An age of 0 would mean that the session has not written anything.
  if (request.after_unix_ms)
    submitted.write_age = std::max(kMinTime, now - clock_.required(*request.after_unix_ms));
  attempts_[request.id] = 0;
  pending_events_.emplace_back(submitted);
}

Decision DecisionFacade::pick(Micros now, const Request& request) {
  submit(now, request);
  flush(now);
  auto is_for_request = [&](auto& decision) {
    return decision.request == request.id && decision.kind != Decision::Kind::kProbe;
  };
  auto it = std::find_if(decisions_.begin(), decisions_.end(), is_for_request);
  if (it == decisions_.end()) {
    Decision postponed;
    postponed.request = request.id;
    return postponed;
  }
  auto decision = std::move(*it);
  decisions_.erase(it);
  return decision;
}

// Reads the wall clock. If the distance between the clocks has changed, the servers' start times are
// converted again.
void DecisionFacade::read_clock(Micros now) {
  clock_.read_local_clock(now);
  if (std::exchange(clock_version_, clock_.version()) == clock_.version()) return;
  log_("the clock offset of the data servers has changed; their start times are converted again");
  router::MemberList members;
  members.kind = router::ListKind::kDelta;
  for (auto& [id, server] : servers_)
    if (server.is_listed && server.listed_as) members.entries.push_back(to_entry(now, *server.listed_as));
  if (!members.entries.empty()) pending_events_.emplace_back(std::move(members));
}

TickResult DecisionFacade::tick(Micros now) {
  read_clock(now);
  std::erase_if(timers_, [&](auto& timer) {
    if (timer.due > now) return false;
    pending_events_.emplace_back(router::TimerFired{timer.key});
    return true;
  });
  flush(now);
  TickResult result;
  result.decisions = std::exchange(decisions_, {});
  for (auto& timer : timers_)
    if (!result.next_due || timer.due < *result.next_due) result.next_due = timer.due;
  return result;
}

void DecisionFacade::flush(Micros now) {
  if (pending_events_.empty()) return;
  for (auto& action : router_.handle(now, pending_events_)) carry_out(now, action);
  pending_events_.clear();
}

void DecisionFacade::carry_out(Micros now, const router::Action& action) {
  Decision decision;
  if (auto* send = std::get_if<router::Send>(&action)) {
    decision.kind = Decision::Kind::kSend;
    decision.request = send->id;
    decision.attempt = attempts_[send->id]++;
    decision.server = servers_[send->member].name;
    decision.timeout = send->timeout;
    decision.start_within = send->start_within;
    decision.arrive_within = send->arrive_within;
    decision.fresh_within = send->fresh_within;
    decision.reason = describe(send->reason);
  } else if (auto* cancel = std::get_if<router::Cancel>(&action)) {
    decision.kind = Decision::Kind::kCancel;
    decision.request = cancel->id;
    decision.attempt = cancel->attempt;
  } else if (auto* reject = std::get_if<router::Reject>(&action)) {
    decision.kind = Decision::Kind::kReject;
    decision.request = reject->id;
    decision.retry_after = reject->retry_after;
    decision.reason = describe(reject->reason);
    attempts_.erase(reject->id);
  } else if (auto* fail = std::get_if<router::Fail>(&action)) {
    decision.kind = Decision::Kind::kFail;
    decision.request = fail->id;
    decision.reason = describe(fail->reason);
    attempts_.erase(fail->id);
  } else if (auto* probe = std::get_if<router::Probe>(&action)) {
    decision.kind = Decision::Kind::kProbe;
    decision.server = servers_[probe->member].name;
  } else {
    // Subscribe needs no action: the watch on discovery is always open.
    if (auto* timer = std::get_if<router::SetTimer>(&action))
      timers_.push_back({now + timer->after, timer->key});
    if (auto* log = std::get_if<router::Log>(&action)) log_(log->text);
    return;
  }
  decisions_.push_back(std::move(decision));
}

}  // namespace database_proxy::routing
