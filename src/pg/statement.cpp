#include "pg/statement.h"

#include <algorithm>
#include <charconv>

namespace database_proxy::pg {
namespace {

constexpr std::string_view kSelect = "SELECT content FROM kv WHERE name = '";
constexpr std::string_view kInsert = "INSERT INTO kv (name, content) VALUES ('";
constexpr std::size_t kMaxNameBytes = 64;  // of a request's id or key
constexpr std::string_view kNameCharacters =
    "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_.:";
constexpr std::int64_t kMaxTimeoutMs = 24LL * 3600 * 1000;

// The error in a statement; nullopt: it is valid.
using Problem = std::optional<std::string_view>;

bool take_prefix(std::string_view& in, std::string_view prefix) {
  if (!in.starts_with(prefix)) return false;
  in.remove_prefix(prefix.size());
  return true;
}

// Removes the text up to the closing quote and the quote itself, and returns the text. A doubled quote is
// part of the text.
std::optional<std::string_view> take_quoted(std::string_view& in) {
  for (std::size_t i = 0; i < in.size(); ++i) {
    if (in[i] != '\'') continue;
    bool is_doubled = i + 1 < in.size() && in[i + 1] == '\'';
    if (is_doubled) {
      ++i;
      continue;
    }
    auto text = in.substr(0, i);
    in.remove_prefix(i + 1);
    return text;
  }
  return std::nullopt;
}

std::optional<std::int64_t> to_integer(std::string_view digits) {
  std::int64_t value = 0;
  const char* last = digits.data() + digits.size();
  auto [end, error] = std::from_chars(digits.data(), last, value);
  if (digits.empty() || error != std::errc() || end != last) return std::nullopt;
  return value;
}

bool is_space(char character) {
  return character == ' ' || character == '\t' || character == '\n' || character == '\r' || character == '\f';
}

bool is_padding(char character) { return is_space(character) || character == ';'; }

std::string_view trim(std::string_view text) {
  while (!text.empty() && is_padding(text.front())) text.remove_prefix(1);
  while (!text.empty() && is_padding(text.back())) text.remove_suffix(1);
  return text;
}

char to_upper(char character) {
  return character >= 'a' && character <= 'z' ? static_cast<char>(character - 'a' + 'A') : character;
}

bool equals_ignoring_case(std::string_view text, std::string_view upper) {
  return std::equal(text.begin(), text.end(), upper.begin(), upper.end(),
                    [](char left, char right) { return to_upper(left) == right; });
}

// Ids and keys are restricted to characters that are safe in logs and in statements to data servers.
bool is_name(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         text.find_first_not_of(kNameCharacters) == std::string_view::npos;
}

// Reads the fields of the comment into a statement. Unknown fields are ignored.
class CommentParser {
 public:
  // `text`: the whole statement, which contains the comment.
  CommentParser(std::string_view text, Statement& statement) : text_(text), statement_(statement) {}

  Problem parse(std::string_view comment) {
    while (!comment.empty()) {
      auto comma = comment.find(',');
      auto field = comment.substr(0, comma);
      comment.remove_prefix(comma == std::string_view::npos ? comment.size() : comma + 1);
      auto equals = field.find('=');
      if (equals == std::string_view::npos || equals == 0)
        return "the comment is not a list of name=value fields";
      if (auto problem = read_field(field.substr(0, equals), field.substr(equals + 1))) return problem;
    }
    bool is_complete = !statement_.id.empty() && !statement_.request_class.empty() &&
                       statement_.timeout_ms > 0 && has_shard_group_;
    if (!is_complete) return "id, c, d or cluster is missing";
    return std::nullopt;
  }

 private:
  Problem read_field(std::string_view name, std::string_view value) {
    if (name == "id") return read_id(value);
    if (name == "c") return read_request_class(value);
    if (name == "d") return read_timeout(value);
    if (name == "k") return read_idempotency_key(value);
    if (name == "cluster") return read_shard_group(value);
    if (name == "after") return read_position(value);
    if (name == "r") return read_retry(value);
    return std::nullopt;
  }

  Problem read_id(std::string_view value) {
    if (!statement_.id.empty() || !is_name(value)) return "id is not a valid name or is given twice";
    statement_.id = value;
    return std::nullopt;
  }

  Problem read_request_class(std::string_view value) {
    if (!statement_.request_class.empty() || value.empty()) return "c is empty or is given twice";
    statement_.request_class = value;
    return std::nullopt;
  }

  Problem read_timeout(std::string_view value) {
    auto timeout_ms = to_integer(value);
    bool is_valid = timeout_ms && *timeout_ms > 0 && *timeout_ms <= kMaxTimeoutMs;
    if (statement_.timeout_ms != 0 || !is_valid)
      return "d is not a valid timeout in milliseconds or is given twice";
    statement_.timeout_ms = *timeout_ms;
    statement_.timeout_begin = static_cast<std::size_t>(value.data() - text_.data());
    statement_.timeout_end = statement_.timeout_begin + value.size();
    return std::nullopt;
  }

  Problem read_idempotency_key(std::string_view value) {
    if (statement_.idempotency_key || !is_name(value)) return "k is not a valid name or is given twice";
    statement_.idempotency_key = value;
    return std::nullopt;
  }

  Problem read_shard_group(std::string_view value) {
    auto number = to_integer(value);
    if (has_shard_group_ || !number) return "cluster is not a number or is given twice";
    has_shard_group_ = true;
    statement_.shard_group = *number;
    return std::nullopt;
  }

  Problem read_position(std::string_view value) {
    auto unix_ms = to_integer(value);
    if (statement_.after_unix_ms || !unix_ms || *unix_ms < 0)
      return "after is not a valid position or is given twice";
    if (*unix_ms > 0) statement_.after_unix_ms = *unix_ms;
    return std::nullopt;
  }

  Problem read_retry(std::string_view value) {
    if (value != "0" && value != "1") return "r is neither 0 nor 1";
    statement_.is_retry = value == "1";
    return std::nullopt;
  }

  std::string_view text_;
  Statement& statement_;
  bool has_shard_group_ = false;
};

Statement unknown_statement(std::string_view problem) {
  Statement statement;
  statement.problem = problem;
  return statement;
}

// Parses empty queries and session commands; any other statement is unknown.
Statement parse_empty_or_session(std::string_view text) {
  Statement statement = unknown_statement("this statement is not supported");
  auto words = trim(text);
  if (words.empty()) statement.kind = StatementKind::kEmpty;
  bool is_single = words.find(';') == std::string_view::npos;
  auto first_word = words.substr(0, words.find_first_of(" \t\n\r\f;"));
  for (std::string_view tag : {"SET", "RESET", "DISCARD"}) {
    if (!is_single || !equals_ignoring_case(first_word, tag)) continue;
    statement.kind = StatementKind::kSession;
    statement.tag = tag;
  }
  return statement;
}

}  // namespace

bool may_be_long(std::string_view beginning) {
  auto size = std::min(beginning.size(), kInsert.size());
  return beginning.substr(0, size) == kInsert.substr(0, size);
}

Statement parse_statement(std::string_view text) {
  auto rest = text;
  bool is_read = take_prefix(rest, kSelect);
  bool is_write = !is_read && take_prefix(rest, kInsert);
  if (!is_read && !is_write) return parse_empty_or_session(text);

  Statement statement;
  auto key = take_quoted(rest);
  if (!key || key->empty()) return unknown_statement("the key is empty or its quote is not closed");
  statement.key = *key;
  if (is_write) {
    bool is_known = take_prefix(rest, ", '") && take_quoted(rest) && take_prefix(rest, ") RETURNING content");
    if (!is_known) return unknown_statement("this form of INSERT is not supported");
  }
  bool has_comment = take_prefix(rest, " /* ") && rest.ends_with(" */");
  if (!has_comment) return unknown_statement("the comment is missing or not closed");
  rest.remove_suffix(3);
  bool has_another = rest.find("*/") != std::string_view::npos || rest.find("/*") != std::string_view::npos;
  if (has_another) return unknown_statement("only one comment is allowed");
  if (auto problem = CommentParser(text, statement).parse(rest)) return unknown_statement(*problem);
  statement.kind = is_write ? StatementKind::kWrite : StatementKind::kRead;
  return statement;
}

}  // namespace database_proxy::pg
