// The messages of a client and what each of them does: the protocol's side of ClientSession.
#include <algorithm>

#include "proxy/client_session.h"
#include "proxy/session_rules.h"

namespace database_proxy::proxy {
namespace {

// Before its startup a client may ask for two kinds of encryption, and once more for good measure.
constexpr int kMostFirstMessages = 4;
// A client that wishes for version 3.N with N above 0 is negotiated down.
constexpr std::uint32_t kMinorVersionMask = 0xffff;

}  // namespace

// The messages before the session; false: more is needed, or the connection has ended.
bool ClientSession::handle_first_message() {
  pg::FirstMessage first;
  auto status = pg::parse_first_message(input_.view(), &first);
  if (status == pg::ParseStatus::kMore) return false;
  if (status == pg::ParseStatus::kBad) {
    fail_connection("08P01", "this is no startup message");
    return false;
  }
  if (++first_messages_ > kMostFirstMessages) {
    fail_connection("08P01", "the startup message is missing");
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
      fail_connection("0A000", "only version 3 of the protocol is spoken here");
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
  return true;
}

void ClientSession::handle_message(const pg::Frame& frame) {
  idle_since_ = loop_.now();
  bool ends_skipping = frame.type == 'S' || frame.type == 'X';
  if (state_ == State::kSkippingToSync && !ends_skipping) return;
  switch (frame.type) {
    case 'Q': {
      auto text = pg::text_of_query(frame.body);
      if (!text) return fail_connection("08P01", "a query must be one text with its end mark");
      return handle_query(*text);
    }
    case 'X':  // Terminate
      return close();
    case 'S':  // Sync
      state_ = State::kServing;
      return reply(pg::ready_for_query());
    case 'P':  // Parse, Bind, Execute, Describe, Close
    case 'B':
    case 'E':
    case 'D':
    case 'C':
      state_ = State::kSkippingToSync;
      return reply(pg::error_response("ERROR", "0A000", "only simple queries are supported"));
    case 'H':  // Flush
      return;
    case 'F':
      return reply_error("0A000", "function calls are not supported");
    case 'd':  // copy data outside a copy is passed over, as PostgreSQL does
    case 'c':
    case 'f':
      return;
    default:
      return fail_connection("08P01", "this message is not known here");
  }
}

void ClientSession::handle_query(std::string_view text) {
  auto statement = pg::parse_statement(text);
  switch (statement.kind) {
    case pg::StatementKind::kEmpty:
      // A load balancer takes this answer for "able to serve".
      if (!dispatcher_.ready()) {
        state_ = State::kAwaitingReady;
        return;
      }
      return reply_and_ready(pg::empty_query_response());
    case pg::StatementKind::kSession:
      return reply_and_ready(pg::command_complete(statement.tag));
    case pg::StatementKind::kUnknown:
      return reply_error("42601", statement.problem);
    case pg::StatementKind::kRead:
    case pg::StatementKind::kWrite:
      return handle_request(statement);
  }
}

void ClientSession::handle_request(const pg::Statement& statement) {
  if (shutdown_ == Shutdown::kRejecting) return reply_error("57P03", "the proxy is shutting down");
  auto* request_class = dispatcher_.find_class(statement.request_class);
  if (auto error = check_request_class(statement, request_class))
    return reply_error(error->code, error->message);
  bool is_write = statement.kind == pg::StatementKind::kWrite;
  auto key = hash_of(statement.key);
  auto arrived_at = input_.arrived_at();
  is_blocked_ = must_wait_for_earlier(key, is_write);
  if (is_blocked_) {
    if (!blocked_since_) blocked_since_ = arrived_at;
    return;
  }
  auto request = to_request(statement, *request_class, blocked_since_.value_or(arrived_at));
  bool is_too_much = queue_.size() >= kMaxPipelinedRequests || (!queue_.empty() && !account_memory());
  if (is_too_much || request.expires <= loop_.now())
    return reply_error("53300", "too many commands wait on this connection");
  auto command = std::make_unique<QueuedCommand>(*this);
  command->request = dispatcher_.submit(command.get(), request, statement.id);
  // The other one, perhaps of another client, goes on as if this had not come.
  if (command->request == 0) return reply_error("42710", "a request with this id is open");
  command->iteration = loop_.iteration();
  command->stream_offset = consumed_ + parsed_;
  command->size = command->message_size = message_size_;
  command->timeout_begin = statement.timeout_begin;
  command->timeout_end = statement.timeout_end;
  command->key = key;
  command->is_write = is_write;
  queue_.push_back(std::move(command));
}

// Whoever sends a write and a read of the same key behind one another expects to see the write.
bool ClientSession::must_wait_for_earlier(std::uint64_t key, bool is_write) const {
  return std::any_of(queue_.begin(), queue_.end(), [&](auto& command) {
    bool is_open = command->request != 0;
    return is_open && command->key == key && (command->is_write || is_write);
  });
}

}  // namespace database_proxy::proxy
