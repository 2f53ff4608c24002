#include "proxy/proxy.h"

#include <fmt/format.h>
#include <malloc.h>
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

// The standard streams, epoll, the signals, the listener, discovery and the log, and a few spare descriptors.
constexpr std::size_t kOwnDescriptors = 16;
constexpr std::size_t kDescriptorsPerProxy = 2;  // with several proxies: each one's epoll and a spare one
constexpr std::size_t kReservedDescriptors = 8;  // of kOwnDescriptors; used while another proxy frees one
// Clients with requests hold at most a third of the descriptors. With two thirds for all clients, as many
// silent ones do not crowd them out, and data servers have the last third.
constexpr double kClientShare = 2.0 / 3;
// With other processes on the same socket: kGrowthShare is the divisor for the part of all descriptors by
// which each process may grow between two checks of the others' usage. kMinOverlapDescriptors is the number
// of descriptors that a process needs to start while the others still hold nearly all.
constexpr std::size_t kGrowthShare = 16, kMinOverlapDescriptors = 8;
// New clients accepted in one iteration: a flood of them waits in the backlog, where it costs nothing.
constexpr int kAcceptsPerIteration = 16;
// The time within which another proxy of this process, asked for a descriptor, has closed a connection.
constexpr Micros kAcceptRetry = 5ms;
// The delay before accepting again when the system lacks a resource.
constexpr Micros kShortageRetry = 20ms;
// Clients that sent one command and keep their connection open use up the third of the descriptors that
// clients with requests may hold, and other clients cannot connect. So above a quarter, the clients idle for
// the longest time are closed, but never one whose last command is so recent that it may be about to send
// another.
constexpr std::size_t kActiveClientShare = 4;
constexpr Micros kTrimInterval = 5ms;
// Discovery's agent answers at once when it has a list. Until it has answered, or until this time has passed,
// a list from the configuration is not taken for the current one.
constexpr Micros kFirstListTimeout = 300ms;

}  // namespace

std::size_t descriptors_allowed(std::size_t all, const OtherProcessesUsage& others, std::size_t own) {
  auto equal_share = all / (1 + others.processes);
  bool are_others_within_share = others.descriptors <= all - equal_share;
  if (are_others_within_share) return equal_share;
  auto unused = all - std::min(all, others.descriptors + all / kGrowthShare);
  return std::max(unused, std::min(own + kMinOverlapDescriptors, equal_share));
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
        dispatcher_.update_endpoints(options_.overlay(std::move(update)));
      },
      log_);
  if (running_) discovery_->start();
}

void Proxy::apply_endpoint_list(discovery::EndpointListUpdate update, bool is_restart) {
  if (update.generation < generation_ && !is_restart) return;
  has_discovery_answered_ = true;
  generation_ = update.generation;
  update.source = discovery::UpdateSource::kOpenWatch;  // the group watches discovery for this process
  dispatcher_.update_endpoints(options_.overlay(std::move(update)));
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
  update_memory_limit();
  dispatcher_.set_logs_decisions(options_.logs_decisions);
  dispatcher_.set_drain_grace(options_.drain_grace);
  dispatcher_.pool().set_memory_budget(&memory_budget_);
  if (!options_.effects) options_.effects = std::make_shared<EffectMemory>();
  dispatcher_.set_effect_memory(options_.effects.get());
  dispatcher_.pool().has_descriptor = [this] {
    auto used = descriptors_in_use();
    if (used < descriptors_allowed() || free_descriptor()) return true;
    // No connection of this proxy can be closed, but one of another proxy may: that proxy closes it while
    // this one goes on with the reserved descriptors.
    if (!siblings_ || used >= options_.descriptors + kReservedDescriptors) return false;
    siblings_->request_descriptor();
    return true;
  };
  auto known = options_.known;
  known.reset = true;
  dispatcher_.update_endpoints(siblings_ ? known : options_.overlay(known), true);
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
  if (listener_ < 0 || is_accepting_ || shutdown_) return;
  if (!loop_.add(listener_, &on_listener_))
    throw std::system_error(errno, std::generic_category(), "cannot watch the listener");
  is_accepting_ = true;
}

// Removes the listener from this loop's epoll set. Closing it alone would not end the registration of a
// socket that another process holds as well.
void Proxy::stop_accepting() {
  if (std::exchange(is_accepting_, false)) loop_.remove(listener_, &on_listener_);
}

std::string Proxy::unhealthy_reason() const {
  if (shutdown_) return "it is shutting down";
  if (!dispatcher_.ready()) return "no data server is known that is up";
  bool is_list_cached = !siblings_ && !has_discovery_answered_;
  if (is_list_cached && loop_.now() - started_at_ < kFirstListTimeout)
    return "discovery has not answered yet";
  return "";
}

void Proxy::reconfigure(const ProxyOptions& options) {
  options_.descriptors = options.descriptors;
  options_.memory = options.memory;
  update_memory_limit();
  options_.pool = options.pool;
  options_.discovery = options.discovery;
  dispatcher_.pool().set_limits(options.pool);
  dispatcher_.set_logs_decisions(options.logs_decisions);
  if (discovery_) discovery_->change_address(options.discovery);
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

void Proxy::set_other_processes_usage(const OtherProcessesUsage& others) {
  if (others.takes_requests != other_processes_.takes_requests)
    dispatcher_.share_sessions(others.takes_requests);
  other_processes_ = others;
  update_memory_limit();
}

std::size_t Proxy::descriptors_allowed() const {
  return proxy::descriptors_allowed(options_.descriptors, other_processes_,
                                    kOwnDescriptors + options_.reserved_descriptors);
}

// Closes a few idle connections in each iteration while this process holds more descriptors than it may.
void Proxy::release_excess_descriptors() {
  for (int i = 0; i < kAcceptsPerIteration && descriptors_in_use() > descriptors_allowed(); ++i)
    if (!free_descriptor()) return;
}

std::size_t Proxy::descriptors_in_use() const {
  auto own = loop_.watched() + kOwnDescriptors + options_.reserved_descriptors;
  return siblings_ ? own + kDescriptorsPerProxy * options_.count + siblings_->sibling_usage().descriptors
                   : own;
}

std::size_t Proxy::total_clients() const {
  return sessions_.size() + (siblings_ ? siblings_->sibling_usage().clients : 0);
}

void Proxy::publish() {
  if (!siblings_) return;
  usage_.descriptors = loop_.watched();
  usage_.clients = sessions_.size();
  usage_.statement_bytes = memory_budget_.used(BufferUse::kStatement);
  usage_.answer_bytes = memory_budget_.used(BufferUse::kAnswer);
  // Clients that have sent a command are counted only when trim_idle() may need their number.
  if (total_clients() > options_.descriptors / kActiveClientShare &&
      loop_.now() - published_at_ >= kTrimInterval) {
    published_at_ = loop_.now();
    usage_.used_clients = 0;
    for (auto& [session, owned] : sessions_)
      usage_.used_clients += !session->is_lingering() && !session->is_unused();
  }
  siblings_->publish(usage_);
  auto others = siblings_->sibling_usage();
  memory_budget_.set_sibling_usage({others.statement_bytes, others.answer_bytes});
}

void Proxy::accept_all() {
  must_retry_accept_ = false;
  if (!backlog_since_) backlog_since_ = loop_.ready_since();
  if (options_.inherited_listener >= 0) net::ensure_non_blocking(listener_);
  for (int accepted = 0; accepted < kAcceptsPerIteration; ++accepted) {
    if (!can_accept_client()) return retry_accepting();
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
  loop_.call_again(&on_listener_);
}

// Whether one more client may be accepted. Closes another client or an idle connection where that makes it
// possible.
bool Proxy::can_accept_client() {
  auto max_clients = static_cast<double>(descriptors_allowed() - kOwnDescriptors) * kClientShare;
  bool has_too_many = static_cast<double>(total_clients()) >= max_clients;
  if (has_too_many && !close_client(default_eviction_scope())) return false;
  return descriptors_in_use() < descriptors_allowed() || free_descriptor();
}

// The edge-triggered event is consumed, so accepting is tried again at the end of each iteration.
void Proxy::retry_accepting() {
  must_retry_accept_ = true;
  if (!siblings_) return;
  siblings_->request_descriptor();
  wake_to_accept(kAcceptRetry);
}

// The resource that the system lacks may become available without any event in this process, hence the timer.
void Proxy::accept_after_shortage() {
  must_retry_accept_ = true;
  wake_to_accept(kShortageRetry);
}

void Proxy::wake_to_accept(Micros delay) {
  loop_.cancel(&accept_retry_timer_);
  accept_retry_timer_ = loop_.at(loop_.now() + delay, [] {});
}

Proxy::AcceptResult Proxy::accept_one() {
  int error = 0;
  auto client = net::accept_from(listener_, &error);
  if (client) {
    admit(std::move(client), *backlog_since_);
    return AcceptResult::kTryNext;
  }
  if (error == EAGAIN || error == EWOULDBLOCK) return AcceptResult::kNoneWaiting;
  // The client disconnected before it was accepted, which affects no other client.
  if (error == ECONNABORTED || error == EINTR || error == EPROTO) return AcceptResult::kTryNext;
  if (++accepts_without_descriptor_ == 1)
    log_(net::Level::kError, fmt::format("cannot accept clients for now: {}", net::message_of(error)));
  // Closing a client helps only when this process's own limit is reached.
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
  if (shutdown_) apply_phase(*session);
  sessions_.emplace(session.get(), std::move(session));
}

void Proxy::adopt(net::Fd client) { admit(std::move(client), loop_.ready_since()); }

void Proxy::release_descriptor() { free_descriptor(); }

// Frees a descriptor. Lingering and long inactive clients are closed first, then an idle connection to a data
// server: a new one costs that server work and the next request time, so silent clients must not displace it.
bool Proxy::free_descriptor() {
  return close_client(EvictionScope::kInactiveOnly) || dispatcher_.pool().close_one_idle() ||
         close_client(default_eviction_scope());
}

// The scope for evicting clients. Of several proxies, one that has less than its share of the clients does
// not close any that have just connected, because its own are too few to choose from; the others close
// theirs.
EvictionScope Proxy::default_eviction_scope() const {
  bool has_fair_share = sessions_.size() * options_.count >= total_clients();
  return has_fair_share ? EvictionScope::kAnyIdle : EvictionScope::kInactiveOnly;
}

namespace {

EvictionRank eviction_rank(const ClientSession& session, Micros now) {
  if (session.is_lingering()) return EvictionRank::kLingering;
  auto quiet_for = now - session.idle_since();
  if (session.is_unused()) return rank_of_unused(quiet_for, session.is_mid_command());
  return rank_of_used(quiet_for, session.is_idle());
}

}  // namespace

// Closes the client that ranks first for eviction, the one quiet for the longest time within its rank; false:
// no client in this scope may be closed.
bool Proxy::close_client(EvictionScope scope) {
  std::array<ClientSession*, kEvictionRanks> candidates{};
  auto now = loop_.now();
  for (auto& [session, owned] : sessions_) {
    auto rank = static_cast<std::size_t>(eviction_rank(*session, now));
    if (rank >= kEvictionRanks) continue;
    auto*& candidate = candidates[rank];
    if (!candidate || session->idle_since() < candidate->idle_since()) candidate = session;
  }
  for (std::size_t rank = 0; rank < evictable_rank_count(scope); ++rank) {
    if (!candidates[rank]) continue;
    candidates[rank]->close();
    return true;
  }
  return false;
}

void Proxy::trim_idle() {
  auto max_clients = options_.descriptors / kActiveClientShare;
  if (total_clients() <= max_clients || loop_.now() - trimmed_at_ < kTrimInterval) return;
  trimmed_at_ = loop_.now();
  std::vector<ClientSession*> idle;
  std::size_t active_clients = 0;
  for (auto& [session, owned] : sessions_) {
    if (session->is_lingering() || session->is_unused()) continue;
    ++active_clients;
    if (session->is_idle() && loop_.now() - session->idle_since() >= kRecentlyActive) idle.push_back(session);
  }
  // Of several proxies, each closes its share of the excess over all of them.
  auto all = active_clients + (siblings_ ? siblings_->sibling_usage().used_clients : 0);
  if (all <= max_clients) return;
  auto own = siblings_ ? (all - max_clients) * active_clients / all + 1 : all - max_clients;
  auto count = std::min(own, idle.size());
  std::partial_sort(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(count), idle.end(),
                    [](auto* left, auto* right) { return left->idle_since() < right->idle_since(); });
  // Input that has arrived since this iteration's events were fetched is read first: a client that has sent a
  // command is not idle.
  for (std::size_t i = 0; i < count; ++i)
    if (idle[i]->poll_input() && idle[i]->is_idle()) idle[i]->close();
}

void Proxy::update_memory_limit() {
  memory_budget_.set_limit(options_.memory, 1 + other_processes_.processes);
}

// Memory that was freed stays with the process where the allocator keeps it for later.
void Proxy::release_memory() {
  if (memory_budget_.should_release_memory(loop_.now())) malloc_trim(0);
}

void Proxy::on_session_closed(ClientSession* session) {
  auto it = sessions_.find(session);
  if (it == sessions_.end()) return;
  std::erase(awaiting_ready_, session);
  closed_.push_back(std::move(it->second));  // one of its member functions may be running
  sessions_.erase(it);
}

// Continues the sessions whose empty query waited for a data server, at the start or after the loss of all.
void Proxy::resume_awaiting_sessions() {
  if (awaiting_ready_.empty() || !was_ready_ || !dispatcher_.ready()) return;
  for (auto* session : std::exchange(awaiting_ready_, {}))
    if (sessions_.count(session)) session->resume();
  dispatcher_.on_iteration_end();  // for requests that were queued behind the empty query
}

void Proxy::on_iteration_end() {
  before_iteration_end();
  if (must_retry_accept_ && is_accepting_) accept_all();
  if (shutdown_) continue_shutdown();
  if (other_processes_.processes > 0) release_excess_descriptors();
  trim_idle();
  dispatcher_.on_iteration_end();
  if (!was_ready_ && !is_waiting_for_other_processes_ && dispatcher_.ready()) {
    was_ready_ = true;
    start_accepting();
    if (!siblings_) log_(net::Level::kInfo, "ready to serve");
    on_ready();
  }
  resume_awaiting_sessions();
  // Flushing may find that a client has disconnected; the dispatcher then handles the requests that it
  // abandoned.
  while (!to_flush_.empty()) {
    auto open = sessions_.size();
    for (auto* session : std::exchange(to_flush_, {})) session->flush();
    if (sessions_.size() < open) dispatcher_.on_iteration_end();
  }
  closed_.clear();
  publish();
  release_memory();
}

}  // namespace database_proxy::proxy
