#include "discovery/http.h"

#include <charconv>
#include <optional>

namespace database_proxy::discovery {
namespace {

constexpr std::size_t kLongestHead = 16 * 1024, kLongestBody = 1024 * 1024;  // some thousand servers

bool same_text(std::string_view a, std::string_view lower) {
  if (a.size() != lower.size()) return false;
  for (std::size_t i = 0; i < a.size(); ++i)
    if ((a[i] >= 'A' && a[i] <= 'Z' ? a[i] + 32 : a[i]) != lower[i]) return false;
  return true;
}

std::string_view trim(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
  return s;
}

std::optional<std::size_t> size_in(std::string_view s, int base) {
  std::size_t value = 0;
  auto [end, error] = std::from_chars(s.data(), s.data() + s.size(), value, base);
  if (s.empty() || error != std::errc() || end != s.data() + s.size() || value > kLongestBody)
    return std::nullopt;
  return value;
}

HttpParse parse_chunks(std::string_view in, std::size_t at, HttpResponse* response) {
  while (true) {
    auto line_end = in.find("\r\n", at);
    if (line_end == std::string_view::npos) return in.size() - at > 64 ? HttpParse::kBad : HttpParse::kMore;
    auto line = in.substr(at, line_end - at);
    auto size = size_in(trim(line.substr(0, line.find(';'))), 16);
    if (!size || response->body.size() + *size > kLongestBody) return HttpParse::kBad;
    at = line_end + 2;
    if (*size == 0) break;
    if (in.size() < at + *size + 2) return HttpParse::kMore;
    if (in.substr(at + *size, 2) != "\r\n") return HttpParse::kBad;
    response->body.append(in.substr(at, *size));
    at += *size + 2;
  }
  while (true) {  // trailers, up to an empty line
    auto line_end = in.find("\r\n", at);
    if (line_end == std::string_view::npos)
      return in.size() - at > kLongestHead ? HttpParse::kBad : HttpParse::kMore;
    bool last = line_end == at;
    at = line_end + 2;
    if (last) break;
  }
  response->size = at;
  return HttpParse::kOk;
}

}  // namespace

HttpParse parse_response(std::string_view in, bool ended, HttpResponse* response) {
  *response = {};
  auto head_end = in.find("\r\n\r\n");
  if (head_end == std::string_view::npos) {
    if (in.size() > kLongestHead || ended) return HttpParse::kBad;
    return std::string_view("HTTP/1.").starts_with(in.substr(0, 7)) ? HttpParse::kMore : HttpParse::kBad;
  }
  auto head = in.substr(0, head_end);
  auto line = head.substr(0, head.find("\r\n"));
  if (!line.starts_with("HTTP/1.") || line.size() < 12 || line[8] != ' ') return HttpParse::kBad;
  auto status = size_in(line.substr(9, 3), 10);
  if (!status || *status < 100 || (line.size() > 12 && line[12] != ' ')) return HttpParse::kBad;
  response->status = static_cast<int>(*status);
  response->keep_alive = line[7] == '1';
  std::optional<std::size_t> length;
  bool chunked = false;
  for (std::size_t at = line.size() + 2; at < head.size();) {
    auto end = std::min(head.find("\r\n", at), head.size());
    auto field = head.substr(at, end - at);
    at = end + 2;
    auto colon = field.find(':');
    if (colon == std::string_view::npos || colon == 0) return HttpParse::kBad;
    auto name = field.substr(0, colon), value = trim(field.substr(colon + 1));
    if (same_text(name, "content-length")) {
      auto size = size_in(value, 10);
      if (!size || (length && *length != *size)) return HttpParse::kBad;
      length = size;
    } else if (same_text(name, "transfer-encoding")) {
      if (!same_text(value, "chunked")) return HttpParse::kBad;
      chunked = true;
    } else if (same_text(name, "connection")) {
      if (same_text(value, "close")) response->keep_alive = false;
      if (same_text(value, "keep-alive")) response->keep_alive = true;
    }
  }
  std::size_t at = head_end + 4;
  if (chunked) return parse_chunks(in, at, response);
  if (*status < 200 || *status == 204 || *status == 304) length = 0;
  if (!length) {  // as long as the connection
    response->keep_alive = false;
    if (in.size() - at > kLongestBody) return HttpParse::kBad;
    if (!ended) return HttpParse::kMore;
    length = in.size() - at;
  }
  if (in.size() - at < *length) return HttpParse::kMore;
  response->body = in.substr(at, *length);
  response->size = at + *length;
  return HttpParse::kOk;
}

}  // namespace database_proxy::discovery
