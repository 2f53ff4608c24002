#include "proxy/proxy.h"

#include <fmt/format.h>
#include <sys/random.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <system_error>
#include <utility>

#include "net/system_errors.h"

namespace database_proxy::proxy {
namespace {

using namespace std::chrono_literals;

// After the word to stop, new connections keep coming for up to 0.4 s and clients keep using theirs. They are
// served as before until this long has passed; then each connection is closed between requests.
constexpr Micros kContinueServing = 500ms, kRejectAfter = 700ms;
// A command that is half there at the end of service has so long to become whole, and is refused then.
constexpr Micros kPartialCommandGrace = 2500ms;
// Beside a successor: so long before the platform's kill what is open fails, and the process ends. A process
// may be held up for 0.15 s in between.
constexpr Micros kLastAnswerBefore = 400ms, kLastCloseBefore = 250ms;
// A client that does not read its last answers does not keep the proxy up. Requests that are open are never
// cut off: each ends by its own deadline.
constexpr Micros kLongestShutdown = 15s;
// Standard streams, epoll, the signals, the listener, discovery, the log: and some to spare.
constexpr std::size_t kOwnDescriptors = 16;
constexpr std::size_t kOfEachProxy = 2;          // of several: each one's epoll, and one to spare
constexpr std::size_t kReservedDescriptors = 8;  // of these, while another proxy of the process makes room
// Clients with requests hold a third of the descriptors at most. Two thirds for all clients leave those their
// part beside as many silent ones, and data servers the last third.
constexpr double kClientShare = 2.0 / 3;
// Beside other processes: what each may take up between two looks at the others, as a part of all
// descriptors; and what a process needs to come up while the others still hold nearly all.
constexpr std::size_t kGrowthShare = 16, kLeastOverlapDescriptors = 8;
// One iteration's share of new clients: a flood of them waits in the backlog, where it costs nothing.
constexpr int kAcceptsPerIteration = 16;
// Where another proxy of this process was asked for room, by then it has closed something.
constexpr Micros kAcceptRetry = 5ms;
// The same where the system is short of something.
constexpr Micros kShortageRetry = 20ms;
// Clients that asked once and keep their connection for good use up what all clients together may hold, a
// third of the descriptors, and the others can open none. So over a quarter, the longest idle ones are
// closed: never one that has asked so lately that it may be about to ask again.
constexpr std::size_t kActiveClientShare = 4;
constexpr Micros kTrimEvery = 5ms;
// Of the memory allowed: what unfinished statements of clients may hold together.
constexpr std::size_t kStatementMemoryShare = 4;
// Discovery's agent answers at once where it has something. Until it has, or for so long, a list from the
// configuration is not taken for the one in force.
constexpr Micros kFirstListTimeout = 300ms;

}  // namespace

std::size_t descriptors_allowed(std::size_t all, const OtherProcessesUsage& others, std::size_t own) {
  auto part = all / (1 + others.processes);
  bool do_others_keep_to_theirs = others.descriptors <= all - part;
  if (do_others_keep_to_theirs) return part;
  auto left = all - std::min(all, others.descriptors + all / kGrowthShare);
  return std::max(left, std::min(own + kLeastOverlapDescriptors, part));
}

Proxy::Proxy(net::Loop& loop, routing::Decider& decider, ProxyOptions options, const net::Log& log)
    : Proxy(loop, decider, std::move(options), log, nullptr) {
  generation_ = options_.known.generation;
  if (options_.watches) watch_discovery(true);
}

void Proxy::watch_discovery(bool watched) {
  if (!watched) return discovery_.reset();
  if (discovery_) return;
  discovery_.emplace(
      loop_, options_.discovery, generation_, options_.schedule,
      [this](discovery::EndpointListUpdate update) {
        has_discovery_answered_ = true;
        generation_ = update.generation;
        dispatcher_.list(options_.overlay(std::move(update)));
      },
      log_);
  if (running_) discovery_->start();
}

void Proxy::apply_endpoint_list(discovery::EndpointListUpdate update, bool is_restart) {
  if (update.generation < generation_ && !is_restart) return;
  has_discovery_answered_ = true;
  generation_ = update.generation;
  update.source = discovery::UpdateSource::kOpenWatch;  // the group has watched for this process
  dispatcher_.list(options_.overlay(std::move(update)));
}

Proxy::Proxy(net::Loop& loop, routing::Decider& decider, ProxyOptions options, const net::Log& log,
             SiblingWorkers& siblings)
    : Proxy(loop, decider, std::move(options), log, &siblings) {}

Proxy::Proxy(net::Loop& loop, routing::Decider& decider, ProxyOptions options, const net::Log& log,
             SiblingWorkers* siblings)
    : loop_(loop),
      options_(std::move(options)),
      log_(log),
      siblings_(siblings),
      dispatcher_(loop, decider, options_.pool, log, siblings, options_.number + 1, options_.count),
      on_listener_(*this),
      started_at_(loop.now()) {
  dispatcher_.set_logs_decisions(options_.logs_decisions);
  dispatcher_.set_drain_grace(options_.drain_grace);
  dispatcher_.pool().has_descriptor = [this] {
    auto used = descriptors_in_use();
    if (used < descriptors_allowed() || free_descriptor()) return true;
    // Nothing of this proxy can give way, but something of another may: it closes that while this one goes on
    // with what is kept back for the proxy's own use.
    if (!siblings_ || used >= options_.descriptors + kReservedDescriptors) return false;
    siblings_->request_descriptor();
    return true;
  };
  auto known = options_.known;
  known.reset = true;
  dispatcher_.list(siblings_ ? known : options_.overlay(known), true);
  if (options_.listens) open_listener();
}

Proxy::~Proxy() { stop_accepting(); }

// Until it can serve, clients of a socket that others have as well are theirs.
void Proxy::open_listener() {
  if (options_.inherited_listener >= 0) {
    listener_ = options_.inherited_listener;
    return;
  }
  auto address = net::parse_address(options_.listen);
  if (!address) throw std::runtime_error("listen is no address: '" + options_.listen + "'");
  int error = 0;
  auto sharing = options_.count > 1 ? net::PortSharing::kShared : net::PortSharing::kExclusive;
  own_listener_ = net::listen_on(*address, &error, sharing);
  if (!own_listener_)
    throw std::system_error(error, std::generic_category(),
                            fmt::format("cannot listen on {}", options_.listen));
  listener_ = own_listener_.get();
  start_accepting();
}

void Proxy::start_accepting() {
  if (listener_ < 0 || is_accepting_ || stopping_since_) return;
  if (!loop_.add(listener_, &on_listener_))
    throw std::system_error(errno, std::generic_category(), "cannot watch the listener");
  is_accepting_ = true;
}

// Out of this loop's set, because closing alone would not end the registration of a socket that another
// process holds as well.
void Proxy::stop_accepting() {
  if (std::exchange(is_accepting_, false)) loop_.remove(listener_, &on_listener_);
}

std::string Proxy::unhealthy_reason() const {
  if (stopping_since_) return "it is shutting down";
  if (!dispatcher_.ready()) return "no data server is known that is up";
  bool is_list_cached = !siblings_ && !has_discovery_answered_;
  if (is_list_cached && loop_.now() - started_at_ < kFirstListTimeout)
    return "discovery has not answered yet";
  return "";
}

void Proxy::reconfigure(const ProxyOptions& options) {
  options_.descriptors = options.descriptors;
  options_.memory = options.memory;
  options_.pool = options.pool;
  options_.discovery = options.discovery;
  dispatcher_.pool().set_limits(options.pool);
  dispatcher_.set_logs_decisions(options.logs_decisions);
  if (discovery_) discovery_->move_to(options.discovery);
}

int Proxy::port() const { return net::local_port(listener_); }

void Proxy::run() {
  running_ = true;
  if (discovery_) discovery_->start();
  loop_.run([this] { on_iteration_end(); });
}

void Proxy::on_cancel_request(std::uint32_t number, std::uint32_t secret) {
  if (siblings_ && number % options_.count != options_.number) return siblings_->cancel(number, secret);
  if (!cancel(number, secret)) on_unknown_cancel(number, secret);
}

bool Proxy::cancel(std::uint32_t number, std::uint32_t secret) {
  for (auto& [session, owned] : sessions_) {
    if (session->number() != number || session->secret() != secret) continue;
    session->cancel();
    return true;
  }
  return false;
}

void Proxy::share_limits_with(const OtherProcessesUsage& others) {
  if (others.takes_requests != others_.takes_requests) dispatcher_.share_sessions(others.takes_requests);
  others_ = others;
}

std::size_t Proxy::descriptors_allowed() const {
  return proxy::descriptors_allowed(options_.descriptors, others_,
                                    kOwnDescriptors + options_.reserved_descriptors);
}

// A few an iteration: idle ones go as others need what they hold.
void Proxy::give_way_to_others() {
  for (int i = 0; i < kAcceptsPerIteration && descriptors_in_use() > descriptors_allowed(); ++i)
    if (!free_descriptor()) return;
}

std::size_t Proxy::descriptors_in_use() const {
  auto own = loop_.watched() + kOwnDescriptors + options_.reserved_descriptors;
  return siblings_ ? own + kOfEachProxy * options_.count + siblings_->others().descriptors : own;
}

std::size_t Proxy::clients_in_all() const {
  return sessions_.size() + (siblings_ ? siblings_->others().clients : 0);
}

void Proxy::publish() {
  if (!siblings_) return;
  held_.descriptors = loop_.watched();
  held_.clients = sessions_.size();
  held_.statement_bytes = buffered_;
  // Those that have asked are counted only where trim_idle() may want to know.
  if (clients_in_all() > options_.descriptors / kActiveClientShare &&
      loop_.now() - published_at_ >= kTrimEvery) {
    published_at_ = loop_.now();
    held_.asked = 0;
    for (auto& [session, owned] : sessions_) held_.asked += !session->is_lingering() && !session->is_unused();
  }
  siblings_->publish(held_);
}

void Proxy::accept_all() {
  accepts_again_ = false;
  if (!backlog_since_) backlog_since_ = loop_.ready_since();
  if (options_.inherited_listener >= 0) net::ensure_non_blocking(listener_);
  for (int accepted = 0; accepted < kAcceptsPerIteration; ++accepted) {
    if (!has_room_for_client()) return retry_accepting();
    switch (accept_one()) {
      case AcceptResult::kTryNext:
        continue;
      case AcceptResult::kNoneWaiting:
        backlog_since_.reset();
        return;
      case AcceptResult::kNoDescriptor:
        return accept_after_shortage();
    }
  }
  loop_.again(&on_listener_);
}

// Whether one more client may come, after closing others where that helps.
bool Proxy::has_room_for_client() {
  auto most = static_cast<double>(descriptors_allowed() - kOwnDescriptors) * kClientShare;
  bool has_too_many = static_cast<double>(clients_in_all()) >= most;
  if (has_too_many && !close_client(usual_scope())) return false;
  return descriptors_in_use() < descriptors_allowed() || free_descriptor();
}

// The edge has passed: the backlog is looked at again when something has ended.
void Proxy::retry_accepting() {
  accepts_again_ = true;
  if (!siblings_) return;
  siblings_->request_descriptor();
  loop_.cancel(&accept_retry_timer_);
  accept_retry_timer_ = loop_.at(loop_.now() + kAcceptRetry, [] {});
}

// What the system is short of may be there again without anything of this process having ended.
void Proxy::accept_after_shortage() {
  accepts_again_ = true;
  loop_.cancel(&accept_retry_timer_);
  accept_retry_timer_ = loop_.at(loop_.now() + kShortageRetry, [] {});
}

Proxy::AcceptResult Proxy::accept_one() {
  int error = 0;
  auto client = net::accept_from(listener_, &error);
  if (client) {
    admit(std::move(client), *backlog_since_);
    return AcceptResult::kTryNext;
  }
  if (error == EAGAIN || error == EWOULDBLOCK) return AcceptResult::kNoneWaiting;
  // A client that went before it was accepted takes only itself along.
  if (error == ECONNABORTED || error == EINTR || error == EPROTO) return AcceptResult::kTryNext;
  if (++accepts_without_descriptor_ == 1)
    log_(net::Level::kError, fmt::format("cannot accept clients for now: {}", net::message_of(error)));
  // Closing a client helps only where this process's own limit is met.
  return error == EMFILE && free_descriptor() ? AcceptResult::kTryNext : AcceptResult::kNoDescriptor;
}

std::uint32_t Proxy::next_secret() {
  if (secrets_left_ == 0) {
    constexpr auto kBytes = sizeof secrets_;
    if (getrandom(secrets_.data(), kBytes, GRND_NONBLOCK) != static_cast<ssize_t>(kBytes))
      return ~next_number_;
    secrets_left_ = secrets_.size();
  }
  return secrets_[--secrets_left_];
}

void Proxy::admit(net::Fd fd, Micros waiting_since) {
  bool may_accept = options_.inherited_listener < 0 || was_ready_;
  dispatcher_.invariants().check(may_accept, Invariant::kAcceptedTooEarly,
                                 [] { return std::string("a client"); });
  auto secret = next_secret();
  auto number = next_number_++ * options_.count + options_.number;
  auto session = std::make_unique<ClientSession>(loop_, dispatcher_, *this, std::move(fd), number, secret,
                                                 waiting_since);
  if (!session->start()) return;
  if (stopping_since_ && loop_.now() - *stopping_since_ >= kContinueServing) session->close_when_idle();
  sessions_.emplace(session.get(), std::move(session));
}

void Proxy::adopt(net::Fd client) { admit(std::move(client), loop_.ready_since()); }

void Proxy::release_descriptor() { free_descriptor(); }

// Frees a descriptor. Clients that have nothing to lose go first, then an idle connection to a data server: a
// new one costs that server work and the next request time, so silent clients must not drive them out.
bool Proxy::free_descriptor() {
  return close_client(EvictionScope::kNothingToLose) || dispatcher_.pool().close_one_idle() ||
         close_client(usual_scope());
}

// Of several proxies, one that has less than its share of the clients leaves it to the others to close some
// that came just now: its own are too few to choose from.
EvictionScope Proxy::usual_scope() const {
  bool has_fair_share = sessions_.size() * options_.count >= clients_in_all();
  return has_fair_share ? EvictionScope::kAnyIdle : EvictionScope::kNothingToLose;
}

namespace {

EvictionRank eviction_rank(const ClientSession& session, Micros now) {
  if (session.is_lingering()) return EvictionRank::kLingering;
  auto quiet_for = now - session.idle_since();
  if (session.is_unused()) return rank_unused(quiet_for, session.is_mid_command());
  return rank_used(quiet_for, session.is_idle());
}

}  // namespace

// Closes the client that can be missed most easily, the longest quiet one of its rank; false: all must stay.
bool Proxy::close_client(EvictionScope scope) {
  std::array<ClientSession*, kEvictionRanks> candidates{};
  auto now = loop_.now();
  for (auto& [session, owned] : sessions_) {
    auto rank = static_cast<std::size_t>(eviction_rank(*session, now));
    if (rank >= kEvictionRanks) continue;
    auto*& candidate = candidates[rank];
    if (!candidate || session->idle_since() < candidate->idle_since()) candidate = session;
  }
  for (std::size_t rank = 0; rank < ranks_in(scope); ++rank) {
    if (!candidates[rank]) continue;
    candidates[rank]->close();
    return true;
  }
  return false;
}

void Proxy::trim_idle() {
  auto most = options_.descriptors / kActiveClientShare;
  if (clients_in_all() <= most || loop_.now() - trimmed_at_ < kTrimEvery) return;
  trimmed_at_ = loop_.now();
  std::vector<ClientSession*> idle;
  std::size_t asked = 0;
  for (auto& [session, owned] : sessions_) {
    if (session->is_lingering() || session->is_unused()) continue;
    ++asked;
    if (session->is_idle() && loop_.now() - session->idle_since() >= kRecentlyActive) idle.push_back(session);
  }
  // Of several, each closes its part of what all have too many.
  auto all = asked + (siblings_ ? siblings_->others().asked : 0);
  if (all <= most) return;
  auto own = siblings_ ? (all - most) * asked / all + 1 : all - most;
  auto count = std::min(own, idle.size());
  std::partial_sort(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(count), idle.end(),
                    [](auto* left, auto* right) { return left->idle_since() < right->idle_since(); });
  // What has arrived since this iteration's events were fetched is read first: whoever asks is not idle.
  for (std::size_t i = 0; i < count; ++i)
    if (idle[i]->poll_input() && idle[i]->is_idle()) idle[i]->close();
}

bool Proxy::on_buffered_change(std::ptrdiff_t change) {
  buffered_ += static_cast<std::size_t>(change);
  return buffered_ + (siblings_ ? siblings_->others().statement_bytes : 0) <=
         options_.memory / kStatementMemoryShare / (1 + others_.processes);
}

void Proxy::on_session_closed(ClientSession* session) {
  auto it = sessions_.find(session);
  if (it == sessions_.end()) return;
  closed_.push_back(std::move(it->second));  // it may be in one of its own calls
  sessions_.erase(it);
}

void Proxy::on_iteration_end() {
  before_iteration_end();
  if (accepts_again_ && is_accepting_) accept_all();
  if (stopping_since_) shutdown_mode_ == ShutdownMode::kLast ? close_idle_clients() : end_what_is_left();
  if (others_.processes > 0) give_way_to_others();
  trim_idle();
  dispatcher_.on_iteration_end();
  if (!was_ready_ && !is_waiting_for_others_ && dispatcher_.ready()) {
    was_ready_ = true;
    start_accepting();
    if (!siblings_) log_(net::Level::kInfo, "ready to serve");
    on_ready();
    std::vector<ClientSession*> all;
    for (auto& [session, owned] : sessions_) all.push_back(session);
    for (auto* session : all) session->resume();
    dispatcher_.on_iteration_end();  // for what stood behind the empty query
  }
  // A client that turns out to be gone gives back what it had out.
  while (!to_flush_.empty()) {
    auto open = sessions_.size();
    for (auto* session : std::exchange(to_flush_, {})) session->flush();
    if (sessions_.size() < open) dispatcher_.on_iteration_end();
  }
  closed_.clear();
  publish();
}

void Proxy::shut_down(ShutdownMode mode) {
  if (!stopping_since_) begin_shutdown();
  bool has_new_successor = mode == ShutdownMode::kSuccessorServes && shutdown_mode_ == ShutdownMode::kLast;
  if (has_new_successor) hand_clients_over();
}

void Proxy::begin_shutdown() {
  stopping_since_ = loop_.now();
  if (!siblings_)
    log_(net::Level::kInfo, fmt::format("told to stop: {} clients, {} requests open", sessions_.size(),
                                        dispatcher_.open_requests()));
  for (auto after : {kContinueServing, kRejectAfter, kRejectAfter + kPartialCommandGrace, kLongestShutdown})
    loop_.at(loop_.now() + after, [] {});
}

// Each connection ends with its next answer: a client finds both together, and no request of its own on the
// way. Those that are not used for a while are closed later, as without a successor.
void Proxy::hand_clients_over() {
  shutdown_mode_ = ShutdownMode::kSuccessorServes;
  stop_accepting();
  auto last_answer = *stopping_since_ + options_.shutdown_limit - kLastAnswerBefore;
  dispatcher_.answer_by(last_answer);
  for (auto when : {last_answer, *stopping_since_ + options_.shutdown_limit - kLastCloseBefore})
    loop_.at(when, [] {});
  for (auto& [session, owned] : sessions_) session->close_when_idle();
}

// As without a successor, but that all has its answer, and the process its end, before the platform kills it.
void Proxy::end_what_is_left() {
  auto left = *stopping_since_ + options_.shutdown_limit - loop_.now();
  close_idle_clients();
  if (left <= kLastAnswerBefore) dispatcher_.fail_open_requests("the proxy is shutting down");
  if (left > kLastCloseBefore) return stop_if_empty();
  std::vector<ClientSession*> all;
  for (auto& [session, owned] : sessions_) all.push_back(session);
  for (auto* session : all)
    if (sessions_.count(session)) session->close();
  stop_if_empty();
}

void Proxy::close_idle_clients() {
  auto past = loop_.now() - *stopping_since_;
  if (past < kContinueServing) return;
  if (is_accepting_) accept_all();
  std::vector<ClientSession*> all;
  for (auto& [session, owned] : sessions_) all.push_back(session);
  for (auto* session : all) {
    session->close_when_idle();
    if (sessions_.count(session) && session->is_idle()) session->poll_input();
  }
  if (past < kRejectAfter) return;
  for (auto* session : all) {
    if (!sessions_.count(session)) continue;
    session->reject_new_requests();
    bool last_word =
        session->is_lingering() || (session->is_mid_command() && past < kRejectAfter + kPartialCommandGrace);
    if (last_word ? past >= kLongestShutdown
                  : !session->is_busy() || (past >= kLongestShutdown && !session->has_unanswered_commands()))
      session->close();
  }
  stop_if_empty();
}

void Proxy::stop_if_empty() {
  if (!sessions_.empty()) return;
  if (!siblings_) log_(net::Level::kInfo, dispatcher_.counters().stopped());
  loop_.stop();
}

}  // namespace database_proxy::proxy
