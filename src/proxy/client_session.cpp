#include "proxy/client_session.h"

#include <fmt/format.h>

#include <algorithm>

#include "pg/message.h"

namespace linenwinch::proxy {
namespace {

using namespace std::chrono_literals;

// A value of 64 KiB takes 128 KiB as hexadecimal digits; this leaves room to spare.
constexpr std::size_t kLongestMessage = 192 * 1024;
constexpr std::size_t kReadCap =
    kLongestMessage + 64 * 1024;               // pipelined commands wait in the kernel beyond it
constexpr std::size_t kWriteCap = 256 * 1024;  // a client that does not read its answers gets no more
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
      idle_since_(loop.now()) {}

ClientSession::~ClientSession() {
  if (fd_) loop_.remove(fd_.get(), this);
}

bool ClientSession::start() { return loop_.add(fd_.get(), this); }

void ClientSession::close() {
  if (!fd_) return;
  loop_.remove(fd_.get(), this);
  fd_.reset();
  if (request_ != 0) dispatcher_.leave(std::exchange(request_, 0));
  owner_.session_closed(this);
}

void ClientSession::on_ready(std::uint32_t events) {
  if ((events & EPOLLOUT) && !out_.flush(fd_.get())) return close();
  // Reading stopped at the cap, so the end of the stream is not seen by reading.
  if (paused_ && (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))) return close();
  if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) fill();
  if (fd_) process();
}

void ClientSession::fill() {
  auto end = in_.fill(fd_.get(), kReadCap);
  paused_ = end == net::IoEnd::kFull;
  if (end == net::IoEnd::kClosed) close();
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
  while (fd_ && request_ == 0 && !waiting_ && out_.size() < kWriteCap) {
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
      if (!paused_) break;
      fill();  // room again for what waits in the kernel
      continue;
    }
    taken_ = frame.size;
    command(frame);
    if (fd_ && request_ == 0 && !waiting_) in_.consume(std::exchange(taken_, 0));
  }
  processing_ = false;
  if (fd_ && closing_ && idle()) close();
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
  request_ = dispatcher_.submit(this, request);
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
  close();
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
  in_.consume(std::exchange(taken_, 0));
  idle_since_ = loop_.now();
  process();
}

}  // namespace linenwinch::proxy
