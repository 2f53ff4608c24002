#include "proxy/dispatcher.h"

#include <fmt/format.h>

#include <utility>

namespace database_proxy::proxy {
namespace {

using namespace std::chrono_literals;
using Kind = routing::Decision::Kind;

// The module ends each request by itself before it expires. Should that ever fail, the client still gets its
// one answer: this long after, which is before it gives up.
constexpr Micros kGuard = 5ms;
// A client turned away since the way to the decisions is full: by then what filled it has been decided or has
// ended.
constexpr Micros kComeBackFull = 200ms;
// A wanted report is measured and disseminated within some 60 ms where nothing is amiss.
constexpr Micros kLoadReportDelay = 100ms;
// Over all attempts of a request.
constexpr int kMostAttempts = 8;
// What a server may be told beyond what its client still waits.
constexpr Micros kTimeoutSlack = 150ms;
// What the rules allow beyond their limits on sockets.
constexpr Micros kSocketSlack = 50ms;
// A read that was sent so long after it came waited for a replica.
constexpr Micros kWaited = 5ms;

}  // namespace

Dispatcher::Dispatcher(net::Loop& loop, routing::Decider& decider, PoolLimits limits, const net::Log& log,
                       SiblingWorkers* siblings, RequestId first, RequestId step)
    : loop_(loop),
      decider_(decider),
      siblings_(siblings),
      log_(log),
      invariants_(loop, log),
      pool_(loop, limits, *this, log, siblings),
      next_(first),
      step_(step) {}

Dispatcher::~Dispatcher() = default;

void Counters::add(const Counters& other) {
  taken += other.taken;
  served += other.served;
  refused += other.refused;
  failed += other.failed;
  on_client_disconnected += other.on_client_disconnected;
  sends += other.sends;
  probes += other.probes;
  broken_invariants += other.broken_invariants;
}

std::string Counters::stopped() const {
  return fmt::format(
      "stopped: taken {}, served {}, refused {}, failed {}, gone {}, sends {}, probes {}, broken invariants "
      "{}",
      taken, served, refused, failed, on_client_disconnected, sends, probes, broken_invariants);
}

Counters Dispatcher::counters() const {
  auto counters = counters_;
  counters.broken_invariants = invariants_.violations();
  return counters;
}

void Dispatcher::list(discovery::EndpointListUpdate update, bool cached) {
  lists_.emplace_back(std::move(update), cached);
}

RequestId Dispatcher::submit(ClientPort* client, routing::Request request, std::string_view name) {
  if (siblings_ ? !siblings_->reserve_request_name(name) : names_.count(name) > 0) return 0;
  request.id = std::exchange(next_, next_ + step_);
  request.expires = std::min(request.expires, answer_by_);
  ++counters_.taken;
  auto guard = loop_.at(request.expires + kGuard, [this, id = request.id] { overdue(id); });
  auto& open = open_[request.id] = {client, guard, std::string(name), loop_.now()};
  open.expires = request.expires;
  open.is_repeatable = request.is_repeatable;
  if (observer_) observer_->asked(request);
  if (!siblings_) names_.insert(open.name);  // nodes of the map stay where they are
  new_.push_back(request);
  return request.id;
}

ClientPort* Dispatcher::close(RequestId request) {
  auto it = open_.find(request);
  if (it == open_.end()) return nullptr;
  auto* client = it->second.client;
  loop_.cancel(&it->second.guard);
  if (siblings_)
    siblings_->release_request_name(it->second.name);
  else
    names_.erase(it->second.name);
  open_.erase(it);
  return client;
}

void Dispatcher::leave(RequestId request) {
  if (!close(request)) return;
  ++counters_.on_client_disconnected;
  if (std::erase_if(new_, [&](auto& submitted) { return submitted.id == request; }) > 0) return;
  left_.push_back(request);
  pool_.cancel(request);
}

void Dispatcher::overdue(RequestId request) {
  log_(net::Level::kError, fmt::format("request {} was still undecided when its time ended", request));
  auto* client = close(request);
  if (!client) return;
  ++counters_.failed;
  left_.push_back(request);
  pool_.cancel(request);
  client->fail("no answer in time");
}

void Dispatcher::fail_open_requests(std::string_view why) {
  std::vector<RequestId> open;
  for (auto& [request, state] : open_) open.push_back(request);
  for (auto request : open) {
    auto* client = close(request);
    if (!client) continue;
    ++counters_.failed;
    if (std::erase_if(new_, [&](auto& submitted) { return submitted.id == request; }) == 0) {
      left_.push_back(request);
      pool_.cancel(request);
    }
    client->fail(why);
  }
}

void Dispatcher::attempt_ended(AttemptEnd end) { ends_.push_back(std::move(end)); }
void Dispatcher::probe_ended(routing::ProbeResult result) {
  if (logs_decisions_)
    log_(net::Level::kDebug, fmt::format("probe of {}: {}", result.server,
                                         result.ok ? std::string_view(result.load_report) : "no answer"));
  if (load_reports_) load_reports_->on_contact(result.server, result.ok);
  if (siblings_ && result.ok) siblings_->probed(result);
  if (observer_) observer_->probed(result);
  probes_.push_back(std::move(result));
}

void Dispatcher::on_load_report(routing::ProbeResult report, Micros age) {
  if (load_reports_ && load_reports_->record(loop_.now(), report, age)) probes_.push_back(std::move(report));
}

ClientPort* Dispatcher::client_of(RequestId request) {
  auto it = open_.find(request);
  return it == open_.end() ? nullptr : it->second.client;
}

// As the rules measure it: the time of the sockets is not the proxy's.
void Dispatcher::check_withdrawal(RequestId request, const std::string& server) {
  auto since = withdrawn_servers_.since(server);
  if (!since || drain_grace_.count() == 0) return;
  auto past = net::monotonic_now() - *since;
  invariants_.check(past <= drain_grace_ + kSocketSlack, Invariant::kSentToWithdrawn, [&] {
    return fmt::format("request {} to {}, {} ms after the first notice", request, server, past / 1ms);
  });
}

void Dispatcher::attempt_begins(RequestId request, const std::string& server) {
  check_withdrawal(request, server);
  auto it = open_.find(request);
  auto detail = [&] { return fmt::format("request {}", request); };
  invariants_.check(it != open_.end(), Invariant::kSendWithoutClient, detail);
  if (it == open_.end()) return;
  bool is_in_time = loop_.now() <= it->second.expires + kTimeoutSlack;
  invariants_.check(is_in_time, Invariant::kTimeoutTooLong, detail);
}

// An attempt that cannot have run may be repeated by any class.
void Dispatcher::record_end(const routing::AttemptResult& result) {
  using Outcome = routing::AttemptOutcome;
  auto it = open_.find(result.request);
  if (it == open_.end()) return;
  auto outcome = result.outcome;
  it->second.is_in_flight = false;
  it->second.may_have_run |= outcome == Outcome::kError || outcome == Outcome::kReset ||
                             outcome == Outcome::kTimedOut || outcome == Outcome::kCancelled;
}

// What is decided is right only if all of this holds.
void Dispatcher::check_send(const routing::Decision& decision, const OpenRequest& open) {
  auto detail = [&] {
    return fmt::format("request {} ('{}'), attempt {}, to {}", decision.request, open.name, open.attempts + 1,
                       decision.server);
  };
  invariants_.check(!open.is_in_flight, Invariant::kSecondAttemptInFlight, detail);
  invariants_.check(open.attempts < kMostAttempts, Invariant::kTooManyAttempts, detail);
  invariants_.check(open.is_repeatable || !open.may_have_run, Invariant::kUnsafeRepeat, detail);
  bool is_in_time = loop_.now() + decision.timeout <= open.expires + kTimeoutSlack;
  invariants_.check(is_in_time, Invariant::kTimeoutTooLong, detail);
}

void Dispatcher::settle(AttemptEnd& end) {
  record_end(end.result);
  if (end.answer) {
    if (auto* client = close(end.result.request)) {
      ++counters_.served;
      client->serve(*end.answer);
    }
    pool_.release(end.connection);
  }
  if (load_reports_) load_reports_->on_contact(end.result.server, end.result.outcome);
  if (observer_) observer_->ended(end.result);
  // A request that is no longer open here has had its end, whatever this attempt brought.
  end.result.closed = open_.count(end.result.request) == 0;
  decider_.report(loop_.now(), std::move(end.result));
}

// No decision can be made in time, because the way to the decisions is full or the process ends before:
// nothing of it has run.
void Dispatcher::reject_untouched(RequestId request) {
  auto* client = close(request);
  ++counters_.refused;
  client->reject(kComeBackFull);
}

// By the name that clients and data servers know the request by.
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
      if (auto* client = close(decision.request)) {
        ++counters_.refused;
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
      return pool_.cancel(decision.request, decision.attempt);
    case Kind::kProbe:
      return probe_or_use_report(decision.server);
  }
}

// A fresh load report of whoever probes for all stands for a probe. Where one may be on its way, it is waited
// for a moment, since hundreds of proxies would probe at the same time.
void Dispatcher::probe_or_use_report(const std::string& server) {
  if (!load_reports_) return probe(server);
  if (auto report = load_reports_->find_fresh(loop_.now(), server))
    return probes_.push_back(std::move(*report));
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

// A decision that was made elsewhere may come after its request has ended here, and a client may have gone
// while its request waited.
void Dispatcher::send(const routing::Decision& decision) {
  auto* client = client_of(decision.request);
  if (decision.stale || !client || !client->still_connected()) {
    AttemptEnd never;
    never.result.request = decision.request;
    never.result.attempt = decision.attempt;
    never.result.server = decision.server;
    never.result.outcome = routing::AttemptOutcome::kNotSent;
    return ends_.push_back(std::move(never));
  }
  ++counters_.sends;
  auto& open = open_.at(decision.request);
  check_send(decision, open);
  ++open.attempts;
  open.is_in_flight = true;
  if (observer_) observer_->sent(decision, loop_.now() - open_.at(decision.request).since > kWaited);
  pool_.start(decision.request, decision.attempt, decision.server, decision.timeout, decision.start_within);
}

void Dispatcher::submit_new_requests() {
  auto now = loop_.now();
  for (auto& request : std::exchange(new_, {})) {
    if (open_.count(request.id) == 0) continue;
    bool is_in_time = request.expires > now;
    if (!is_in_time || !decider_.submit(now, request)) reject_untouched(request.id);
  }
}

void Dispatcher::on_iteration_end() {
  auto now = loop_.now();
  std::optional<Micros> next_due;
  pool_.start_ready_attempts();
  // What is carried out may bring results at once, such as a refused connection; attempts are few, so this
  // ends.
  do {
    for (auto& [update, cached] : std::exchange(lists_, {})) {
      pool_.update(update);
      withdrawn_servers_.update(now, update);
      if (load_reports_ && update.reset) load_reports_->retain_listed(update.members);
      decider_.update(now, update, cached);
    }
    for (auto& end : std::exchange(ends_, {})) settle(end);
    for (auto& probe : std::exchange(probes_, {})) decider_.report(now, std::move(probe));
    for (auto request : std::exchange(left_, {})) decider_.on_client_disconnected(now, request);
    submit_new_requests();
    auto ticked = decider_.collect(now);
    for (auto& decision : ticked.decisions) carry_out(decision);
    next_due = ticked.next_due;
  } while (!lists_.empty() || !ends_.empty() || !probes_.empty() || !left_.empty() || !new_.empty());
  pool_.sweep();
  loop_.cancel(&due_);
  if (next_due) due_ = loop_.at(*next_due, [] {});  // the iteration itself does what is due
}

}  // namespace database_proxy::proxy
