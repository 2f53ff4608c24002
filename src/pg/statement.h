// The statements that clients may send, parsed where they lie. No I/O.
//
// A read or a write names its request in one SQL comment behind it: `/* id=9b,c=view,d=480,cluster=2 */`.
// The comment's field names are fixed by the protocol page; this file translates them.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace database_proxy::pg {

// kSession: SET, RESET and DISCARD, which the proxy answers by itself. kUnknown: not exactly one of the known
// forms.
enum class StatementKind { kEmpty, kSession, kRead, kWrite, kUnknown };

// What a statement says. All views point into its text.
struct Statement {
  StatementKind kind = StatementKind::kUnknown;
  std::string_view problem;        // kUnknown: what is wrong, as a sentence for the client
  std::string_view tag;            // kSession: what CommandComplete names
  std::string_view key;            // the row's name, between its quotes
  std::string_view id;             // field `id`
  std::string_view request_class;  // field `c`
  std::int64_t timeout_ms = 0;     // field `d`: how long the client waits for the answer
  std::size_t timeout_begin = 0;   // where the digits of `d` stand in the text
  std::size_t timeout_end = 0;
  std::optional<std::string_view> idempotency_key;  // field `k`
  std::int64_t shard_group = 0;                     // field `cluster`
  std::optional<std::int64_t> after_unix_ms;        // field `after`: the position to be seen, rounded up
  bool is_retry = false;                            // field `r`
};

// A statement of more bytes than these is rejected unless it is an INSERT, so the rest of it need not be
// waited for.
constexpr std::size_t kLongestShortStatement = 4096;

// Whether a statement that begins like this may be longer: only an INSERT carries a value.
bool may_be_long(std::string_view beginning);

// Never fails: what is not known becomes StatementKind::kUnknown with its problem.
Statement parse_statement(std::string_view text);

}  // namespace database_proxy::pg
