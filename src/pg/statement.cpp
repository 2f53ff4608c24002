#include "pg/statement.h"

#include <algorithm>
#include <charconv>

namespace database_proxy::pg {
namespace {

constexpr std::string_view kSelect = "SELECT content FROM kv WHERE name = '";
constexpr std::string_view kInsert = "INSERT INTO kv (name, content) VALUES ('";
constexpr std::size_t kLongestName = 64;
constexpr std::string_view kNameCharacters =
    "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_.:";
constexpr std::int64_t kLongestWaitMs = 24LL * 3600 * 1000;

bool take(std::string_view& in, std::string_view prefix) {
  if (!in.starts_with(prefix)) return false;
  in.remove_prefix(prefix.size());
  return true;
}

// Up to the closing quote, which is taken as well; a doubled quote belongs to the text.
std::optional<std::string_view> take_quoted(std::string_view& in) {
  for (std::size_t i = 0; i < in.size(); ++i) {
    if (in[i] != '\'') continue;
    if (i + 1 < in.size() && in[i + 1] == '\'') {
      ++i;
      continue;
    }
    auto text = in.substr(0, i);
    in.remove_prefix(i + 1);
    return text;
  }
  return std::nullopt;
}

std::optional<std::int64_t> whole(std::string_view s) {
  std::int64_t value = 0;
  auto [end, error] = std::from_chars(s.data(), s.data() + s.size(), value);
  if (s.empty() || error != std::errc() || end != s.data() + s.size()) return std::nullopt;
  return value;
}

bool is_space(char c) { return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f'; }

std::string_view trim(std::string_view s) {
  while (!s.empty() && (is_space(s.front()) || s.front() == ';')) s.remove_prefix(1);
  while (!s.empty() && (is_space(s.back()) || s.back() == ';')) s.remove_suffix(1);
  return s;
}

bool same_word(std::string_view a, std::string_view upper) {
  if (a.size() != upper.size()) return false;
  for (std::size_t i = 0; i < a.size(); ++i)
    if ((a[i] >= 'a' && a[i] <= 'z' ? a[i] - 32 : a[i]) != upper[i]) return false;
  return true;
}

// What stands for a request or its key: it goes into logs and on to data servers.
bool is_name(std::string_view s) {
  return !s.empty() && s.size() <= kLongestName &&
         s.find_first_not_of(kNameCharacters) == std::string_view::npos;
}

// The names and values of the comment. False: something is wrong or missing.
bool parse_comment(std::string_view text, std::string_view comment, Statement* s, std::string_view* why) {
  bool cluster = false;
  auto once = [&](bool fresh, std::string_view what) {
    if (!fresh) *why = what;
    return fresh;
  };
  while (!comment.empty()) {
    auto comma = comment.find(',');
    auto pair = comment.substr(0, comma);
    comment.remove_prefix(comma == std::string_view::npos ? comment.size() : comma + 1);
    auto equals = pair.find('=');
    if (equals == std::string_view::npos || equals == 0)
      return once(false, "the comment is no list of name=value");
    auto name = pair.substr(0, equals), value = pair.substr(equals + 1);
    if (name == "id") {
      if (!once(s->id.empty() && is_name(value), "id is no name or given twice")) return false;
      s->id = value;
    } else if (name == "c") {
      if (!once(s->request_class.empty() && !value.empty(), "c is empty or given twice")) return false;
      s->request_class = value;
    } else if (name == "d") {
      auto ms = whole(value);
      if (!once(s->wait_ms == 0 && ms && *ms > 0 && *ms <= kLongestWaitMs, "d is no wait in milliseconds"))
        return false;
      s->wait_ms = *ms;
      s->wait_at = static_cast<std::size_t>(value.data() - text.data());
      s->wait_end = s->wait_at + value.size();
    } else if (name == "k") {
      if (!once(!s->idempotency_key && is_name(value), "k is no name or given twice")) return false;
      s->idempotency_key = value;
    } else if (name == "cluster") {
      auto number = whole(value);
      if (!once(!cluster && number, "cluster is no number")) return false;
      cluster = true;
      s->cluster = *number;
    } else if (name == "after") {
      auto ms = whole(value);
      if (!once(!s->after && ms && *ms >= 0, "after is no position")) return false;
      if (*ms > 0) s->after = *ms;
    } else if (name == "r") {
      if (!once(value == "0" || value == "1", "r is neither 0 nor 1")) return false;
      s->retry = value == "1";
    }
  }
  return once(!s->id.empty() && !s->request_class.empty() && s->wait_ms > 0 && cluster,
              "id, c, d or cluster is missing");
}

}  // namespace

bool may_be_long(std::string_view begun) {
  auto size = std::min(begun.size(), kInsert.size());
  return begun.substr(0, size) == kInsert.substr(0, size);
}

Statement parse_statement(std::string_view text, std::string_view* why) {
  Statement s;
  auto rest = text;
  bool read = take(rest, kSelect), write = !read && take(rest, kInsert);
  if (!read && !write) {
    auto words = trim(text);
    auto first = words.substr(0, words.find_first_of(" \t\n\r\f;"));
    if (words.empty()) s.kind = StatementKind::kEmpty;
    for (std::string_view tag : {"SET", "RESET", "DISCARD"})
      if (same_word(first, tag) && words.find(';') == std::string_view::npos) {
        s.kind = StatementKind::kSession;
        s.tag = tag;
      }
    *why = "this statement is not known here";
    return s;
  }
  auto refuse = [&](std::string_view reason) {
    *why = reason;
    return Statement{};
  };
  auto key = take_quoted(rest);
  if (!key || key->empty()) return refuse("the key is empty or its quote is never closed");
  s.key = *key;
  if (write) {
    if (!take(rest, ", '") || !take_quoted(rest) || !take(rest, ") RETURNING content"))
      return refuse("this is not the INSERT known here");
  }
  if (!take(rest, " /* ") || !rest.ends_with(" */")) return refuse("the comment is missing or never closed");
  rest.remove_suffix(3);
  if (rest.find("*/") != std::string_view::npos || rest.find("/*") != std::string_view::npos)
    return refuse("one comment only");
  if (!parse_comment(text, rest, &s, why)) return Statement{};
  s.kind = write ? StatementKind::kWrite : StatementKind::kRead;
  return s;
}

}  // namespace database_proxy::pg
