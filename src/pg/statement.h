// The statements that clients may send, parsed in place. No I/O.
//
// A read or a write ends with one SQL comment that describes its request:
// `/* id=9b,c=view,d=480,cluster=2 */`.
// The comment's field names are fixed by the protocol page; this file translates them.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace database_proxy::pg {

// kSession: SET, RESET and DISCARD, which the proxy answers by itself. kUnknown: not exactly one of the known
// forms.
enum class StatementKind { kEmpty, kSession, kRead, kWrite, kUnknown };

// A parsed statement. All views except `problem` and `tag` point into its text.
struct Statement {
  StatementKind kind = StatementKind::kUnknown;
  std::string_view problem;        // kUnknown: the error, as a text for the client
  std::string_view tag;            // kSession: the command tag of CommandComplete
  std::string_view key;            // the row's name, without its quotes
  std::string_view id;             // field `id`
  std::string_view request_class;  // field `c`
  std::int64_t timeout_ms = 0;     // field `d`: the time that the client waits for the answer
  std::size_t timeout_begin = 0;   // the offset of the digits of `d` in the text
  std::size_t timeout_end = 0;
  std::optional<std::string_view> idempotency_key;  // field `k`
  std::int64_t shard_group = 0;                     // field `cluster`
  std::optional<std::int64_t> after_unix_ms;  // field `after`: the position that must be visible, rounded up
  bool is_retry = false;                      // field `r`
};

// The greatest size in bytes of a statement other than an INSERT. A longer one is rejected without waiting
// for the rest of it.
constexpr std::size_t kMaxShortStatementBytes = 4096;

// Whether a statement with this beginning may be longer than kMaxShortStatementBytes: only an INSERT, as it
// carries a value.
bool may_be_long(std::string_view beginning);

// Parses a statement. Never fails: a statement of no known form becomes StatementKind::kUnknown with its
// problem.
Statement parse_statement(std::string_view text);

}  // namespace database_proxy::pg
