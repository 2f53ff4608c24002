// The part of ClientSession that handles the protocol messages of the client.
#include <algorithm>

#include "proxy/client_session.h"
#include "proxy/session_rules.h"

namespace database_proxy::proxy {
namespace {

// A client may request two kinds of encryption before its startup message; one more message is tolerated.
constexpr int kMaxFirstMessages = 4;
// Minor version N of the requested protocol version 3.N. If N is above 0, the version is negotiated down
// to 3.0.
constexpr std::uint32_t kMinorVersionMask = 0xffff;

}  // namespace

// Handles a message that precedes the session. Returns false if the message is incomplete or the connection
// has ended.
bool ClientSession::handle_first_message() {
  pg::FirstMessage first;
  auto status = pg::parse_first_message(input_.view(), &first);
  if (status == pg::ParseStatus::kMore) return false;
  if (status == pg::ParseStatus::kBad) {
    fail_connection("08P01", "invalid startup message");
    return false;
  }
  if (++first_messages_ > kMaxFirstMessages) {
    fail_connection("08P01", "too many messages before the startup message");
    return false;
  }
  switch (first.kind) {
    case pg::FirstMessageKind::kSsl:
    case pg::FirstMessageKind::kGssEnc:
      write({"N"});
      break;
    case pg::FirstMessageKind::kCancel:  // has no answer of its own
      owner_.on_cancel_request(first.number, first.secret);
      close();
      return false;
    case pg::FirstMessageKind::kOther:
      fail_connection("0A000", "only version 3 of the protocol is supported");
      return false;
    case pg::FirstMessageKind::kStartup: {
      state_ = State::kServing;
      bool wants_newer = (first.code & kMinorVersionMask) != 0;
      write({wants_newer ? pg::negotiate_version() : "", pg::greeting(number_, secret_)});
      break;
    }
  }
  if (!fd_) return false;
  input_.consume(first.size);
  consumed_ += first.size;
  if (state_ != State::kStartup) input_.start_messages();
  return true;
}

void ClientSession::handle_message(const pg::Frame& frame) {
  idle_since_ = loop_.now();
  switch (frame.type) {
    case 'Q': {
      auto text = pg::query_text(frame.body);
      if (!text) return fail_connection("08P01", "a Query message must contain one null-terminated string");
      return handle_query(*text);
    }
    case kTerminate:  // the client waits for no answer
      return close_lost_peer();
    case 'S':  // Sync
      input_.return_command_share();
      return reply(pg::ready_for_query());
    case 'P':  // Parse, Bind, Execute, Describe, Close
    case 'B':
    case 'E':
    case 'D':
    case 'C':
      // What follows up to the next Sync has no answer and was removed from the input.
      return reply(pg::error_response("ERROR", "0A000", "only simple queries are supported"));
    case 'F':
      return reply_error("0A000", "function calls are not supported");
    default:
      return fail_connection("08P01", "unknown message type");
  }
}

void ClientSession::handle_query(std::string_view text) {
  auto statement = pg::parse_statement(text);
  switch (statement.kind) {
    case pg::StatementKind::kEmpty:
      input_.return_command_share();
      return handle_empty_query();
    case pg::StatementKind::kSession:
      input_.return_command_share();
      return reply_and_ready(pg::command_complete(statement.tag));
    case pg::StatementKind::kUnknown:
      return reply_error("42601", statement.problem);
    case pg::StatementKind::kRead:
    case pg::StatementKind::kWrite:
      return handle_request(statement);
  }
}

// Load balancers use the empty query as a health check: its answer means that the proxy can serve requests.
void ClientSession::handle_empty_query() {
  if (dispatcher_.ready()) return reply_and_ready(pg::empty_query_response());
  if (shutdown_ == Shutdown::kRejecting) return reply_error(kShuttingDown.code, kShuttingDown.message);
  state_ = State::kAwaitingReady;
  owner_.on_awaiting_ready(this);
}

void ClientSession::handle_request(const pg::Statement& statement) {
  if (shutdown_ == Shutdown::kRejecting) return reply_error(kShuttingDown.code, kShuttingDown.message);
  auto* request_class = dispatcher_.find_class(statement.request_class);
  if (auto error = check_request_class(statement, request_class))
    return reply_error(error->code, error->message);
  bool is_write = statement.kind == pg::StatementKind::kWrite;
  auto key = hash_of(statement.key);
  auto arrived_at = input_.sent_at(parsed_, message_size_);
  is_blocked_ = must_wait_for_earlier(key, is_write) || must_wait_for_presence();
  if (is_blocked_) {
    if (!blocked_since_) blocked_since_ = arrived_at;
    return;
  }
  auto request = to_request(statement, *request_class, blocked_since_.value_or(arrived_at));
  auto& budget = owner_.memory_budget();
  bool has_memory = budget.has_room_for_statements() && budget.has_room_for_waiting_answers();
  bool exceeds_limits = queue_.size() >= kMaxPipelinedRequests || (!queue_.empty() && !has_memory);
  if (exceeds_limits || request.expires <= loop_.now())
    return reply_error("53300", "too many commands are queued on this connection");
  auto command = std::make_unique<QueuedCommand>(*this);
  command->request = dispatcher_.submit(command.get(), request, statement.id);
  // The open request with the same id, which may belong to another client, is not affected.
  if (command->request == 0)
    return reply_error("42710", "a request with this id is already open or may have run");
  command->stream_offset = consumed_ + parsed_;
  command->size = command->message_size = message_size_;
  command->timeout_begin = statement.timeout_begin;
  command->timeout_end = statement.timeout_end;
  command->key = key;
  command->is_write = is_write;
  queue_.push_back(std::move(command));
}

// Returns whether the request has to wait for an earlier open request of the same key, where one of the two
// is a write: a client that pipelines a write and a read of a key expects the read to return the written
// value.
bool ClientSession::must_wait_for_earlier(std::uint64_t key, bool is_write) const {
  return std::any_of(queue_.begin(), queue_.end(), [&](auto& command) {
    bool is_open = command->request != 0;
    return is_open && command->key == key && (command->is_write || is_write);
  });
}

// Whether a further request has to wait because earlier ones wait for a sign of the client: they would not be
// open otherwise.
bool ClientSession::must_wait_for_presence() const {
  return queue_.size() >= kMaxPipelinedRequests && presence_timer_ != net::Loop::kNoTimer;
}

}  // namespace database_proxy::proxy
