// The statements clients may send, parsed where they lie.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace database_proxy::pg {

enum class StatementKind { kEmpty, kSession, kRead, kWrite, kUnknown };  // kSession: SET, RESET, DISCARD

struct Statement {
  StatementKind kind = StatementKind::kUnknown;
  std::string_view tag;  // kSession: what CommandComplete says
  std::string_view key;  // between its quotes
  std::string_view id, request_class;
  std::int64_t wait_ms = 0;               // d
  std::size_t wait_at = 0, wait_end = 0;  // where d's digits stand in the text
  std::optional<std::string_view> idempotency_key;
  std::int64_t cluster = 0;
  std::optional<std::int64_t> after;  // Unix milliseconds, rounded up
  bool retry = false;
};

// Whether a longer statement may begin like this. Only an INSERT carries a value; whatever else grows beyond
// kLongestShort bytes will be refused, so it need not be waited for.
constexpr std::size_t kLongestShort = 4096;
bool may_be_long(std::string_view begun);

// kUnknown for anything that is not exactly one of the known forms; `why` then tells what is wrong.
Statement parse_statement(std::string_view text, std::string_view* why);

}  // namespace database_proxy::pg
