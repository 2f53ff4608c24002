#include "proxy/dispatcher.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace database_proxy::proxy {
namespace {

using namespace std::chrono_literals;
using Kind = routing::Decision::Kind;

// The decision module ends each request before it expires. If it should fail to, the client still gets its
// one answer, this time after the deadline, which is before the client gives up.
constexpr Micros kGuardDelay = 5ms;
// Retry-After for requests rejected because the queue to the decision module is full: by then the queued
// requests have been decided or have ended.
constexpr Micros kQueueFullRetryAfter = 200ms;
// A requested load report is normally measured and disseminated within about 60 ms.
constexpr Micros kLoadReportDelay = 100ms;
// Limit on the number of attempts of a request.
constexpr int kMaxAttempts = 8;
// Tolerated excess of an attempt's timeout over the time that its client still waits.
constexpr Micros kTimeoutSlack = 150ms;
// Tolerance for socket delays, which the testbench's checkers allow on top of their limits.
constexpr Micros kSocketSlack = 50ms;
constexpr Micros kDiscardedAnswerLogInterval = 1s;
// A read that is sent later than this after its arrival has waited for a replica.
constexpr Micros kWaitThreshold = 5ms;

}  // namespace

Dispatcher::Dispatcher(net::Loop& loop, routing::Decider& decider, PoolLimits limits, const net::Log& log,
                       SiblingWorkers* siblings, RequestId first, RequestId step)
    : loop_(loop),
      decider_(decider),
      siblings_(siblings),
      log_(log),
      invariants_(loop, log),
      pool_(loop, limits, *this, log, siblings),
      next_id_(first),
      id_step_(step) {}

Dispatcher::~Dispatcher() = default;

void Counters::add(const Counters& other) {
  accepted += other.accepted;
  served += other.served;
  rejected += other.rejected;
  failed += other.failed;
  disconnected += other.disconnected;
  sends += other.sends;
  probes += other.probes;
  broken_invariants += other.broken_invariants;
}

std::string Counters::summary() const {
  return fmt::format(
      "stopped: taken {}, served {}, refused {}, failed {}, gone {}, sends {}, probes {}, broken invariants "
      "{}",
      accepted, served, rejected, failed, disconnected, sends, probes, broken_invariants);
}

Counters Dispatcher::counters() const {
  auto counters = counters_;
  counters.broken_invariants = invariants_.violations();
  return counters;
}

void Dispatcher::update_endpoints(discovery::EndpointListUpdate update, bool cached) {
  endpoint_updates_.emplace_back(std::move(update), cached);
}

RequestId Dispatcher::submit(ClientPort* client, routing::Request request, std::string_view name) {
  if (may_have_run_before(name, request.effect)) return 0;
  if (siblings_ ? !siblings_->reserve_request_name(name) : open_names_.count(name) > 0) return 0;
  request.id = std::exchange(next_id_, next_id_ + id_step_);
  request.expires = std::min(request.expires, latest_deadline_);
  ++counters_.accepted;
  auto guard_timer = loop_.at(request.expires + kGuardDelay, [this, id = request.id] { on_guard_timer(id); });
  auto& open = open_[request.id] = {client, guard_timer, std::string(name), loop_.now()};
  open.expires = request.expires;
  open.is_repeatable = request.is_repeatable;
  open.effect = request.effect;
  if (observer_) observer_->submitted(request);
  if (!siblings_) open_names_.insert(open.name);  // map nodes have stable addresses
  new_requests_.push_back(request);
  return request.id;
}

bool Dispatcher::may_have_run_before(std::string_view name, request_router::Effect effect) const {
  bool is_remembered = effects_ && effect != request_router::Effect::kPure;
  return is_remembered && effects_->contains(name, loop_.now());
}

// Remembers a write that is about to be sent for the first time. Returns false if another request of its name
// has been sent meanwhile, by another worker or process.
bool Dispatcher::record_effect(OpenRequest& open) {
  bool is_remembered = effects_ && open.effect != request_router::Effect::kPure;
  if (!is_remembered || open.is_recorded) return true;
  open.is_recorded = effects_->record(open.name, loop_.now());
  return open.is_recorded;
}

// Called before a request is closed with an answer that tells its client whether it has run.
void Dispatcher::forget_effect(RequestId request) {
  auto it = open_.find(request);
  if (it != open_.end() && it->second.is_recorded) effects_->forget(it->second.name, loop_.now());
}

ClientPort* Dispatcher::close(RequestId request) {
  auto it = open_.find(request);
  if (it == open_.end()) return nullptr;
  auto* client = it->second.client;
  loop_.cancel(&it->second.guard_timer);
  if (siblings_)
    siblings_->release_request_name(it->second.name);
  else
    open_names_.erase(it->second.name);
  open_.erase(it);
  return client;
}

void Dispatcher::abandon(RequestId request) {
  if (!close(request)) return;
  ++counters_.disconnected;
  if (erase_undecided(request)) return;
  abandoned_.push_back(request);
  pool_.cancel(request);
}

// Removes a request that was not submitted for a decision. Returns false if it was.
bool Dispatcher::erase_undecided(RequestId request) {
  auto is_same = [request](auto& undecided) { return undecided.id == request; };
  return std::erase_if(new_requests_, is_same) + std::erase_if(awaiting_presence_, is_same) > 0;
}

void Dispatcher::on_guard_timer(RequestId request) {
  if (erase_undecided(request)) return reject_undecided(request);
  log_(net::Level::kError, fmt::format("request {} had no decision by its deadline", request));
  auto* client = close(request);
  if (!client) return;
  ++counters_.failed;
  abandoned_.push_back(request);
  pool_.cancel(request);
  client->fail("no answer in time");
}

void Dispatcher::end_open_requests() {
  // Answers that have arrived in this iteration are passed on first.
  for (auto& end : std::exchange(attempt_ends_, {})) finish_attempt(end);
  std::vector<RequestId> all;
  all.reserve(open_.size());
  for (auto& [request, open] : open_) all.push_back(request);
  for (auto request : all) end_at_shutdown(request);
}

void Dispatcher::end_at_shutdown(RequestId request) {
  auto it = open_.find(request);
  if (it == open_.end()) return;
  bool is_rejected = may_reject(it->second);
  if (is_rejected) forget_effect(request);
  auto* client = close(request);
  if (!erase_undecided(request)) {
    abandoned_.push_back(request);
    pool_.cancel(request);
  }
  ++(is_rejected ? counters_.rejected : counters_.failed);
  is_rejected ? client->reject_at_shutdown() : client->fail("the proxy is shutting down; this may have run");
}

bool Dispatcher::may_reject(const OpenRequest& open) {
  return request_router::may_reject_at_shutdown(open.effect, open.may_have_run || open.is_sent);
}

void Dispatcher::attempt_ended(AttemptEnd end) { attempt_ends_.push_back(std::move(end)); }
void Dispatcher::probe_ended(routing::ProbeResult result) {
  if (logs_decisions_)
    log_(net::Level::kDebug, fmt::format("probe of {}: {}", result.server,
                                         result.ok ? std::string_view(result.load_report) : "no answer"));
  if (load_reports_) load_reports_->on_contact(result.server, result.ok);
  if (siblings_ && result.ok) siblings_->share_probe_result(result);
  if (observer_) observer_->probed(result);
  probe_results_.push_back(std::move(result));
}

void Dispatcher::on_load_report(routing::ProbeResult report, Micros age) {
  if (load_reports_ && load_reports_->record(loop_.now(), report, age))
    probe_results_.push_back(std::move(report));
}

ClientPort* Dispatcher::client_of(RequestId request) {
  auto it = open_.find(request);
  return it == open_.end() ? nullptr : it->second.client;
}

// Measures as the testbench's checkers do: delays of the sockets do not count as the proxy's.
void Dispatcher::check_in_service(RequestId request, const std::string& server) {
  auto since = servers_out_of_service_.since(server);
  if (!since || drain_grace_.count() == 0) return;
  auto elapsed = net::monotonic_now() - *since;
  invariants_.check(elapsed <= drain_grace_ + kSocketSlack, Invariant::kSentWhileOutOfService, [&] {
    return fmt::format("request {} to {}, {} ms after the first notice", request, server, elapsed / 1ms);
  });
}

void Dispatcher::attempt_begins(RequestId request, const std::string& server) {
  check_in_service(request, server);
  auto it = open_.find(request);
  auto detail = [&] { return fmt::format("request {}", request); };
  invariants_.check(it != open_.end(), Invariant::kSendWithoutClient, detail);
  if (it == open_.end()) return;
  it->second.is_sent = true;
  bool is_in_time = loop_.now() <= it->second.expires + kTimeoutSlack;
  invariants_.check(is_in_time, Invariant::kTimeoutTooLong, detail);
}

// A request of any class may be retried after an attempt that cannot have run.
void Dispatcher::record_end(const routing::AttemptResult& result) {
  using Outcome = routing::AttemptOutcome;
  auto it = open_.find(result.request);
  if (it == open_.end()) return;
  auto outcome = result.outcome;
  it->second.is_in_flight = false;
  it->second.is_sent = false;
  it->second.may_have_run |= outcome == Outcome::kError || outcome == Outcome::kReset ||
                             outcome == Outcome::kTimedOut || outcome == Outcome::kCancelled;
}

// Checks the invariants that every decision to send must satisfy.
void Dispatcher::check_send(const routing::Decision& decision, const OpenRequest& open) {
  auto detail = [&] {
    return fmt::format("request {} ('{}'), attempt {}, to {}", decision.request, open.name, open.attempts + 1,
                       decision.server);
  };
  invariants_.check(!open.is_in_flight, Invariant::kSecondAttemptInFlight, detail);
  invariants_.check(open.attempts < kMaxAttempts, Invariant::kTooManyAttempts, detail);
  invariants_.check(open.is_repeatable || !open.may_have_run, Invariant::kUnsafeRepeat, detail);
  bool is_in_time = loop_.now() + decision.timeout <= open.expires + kTimeoutSlack;
  invariants_.check(is_in_time, Invariant::kTimeoutTooLong, detail);
}

void Dispatcher::finish_attempt(AttemptEnd& end) {
  record_end(end.result);
  if (end.answer) {
    pass_on(end);
    pool_.release(end.connection);
  }
  if (end.lacks_memory) discard_answer(end.result.request);
  if (load_reports_) load_reports_->on_contact(end.result.server, end.result.outcome);
  if (observer_) observer_->ended(end.result);
  // A request that is no longer open here has already ended, whatever the outcome of this attempt.
  end.result.closed = open_.count(end.result.request) == 0;
  decider_.report(loop_.now(), std::move(end.result));
}

void Dispatcher::pass_on(const AttemptEnd& end) {
  auto* client = client_of(end.result.request);
  if (!client) return;
  if (!client->has_memory_for(*end.answer)) return discard_answer(end.result.request);
  forget_effect(end.result.request);
  close(end.result.request);
  ++counters_.served;
  client->serve(*end.answer);
}

// Answers a request whose answer there is no memory for.
void Dispatcher::discard_answer(RequestId request) {
  auto it = open_.find(request);
  if (it == open_.end()) return;
  bool is_rejected = request_router::may_reject_after_answer(it->second.effect);
  auto* client = close(request);
  ++discarded_answers_;
  if (loop_.now() >= discarded_answer_logged_at_ + kDiscardedAnswerLogInterval) {
    discarded_answer_logged_at_ = loop_.now();
    log_(net::Level::kWarning,
         fmt::format("no memory is left for long answers: {} given up since the last such line",
                     std::exchange(discarded_answers_, 0)));
  }
  ++(is_rejected ? counters_.rejected : counters_.failed);
  is_rejected ? client->reject(Micros(0)) : client->fail("no memory is left for the answer; this has run");
}

// Rejects a request that cannot be decided in time, because the queue to the decision module is full or the
// process ends before. Nothing of it has run.
void Dispatcher::reject_undecided(RequestId request) {
  auto* client = close(request);
  ++counters_.rejected;
  client->reject(kQueueFullRetryAfter);
}

// Logs a decision under the request name that clients and data servers use.
void Dispatcher::log_decision(const routing::Decision& decision) const {
  auto open = open_.find(decision.request);
  if (open == open_.end()) return;
  auto& name = open->second.name;
  if (decision.kind == Kind::kSend)
    log_(net::Level::kDebug, fmt::format("request '{}' attempt {} to {}: {}", name, decision.attempt + 1,
                                         decision.server, decision.reason));
  if (decision.kind == Kind::kReject || decision.kind == Kind::kFail)
    log_(net::Level::kDebug, fmt::format("request '{}' {} after {} attempts: {}", name,
                                         decision.kind == Kind::kReject ? "rejected" : "failed",
                                         open->second.attempts, decision.reason));
}

void Dispatcher::carry_out(const routing::Decision& decision) {
  if (logs_decisions_) log_decision(decision);
  switch (decision.kind) {
    case Kind::kPostpone:
      return;
    case Kind::kSend:
      return send(decision);
    case Kind::kReject:
      forget_effect(decision.request);
      if (auto* client = close(decision.request)) {
        ++counters_.rejected;
        client->reject(decision.retry_after);
      }
      return;
    case Kind::kFail:
      if (auto* client = close(decision.request)) {
        ++counters_.failed;
        client->fail("no data server could serve this request");
      }
      return;
    case Kind::kCancel:
      if (end_held_attempt(decision)) return;
      return pool_.cancel(decision.request, decision.attempt);
    case Kind::kProbe:
      return probe_or_use_report(decision.server);
  }
}

// Uses a fresh load report, collected by one process for all proxies, in place of a probe. If a report may be
// on its way, the probe is delayed to wait for it, since hundreds of proxies would probe at the same time.
void Dispatcher::probe_or_use_report(const std::string& server) {
  if (!load_reports_) return probe(server);
  if (auto report = load_reports_->find_fresh(loop_.now(), server))
    return probe_results_.push_back(std::move(*report));
  on_load_report_wanted_(server);
  bool may_be_on_its_way = expects_load_reports_ && !load_reports_->is_distrusted(server);
  if (!may_be_on_its_way) return probe(server);
  loop_.at(loop_.now() + kLoadReportDelay, [this, server] {
    if (!load_reports_->find_fresh(loop_.now(), server)) probe(server);
  });
}

void Dispatcher::probe(const std::string& server) {
  ++counters_.probes;
  pool_.probe(server);
}

// Starts the attempt, unless its request is over: a decision made in another thread may arrive after the
// request has ended here, and the client may have disconnected while the request waited.
void Dispatcher::send(const routing::Decision& decision) {
  auto* client = client_of(decision.request);
  if (decision.stale || !client) return end_unsent(decision);
  auto presence = client->presence();
  if (presence == ClientPresence::kUnknown) return hold(decision);
  if (presence == ClientPresence::kGone) return end_unsent(decision);
  auto& open = open_.at(decision.request);
  if (!record_effect(open)) {
    counters_.failed += 1;
    close(decision.request)->fail("a request with this id may have run");
    return end_unsent(decision);
  }
  ++counters_.sends;
  check_send(decision, open);
  ++open.attempts;
  open.is_in_flight = true;
  if (observer_) observer_->sent(decision, loop_.now() - open_.at(decision.request).since > kWaitThreshold);
  pool_.start(decision.request, decision.attempt, decision.server, decision.timeout,
              {.start_within = decision.start_within,
               .arrive_within = decision.arrive_within,
               .fresh_within = decision.fresh_within});
}

void Dispatcher::end_unsent(const routing::Decision& decision) {
  AttemptEnd unsent;
  unsent.result.request = decision.request;
  unsent.result.attempt = decision.attempt;
  unsent.result.server = decision.server;
  unsent.result.outcome = routing::AttemptOutcome::kNotSent;
  attempt_ends_.push_back(std::move(unsent));
}

void Dispatcher::hold(const routing::Decision& decision) {
  if (logs_decisions_)
    log_(net::Level::kDebug, fmt::format("request '{}' attempt {} waits for a sign of its client",
                                         open_.at(decision.request).name, decision.attempt + 1));
  held_attempts_.push_back({decision, loop_.now()});
}

// Sends the attempts whose clients are known to be connected by now. The limits of their decisions were
// counted from the time at which they were held.
void Dispatcher::resume_held_attempts() {
  for (auto& held : std::exchange(held_attempts_, {})) {
    auto& decision = held.decision;
    auto waited = loop_.now() - held.since;
    bool is_over = false;
    for (auto* limit :
         {&decision.timeout, &decision.start_within, &decision.arrive_within, &decision.fresh_within}) {
      is_over = is_over || *limit <= waited;
      if (*limit != Micros::max()) *limit -= waited;
    }
    is_over ? end_unsent(decision) : send(decision);
  }
}

// Returns false if the attempt is not held.
bool Dispatcher::end_held_attempt(const routing::Decision& cancellation) {
  auto is_cancelled = [&](auto& held) {
    return held.decision.request == cancellation.request && held.decision.attempt == cancellation.attempt;
  };
  auto held = std::find_if(held_attempts_.begin(), held_attempts_.end(), is_cancelled);
  if (held == held_attempts_.end()) return false;
  end_unsent(held->decision);
  held_attempts_.erase(held);
  return true;
}

void Dispatcher::submit_new_requests() {
  for (auto& request : std::exchange(new_requests_, {}))
    if (open_.count(request.id) > 0) submit_if_present(request);
}

// Submits a request for a decision, or lets it wait until its client is known to be connected. One that waits
// takes no place at a server, and is rejected at the end of its time.
void Dispatcher::submit_if_present(const routing::Request& request) {
  auto now = loop_.now();
  if (request.expires <= now) return reject_undecided(request.id);
  auto& open = open_.at(request.id);
  switch (open.client->presence()) {
    case ClientPresence::kGone:
      return;
    case ClientPresence::kUnknown:
      if (logs_decisions_ && open.since == now)
        log_(net::Level::kDebug, fmt::format("request '{}' waits for a sign of its client", open.name));
      return awaiting_presence_.push_back(request);
    case ClientPresence::kConnected:
      if (!decider_.submit(now, request)) reject_undecided(request.id);
  }
}

void Dispatcher::on_iteration_end() {
  auto now = loop_.now();
  std::optional<Micros> next_due;
  pool_.start_ready_attempts();
  resume_held_attempts();
  std::swap(awaiting_presence_, new_requests_);
  new_requests_.insert(new_requests_.end(), awaiting_presence_.begin(), awaiting_presence_.end());
  awaiting_presence_.clear();
  // Carrying out a decision may produce results at once, such as a refused connection. The number of attempts
  // is limited, so the loop terminates.
  do {
    for (auto& [update, cached] : std::exchange(endpoint_updates_, {})) {
      pool_.update(update);
      servers_out_of_service_.update(now, update);
      if (load_reports_ && update.reset) load_reports_->retain_listed(update.endpoints);
      decider_.update(now, update, cached);
    }
    for (auto& end : std::exchange(attempt_ends_, {})) finish_attempt(end);
    for (auto& probe : std::exchange(probe_results_, {})) decider_.report(now, std::move(probe));
    for (auto request : std::exchange(abandoned_, {})) decider_.on_client_disconnected(now, request);
    submit_new_requests();
    auto ticked = decider_.collect(now);
    for (auto& decision : ticked.decisions) carry_out(decision);
    next_due = ticked.next_due;
  } while (!endpoint_updates_.empty() || !attempt_ends_.empty() || !probe_results_.empty() ||
           !abandoned_.empty() || !new_requests_.empty());
  pool_.free_closed();
  loop_.cancel(&due_timer_);
  if (next_due)
    due_timer_ = loop_.at(*next_due, [] {});  // the wake-up suffices: on_iteration_end does the work
}

}  // namespace database_proxy::proxy
