#include "proxy/client_session.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>

#include "pg/message.h"

namespace database_proxy::proxy {
namespace {

using namespace std::chrono_literals;

// A value of 64 KiB takes 128 KiB as hexadecimal digits; the rest of a statement is short.
constexpr std::size_t kLongestMessage = 132 * 1024;
constexpr std::size_t kReadCap = kLongestMessage + 16 * 1024;  // what is pipelined waits in the kernel beyond
constexpr std::size_t kWriteCap = 64 * 1024;  // a client that does not read its answers gets no more
// One client's share of a turn: whoever sends without end waits for all the others after each of these.
constexpr int kCommandsPerIteration = 8;
constexpr std::size_t kBytesPerIteration = 64 * 1024, kDiscardPerIteration = 1024 * 1024;
// So many commands of one connection may wait for their answers, which is more than a driver sends ahead.
// More requests are refused untouched, or one client's hundreds would crowd out all others; and at the second
// figure, no more is read.
constexpr std::size_t kMostPipelinedRequests = 32, kMostQueuedCommands = 256;
// A connection that sends no whole command in this time after its beginning, or after the first byte of a
// later one, is closed: silence and half a command must not hold a descriptor.
constexpr Micros kCommandTimeout = 2500ms;
// Before its startup a client may ask for two kinds of encryption, and once more for good measure.
constexpr int kMostFirstMessages = 4;
constexpr Micros kWriteTimeout = 5s;  // a client that takes nothing of its answers for so long is gone
// After a fatal error reading goes on for so long, or a reset for unread input would overtake the error.
constexpr Micros kLingerTime = 1s;
constexpr std::size_t kLongestLinger = 64 * 1024 * 1024;
// `d` runs from the client's send, and the answer takes a while to arrive: a sixteenth of it is kept for
// that, within these bounds. Some clients wait for a few times ten milliseconds only and need nearly all of
// them.
constexpr Micros kLeastMargin = 2ms, kMostMargin = 20ms;
constexpr int kMarginDivisor = 16;
// No class waits so long; whoever asks for more is answered by then, and nothing is kept for a day.
constexpr Micros kLongestWait = 60s;

// Sessions are named by text; the module knows them by number (FNV-1a).
std::uint64_t hash_of(std::string_view name) {
  std::uint64_t hash = 14695981039346656037u;
  for (unsigned char c : name) hash = (hash ^ c) * 1099511628211u;
  return hash;
}

}  // namespace

ClientSession::ClientSession(net::Loop& loop, Dispatcher& dispatcher, SessionOwner& owner, net::Fd fd,
                             std::uint32_t number, std::uint32_t secret, Micros waiting_since)
    : loop_(loop),
      dispatcher_(dispatcher),
      owner_(owner),
      fd_(std::move(fd)),
      number_(number),
      secret_(secret),
      unread_since_(waiting_since),
      born_(loop.now()),
      idle_since_(loop.now()) {}

ClientSession::~ClientSession() {
  loop_.cancel(&timer_);
  if (fd_) loop_.remove(fd_.get(), this);
}

bool ClientSession::start() {
  arm_timeout();
  return loop_.add(fd_.get(), this);
}

void ClientSession::close() {
  if (!fd_) return;
  // What is answered already goes out as far as the socket takes it.
  if (!gathered_.empty()) out_.write(fd_.get(), {std::exchange(gathered_, {})});
  loop_.cancel(&timer_);
  owner_.on_buffered_change(-static_cast<std::ptrdiff_t>(std::exchange(counted_, 0)));
  loop_.remove(fd_.get(), this);
  fd_.reset();
  for (auto& slot : queue_)
    if (slot->request != 0) dispatcher_.leave(std::exchange(slot->request, 0));
  owner_.on_session_closed(this);
}

void ClientSession::on_ready(std::uint32_t events) {
  if (events & EPOLLOUT) {
    auto before = out_.size();
    if (!out_.flush(fd_.get())) return close();
    if (out_.size() != before) stuck_by_.reset();  // it reads: its time begins anew
  }
  if (draining_) return drain();
  // Told once, and not to be found by reading where that stops at a limit before the end of the stream.
  if (net::peer_has_ended(events)) return peer_closed();
  if (events & EPOLLIN) fill(true);
  if (fd_) process();
}

// The client has gone, and nothing that it sent is begun any more, whether read or not. Only a CancelRequest
// is carried out: its sender may close right behind it.
void ClientSession::peer_closed() {
  if (started_) return close();
  begin_iteration();
  in_.fill(fd_.get(), kReadCap, bytes_left_);
  pg::FirstMessage first;
  if (pg::parse_first_message(in_.view(), &first) == pg::ParseStatus::kOk &&
      first.kind == pg::FirstMessageKind::kCancel)
    owner_.on_cancel_request(first.number, first.secret);
  close();
}

// A request that was read in this turn had its client then; for others the connection is looked at, since its
// end may have come after the events that this turn has fetched.
bool ClientSession::still_connected(const Slot& slot) {
  if (fd_ && slot.turn != loop_.iteration() && net::peer_has_closed(fd_.get())) close();
  return static_cast<bool>(fd_);
}

void ClientSession::begin_iteration() {
  if (std::exchange(turn_, loop_.iteration()) == loop_.iteration()) return;
  commands_left_ = kCommandsPerIteration;
  bytes_left_ = kBytesPerIteration;
}

void ClientSession::fill(bool drained_by_short) {
  begin_iteration();
  if (ended_) {  // whatever comes behind the last command is not wanted
    if (net::is_over(net::discard(fd_.get(), kDiscardPerIteration))) close();
    return;
  }
  auto before = in_.view().size();
  auto since = caught_up_ ? loop_.ready_since() : unread_since_;
  auto end = in_.fill(fd_.get(), kReadCap, bytes_left_, drained_by_short);
  bytes_left_ -= std::min(bytes_left_, in_.view().size() - before);
  paused_ = end == net::IoEnd::kFull;
  if (net::is_over(end)) return close();
  if (in_.view().size() > before && !input_since_) input_since_ = since;
  caught_up_ = !paused_;
  held_back_ = held_back_ || paused_;
  unread_since_ = since;
  auto before_it = counted_;
  if (!account() && counted_ > before_it) fatal("53200", "no memory is left for a statement of this size");
}

bool ClientSession::account() {
  auto held = answers_ + (in_.memory() > pg::kLongestShortStatement ? in_.memory() : 0);
  auto change = static_cast<std::ptrdiff_t>(held) - static_cast<std::ptrdiff_t>(counted_);
  counted_ = held;
  return owner_.on_buffered_change(change);
}

// The time by which something must have come. A request that is out has its own.
void ClientSession::arm_timeout() {
  if (!fd_ || draining_) return;
  auto now = loop_.now();
  bool partial = queue_.empty() && !waiting_ && !in_.view().empty();
  if (!partial)
    begun_.reset();
  else if (!begun_)
    begun_ = now;
  if (out_.empty())
    stuck_by_.reset();
  else if (!stuck_by_)
    stuck_by_ = now + kWriteTimeout;
  std::optional<Micros> by;
  if (stuck_by_)
    by = stuck_by_;
  else if (queue_.empty() && !waiting_ && !commanded_)
    by = born_ + kCommandTimeout;
  else if (begun_)
    by = *begun_ + kCommandTimeout;
  if (by && timer_ != net::Loop::kNoTimer && timer_at_ == *by) return;
  loop_.cancel(&timer_);
  if (!by) return;
  timer_at_ = *by;
  timer_ = loop_.at(*by, [this] { on_timeout(); });
}

void ClientSession::on_timeout() {
  timer_ = net::Loop::kNoTimer;
  if (draining_ || !out_.empty()) return close();
  fatal("57014", "no whole command has come in time");
}

// Reads on for a while after the last word to the client, and throws it away.
void ClientSession::drain() {
  auto end = net::discard(fd_.get(), kDiscardPerIteration);
  if (net::is_over(end)) return close();
  if (out_.empty()) shutdown(fd_.get(), SHUT_WR);
  if (end != net::IoEnd::kFull) return;
  drained_ += kDiscardPerIteration;
  if (drained_ >= kLongestLinger) return close();
  later();
}

// Goes on in the next turn, after all others have had theirs; asked for once a turn.
void ClientSession::later() {
  if (std::exchange(later_in_, loop_.iteration() + 1) != loop_.iteration() + 1) loop_.again(this);
}

bool ClientSession::is_certain_to_be_rejected() {
  auto in = in_.view().substr(parsed_);
  if (!started_ || in.size() <= pg::kLongestShortStatement) return false;
  return in[0] != 'Q' || !pg::may_be_long(in.substr(5));
}

bool ClientSession::poll_input() {
  fill();
  if (fd_) process();
  return static_cast<bool>(fd_);
}

void ClientSession::resume() {
  waiting_ = false;
  if (fd_) process();
}

// All that was read is taken; the last byte of the next command is still to come. Where reading had stopped
// in the middle of that command, the rest may have waited on the client's side ever since.
void ClientSession::on_all_input_taken() {
  if (paused_) return;
  if (in_.view().size() == parsed_) held_back_ = false;
  if (!held_back_) input_since_.reset();
}

void ClientSession::process() {
  if (processing_) return;
  processing_ = true;
  begin_iteration();
  blocked_ = false;
  while (fd_ && !draining_ && !ended_ && !waiting_ && unsent() < kWriteCap &&
         queue_.size() < kMostQueuedCommands) {
    if (!started_) {
      if (opening()) continue;
      on_all_input_taken();
      break;
    }
    // What comes behind may be the client's end: all that has room is read before anything more is begun.
    if (paused_ && bytes_left_ == 0 && in_.view().size() < kReadCap) {
      later();
      break;
    }
    pg::Frame frame;
    auto parse = pg::parse_frame(in_.view().substr(parsed_), kLongestMessage, &frame);
    if (parse == pg::ParseStatus::kBad) {
      fatal("08P01", "this is no message of the protocol");
      break;
    }
    if (parse == pg::ParseStatus::kMore) {
      if (is_certain_to_be_rejected()) {
        fatal("42601", "this statement is too long and not known here");
        break;
      }
      on_all_input_taken();
      // Where commands that wait for their answers fill the buffer, their end makes room.
      if (!paused_ || in_.view().size() >= kReadCap) break;
      if (bytes_left_ == 0) {
        later();
        break;
      }
      fill();  // room again for what waits in the kernel
      continue;
    }
    if (commands_left_-- <= 0) {
      later();
      break;
    }
    message_ = frame.size;
    commanded_ = true;
    begun_.reset();
    auto queued = queue_.size();
    command(frame);
    if (!fd_ || draining_ || waiting_ || blocked_) break;
    blocked_since_.reset();
    if (queue_.empty()) {
      in_.consume(frame.size);
      consumed_ += frame.size;
      continue;
    }
    parsed_ += frame.size;
    if (queue_.size() == queued) queue_.back()->size += frame.size;  // it gets no answer of its own
  }
  processing_ = false;
  if (fd_ && closing_ && idle()) close();
  arm_timeout();
}

bool ClientSession::opening() {
  pg::FirstMessage first;
  auto parse = pg::parse_first_message(in_.view(), &first);
  if (parse == pg::ParseStatus::kMore) return false;
  if (parse == pg::ParseStatus::kBad) {
    fatal("08P01", "this is no startup message");
    return false;
  }
  if (++first_messages_ > kMostFirstMessages) {
    fatal("08P01", "the startup message is missing");
    return false;
  }
  switch (first.kind) {
    case pg::FirstMessageKind::kSsl:
    case pg::FirstMessageKind::kGssEnc:
      write({"N"});
      break;
    case pg::FirstMessageKind::kCancel:  // it gets no answer itself
      owner_.on_cancel_request(first.number, first.secret);
      close();
      return false;
    case pg::FirstMessageKind::kOther:
      fatal("0A000", "only version 3 of the protocol is spoken here");
      return false;
    case pg::FirstMessageKind::kStartup:
      started_ = true;
      write({first.code & 0xffff ? pg::negotiate_version() : "", pg::greeting(number_, secret_)});
      break;
  }
  if (!fd_) return false;
  in_.consume(first.size);
  consumed_ += first.size;
  return true;
}

void ClientSession::command(const pg::Frame& frame) {
  idle_since_ = loop_.now();
  if (skipping_ && frame.type != 'S' && frame.type != 'X')
    return;  // until the next Sync, as the protocol asks
  switch (frame.type) {
    case 'Q': {
      auto text = pg::text_of_query(frame.body);
      if (!text) return fatal("08P01", "a query must be one text with its end mark");
      return run(*text);
    }
    case 'X':
      return close();
    case 'S':
      skipping_ = false;
      return reply(pg::ready_for_query());
    case 'P':
    case 'B':
    case 'E':
    case 'D':
    case 'C':
      skipping_ = true;
      return reply(pg::error_response("ERROR", "0A000", "only simple queries are supported"));
    case 'H':
      return;
    case 'F':
      return reject("0A000", "function calls are not supported");
    case 'd':
    case 'c':
    case 'f':
      return;  // copy data outside a copy is passed over, as PostgreSQL does
    default:
      return fatal("08P01", "this message is not known here");
  }
}

void ClientSession::run(std::string_view text) {
  auto statement = pg::parse_statement(text);
  switch (statement.kind) {
    case pg::StatementKind::kEmpty:
      // The front takes this answer for "able to serve".
      if (!dispatcher_.ready()) {
        waiting_ = true;
        return;
      }
      return answer(pg::empty_query_response());
    case pg::StatementKind::kSession:
      return answer(pg::command_complete(statement.tag));
    case pg::StatementKind::kUnknown:
      return reject("42601", statement.problem);
    case pg::StatementKind::kRead:
    case pg::StatementKind::kWrite:
      break;
  }
  if (refusing_) return answer(pg::error_response("ERROR", "57P03", "the proxy is shutting down"));
  auto* request_class = dispatcher_.find_class(statement.request_class);
  if (!request_class) return reject("22023", "this class is not known here");
  if (request_class->is_write != (statement.kind == pg::StatementKind::kWrite))
    return reject("22023", "this class is for the other kind of statement");
  if (request_class->needs_key && !statement.idempotency_key) return reject("22023", "this class needs k");
  routing::Request request;
  request.request_class = request_class->index;
  request.shard_group = statement.shard_group;
  if (request_class->has_session) request.session = hash_of(statement.key);
  request.after_unix_ms = statement.after_unix_ms;
  bool write = statement.kind == pg::StatementKind::kWrite;
  auto key = hash_of(statement.key);
  // Whoever sends a write and a read of the same key behind one another expects to see the write.
  blocked_ = std::any_of(queue_.begin(), queue_.end(), [&](auto& slot) {
    return slot->request != 0 && slot->key == key && (slot->write || write);
  });
  auto arrived = input_since_.value_or(loop_.now());
  if (blocked_) {
    if (!blocked_since_) blocked_since_ = arrived;
    return;
  }
  Micros wait = std::min<Micros>(std::chrono::milliseconds(statement.timeout_ms), kLongestWait);
  request.expires = blocked_since_.value_or(arrived) +
                    std::max(wait - std::clamp(wait / kMarginDivisor, kLeastMargin, kMostMargin), wait / 2);
  request.is_retry = statement.is_retry;
  if (queue_.size() >= kMostPipelinedRequests || (!queue_.empty() && !account()) ||
      request.expires <= loop_.now())
    return answer(pg::error_response("ERROR", "53300", "too many commands wait on this connection"));
  auto slot = std::make_unique<Slot>(*this);
  // The other one, perhaps of another client, goes on as if this had not come.
  slot->request = dispatcher_.submit(slot.get(), request, statement.id);
  if (slot->request == 0) return reject("42710", "a request with this id is open");
  slot->turn = loop_.iteration();
  slot->start = consumed_ + parsed_;
  slot->size = slot->message = message_;
  slot->wait_at = statement.timeout_begin;
  slot->wait_end = statement.timeout_end;
  slot->key = key;
  slot->write = write;
  queue_.push_back(std::move(slot));
}

Query ClientSession::query(const Slot& slot, Micros wait) const {
  // The statement begins behind the message's letter and length. Its text stays where it was read; only the
  // wait is written anew.
  auto text = in_.view().substr(slot.start - consumed_ + 5, slot.message - 5);
  Query q;
  q.wait = fmt::format("{}", wait / 1ms);
  q.before = text.substr(0, slot.wait_at);
  q.after = text.substr(slot.wait_end);
  q.head = pg::query_head(q.before.size() + q.wait.size() + q.after.size() - 1);
  return q;
}

void ClientSession::write(std::initializer_list<std::string_view> parts, bool more) {
  if (!more && gathered_.empty()) {
    if (!out_.write(fd_.get(), parts)) close();
    return;
  }
  if (gathered_.empty()) owner_.schedule_flush(this);
  for (auto part : parts) gathered_.append(part);
  if (!more || gathered_.size() >= kWriteCap) flush();
}

void ClientSession::flush() {
  if (!fd_ || gathered_.empty()) return;
  auto gathered = std::exchange(gathered_, {});
  if (!out_.write(fd_.get(), {gathered})) return close();
  if (!processing_) arm_timeout();
}

// To a command just taken: at once, or behind the answers to those before it.
void ClientSession::reply(std::string message) {
  if (queue_.empty()) return write({message});
  auto slot = std::make_unique<Slot>(*this);
  slot->size = message_;
  slot->done = true;
  answers_ += message.size();
  slot->answer = std::move(message);
  queue_.push_back(std::move(slot));
}

void ClientSession::answer(std::string_view message) { reply(std::string(message) + pg::ready_for_query()); }

void ClientSession::reject(std::string_view code, std::string_view why) {
  answer(pg::error_response("ERROR", code, why));
}

void ClientSession::fatal(std::string_view code, std::string_view why) {
  if (!queue_.empty()) {  // what was taken before gets its answer first
    message_ = 0;
    reply(pg::error_response("FATAL", code, why));
    queue_.back()->last = true;
    ended_ = true;
    return;
  }
  write({pg::error_response("FATAL", code, why)});
  if (fd_) half_close();
}

void ClientSession::half_close() {
  draining_ = true;
  in_.clear();
  owner_.on_buffered_change(-static_cast<std::ptrdiff_t>(std::exchange(counted_, 0)));
  loop_.cancel(&timer_);
  timer_ = loop_.at(loop_.now() + kLingerTime, [this] { close(); });
  drain();
}

void ClientSession::serve(Slot& slot, const Answer& a) {
  if (&slot != queue_.front().get()) {
    std::string whole;
    for (auto frame : a.frames) whole.append(frame);
    return finish(slot, whole + pg::ready_for_query());
  }
  write({a.frames[0], a.frames[1], a.frames[2], pg::ready_for_query()}, queue_.size() > 1);
  finish(slot, "");
}

void ClientSession::Slot::reject(Micros retry_after) {
  session.finish(*this,
                 pg::error_response("ERROR", "53300", "too much to do at the moment",
                                    retry_after.count() > 0 ? fmt::format("{}", retry_after / 1ms) : "") +
                     pg::ready_for_query());
}

void ClientSession::Slot::fail(std::string_view why) {
  session.finish(*this, pg::error_response("ERROR", "57014", why) + pg::ready_for_query());
}

void ClientSession::finish(Slot& slot, std::string answer) {
  slot.request = 0;
  if (!fd_) return;  // writing found it broken
  slot.done = true;
  answers_ += answer.size();
  slot.answer = std::move(answer);
  idle_since_ = loop_.now();
  flush_answers();
  if (fd_) process();
}

void ClientSession::flush_answers() {
  while (fd_ && !queue_.empty() && queue_.front()->done) {
    auto slot = std::move(queue_.front());
    queue_.pop_front();
    answers_ -= slot->answer.size();
    in_.consume(slot->size);
    consumed_ += slot->size;
    parsed_ -= slot->size;
    if (!slot->answer.empty()) write({slot->answer}, !queue_.empty());
    if (fd_ && slot->last) half_close();
  }
  if (fd_) account();
}

// Asked for by the client on another connection: the command that is its turn. A request that is not out any
// more is not touched.
void ClientSession::cancel() {
  if (queue_.empty() || queue_.front()->request == 0) return;
  dispatcher_.leave(queue_.front()->request);
  queue_.front()->fail("canceled on the client's request");
}

}  // namespace database_proxy::proxy
