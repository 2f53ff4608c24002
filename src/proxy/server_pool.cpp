#include "proxy/server_pool.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "net/system_errors.h"
#include "proxy/attempt_outcome.h"

namespace database_proxy::proxy {
namespace {

using namespace std::chrono_literals;
using routing::AttemptOutcome;

// Keeps a faulty server from filling the log.
constexpr Micros kMalformedLogInterval{1'000'000};
constexpr Micros kLateAttemptLogInterval{1'000'000};
// The time after which a probe is tried again when this machine lacked a descriptor or socket for it.
constexpr Micros kProbeRetry{5'000};

}  // namespace

ServerPool::ServerPool(net::Loop& loop, PoolLimits limits, ServerEvents& events, net::Log log,
                       SiblingWorkers* siblings)
    : loop_(loop), limits_(limits), events_(events), log_(std::move(log)), siblings_(siblings) {}

ServerPool::~ServerPool() = default;

void ServerPool::update(const discovery::EndpointListUpdate& list) {
  if (list.reset)
    for (auto& [id, server] : servers_) server.is_listed = false;
  for (auto& endpoint : list.endpoints) {
    auto& server = servers_[endpoint.id];
    server.is_listed = endpoint.lifecycle != discovery::Lifecycle::kRemoved;
    if (!endpoint.address.empty() && endpoint.address != server.address_text) {
      server.address = net::parse_address(endpoint.address);
      server.address_text = endpoint.address;
      if (!server.address)
        log_(net::Level::kError,
             fmt::format("server {} has no usable address: '{}'", endpoint.id, endpoint.address));
      close_idle(server);
    }
  }
  std::vector<std::string> removed;
  for (auto& [id, server] : servers_)
    if (!server.is_listed) removed.push_back(id);
  for (auto& id : removed) {
    close_idle(servers_[id]);
    erase_if_unused(id);
  }
}

// Removes the entry of an unlisted server once its last connection is closed: new servers replace old ones
// all day.
void ServerPool::erase_if_unused(const std::string& name) {
  auto it = servers_.find(name);
  if (it != servers_.end() && !it->second.is_listed && it->second.connections == 0) servers_.erase(it);
}

void ServerPool::on_malformed_answer(const std::string& server) {
  ++malformed_answers_;
  if (loop_.now() < malformed_answer_logged_at_ + kMalformedLogInterval) return;
  malformed_answer_logged_at_ = loop_.now();
  log_(net::Level::kWarning, fmt::format("server {} sent a malformed answer ({} since the last such line)",
                                         server, std::exchange(malformed_answers_, 0)));
}

void ServerPool::on_attempt_too_late(const ServerJob& job, const std::string& server) {
  ++late_attempts_;
  if (loop_.now() < late_attempt_logged_at_ + kLateAttemptLogInterval) return;
  late_attempt_logged_at_ = loop_.now();
  log_(net::Level::kInfo,
       fmt::format(
           "a read was not sent to server {}: its connection was ready {} ms after the decision, {} ms "
           "after the known data became too old ({} decided again since the last such line)",
           server, (loop_.now() - job.started_at) / 1ms, (loop_.now() - job.fresh_until) / 1ms,
           std::exchange(late_attempts_, 0)));
}

void ServerPool::close_idle(Server& server) {
  auto idle = server.idle;
  for (auto* connection : idle) close(connection);
}

void ServerPool::start(RequestId request, int attempt, const std::string& server, Micros timeout,
                       const TimeLimits& limits) {
  ServerJob job;
  job.request = request;
  job.attempt = attempt;
  job.started_at = loop_.now();
  job.deadline = loop_.now() + timeout;
  if (limits.start_within != Micros::max()) job.start_by = loop_.now() + limits.start_within;
  if (limits.arrive_within != Micros::max()) job.arrive_by = loop_.now() + limits.arrive_within;
  if (limits.fresh_within != Micros::max()) job.fresh_until = loop_.now() + limits.fresh_within;
  run(server, job);
}

void ServerPool::probe(const std::string& server) {
  ServerJob job;
  job.is_probe = true;
  job.started_at = loop_.now();
  job.deadline = loop_.now() + limits_.probe_timeout;
  run(server, job);
}

void ServerPool::run(const std::string& name, ServerJob job) {
  auto known = servers_.find(name);
  if (known == servers_.end()) return end_unsent(name, job, AttemptOutcome::kNoConnection);
  auto& server = known->second;
  while (!server.idle.empty()) {
    auto* connection = server.idle.back();
    server.idle.pop_back();
    if (!job.is_probe) attempts_[job.request] = connection;
    if (connection->begin(job)) return;
    if (!job.is_probe) attempts_.erase(job.request);
    connection->job_.reset();
    close(connection);
  }
  if (!server.address) return end_unsent(name, job, AttemptOutcome::kNoConnection);
  if (siblings_ && siblings_->has_too_many_connections(name)) siblings_->request_closing_idle(name);
  if (!has_descriptor()) {
    log_(net::Level::kWarning, "no descriptor is left for a connection to a data server");
    return end_unsent(name, job, AttemptOutcome::kNotSent);
  }
  auto created = std::make_unique<ServerConnection>(*this, name);
  auto* connection = created.get();
  int error = 0;
  if (!connection->open(*server.address, &error)) {
    bool is_local = net::is_local_error(error);  // no evidence about the server
    return end_unsent(name, job, is_local ? AttemptOutcome::kNotSent : AttemptOutcome::kNoConnection);
  }
  connections_[connection] = std::move(created);
  ++server.connections;
  if (siblings_) siblings_->connection_opened(name);
  if (!job.is_probe) attempts_[job.request] = connection;
  connection->begin(job);
}

void ServerPool::end_unsent(const std::string& server, const ServerJob& job, AttemptOutcome outcome) {
  bool is_local = outcome == AttemptOutcome::kNotSent;
  if (job.is_probe && is_local) return retry_probe(server, job);
  if (job.is_probe) return events_.probe_ended({server, false, Micros(0), ""});
  AttemptEnd end;
  end.result.request = job.request;
  end.result.attempt = job.attempt;
  end.result.server = server;
  end.result.outcome = outcome;
  events_.attempt_ended(std::move(end));
}

// A probe that this machine has no descriptor or socket for is made later: its failure would be taken for the
// server's.
void ServerPool::retry_probe(const std::string& server, ServerJob job) {
  auto retry_at = loop_.now() + kProbeRetry;
  if (retry_at >= job.deadline) return events_.probe_ended({server, false, Micros(0), ""});
  job.started_at = retry_at;
  loop_.at(retry_at, [this, server, job] { run(server, job); });
}

void ServerPool::cancel(RequestId request, std::optional<int> attempt) {
  auto it = attempts_.find(request);
  if (it == attempts_.end()) return;
  auto* connection = it->second;
  if (attempt && connection->job_->attempt != *attempt) return;
  if (attempt && connection->has_begun_answer()) return;  // it was cancelled for being late, and is coming
  connection->finish(outcome_of_cancel(connection->is_written_), false);
}

void ServerPool::release(void* handle) {
  auto* connection = static_cast<ServerConnection*>(handle);
  if (!connection->is_reusable_ || !connection->writer_.is_idle()) return close(connection);
  auto& server = servers_[connection->server_];  // the entry outlives its connections
  if (!server.is_listed || (siblings_ && siblings_->has_too_many_connections(connection->server_)))
    return close(connection);
  connection->in_.clear();
  connection->account_memory();
  connection->parsed_ = 0;
  connection->state_ = ServerConnection::State::kIdle;
  connection->idle_timer_ = loop_.at(loop_.now() + limits_.idle, [this, connection] { close(connection); });
  server.idle.push_back(connection);
}

bool ServerPool::close_one_idle() {
  Server* largest = nullptr;
  for (auto& [id, server] : servers_)
    if (!server.idle.empty() && (!largest || server.idle.size() > largest->idle.size())) largest = &server;
  if (!largest) return false;
  close(largest->idle.front());
  return true;
}

void ServerPool::close_one_idle(const std::string& server) {
  auto it = servers_.find(server);
  if (it != servers_.end() && !it->second.idle.empty()) close(it->second.idle.front());
}

void ServerPool::close(ServerConnection* connection) {
  auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  connection->cancel_timers();
  if (connection->owes_nothing()) net::set_close_mode(connection->fd_.get(), net::CloseMode::kOrderly);
  std::erase(established_, connection);
  if (connection->fd_) loop_.remove(connection->fd_.get(), connection);
  connection->fd_.reset();
  if (siblings_) siblings_->connection_closed(connection->server_);
  if (auto server = servers_.find(connection->server_); server != servers_.end()) {
    std::erase(server->second.idle, connection);
    --server->second.connections;
    erase_if_unused(connection->server_);
  }
  closed_connections_.push_back(std::move(it->second));
  connections_.erase(it);
}

void ServerPool::start_ready_attempts() {
  while (!established_.empty()) {
    auto* connection = established_.back();
    established_.pop_back();
    connection->write_job();
  }
}

void ServerPool::free_closed() { closed_connections_.clear(); }

}  // namespace database_proxy::proxy
