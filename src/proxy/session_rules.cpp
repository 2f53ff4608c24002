#include "proxy/session_rules.h"

#include <algorithm>
#include <chrono>

namespace database_proxy::proxy {
namespace {

using namespace std::chrono_literals;

// The timeout in a statement starts when the client sends it, and the answer takes time to reach the client:
// a sixteenth of the timeout is reserved for that, within these bounds. Some clients wait only a few tens of
// milliseconds and need nearly all of that time.
constexpr int kMarginDivisor = 16;
constexpr Micros kMinMargin = 2ms, kMaxMargin = 20ms;
// Longer than any request class waits. Requests with a longer timeout are answered within this time, so that
// no state is kept for as long as a day.
constexpr Micros kMaxTimeout = 60s;

}  // namespace

std::optional<StatementError> check_request_class(const pg::Statement& statement,
                                                  const routing::RequestClassInfo* request_class) {
  if (!request_class) return StatementError{"22023", "unknown request class"};
  bool is_write = statement.kind == pg::StatementKind::kWrite;
  if (request_class->is_write != is_write)
    return StatementError{"22023", "request class does not match the kind of statement (read or write)"};
  if (request_class->needs_key && !statement.idempotency_key)
    return StatementError{"22023", "request class requires an idempotency key (k)"};
  return std::nullopt;
}

Micros answer_deadline(Micros sent_at, std::int64_t timeout_ms) {
  Micros timeout = std::min<Micros>(std::chrono::milliseconds(timeout_ms), kMaxTimeout);
  Micros margin = std::clamp(timeout / kMarginDivisor, kMinMargin, kMaxMargin);
  return sent_at + std::max(timeout - margin, timeout / 2);
}

std::uint64_t hash_of(std::string_view name) {
  constexpr std::uint64_t kOffsetBasis = 14695981039346656037u, kPrime = 1099511628211u;  // FNV-1a
  std::uint64_t hash = kOffsetBasis;
  for (unsigned char character : name) hash = (hash ^ character) * kPrime;
  return hash;
}

routing::Request to_request(const pg::Statement& statement, const routing::RequestClassInfo& request_class,
                            Micros sent_at) {
  routing::Request request;
  request.request_class = request_class.index;
  request.shard_group = statement.shard_group;
  if (request_class.has_session) request.session = hash_of(statement.key);
  request.after_unix_ms = statement.after_unix_ms;
  request.expires = answer_deadline(sent_at, statement.timeout_ms);
  request.is_retry = statement.is_retry;
  request.is_repeatable = request_class.is_repeatable;
  request.effect = request_class.effect;
  return request;
}

}  // namespace database_proxy::proxy
