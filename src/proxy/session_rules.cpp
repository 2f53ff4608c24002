#include "proxy/session_rules.h"

#include <algorithm>
#include <chrono>

namespace database_proxy::proxy {
namespace {

using namespace std::chrono_literals;

// The time in a statement runs from the client's send, and the answer takes a while to arrive: a sixteenth of
// it is reserved for that, within these bounds. Some clients wait for a few times ten milliseconds only and
// need nearly all of them.
constexpr int kMarginDivisor = 16;
constexpr Micros kMinMargin = 2ms, kMaxMargin = 20ms;
// No class waits so long; whoever wishes for more is answered by then, and nothing is remembered for a day.
constexpr Micros kMaxTimeout = 60s;

}  // namespace

std::optional<StatementError> check_request_class(const pg::Statement& statement,
                                                  const routing::RequestClassInfo* request_class) {
  if (!request_class) return StatementError{"22023", "this class is not known here"};
  bool is_write = statement.kind == pg::StatementKind::kWrite;
  if (request_class->is_write != is_write)
    return StatementError{"22023", "this class is for the other kind of statement"};
  if (request_class->needs_key && !statement.idempotency_key)
    return StatementError{"22023", "this class needs k"};
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
  return request;
}

}  // namespace database_proxy::proxy
