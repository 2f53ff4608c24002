#include "proxy/server_connection.h"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "proxy/attempt_outcome.h"
#include "proxy/server_pool.h"

namespace database_proxy::proxy {
namespace {

using routing::AttemptOutcome;

constexpr std::size_t kMaxMessageSize = 192 * 1024;  // a value of 64 KiB takes 128 KiB as hexadecimal digits
constexpr std::size_t kMaxBufferedInput = 2 * kMaxMessageSize;
// A short answer that pauses for this time counts as malformed: it was truncated, or a wrong length makes the
// reader wait for bytes that never arrive. The rest of its client's time is for another attempt.
constexpr Micros kMaxAnswerPause{100'000};
constexpr std::string_view kUser = "backend", kDatabase = "store", kProbeQuery = "SHOW usage";
// The minimum timeout sent to a data server, which takes 0 for no timeout.
constexpr Micros kMinTimeout{1000};
constexpr std::int64_t kMicrosPerMilli = 1000;
constexpr std::string_view kTooManyConnections = "53300", kProtocolViolation = "08P01";

}  // namespace

ServerConnection::ServerConnection(ServerPool& pool, std::string server)
    : pool_(pool), server_(std::move(server)) {
  if (pool_.memory_budget_) charge_.emplace(*pool_.memory_budget_, BufferUse::kAnswer);
}

ServerConnection::~ServerConnection() {
  cancel_timers();
  if (fd_) pool_.loop_.remove(fd_.get(), this);
}

void ServerConnection::cancel_timers() {
  cancel_job_timers();
  pool_.loop_.cancel(&idle_timer_);
}

void ServerConnection::cancel_job_timers() {
  for (auto* timer : {&job_timer_, &writing_timer_, &arrival_timer_}) pool_.loop_.cancel(timer);
}

bool ServerConnection::open(const net::Address& address, int* error) {
  fd_ = net::start_connect(address, error);
  if (!fd_) return false;
  // Whatever ends the connection, also a kill of this process, an attempt that is given up does not arrive.
  net::set_close_mode(fd_.get(), net::CloseMode::kReset);
  if (pool_.loop_.add(fd_.get(), this)) return true;
  *error = errno;
  fd_.reset();
  return false;
}

bool ServerConnection::begin(const ServerJob& job) {
  job_ = job;
  is_written_ = false;
  if (state_ != State::kIdle) {
    wait_until_established();
    return true;
  }
  pool_.loop_.cancel(&idle_timer_);
  // Input that arrived while the connection was idle would be taken for this answer, and the peer may have
  // closed the connection.
  bool has_no_input = in_.fill(fd_.get(), kMaxBufferedInput) == net::IoResult::kAgain && in_.view().empty();
  return has_no_input && write_job();
}

// Waits for the connection. At the connect timeout the attempt ends with kNoConnection; if its own deadline
// comes first, it ends with kNotSent.
void ServerConnection::wait_until_established() {
  auto& loop = pool_.loop_;
  Micros established_by = loop.now() + pool_.limits_.connect_timeout;
  job_timer_ = loop.at(std::min(job_->deadline, established_by), [this, established_by] {
    bool is_unreachable = job_->deadline >= established_by;
    finish(is_unreachable ? AttemptOutcome::kNoConnection : outcome_of_timeout(false), false);
  });
}

// Sends the job on an established connection. Returns false if the connection had been idle and turns out to
// be broken: no byte of this job was sent, so the pool may use another connection.
bool ServerConnection::write_job() {
  auto& loop = pool_.loop_;
  loop.cancel(&job_timer_);
  in_.clear();
  parsed_ = 0;
  reader_.reset();
  auto status = job_->is_probe ? std::optional(write_probe()) : write_attempt();
  if (!status) return true;  // the attempt ended without being written
  bool was_used = std::exchange(was_used_, true);
  bool is_broken = *status == StatementWriter::Status::kBroken;
  if (is_broken && was_used) return false;
  if (is_broken) {
    on_connection_error();
    return true;
  }
  state_ = State::kBusy;
  job_timer_ = loop.at(job_->deadline, [this] { finish(outcome_of_timeout(is_written_), false); });
  limit_arrival(*status);
  on_writing_status(*status);
  return true;
}

StatementWriter::Status ServerConnection::write_probe() {
  bool is_sent = writer_.write_at_once(fd_.get(), {pg::simple_query(kProbeQuery)});
  return is_sent ? writer_.proceed(fd_.get(), pool_.loop_.now()) : StatementWriter::Status::kBroken;
}

// Begins to send the attempt's statement. Returns nullopt if the attempt must not start any more and has
// ended.
std::optional<StatementWriter::Status> ServerConnection::write_attempt() {
  auto now = pool_.loop_.now();
  auto* client = pool_.events_.client_of(job_->request);
  bool is_new_connection = state_ == State::kEstablished;  // for an idle one, the dispatcher has just checked
  auto presence = client ? ClientPresence::kConnected : ClientPresence::kGone;
  if (client && is_new_connection) presence = client->presence();
  if (presence == ClientPresence::kGone) {
    if (job_) finish(outcome_of_cancel(false), false);  // otherwise it has ended together with its request
    return std::nullopt;
  }
  if (presence == ClientPresence::kUnknown) {
    end_before_writing();
    return std::nullopt;
  }
  if (now >= std::min(job_->deadline, job_->start_by)) {
    finish(outcome_of_timeout(false), false);
    return std::nullopt;
  }
  if (end_if_not_fresh()) return std::nullopt;
  pool_.events_.attempt_begins(job_->request, server_);
  auto query = client->query(std::max(kMinTimeout, job_->deadline - now));
  return writer_.begin(fd_.get(), query, now, std::min({job_->deadline, job_->arrive_by, job_->fresh_until}));
}

// Ends an attempt that can no longer be sent while the server's data is known to be recent enough, and
// returns true.
bool ServerConnection::end_if_not_fresh() {
  if (pool_.loop_.now() <= job_->fresh_until) return false;
  pool_.on_attempt_too_late(*job_, server_);
  end_before_writing();
  return true;
}

// Ends an attempt that must not be sent now, so that its request is decided again. The connection is good: it
// becomes idle, and this request or another one can use it at once.
void ServerConnection::end_before_writing() {
  was_used_ = true;
  finish(outcome_of_timeout(false), true);
}

void ServerConnection::limit_arrival(StatementWriter::Status status) {
  bool is_written = status == StatementWriter::Status::kWritten;
  auto limit = is_written ? job_->arrive_by : std::min(job_->arrive_by, job_->fresh_until);
  if (limit < job_->deadline) arrival_timer_ = pool_.loop_.at(limit, [this] { on_arrival_limit(); });
}

void ServerConnection::on_writing_status(StatementWriter::Status status) {
  auto& loop = pool_.loop_;
  loop.cancel(&writing_timer_);
  switch (status) {
    case StatementWriter::Status::kUnfinished:
      if (writer_.awaits_server())
        writing_timer_ =
            loop.at(loop.now() + writer_.next_check_in(loop.now()), [this] { continue_writing(); });
      return;
    case StatementWriter::Status::kWritten:
      is_written_ = true;
      return;
    case StatementWriter::Status::kTooLate:
      return withdraw();
    case StatementWriter::Status::kBroken:
      return on_connection_error();
  }
}

void ServerConnection::continue_writing() {
  if (state_ == State::kBusy) on_writing_status(writer_.proceed(fd_.get(), pool_.loop_.now()));
}

// Ends the attempt if its last byte was not sent, or had to arrive by now and has not.
void ServerConnection::on_arrival_limit() {
  if (!is_written_) return withdraw();
  bool has_to_have_arrived = pool_.loop_.now() >= job_->arrive_by;
  if (has_to_have_arrived && net::unconfirmed_bytes(fd_.get()) > 0) finish(outcome_of_timeout(true), false);
}

// Ends an attempt whose last byte was not sent and would arrive too late: it cannot have run.
void ServerConnection::withdraw() {
  pool_.log_(
      net::Level::kInfo,
      fmt::format("attempt withdrawn: server {} has taken {} of {} bytes after {} ms, and the last one "
                  "would arrive too late",
                  server_, writer_.bytes_taken(), writer_.statement_size(),
                  (pool_.loop_.now() - job_->started_at).count() / kMicrosPerMilli));
  finish(outcome_of_timeout(false), false);
}

void ServerConnection::on_ready(std::uint32_t events) {
  bool is_writable = (events & EPOLLOUT) != 0;
  if (state_ == State::kConnecting) {
    if (net::socket_error(fd_.get()) != 0) return on_connection_error();
    if (!is_writable) return;
    state_ = State::kHandshake;
    if (!writer_.write_at_once(fd_.get(), {pg::startup_message(kUser, kDatabase)}))
      return on_connection_error();
  }
  if (is_writable) {
    if (state_ == State::kBusy && !is_written_) continue_writing();
    if (!fd_) return;  // the attempt was withdrawn
    if (state_ == State::kHandshake && !writer_.write_at_once(fd_.get(), {})) return on_connection_error();
  }
  bool has_ended = net::reports_disconnect(events);
  if ((events & EPOLLIN) == 0 && !has_ended) return;
  // Reading stops at a complete answer. Input behind it is detected before the next job.
  while (read_input(has_ended) && awaits_input()) {
  }
  if (!fd_ || state_ != State::kBusy) return;
  if (has_begun_answer()) limit_answer_pause();
}

bool ServerConnection::has_begun_answer() const {
  return state_ == State::kBusy && (parsed_ != in_.view().size() || reader_.has_begun());
}

// Whether the answer's value is long by the length that its server has announced, or has not begun yet: the
// server may be slow to write it, so it may pause for as long as its client waits.
bool ServerConnection::may_pause() const {
  if (reader_.value(in_.view()).size() > kShortAnswerBytes) return true;
  if (!reader_.awaits_row()) return false;
  auto partial_message = in_.view().substr(parsed_);
  if (partial_message.empty()) return true;
  pg::Frame frame;
  bool is_long = pg::parse_frame(partial_message, kShortAnswerBytes, &frame) == pg::ParseStatus::kBad;
  return is_long && partial_message[0] == 'D';
}

// Called when more of an answer has arrived, and not all of it.
void ServerConnection::limit_answer_pause() {
  auto& loop = pool_.loop_;
  auto pause_ends = loop.now() + kMaxAnswerPause;
  loop.cancel(&job_timer_);
  if (may_pause() || pause_ends >= job_->deadline)
    job_timer_ = loop.at(job_->deadline, [this] { finish(outcome_of_timeout(is_written_), false); });
  else
    job_timer_ = loop.at(pause_ends, [this] { on_malformed_answer(); });
}

// Reads and processes input. Returns false if no more is available for now. `until_end`: reads up to the
// peer's end of stream, which is reported only once.
bool ServerConnection::read_input(bool until_end) {
  auto end = until_end ? in_.fill(fd_.get(), kMaxBufferedInput) : in_.read_once(fd_.get(), kMaxBufferedInput);
  if (end == net::IoResult::kFull) {
    on_malformed_answer();
    return false;
  }
  if (net::is_disconnected(end)) {
    peer_closed_ = true;
    is_reusable_ = false;
  }
  if (!account_memory()) {
    on_memory_shortage();
    return false;
  }
  read_frames();
  return end == net::IoResult::kMore;
}

// Charges the budget with the input. Returns false if there is no room for more of a long answer.
bool ServerConnection::account_memory() {
  if (!charge_) return true;
  charge_->set(in_.memory());
  bool is_long_answer = state_ == State::kBusy && !job_->is_probe && in_.view().size() > kShortAnswerBytes;
  return !is_long_answer || pool_.memory_budget_->has_room();
}

void ServerConnection::on_memory_shortage() {
  lacks_memory_ = true;
  finish(outcome_of_cancel(is_written_), false);
}

bool ServerConnection::awaits_input() const {
  return fd_ && (state_ == State::kHandshake || state_ == State::kBusy);
}

ConnectionPhase ServerConnection::phase() const {
  if (state_ == State::kHandshake) return ConnectionPhase::kHandshake;
  return state_ == State::kBusy ? ConnectionPhase::kAnswer : ConnectionPhase::kIdle;
}

void ServerConnection::read_frames() {
  while (fd_ && state_ != State::kFinished) {
    pg::Frame frame;
    auto status = pg::parse_frame(in_.view().substr(parsed_), kMaxMessageSize, &frame);
    if (status == pg::ParseStatus::kMore) break;
    if (status == pg::ParseStatus::kBad) return on_malformed_answer();
    bool is_handshake_complete =
        frame.type == 'Z' && state_ == State::kHandshake && reader_.error_code().empty();
    if (is_handshake_complete) {
      if (on_handshake_complete()) continue;
      break;
    }
    auto verdict = reader_.read(frame, parsed_, in_.view(), phase());
    if (verdict == FrameVerdict::kMalformed) return on_malformed_answer();
    if (frame.type == 'E' && reader_.error_code() == kProtocolViolation)
      pool_.log_(net::Level::kError, fmt::format("server {} rejected a statement as malformed: {}", server_,
                                                 reader_.error_message()));
    if (verdict == FrameVerdict::kComplete) {
      // Input behind the answer belongs to no request, and the next answer must not begin with it. finish()
      // may return the connection to the pool and empty its buffer.
      bool is_last = in_.view().size() == parsed_ + frame.size;
      return finish(reader_.outcome(), is_last);
    }
    parsed_ += frame.size;
  }
  if (peer_closed_ && fd_ && state_ != State::kFinished) on_connection_error();
}

// Handles the end of the handshake. A probe is written at once: no client's disconnection has to be processed
// before it, and not all users of a pool for probes call start_ready_attempts(). Returns whether reading
// continues.
bool ServerConnection::on_handshake_complete() {
  if (job_->is_probe) {
    write_job();
    return true;
  }
  state_ = State::kEstablished;
  pool_.loop_.cancel(&job_timer_);
  in_.clear();
  parsed_ = 0;
  pool_.established_.push_back(this);
  return false;
}

// Handles an answer that is malformed or stopped in the middle. Nothing that it reported before is used: an
// attempt that was written completely may have run, whatever error code the malformed input resembles.
void ServerConnection::on_malformed_answer() {
  pool_.on_malformed_answer(server_);
  if (!job_) return pool_.close(this);
  bool is_busy = state_ == State::kBusy;
  if (is_busy && reader_.outcome() == AttemptOutcome::kServed) return finish(AttemptOutcome::kServed, false);
  reader_.discard_report();
  finish(outcome_of_broken_connection(is_busy && is_written_), false);
}

void ServerConnection::on_connection_error() {
  if (!job_) return pool_.close(this);
  bool is_busy = state_ == State::kBusy;
  bool is_rejected = state_ == State::kHandshake && reader_.error_code() == kTooManyConnections;
  if (is_rejected) return finish(AttemptOutcome::kRejected, false);
  if (is_busy && reader_.outcome() != AttemptOutcome::kReset) return finish(reader_.outcome(), false);
  finish(outcome_of_broken_connection(is_busy && is_written_), false);
}

// Ends the job; every job ends here.
void ServerConnection::finish(AttemptOutcome outcome, bool is_reusable) {
  cancel_job_timers();
  ServerJob job = *std::exchange(job_, std::nullopt);
  is_reusable_ = is_reusable && !peer_closed_;
  state_ = State::kFinished;
  if (job.is_probe) return report_probe(job, outcome == AttemptOutcome::kServed);
  report_attempt(job, outcome);
}

void ServerConnection::report_probe(const ServerJob& job, bool answered) {
  routing::ProbeResult result{server_, answered, pool_.loop_.now() - job.started_at, reader_.load_report()};
  if (answered && result.load_report.empty()) result.load_report = reader_.value(in_.view());
  pool_.events_.probe_ended(std::move(result));
  pool_.release(this);
}

void ServerConnection::report_attempt(const ServerJob& job, AttemptOutcome outcome) {
  pool_.attempts_.erase(job.request);
  AttemptEnd end;
  end.result.request = job.request;
  end.result.attempt = job.attempt;
  end.result.server = server_;
  end.result.outcome = outcome;
  end.result.duration = pool_.loop_.now() - job.started_at;
  end.result.role = reader_.role();
  end.result.position_unix_ms = reader_.position_unix_ms();
  end.result.load_report = reader_.load_report();
  bool answered = outcome == AttemptOutcome::kServed;
  if (answered) {
    end.answer = reader_.answer(in_.view());
    end.connection = this;
  }
  end.lacks_memory = std::exchange(lacks_memory_, false);
  pool_.events_.attempt_ended(std::move(end));
  if (!answered) pool_.release(this);
}

}  // namespace database_proxy::proxy
