#include "proxy/client_session.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>

#include "pg/message.h"

namespace linenwinch::proxy {
namespace {

using namespace std::chrono_literals;

// A value of 64 KiB takes 128 KiB as hexadecimal digits; the rest of a statement is short.
constexpr std::size_t kLongestMessage = 132 * 1024;
constexpr std::size_t kReadCap = kLongestMessage + 16 * 1024;  // what is pipelined waits in the kernel beyond
constexpr std::size_t kWriteCap = 64 * 1024;  // a client that does not read its answers gets no more
// One client's share of a turn: whoever sends without end waits for all the others after each of these.
constexpr int kCommandsPerTurn = 8;
constexpr std::size_t kBytesPerTurn = 64 * 1024, kDiscardPerTurn = 1024 * 1024;
// So many commands may wait behind the one that is served, which is more than a driver sends ahead; what
// comes before those is refused untouched, or hundreds sent at once would keep a connection for minutes.
constexpr int kPipelined = 32;
// A connection that sends no whole command in this time after its beginning, or after the first byte of a
// later one, is closed: silence and half a command must not hold a descriptor.
constexpr Micros kPatience = 2500ms;
constexpr Micros kWritePatience = 5s;  // a client that takes nothing of its answers for so long is gone
// After a fatal error reading goes on for so long, or a reset for unread input would overtake the error.
constexpr Micros kDrainTime = 1s;
constexpr std::size_t kDrainMost = 64 * 1024 * 1024;
// `d` runs from the client's send, and the answer takes a while to arrive.
constexpr Micros kMargin = 20ms;

// Sessions are named by text; the module knows them by number (FNV-1a).
std::uint64_t number_of(std::string_view name) {
  std::uint64_t hash = 14695981039346656037u;
  for (unsigned char c : name) hash = (hash ^ c) * 1099511628211u;
  return hash;
}

}  // namespace

ClientSession::ClientSession(net::Loop& loop, Dispatcher& dispatcher, SessionOwner& owner, net::Fd fd,
                             std::uint32_t number, std::uint32_t secret)
    : loop_(loop),
      dispatcher_(dispatcher),
      owner_(owner),
      fd_(std::move(fd)),
      number_(number),
      secret_(secret),
      born_(loop.now()),
      idle_since_(loop.now()) {}

ClientSession::~ClientSession() {
  loop_.cancel(&timer_);
  if (fd_) loop_.remove(fd_.get(), this);
}

bool ClientSession::start() {
  arm();
  return loop_.add(fd_.get(), this);
}

void ClientSession::close() {
  if (!fd_) return;
  loop_.cancel(&timer_);
  owner_.buffered(-static_cast<std::ptrdiff_t>(std::exchange(counted_, 0)));
  loop_.remove(fd_.get(), this);
  fd_.reset();
  if (request_ != 0) dispatcher_.leave(std::exchange(request_, 0));
  owner_.session_closed(this);
}

void ClientSession::on_ready(std::uint32_t events) {
  if (events & EPOLLOUT) {
    auto before = out_.size();
    if (!out_.flush(fd_.get())) return close();
    if (out_.size() != before) stuck_by_.reset();  // it reads: its time begins anew
  }
  if (draining_) return drain();
  // Reading stopped at the cap, so the end of the stream is not seen by reading.
  if (paused_ && (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))) return close();
  if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) fill();
  if (fd_) process();
}

void ClientSession::new_turn() {
  if (std::exchange(turn_, loop_.turn()) == loop_.turn()) return;
  commands_left_ = kCommandsPerTurn;
  bytes_left_ = kBytesPerTurn;
}

void ClientSession::fill() {
  new_turn();
  auto before = in_.view().size();
  auto end = in_.fill(fd_.get(), kReadCap, bytes_left_);
  bytes_left_ -= std::min(bytes_left_, in_.view().size() - before);
  paused_ = end == net::IoEnd::kFull;
  if (end == net::IoEnd::kClosed) return close();
  auto held = in_.memory() > pg::kLongestShort ? in_.memory() : 0;
  auto change = static_cast<std::ptrdiff_t>(held) - static_cast<std::ptrdiff_t>(counted_);
  counted_ = held;
  if (!owner_.buffered(change) && change > 0 && request_ == 0)
    fatal("53200", "no memory is left for a statement of this size");
}

// The time by which something must have come. A request that is out has its own.
void ClientSession::arm() {
  if (!fd_ || draining_) return;
  auto now = loop_.now();
  bool partial = request_ == 0 && !waiting_ && !in_.view().empty();
  if (!partial)
    begun_.reset();
  else if (!begun_)
    begun_ = now;
  if (out_.empty())
    stuck_by_.reset();
  else if (!stuck_by_)
    stuck_by_ = now + kWritePatience;
  std::optional<Micros> by;
  if (stuck_by_)
    by = stuck_by_;
  else if (request_ == 0 && !waiting_ && !commanded_)
    by = born_ + kPatience;
  else if (begun_)
    by = *begun_ + kPatience;
  if (by && timer_.first == *by) return;
  loop_.cancel(&timer_);
  if (by) timer_ = loop_.at(*by, [this] { expire(); });
}

void ClientSession::expire() {
  timer_ = net::Loop::kNoTimer;
  if (draining_ || !out_.empty()) return close();
  fatal("57014", "no whole command has come in time");
}

// Reads on for a while after the last word to the client, and throws it away.
void ClientSession::drain() {
  auto end = net::discard(fd_.get(), kDiscardPerTurn);
  if (end == net::IoEnd::kClosed) return close();
  if (out_.empty()) shutdown(fd_.get(), SHUT_WR);
  if (end != net::IoEnd::kFull) return;
  drained_ += kDiscardPerTurn;
  if (drained_ >= kDrainMost) return close();
  later();
}

// Goes on in the next turn, after all others have had theirs; asked for once a turn.
void ClientSession::later() {
  if (std::exchange(later_in_, loop_.turn() + 1) != loop_.turn() + 1) loop_.again(this);
}

bool ClientSession::hopeless_begin() {
  auto in = in_.view();
  if (!started_ || in.size() <= pg::kLongestShort) return false;
  return in[0] != 'Q' || !pg::may_be_long(in.substr(5));
}

bool ClientSession::read_once() {
  fill();
  if (fd_) process();
  return static_cast<bool>(fd_);
}

void ClientSession::resume() {
  waiting_ = false;
  if (fd_) process();
}

void ClientSession::process() {
  if (processing_) return;
  processing_ = true;
  new_turn();
  while (fd_ && !draining_ && request_ == 0 && !waiting_ && out_.size() < kWriteCap) {
    if (!started_) {
      if (!opening()) break;
      continue;
    }
    pg::Frame frame;
    auto parse = pg::parse_frame(in_.view(), kLongestMessage, &frame);
    if (parse == pg::Parse::kBad) {
      fatal("08P01", "this is no message of the protocol");
      break;
    }
    if (parse == pg::Parse::kMore) {
      if (hopeless_begin()) {
        fatal("42601", "this statement is too long and not known here");
        break;
      }
      if (!paused_) break;
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
    taken_ = frame.size;
    commanded_ = true;
    begun_.reset();
    command(frame);
    if (fd_ && !draining_ && request_ == 0 && !waiting_) in_.consume(std::exchange(taken_, 0));
  }
  processing_ = false;
  if (fd_ && closing_ && idle()) close();
  arm();
}

bool ClientSession::opening() {
  pg::FirstMessage first;
  auto parse = pg::parse_first(in_.view(), &first);
  if (parse == pg::Parse::kMore) return false;
  if (parse == pg::Parse::kBad) {
    fatal("08P01", "this is no startup message");
    return false;
  }
  switch (first.kind) {
    case pg::Opening::kSsl:
    case pg::Opening::kGssEnc:
      write({"N"});
      break;
    case pg::Opening::kCancel:  // it gets no answer itself
      owner_.cancel_requested(first.number, first.secret);
      close();
      return false;
    case pg::Opening::kOther:
      fatal("0A000", "only version 3 of the protocol is spoken here");
      return false;
    case pg::Opening::kStartup:
      started_ = true;
      write({first.code & 0xffff ? pg::negotiate_version() : "", pg::greeting(number_, secret_)});
      break;
  }
  if (fd_) in_.consume(first.size);
  return static_cast<bool>(fd_);
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
      return write({pg::ready_for_query()});
    case 'P':
    case 'B':
    case 'E':
    case 'D':
    case 'C':
      skipping_ = true;
      return write({pg::error_response("ERROR", "0A000", "only simple queries are supported")});
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
  std::string_view why;
  statement_ = pg::parse_statement(text, &why);
  switch (statement_.kind) {
    case pg::StatementKind::kEmpty:
      // The front takes this answer for "able to serve".
      if (!dispatcher_.ready()) {
        waiting_ = true;
        return;
      }
      return answer(pg::empty_query_response());
    case pg::StatementKind::kSession:
      return answer(pg::command_complete(statement_.tag));
    case pg::StatementKind::kUnknown:
      return reject("42601", why);
    case pg::StatementKind::kRead:
    case pg::StatementKind::kWrite:
      break;
  }
  auto* cls = dispatcher_.find_class(statement_.cls);
  if (!cls) return reject("22023", "this class is not known here");
  if (cls->write != (statement_.kind == pg::StatementKind::kWrite))
    return reject("22023", "this class is for the other kind of statement");
  if (cls->keyed && !statement_.idempotency_key) return reject("22023", "this class needs k");
  routing::Request request;
  request.cls = cls->index;
  request.cluster = statement_.cluster;
  if (cls->session) request.session = number_of(statement_.key);
  request.after_unix_ms = statement_.after;
  Micros wait = std::chrono::milliseconds(statement_.wait_ms);
  request.expires = loop_.now() + std::max(wait - kMargin, wait / 2);
  request.retry = statement_.retry;
  if (waiting_behind() > kPipelined)
    return answer(pg::error_response("ERROR", "53300", "too many commands wait on this connection"));
  // The other one, perhaps of another client, goes on as if this had not come.
  request_ = dispatcher_.submit(this, request, statement_.id);
  if (request_ == 0) reject("42710", "a request with this id is open");
}

// How many commands have come behind the one that is being taken; no more are counted than matter.
int ClientSession::waiting_behind() const {
  auto rest = in_.view().substr(taken_);
  int count = 0;
  pg::Frame frame;
  while (count <= kPipelined && pg::parse_frame(rest, kLongestMessage, &frame) == pg::Parse::kOk) {
    rest.remove_prefix(frame.size);
    ++count;
  }
  return count;
}

Query ClientSession::query(Micros wait) {
  // The statement begins behind the message's letter and length. Its text stays where it was read; only the
  // wait is written anew.
  auto text = in_.view().substr(5, taken_ - 5);
  Query q;
  q.wait = fmt::format("{}", wait / 1ms);
  q.before = text.substr(0, statement_.wait_at);
  q.after = text.substr(statement_.wait_end);
  q.head = pg::query_head(q.before.size() + q.wait.size() + q.after.size() - 1);
  return q;
}

void ClientSession::write(std::initializer_list<std::string_view> parts) {
  if (!out_.write(fd_.get(), parts)) close();
}

void ClientSession::answer(std::string_view message) { write({message, pg::ready_for_query()}); }

void ClientSession::reject(std::string_view code, std::string_view why) {
  answer(pg::error_response("ERROR", code, why));
}

void ClientSession::fatal(std::string_view code, std::string_view why) {
  write({pg::error_response("FATAL", code, why)});
  if (!fd_) return;
  draining_ = true;
  taken_ = 0;
  in_.clear();
  owner_.buffered(-static_cast<std::ptrdiff_t>(std::exchange(counted_, 0)));
  loop_.cancel(&timer_);
  timer_ = loop_.at(loop_.now() + kDrainTime, [this] { close(); });
  drain();
}

void ClientSession::serve(const Answer& a) {
  write({a.frames[0], a.frames[1], a.frames[2], pg::ready_for_query()});
  answered();
}

void ClientSession::refuse(Micros retry_after) {
  answer(pg::error_response("ERROR", "53300", "too much to do at the moment",
                            retry_after.count() > 0 ? fmt::format("{}", retry_after / 1ms) : ""));
  answered();
}

void ClientSession::fail(std::string_view why) {
  answer(pg::error_response("ERROR", "57014", why));
  answered();
}

// Asked for by the client on another connection. A request that is not out any more is not touched.
void ClientSession::cancel() {
  if (request_ == 0) return;
  dispatcher_.leave(request_);
  fail("canceled on the client's request");
}

void ClientSession::answered() {
  if (!fd_) return;  // writing found it broken
  request_ = 0;
  commanded_ = true;
  in_.consume(std::exchange(taken_, 0));
  idle_since_ = loop_.now();
  process();
}

}  // namespace linenwinch::proxy
