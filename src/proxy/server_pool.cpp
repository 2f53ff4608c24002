#include "proxy/server_pool.h"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <charconv>

#include "proxy/attempt_outcome.h"

namespace database_proxy::proxy {
namespace {

using routing::AttemptOutcome;

constexpr std::size_t kLongestMessage = 192 * 1024;  // a value of 64 KiB takes 128 as hexadecimal digits
constexpr std::size_t kCap = 2 * kLongestMessage;
// An answer that has begun comes whole within a few round trips, 64 KiB too; one that pauses for so long in
// its middle has stopped short, or a false length makes us wait for bytes that never come.
constexpr Micros kStall{100'000};
constexpr std::string_view kUser = "backend", kDatabase = "store", kProbe = "SHOW usage";

std::optional<std::int64_t> whole(std::string_view s) {
  std::int64_t value = 0;
  auto [end, error] = std::from_chars(s.data(), s.data() + s.size(), value);
  if (s.empty() || error != std::errc() || (end != s.data() + s.size() && *end != '.')) return std::nullopt;
  return value;  // a fraction falls off: a known position is rounded down
}

}  // namespace

// ---- one connection
// ----------------------------------------------------------------------------------------

ServerConnection::~ServerConnection() {
  pool_.loop_.cancel(&job_timer_);
  pool_.loop_.cancel(&idle_timer_);
  if (fd_) pool_.loop_.remove(fd_.get(), this);
}

bool ServerConnection::open(const net::Address& address, int* error) {
  fd_ = net::start_connect(address, error);
  if (fd_ && pool_.loop_.add(fd_.get(), this)) return true;
  fd_.reset();
  return false;
}

bool ServerConnection::begin(const Job& job) {
  job_ = job;
  written_ = false;
  auto& loop = pool_.loop_;
  auto limit = job.deadline;
  if (state_ != State::kIdle) {
    // Connecting ends an attempt as "no connection"; only then does its own time-out count.
    Micros up_by = loop.now() + pool_.limits_.connect_timeout;
    limit = std::min(limit, up_by);
    job_timer_ = loop.at(limit, [this, up_by] {
      finish(job_->deadline >= up_by ? AttemptOutcome::kNoConnection : outcome_of_timeout(false), false);
    });
    return true;
  }
  loop.cancel(&idle_timer_);
  // What came unasked while it was idle, or its end, may wait unread: it would be taken for this answer.
  if (in_.fill(fd_.get(), kCap) != net::IoEnd::kAgain || !in_.view().empty()) return false;
  return ready();
}

// Sends the job on a connection that is up. False: it had been idle and broke unseen; no byte of this job has
// gone out on it, so the pool may take another.
bool ServerConnection::ready() {
  auto& loop = pool_.loop_;
  loop.cancel(&job_timer_);
  in_.consume(in_.view().size());
  parsed_ = 0;
  row_description_ = data_row_ = complete_ = value_ = {};
  error_.clear();
  load_.clear();
  role_ = routing::ServerRole::kUnknown;
  position_.reset();
  bool sent;
  if (job_->probe) {
    sent = out_.write(fd_.get(), {pg::simple_query(kProbe)});
  } else {
    auto* client = pool_.events_.client_of(job_->request);
    bool came_up_late =
        state_ == State::kEstablished;  // for an idle connection the dispatcher has just asked
    if (!client || (came_up_late && !client->still_connected())) {
      if (job_) finish(outcome_of_cancel(false), false);  // else ended with its request
      return true;
    }
    if (loop.now() >= std::min(job_->deadline, job_->begin_by)) {
      finish(outcome_of_timeout(false), false);
      return true;
    }
    auto query = client->query(std::max(Micros(1000), job_->deadline - loop.now()));
    sent = out_.write(fd_.get(), {query.head, query.before, query.wait, query.after});
  }
  if (!sent && std::exchange(used_, true)) return false;
  if (!sent) {
    on_connection_error();
    return true;
  }
  used_ = true;
  state_ = State::kBusy;
  written_ = out_.empty();
  job_timer_ = loop.at(job_->deadline, [this] { finish(outcome_of_timeout(written_), false); });
  return true;
}

void ServerConnection::on_ready(std::uint32_t events) {
  if (state_ == State::kConnecting) {
    if (net::socket_error(fd_.get()) != 0) return on_connection_error();
    if (!(events & EPOLLOUT)) return;
    state_ = State::kGreeting;
    if (!out_.write(fd_.get(), {pg::startup_message(kUser, kDatabase)})) return on_connection_error();
  }
  if (events & EPOLLOUT) {
    if (!out_.flush(fd_.get())) return on_connection_error();
    if (state_ == State::kBusy && out_.empty()) written_ = true;
  }
  if (!(events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR))) return;
  auto end = in_.fill(fd_.get(), kCap, SIZE_MAX, !net::peer_has_ended(events));
  if (end == net::IoEnd::kFull) return on_malformed_answer();
  if (net::is_over(end)) {
    peer_closed_ = true;
    reusable_ = false;
  }
  read_frames();
  if (!fd_ || state_ != State::kBusy) return;
  if (parsed_ == in_.view().size() && row_description_.size == 0 && error_.empty()) return;  // not begun
  auto& loop = pool_.loop_;
  loop.cancel(&job_timer_);
  job_timer_ = loop.at(std::min(job_->deadline, loop.now() + kStall), [this] { on_malformed_answer(); });
}

void ServerConnection::read_frames() {
  while (fd_ && state_ != State::kSettled) {
    pg::Frame message;
    auto parse = pg::parse_frame(in_.view().substr(parsed_), kLongestMessage, &message);
    if (parse == pg::ParseStatus::kMore) break;
    if (parse == pg::ParseStatus::kOk && message.type == 'Z' && state_ == State::kGreeting &&
        error_.empty()) {
      if (job_->probe) {  // nobody's end goes before it, and not all who probe have such an end of turn
        ready();
        continue;
      }
      state_ = State::kEstablished;
      pool_.loop_.cancel(&job_timer_);
      in_.consume(in_.view().size());
      parsed_ = 0;
      pool_.established_.push_back(this);
      break;
    }
    bool busy = state_ == State::kBusy;
    if (parse == pg::ParseStatus::kBad || !frame(message, parsed_)) return on_malformed_answer();
    // The answer is whole: the connection may be back in the pool, with its buffer emptied.
    if (busy && state_ != State::kBusy) return;
    parsed_ += message.size;
  }
  if (peer_closed_ && fd_ && state_ != State::kSettled) on_connection_error();
}

// False: this message has no place here.
bool ServerConnection::frame(const pg::Frame& message, std::size_t at) {
  Span whole_message{at, message.size};
  switch (message.type) {
    case 'N':  // a notice
      return true;
    case 'S': {
      auto parameter = pg::parse_parameter(message.body);
      if (!parameter) return true;  // a report that cannot be read spoils only the report
      if (parameter->name == "server_role")
        role_ = parameter->value == "writer"   ? routing::ServerRole::kPrimary
                : parameter->value == "reader" ? routing::ServerRole::kReplica
                                               : routing::ServerRole::kUnknown;
      if (parameter->name == "commit_clock") position_ = whole(parameter->value);
      if (parameter->name == "usage") load_ = parameter->value;
      return true;
    }
    case 'R':
    case 'K':
      return state_ == State::kGreeting;
    case 'E': {
      auto fields = pg::parse_error(message.body);
      if (!fields) return false;
      if (error_.empty()) error_ = fields->code;
      if (error_ == "08P01")
        pool_.log_(net::Level::kError,
                   fmt::format("server {} took a statement for malformed: {}", server_, fields->message));
      return true;
    }
    case 'T':
      if (state_ != State::kBusy || row_description_.size > 0) return false;
      row_description_ = whole_message;
      return true;
    case 'D': {
      auto value = pg::parse_single_column(message.body);
      if (state_ != State::kBusy || row_description_.size == 0 || data_row_.size > 0 || !value) return false;
      data_row_ = whole_message;
      value_ = {at + static_cast<std::size_t>(value->data() - in_.view().data() - at), value->size()};
      return true;
    }
    case 'C':
      if (state_ != State::kBusy || complete_.size > 0) return false;
      complete_ = whole_message;
      return true;
    case 'Z':
      if (state_ != State::kBusy) return false;
      if (answer_outcome() == AttemptOutcome::kReset) return false;
      // What stands behind the answer belongs to nobody: the next answer must not begin with it.
      finish(answer_outcome(), in_.view().size() == at + message.size);
      return true;
    default:
      return false;
  }
}

// What the messages so far amount to: a row or an error, and not both; kReset: no whole answer.
AttemptOutcome ServerConnection::answer_outcome() const {
  bool row = row_description_.size > 0 && data_row_.size > 0 && complete_.size > 0;
  if (!error_.empty())
    return row_description_.size + complete_.size > 0 ? AttemptOutcome::kReset : outcome_of_error(error_);
  return row ? AttemptOutcome::kServed : AttemptOutcome::kReset;
}

// What came is no answer, or stopped in the middle of one. Nothing that it said before counts: an attempt
// that was written whole may have run, whatever error code the noise resembles.
void ServerConnection::on_malformed_answer() {
  pool_.on_malformed_answer(server_);
  if (!job_) return pool_.close(this);
  if (state_ == State::kBusy && answer_outcome() == AttemptOutcome::kServed)
    return finish(AttemptOutcome::kServed, false);
  role_ = routing::ServerRole::kUnknown;
  position_.reset();
  load_.clear();
  finish(outcome_of_broken_connection(state_ == State::kBusy && written_), false);
}

// The connection has ended.
void ServerConnection::on_connection_error() {
  if (!job_) return pool_.close(this);
  if (state_ == State::kGreeting && error_ == "53300") return finish(AttemptOutcome::kRejected, false);
  if (state_ == State::kBusy && answer_outcome() != AttemptOutcome::kReset)
    return finish(answer_outcome(), false);
  finish(outcome_of_broken_connection(state_ == State::kBusy && written_), false);
}

void ServerConnection::finish(AttemptOutcome outcome, bool reusable) {
  auto& loop = pool_.loop_;
  loop.cancel(&job_timer_);
  Job job = *std::exchange(job_, std::nullopt);
  bool answered = outcome == AttemptOutcome::kServed;
  reusable_ = reusable && !peer_closed_;
  state_ = State::kSettled;
  if (job.probe) {
    routing::ProbeResult result{server_, answered, loop.now() - job.started, load_};
    if (answered && result.load_report.empty()) result.load_report = text(value_);
    pool_.events_.probe_ended(std::move(result));
    return pool_.release(this);
  }
  pool_.out_.erase(job.request);
  AttemptEnd end;
  end.result.request = job.request;
  end.result.attempt = job.attempt;
  end.result.server = server_;
  end.result.outcome = outcome;
  end.result.duration = loop.now() - job.started;
  end.result.role = role_;
  end.result.position_unix_ms = position_;
  end.result.load_report = load_;
  if (answered) {
    end.answer = Answer{{text(row_description_), text(data_row_), text(complete_)}};
    end.connection = this;
  }
  pool_.events_.attempt_ended(std::move(end));
  if (!answered) pool_.release(this);
}

// ---- the pool
// ----------------------------------------------------------------------------------------------

ServerPool::ServerPool(net::Loop& loop, PoolLimits limits, ServerEvents& events, net::Log log,
                       SiblingWorkers* others)
    : loop_(loop), limits_(limits), events_(events), log_(std::move(log)), siblings_(others) {}

ServerPool::~ServerPool() = default;

void ServerPool::update(const discovery::EndpointListUpdate& list) {
  if (list.reset)
    for (auto& [id, server] : servers_) server.is_listed = false;
  for (auto& m : list.members) {
    auto& server = servers_[m.id];
    server.is_listed = m.lifecycle != discovery::Lifecycle::kRemoved;
    if (!m.address.empty() && m.address != server.address_text) {
      server.address = net::parse_address(m.address);
      server.address_text = m.address;
      if (!server.address)
        log_(net::Level::kError, fmt::format("server {} has no usable address: '{}'", m.id, m.address));
      drop_idle(server);
    }
  }
  std::vector<std::string> left;
  for (auto& [id, server] : servers_)
    if (!server.is_listed) left.push_back(id);
  for (auto& id : left) {
    drop_idle(servers_[id]);
    forget(id);
  }
}

// A server that has left the list goes with its last connection: new ones replace old ones all day.
void ServerPool::forget(const std::string& name) {
  auto it = servers_.find(name);
  if (it != servers_.end() && !it->second.is_listed && it->second.connections == 0) servers_.erase(it);
}

// Told once a second at most, with how many there were: a server at fault must not fill the log.
void ServerPool::on_malformed_answer(const std::string& server) {
  ++malformed_answers_;
  if (loop_.now() < malformed_logged_at_ + Micros(1'000'000)) return;
  malformed_logged_at_ = loop_.now();
  log_(net::Level::kWarning,
       fmt::format("server {} sent what is no answer ({} such answers since the last line)", server,
                   std::exchange(malformed_answers_, 0)));
}

void ServerPool::drop_idle(Server& server) {
  auto idle = server.idle;
  for (auto* connection : idle) close(connection);
}

void ServerPool::start(RequestId request, int attempt, const std::string& server, Micros wait,
                       Micros start_within) {
  ServerConnection::Job job;
  job.request = request;
  job.attempt = attempt;
  job.started = loop_.now();
  job.deadline = loop_.now() + wait;
  if (start_within != Micros::max()) job.begin_by = loop_.now() + start_within;
  run(server, job);
}

void ServerPool::probe(const std::string& server) {
  ServerConnection::Job job;
  job.probe = true;
  job.started = loop_.now();
  job.deadline = loop_.now() + limits_.probe_timeout;
  run(server, job);
}

void ServerPool::run(const std::string& name, ServerConnection::Job job) {
  auto known = servers_.find(name);
  if (known == servers_.end()) return end_unsent(name, job, AttemptOutcome::kNoConnection);
  auto& server = known->second;
  while (!server.idle.empty()) {
    auto* connection = server.idle.back();
    server.idle.pop_back();
    if (!job.probe) out_[job.request] = connection;
    if (connection->begin(job)) return;
    if (!job.probe) out_.erase(job.request);
    connection->job_.reset();
    close(connection);
  }
  if (!server.address) return end_unsent(name, job, AttemptOutcome::kNoConnection);
  if (siblings_ && siblings_->has_too_many_connections(name)) siblings_->request_closing_idle(name);
  if (!has_descriptor()) {
    log_(net::Level::kWarning, "no descriptor is left for a connection to a data server");
    return end_unsent(name, job, AttemptOutcome::kNotSent);
  }
  auto made = std::make_unique<ServerConnection>(*this, name);
  auto* connection = made.get();
  int error = 0;
  if (!connection->open(*server.address, &error)) {
    bool ours = error == EMFILE || error == ENFILE;  // our own want of descriptors says nothing of the server
    return end_unsent(name, job, ours ? AttemptOutcome::kNotSent : AttemptOutcome::kNoConnection);
  }
  all_[connection] = std::move(made);
  ++server.connections;
  if (siblings_) siblings_->connection_opened(name);
  if (!job.probe) out_[job.request] = connection;
  connection->begin(job);
}

void ServerPool::end_unsent(const std::string& server, const ServerConnection::Job& job,
                            AttemptOutcome outcome) {
  if (job.probe) return events_.probe_ended({server, false, Micros(0), ""});
  AttemptEnd end;
  end.result.request = job.request;
  end.result.attempt = job.attempt;
  end.result.server = server;
  end.result.outcome = outcome;
  events_.attempt_ended(std::move(end));
}

void ServerPool::cancel(RequestId request, std::optional<int> attempt) {
  auto it = out_.find(request);
  if (it == out_.end()) return;
  auto* connection = it->second;
  if (attempt && connection->job_->attempt != *attempt) return;
  connection->finish(outcome_of_cancel(connection->written_), false);
}

void ServerPool::release(void* given) {
  auto* connection = static_cast<ServerConnection*>(given);
  if (!connection->reusable_ || !connection->out_.empty()) return close(connection);
  auto& server = servers_[connection->server_];  // it stays as long as its connections
  if (!server.is_listed || (siblings_ && siblings_->has_too_many_connections(connection->server_)))
    return close(connection);
  connection->in_.consume(connection->in_.view().size());
  connection->parsed_ = 0;
  connection->state_ = ServerConnection::State::kIdle;
  connection->idle_timer_ = loop_.at(loop_.now() + limits_.idle, [this, connection] { close(connection); });
  server.idle.push_back(connection);
}

bool ServerPool::close_one_idle() {
  Server* most = nullptr;
  for (auto& [id, server] : servers_)
    if (!server.idle.empty() && (!most || server.idle.size() > most->idle.size())) most = &server;
  if (!most) return false;
  close(most->idle.front());
  return true;
}

void ServerPool::close_one_idle(const std::string& server) {
  auto it = servers_.find(server);
  if (it != servers_.end() && !it->second.idle.empty()) close(it->second.idle.front());
}

void ServerPool::close(ServerConnection* connection) {
  auto it = all_.find(connection);
  if (it == all_.end()) return;
  loop_.cancel(&connection->job_timer_);
  loop_.cancel(&connection->idle_timer_);
  std::erase(established_, connection);
  if (connection->fd_) loop_.remove(connection->fd_.get(), connection);
  connection->fd_.reset();
  if (siblings_) siblings_->connection_closed(connection->server_);
  if (auto server = servers_.find(connection->server_); server != servers_.end()) {
    std::erase(server->second.idle, connection);
    --server->second.connections;
    forget(connection->server_);
  }
  closed_.push_back(std::move(it->second));
  all_.erase(it);
}

void ServerPool::start_ready_attempts() {
  while (!established_.empty()) {
    auto* connection = established_.back();
    established_.pop_back();
    connection->ready();
  }
}

void ServerPool::sweep() { closed_.clear(); }

}  // namespace database_proxy::proxy
