#include "proxy/client_session.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "proxy/session_rules.h"

namespace database_proxy::proxy {
namespace {

using namespace std::chrono_literals;

// Limit of the unsent answer bytes of a client that does not read: at this size no more commands are
// processed.
constexpr std::size_t kWriteCap = 64 * 1024;
// Number of commands of one connection that may wait for their answers; beyond it no more commands are
// processed.
constexpr std::size_t kMaxQueuedCommands = 256;
// What a command takes until it is answered, beside its text and its answer: its own state, and the request's
// in the dispatcher and the decision module.
constexpr std::size_t kQueuedCommandBytes = 512;
// A connection is closed if it sends no complete command within this time after it was opened, or after the
// first byte of a later command: neither a silent connection nor an incomplete command may hold a descriptor.
constexpr Micros kCommandTimeout = 2500ms;
// A client that reads nothing of its answers for this time is treated as gone.
constexpr Micros kWriteTimeout = 5s;
// Time for which input is still read and discarded after a fatal error. Closing with unread input would send
// a reset, which could overtake the error message.
constexpr Micros kLingerTime = 1s;
constexpr std::size_t kMaxDiscardedBytes = 64 * 1024 * 1024;
constexpr std::size_t kDiscardPerIteration = 1024 * 1024;

}  // namespace

ClientSession::ClientSession(net::Loop& loop, Dispatcher& dispatcher, SessionOwner& owner, net::Fd fd,
                             std::uint32_t number, std::uint32_t secret, Micros waiting_since)
    : loop_(loop),
      dispatcher_(dispatcher),
      owner_(owner),
      fd_(std::move(fd)),
      number_(number),
      secret_(secret),
      input_(loop, waiting_since),
      connected_at_(loop.now()),
      idle_since_(loop.now()),
      statement_charge_(owner.memory_budget(), BufferUse::kStatement),
      answer_charge_(owner.memory_budget(), BufferUse::kAnswer) {}

ClientSession::~ClientSession() {
  loop_.cancel(&timer_);
  loop_.cancel(&presence_timer_);
  if (fd_) loop_.remove(fd_.get(), this);
}

bool ClientSession::start() {
  update_timeout();
  return loop_.add(fd_.get(), this);
}

// Closes the connection; every other way to end it leads here. Gathered answers are written as far as the
// socket accepts them.
void ClientSession::close() {
  if (!fd_) return;
  check_closing();
  state_ = State::kClosed;
  if (!gathered_.empty()) out_.write(fd_.get(), {std::exchange(gathered_, {})});
  loop_.cancel(&timer_);
  loop_.cancel(&presence_timer_);
  statement_charge_.set(0);
  answer_charge_.set(0);
  loop_.remove(fd_.get(), this);
  fd_.reset();
  for (auto& command : queue_)
    if (command->request != 0) dispatcher_.abandon(std::exchange(command->request, 0));
  owner_.on_session_closed(this);
}

void ClientSession::check_closing() {
  auto unanswered = queue_.size() + (has_waiting_command() ? 1 : 0);
  dispatcher_.invariants().check(is_peer_gone_ || unanswered == 0, Invariant::kClosedUnanswered, [&] {
    return fmt::format("session {} has {} unanswered commands", number_, unanswered);
  });
}

// Whether a complete command was read and not taken yet: it waits for a data server or for its turn. None
// behind the end of the answers counts.
bool ClientSession::has_waiting_command() const {
  if (!has_started() || state_ == State::kFinishing || has_ended_output_) return false;
  pg::Frame frame;
  auto status = pg::parse_frame(input_.view().substr(parsed_), kMaxClientMessageSize, &frame);
  return status == pg::ParseStatus::kOk && frame.type != kTerminate;
}

void SessionBacklog::add(const SessionBacklog& other) {
  open_requests += other.open_requests;
  ready_answers += other.ready_answers;
  waiting_input_bytes += other.waiting_input_bytes;
  unsent_bytes += other.unsent_bytes;
}

SessionBacklog ClientSession::backlog() const {
  SessionBacklog backlog;
  for (auto& command : queue_) {
    backlog.open_requests += command->request != 0;
    backlog.ready_answers += command->is_done;
  }
  backlog.waiting_input_bytes = input_.view().size() - parsed_;
  backlog.unsent_bytes = unsent();
  return backlog;
}

// Closes the session after its connection broke or the client closed it.
void ClientSession::close_lost_peer() {
  is_peer_gone_ = true;
  close();
}

void ClientSession::close_when_idle() {
  if (shutdown_ == Shutdown::kNone) shutdown_ = Shutdown::kClosingWhenIdle;
}

void ClientSession::reject_new_requests() {
  shutdown_ = Shutdown::kRejecting;
  if (awaits_ready()) resume();
}

void ClientSession::on_ready(std::uint32_t events) {
  if ((events & EPOLLOUT) != 0) {
    auto size_before = out_.size();
    if (!out_.flush(fd_.get())) return close_lost_peer();
    if (out_.size() != size_before) {
      write_timeout_.reset();  // the client reads: its timeout starts again
      on_output_written();
    }
    account_memory();
  }
  if (is_lingering()) return discard_input();
  // The end of the peer is reported only once, and reading does not find it where it stops at a limit before
  // the end of the stream.
  if (net::reports_disconnect(events)) return on_peer_closed();
  if ((events & EPOLLIN) != 0) fill();
  if (fd_) process();
}

// Closes the session of a client that has closed its connection. None of its input is processed any more,
// whether read or not, except a CancelRequest: its sender may close the connection right after sending it.
void ClientSession::on_peer_closed() {
  if (has_started()) return close_lost_peer();
  input_.read(fd_.get());
  pg::FirstMessage first;
  auto status = pg::parse_first_message(input_.view(), &first);
  if (status == pg::ParseStatus::kOk && first.kind == pg::FirstMessageKind::kCancel)
    owner_.on_cancel_request(first.number, first.secret);
  close();
}

// Sets the timer for the next deadline of the client's reading and writing. Open requests have their own
// timers.
void ClientSession::update_timeout() {
  if (!fd_ || is_lingering()) return;
  bool has_partial_command = queue_.empty() && !awaits_ready() && !input_.is_empty();
  if (!has_partial_command)
    command_began_at_.reset();
  else if (!command_began_at_)
    command_began_at_ = loop_.now();
  if (out_.empty())
    write_timeout_.reset();
  else if (!write_timeout_)
    write_timeout_ = loop_.now() + kWriteTimeout;

  auto timeout = next_timeout();
  bool is_set = timer_ != net::Loop::kNoTimer;
  if (timeout && is_set && timer_at_ == *timeout) return;
  loop_.cancel(&timer_);
  if (!timeout) return;
  timer_at_ = *timeout;
  timer_ = loop_.at(*timeout, [this] { on_timeout(); });
}

std::optional<Micros> ClientSession::next_timeout() const {
  if (write_timeout_) return write_timeout_;
  if (is_unused()) return connected_at_ + kCommandTimeout;
  if (command_began_at_) return *command_began_at_ + kCommandTimeout;
  return std::nullopt;
}

void ClientSession::on_timeout() {
  timer_ = net::Loop::kNoTimer;
  if (is_lingering() || !out_.empty()) return close_lost_peer();
  fail_connection("57014", "no complete command was received in time");
}

// Discards further input after the last answer, and half-closes the connection once that is written.
void ClientSession::linger() {
  state_ = State::kLingering;
  input_.clear();
  account_memory();
  loop_.cancel(&timer_);
  timer_ = loop_.at(loop_.now() + kLingerTime, [this] { close(); });
  discard_input();
}

// Reads and discards input after the last answer to the client, up to a limit of time and bytes.
void ClientSession::discard_input() {
  auto end = net::discard(fd_.get(), kDiscardPerIteration);
  if (net::is_disconnected(end)) return close();
  if (out_.empty()) shutdown(fd_.get(), SHUT_WR);
  if (end != net::IoResult::kFull) return;
  discarded_ += kDiscardPerIteration;
  if (discarded_ >= kMaxDiscardedBytes) return close();
  continue_next_iteration();
}

// Schedules this session for the next loop iteration, after the other sessions have used their shares.
void ClientSession::continue_next_iteration() {
  auto next = loop_.iteration() + 1;
  if (std::exchange(continues_in_, next) != next) loop_.call_again(this);
}

void ClientSession::fill() {
  input_.begin_iteration();
  if (state_ == State::kFinishing) return discard_after_last_command();
  if (net::is_disconnected(input_.read(fd_.get()))) return close_lost_peer();
  if (!input_.is_paused()) on_input_at_end(input_.may_have_been_held_back());
  if (input_.take_has_dropped_messages()) on_messages_dropped();
  auto charged_before = statement_charge_.bytes();
  account_memory();
  bool has_grown = statement_charge_.bytes() > charged_before;
  if (has_grown && !owner_.memory_budget().has_room_for_statements())
    fail_connection("53200", "not enough buffer memory is left for a statement of this size");
}

// Discards part of the input behind the last command.
void ClientSession::discard_after_last_command() {
  auto end = net::discard(fd_.get(), kDiscardPerIteration);
  if (net::is_disconnected(end)) return close_lost_peer();
  if (end == net::IoResult::kAgain) on_input_at_end(true);
}

// Messages without an answer are complete commands, too.
void ClientSession::on_messages_dropped() {
  has_sent_command_ = true;
  command_began_at_.reset();
  idle_since_ = loop_.now();
}

// Charges the budget with the buffers of this session.
void ClientSession::account_memory() {
  statement_charge_.set(input_.memory() > pg::kMaxShortStatementBytes ? input_.memory() : 0);
  answer_charge_.set(queued_answer_bytes_ + unsent() + queue_.size() * kQueuedCommandBytes);
}

// While memory is short, further commands of a client are taken once it has its earlier answers.
bool ClientSession::may_take_commands() const {
  if (!takes_commands()) return false;
  bool is_memory_short = !owner_.memory_budget().has_room_for_waiting_answers();
  // During a shutdown all commands are taken: their answers are short.
  if (is_memory_short && shutdown_ == Shutdown::kNone) return unsent() == 0 && queue_.empty();
  return unsent() < kWriteCap && queue_.size() < kMaxQueuedCommands;
}

bool ClientSession::poll_input() {
  fill();
  if (fd_) process();
  return static_cast<bool>(fd_);
}

void ClientSession::finish_and_close() {
  input_.grant_last_share();
  if (is_lingering() || poll_input()) close();
}

void ClientSession::resume() {
  if (awaits_ready()) state_ = State::kServing;
  if (fd_) process();
}

// Processes the received commands as far as the limits allow.
void ClientSession::process() {
  if (is_processing_) return;
  if (has_ended_output_) return close();
  is_processing_ = true;
  input_.begin_iteration();
  is_blocked_ = false;
  while (fd_ && may_take_commands())
    if (!process_next()) break;
  is_processing_ = false;
  // The end of the stream may follow a command that waits for an earlier one.
  if (fd_ && is_blocked_ && input_.is_paused() && !input_.is_buffer_full()) continue_next_iteration();
  bool closes_when_idle = shutdown_ != Shutdown::kNone;
  if (fd_ && closes_when_idle && is_idle()) return close_unless_more_came();
  update_timeout();
}

// Closes the idle session unless more input has arrived since the last read. Such input is processed: closing
// with unread input would also lose the last answer.
void ClientSession::close_unless_more_came() {
  fill();
  if (!fd_) return;
  if (is_idle()) return close();
  process();
}

// Processes the next message. Returns false if no more can be processed now.
bool ClientSession::process_next() {
  if (state_ == State::kStartup) return handle_first_message();
  if (input_.may_read_more()) {
    fill();
    if (!fd_ || !takes_commands()) return false;
  }
  if (input_.must_read_more()) {
    continue_next_iteration();
    return false;
  }
  pg::Frame frame;
  auto status = pg::parse_frame(input_.view().substr(parsed_), kMaxClientMessageSize, &frame);
  if (status == pg::ParseStatus::kBad) {
    fail_connection("08P01", "invalid protocol message");
    return false;
  }
  if (status == pg::ParseStatus::kMore) return read_more_of_command();
  if (!input_.take_command_share()) {
    continue_next_iteration();
    return false;
  }
  return take_command(frame);
}

// Reads more of an incomplete command. Returns true if reading was possible in this iteration.
bool ClientSession::read_more_of_command() {
  if (is_certain_to_be_rejected()) {
    fail_connection("42601", "the statement is too long and not supported");
    return false;
  }
  // If commands that wait for their answers fill the buffer, space is freed when they end.
  if (!input_.is_paused() || input_.is_buffer_full()) return false;
  if (input_.is_share_used_up()) {
    continue_next_iteration();
    return false;
  }
  fill();
  return true;
}

// Executes a complete message. Returns false if the next one has to wait.
bool ClientSession::take_command(const pg::Frame& frame) {
  message_size_ = frame.size;
  has_sent_command_ = true;
  command_began_at_.reset();
  auto queued_before = queue_.size();
  handle_message(frame);
  if (!fd_ || is_lingering() || awaits_ready() || is_blocked_) return false;
  blocked_since_.reset();
  if (queue_.empty()) {
    input_.consume(frame.size);
    consumed_ += frame.size;
    return true;
  }
  parsed_ += frame.size;
  bool has_own_answer = queue_.size() != queued_before;
  if (!has_own_answer) queue_.back()->size += frame.size;
  return true;
}

// Returns whether the received part of a command already shows that it will be rejected, so that its rest
// need not be awaited.
bool ClientSession::is_certain_to_be_rejected() const {
  auto partial_command = input_.view().substr(parsed_);
  if (!has_started() || partial_command.size() <= pg::kMaxShortStatementBytes) return false;
  constexpr std::size_t kQueryHeader = 5;  // type byte and length
  return partial_command[0] != 'Q' || !pg::may_be_long(partial_command.substr(kQueryHeader));
}

void ClientSession::write(std::initializer_list<std::string_view> parts, WriteMode mode) {
  if (mode == WriteMode::kLast) return write_last(parts);
  bool is_gathered = mode == WriteMode::kGathered;
  if (!is_gathered && gathered_.empty()) {
    for (auto part : parts) output_bytes_ += part.size();
    if (!out_.write(fd_.get(), parts)) return close_lost_peer();
    on_output_written();
    return account_memory();
  }
  if (gathered_.empty()) owner_.schedule_flush(this);
  for (auto part : parts) gathered_.append(part);
  if (!is_gathered || gathered_.size() >= kWriteCap) flush();
}

// Writes the last answers together with the end of the stream. Otherwise a client could read its answer
// before the end and send another request in between.
void ClientSession::write_last(std::initializer_list<std::string_view> parts) {
  auto answers = std::exchange(gathered_, {});
  for (auto part : parts) answers.append(part);
  output_bytes_ += answers.size();
  if (!out_.write_and_shut_down(fd_.get(), {answers})) return close_lost_peer();
  has_ended_output_ = out_.empty();
}

void ClientSession::flush() {
  if (!fd_ || gathered_.empty()) return;
  auto gathered = std::exchange(gathered_, {});
  output_bytes_ += gathered.size();
  if (!out_.write(fd_.get(), {gathered})) return close_lost_peer();
  on_output_written();
  account_memory();
  if (!is_processing_) update_timeout();
}

void ClientSession::reply(std::string message) {
  if (queue_.empty()) return write({message}, mode_for_reply());
  auto command = std::make_unique<QueuedCommand>(*this);
  command->size = message_size_;
  command->is_done = true;
  queued_answer_bytes_ += message.size();
  command->answer = std::move(message);
  queue_.push_back(std::move(command));
}

void ClientSession::reply_and_ready(std::string_view message) {
  reply(std::string(message) + pg::ready_for_query());
}

void ClientSession::reply_error(std::string_view code, std::string_view why) {
  reply_and_ready(pg::error_response("ERROR", code, why));
}

// Ends the connection with an error, which is sent after the answers to earlier commands.
void ClientSession::fail_connection(std::string_view code, std::string_view why) {
  auto error = pg::error_response("FATAL", code, why);
  if (!queue_.empty()) {
    message_size_ = 0;
    reply(std::move(error));
    queue_.back()->ends_connection = true;
    state_ = State::kFinishing;
    return;
  }
  write({error});
  if (fd_) linger();
}

// Returns the statement with a new timeout. Its other parts refer to the input buffer and are not copied.
Query ClientSession::query(const QueuedCommand& command, Micros timeout) const {
  constexpr std::size_t kQueryHeader = 5;  // type byte and length
  auto begin = command.stream_offset - consumed_ + kQueryHeader;
  auto text = input_.view().substr(begin, command.message_size - kQueryHeader);
  Query query;
  query.timeout_ms = fmt::format("{}", timeout / 1ms);
  query.before = text.substr(0, command.timeout_begin);
  query.after = text.substr(command.timeout_end);
  query.head = pg::query_head(query.before.size() + query.timeout_ms.size() + query.after.size() - 1);
  return query;
}

// An answer for which the budget has no room is given up, unless its client takes it at once: it has read all
// earlier ones.
bool ClientSession::has_memory_for(const QueuedCommand& command, const Answer& answer) const {
  auto& budget = owner_.memory_budget();
  if (answer.size() <= kShortAnswerBytes || budget.has_room_for_waiting_answers()) return true;
  bool is_next = &command == queue_.front().get() && unsent() == 0;
  return is_next && budget.has_room() && fd_ && net::unconfirmed_bytes(fd_.get()) == 0;
}

void ClientSession::serve(QueuedCommand& command, const Answer& answer) {
  if (&command != queue_.front().get()) {
    std::string text;
    text.reserve(answer.size() + pg::ready_for_query().size());
    for (auto frame : answer.frames) text.append(frame);
    text.append(pg::ready_for_query());
    return finish(command, std::move(text));
  }
  auto mode = mode_for_front();
  if (fd_) write({answer.frames[0], answer.frames[1], answer.frames[2], pg::ready_for_query()}, mode);
  finish(command, "");
}

bool ClientSession::is_front_last() const {
  return shutdown_ != Shutdown::kNone && state_ == State::kServing && !is_processing_ && queue_.size() == 1 &&
         input_.view().size() == queue_.front()->size && out_.empty();
}

// Returns the write mode for the answer to the first command in the queue. If it may be the last answer,
// reads the input that has arrived until now, which may show that the client is gone and close the session.
ClientSession::WriteMode ClientSession::mode_for_front() {
  if (is_front_last()) fill();
  if (fd_ && is_front_last() && !input_.is_paused()) return WriteMode::kLast;
  return queue_.size() > 1 ? WriteMode::kGathered : WriteMode::kAtOnce;
}

// Returns the write mode for an answer to the message that is being handled, where none is before it.
ClientSession::WriteMode ClientSession::mode_for_reply() const {
  bool has_more_input = input_.view().size() > message_size_;
  return shutdown_ == Shutdown::kNone && has_more_input ? WriteMode::kGathered : WriteMode::kAtOnce;
}

void ClientSession::QueuedCommand::reject(Micros retry_after) {
  auto detail = retry_after.count() > 0 ? fmt::format("{}", retry_after / 1ms) : "";
  auto error = pg::error_response("ERROR", "53300", "too many requests at the moment", detail);
  session.finish(*this, error + pg::ready_for_query());
}

void ClientSession::QueuedCommand::reject_at_shutdown() {
  auto error = pg::error_response("ERROR", kShuttingDown.code, kShuttingDown.message);
  session.finish(*this, error + pg::ready_for_query());
}

void ClientSession::QueuedCommand::fail(std::string_view why) {
  session.finish(*this, pg::error_response("ERROR", "57014", why) + pg::ready_for_query());
}

void ClientSession::finish(QueuedCommand& command, std::string answer) {
  dispatcher_.invariants().check(!command.is_done, Invariant::kSecondAnswer,
                                 [&] { return fmt::format("session {}", number_); });
  command.request = 0;
  if (!fd_) return;  // a write failed and closed the session
  command.is_done = true;
  queued_answer_bytes_ += answer.size();
  command.answer = std::move(answer);
  account_memory();
  idle_since_ = loop_.now();
  flush_answers();
  if (fd_) process();
}

void ClientSession::flush_answers() {
  while (fd_ && !queue_.empty() && queue_.front()->is_done) {
    auto mode = queue_.front()->answer.empty() ? WriteMode::kAtOnce : mode_for_front();
    if (!fd_) return;
    auto command = std::move(queue_.front());
    queue_.pop_front();
    queued_answer_bytes_ -= command->answer.size();
    input_.consume(command->size);
    consumed_ += command->size;
    parsed_ -= command->size;
    if (!command->answer.empty()) write({command->answer}, mode);
    if (fd_ && command->ends_connection) linger();
  }
  if (fd_) account_memory();
}

void ClientSession::cancel() {
  if (queue_.empty() || queue_.front()->request == 0) return;
  dispatcher_.abandon(queue_.front()->request);
  queue_.front()->fail("canceled on the client's request");
}

}  // namespace database_proxy::proxy
