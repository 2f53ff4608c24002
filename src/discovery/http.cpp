#include "discovery/http.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <optional>
#include <string_view>
#include <system_error>

namespace database_proxy::discovery {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr std::size_t kStatusLineMinor = 7;   // position of the minor version in "HTTP/1.1 200"
constexpr std::size_t kStatusLineStatus = 9;  // position of the status code
constexpr std::size_t kStatusLineMinSize = 12;

// Limits in bytes. A body of the maximum size lists several thousand servers.
constexpr std::size_t kMaxHeadSize = 16 * 1024, kMaxBodySize = 1024 * 1024, kMaxChunkLineSize = 64;

constexpr std::size_t kNoContent = 204, kNotModified = 304;  // statuses without a body

struct Head {
  std::size_t status = 0;
  std::optional<std::size_t> content_length;
  bool chunked = false;
};

char to_lower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool is_equal_ignoring_case(std::string_view text, std::string_view lower_case) {
  return std::equal(text.begin(), text.end(), lower_case.begin(), lower_case.end(),
                    [](char one, char other) { return to_lower(one) == other; });
}

std::string_view trim(std::string_view text) {
  auto is_blank = [](char letter) { return letter == ' ' || letter == '\t'; };
  while (!text.empty() && is_blank(text.front())) text.remove_prefix(1);
  while (!text.empty() && is_blank(text.back())) text.remove_suffix(1);
  return text;
}

// Parses a number of at most kMaxBodySize; returns nullopt if `text` is not one.
std::optional<std::size_t> parse_size(std::string_view text, int base) {
  std::size_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  bool is_number = !text.empty() && error == std::errc() && end == text.data() + text.size();
  if (!is_number || value > kMaxBodySize) return std::nullopt;
  return value;
}

bool parse_status_line(std::string_view line, Head* head, HttpResponse* response) {
  if (!line.starts_with(kVersionPrefix) || line.size() < kStatusLineMinSize) return false;
  if (line[kStatusLineStatus - 1] != ' ') return false;
  auto status = parse_size(line.substr(kStatusLineStatus, 3), 10);
  if (!status || *status < 100) return false;
  if (line.size() > kStatusLineMinSize && line[kStatusLineMinSize] != ' ') return false;
  head->status = *status;
  response->status = static_cast<int>(*status);
  response->keep_alive = line[kStatusLineMinor] == '1';
  return true;
}

bool parse_field(std::string_view field, Head* head, HttpResponse* response) {
  auto colon = field.find(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  auto name = field.substr(0, colon);
  auto value = trim(field.substr(colon + 1));
  if (is_equal_ignoring_case(name, "content-length")) {
    auto size = parse_size(value, 10);
    if (!size || (head->content_length && *head->content_length != *size)) return false;
    head->content_length = size;
  } else if (is_equal_ignoring_case(name, "transfer-encoding")) {
    if (!is_equal_ignoring_case(value, "chunked")) return false;
    head->chunked = true;
  } else if (is_equal_ignoring_case(name, "connection")) {
    if (is_equal_ignoring_case(value, "close")) response->keep_alive = false;
    if (is_equal_ignoring_case(value, "keep-alive")) response->keep_alive = true;
  }
  return true;
}

bool parse_head(std::string_view text, Head* head, HttpResponse* response) {
  auto status_line = text.substr(0, text.find(kLineEnd));
  if (!parse_status_line(status_line, head, response)) return false;
  for (std::size_t at = status_line.size() + kLineEnd.size(); at < text.size();) {
    auto end = std::min(text.find(kLineEnd, at), text.size());
    if (!parse_field(text.substr(at, end - at), head, response)) return false;
    at = end + kLineEnd.size();
  }
  return true;
}

// Appends the chunk at `*at` to the body and moves `*at` past it. Sets `*is_last` if it is the empty chunk
// that ends the body.
HttpParse parse_chunk(std::string_view input, std::size_t* at, bool* is_last, HttpResponse* response) {
  auto line_end = input.find(kLineEnd, *at);
  if (line_end == std::string_view::npos)
    return input.size() - *at > kMaxChunkLineSize ? HttpParse::kBad : HttpParse::kMore;
  auto line = input.substr(*at, line_end - *at);
  auto size = parse_size(trim(line.substr(0, line.find(';'))), 16);
  if (!size || response->body.size() + *size > kMaxBodySize) return HttpParse::kBad;
  *at = line_end + kLineEnd.size();
  *is_last = *size == 0;
  if (*is_last) return HttpParse::kOk;
  if (input.size() < *at + *size + kLineEnd.size()) return HttpParse::kMore;
  if (input.substr(*at + *size, kLineEnd.size()) != kLineEnd) return HttpParse::kBad;
  response->body.append(input.substr(*at, *size));
  *at += *size + kLineEnd.size();
  return HttpParse::kOk;
}

// Moves `*at` past the trailer fields and the empty line that ends them.
HttpParse skip_trailers(std::string_view input, std::size_t* at) {
  while (true) {
    auto line_end = input.find(kLineEnd, *at);
    if (line_end == std::string_view::npos)
      return input.size() - *at > kMaxHeadSize ? HttpParse::kBad : HttpParse::kMore;
    bool is_empty = line_end == *at;
    *at = line_end + kLineEnd.size();
    if (is_empty) return HttpParse::kOk;
  }
}

HttpParse parse_chunked_body(std::string_view input, std::size_t at, HttpResponse* response) {
  bool is_last = false;
  while (!is_last) {
    auto parse = parse_chunk(input, &at, &is_last, response);
    if (parse != HttpParse::kOk) return parse;
  }
  auto parse = skip_trailers(input, &at);
  if (parse == HttpParse::kOk) response->size = at;
  return parse;
}

HttpParse parse_plain_body(std::string_view input, std::size_t at, std::size_t length,
                           HttpResponse* response) {
  if (input.size() - at < length) return HttpParse::kMore;
  response->body = input.substr(at, length);
  response->size = at + length;
  return HttpParse::kOk;
}

// Parses a body without a Content-Length, which ends with the connection.
HttpParse parse_body_until_end(std::string_view input, std::size_t at, bool ended, HttpResponse* response) {
  response->keep_alive = false;
  if (input.size() - at > kMaxBodySize) return HttpParse::kBad;
  if (!ended) return HttpParse::kMore;
  return parse_plain_body(input, at, input.size() - at, response);
}

// Returns whether an incomplete head may still become a valid one.
HttpParse check_partial_head(std::string_view input, bool ended) {
  if (input.size() > kMaxHeadSize || ended) return HttpParse::kBad;
  bool may_be_http = kVersionPrefix.starts_with(input.substr(0, kVersionPrefix.size()));
  return may_be_http ? HttpParse::kMore : HttpParse::kBad;
}

}  // namespace

HttpParse parse_response(std::string_view input, bool ended, HttpResponse* response) {
  *response = {};
  auto head_end = input.find(kHeadEnd);
  if (head_end == std::string_view::npos) return check_partial_head(input, ended);
  Head head;
  if (!parse_head(input.substr(0, head_end), &head, response)) return HttpParse::kBad;
  auto body_at = head_end + kHeadEnd.size();
  if (head.chunked) return parse_chunked_body(input, body_at, response);
  bool has_no_body = head.status < 200 || head.status == kNoContent || head.status == kNotModified;
  if (has_no_body) return parse_plain_body(input, body_at, 0, response);
  if (!head.content_length) return parse_body_until_end(input, body_at, ended, response);
  return parse_plain_body(input, body_at, *head.content_length, response);
}

}  // namespace database_proxy::discovery
