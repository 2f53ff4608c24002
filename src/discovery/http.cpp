#include "discovery/http.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <optional>
#include <string_view>
#include <system_error>
#include <utility>

#include "discovery/endpoint_list_limits.h"

namespace database_proxy::discovery {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr std::size_t kStatusLineMinor = 7;   // position of the minor version in "HTTP/1.1 200"
constexpr std::size_t kStatusLineStatus = 9;  // position of the status code
constexpr std::size_t kStatusLineMinSize = 12;

// Limits in bytes.
constexpr std::size_t kMaxHeadSize = 16 * 1024, kMaxChunkLineSize = 64;
// Beyond this a number is no size that a service would announce.
constexpr std::size_t kMaxSize = 10'000'000'000;

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

// Parses a number of at most kMaxSize; returns nullopt if `text` is not one.
std::optional<std::size_t> parse_size(std::string_view text, int base) {
  std::size_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  bool is_number = !text.empty() && error == std::errc() && end == text.data() + text.size();
  if (!is_number || value > kMaxSize) return std::nullopt;
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

// Returns whether an incomplete head may still become a valid one.
HttpParse check_partial_head(std::string_view input, bool ended) {
  if (input.size() > kMaxHeadSize || ended) return HttpParse::kBad;
  bool may_be_http = kVersionPrefix.starts_with(input.substr(0, kVersionPrefix.size()));
  return may_be_http ? HttpParse::kMore : HttpParse::kBad;
}

}  // namespace

HttpParse HttpResponseReader::read(std::string_view input, bool ended, std::size_t* used) {
  *used = 0;
  while (!is_complete_) {
    std::size_t stage_used = 0;
    auto parse = read_stage(input.substr(*used), ended, &stage_used);
    *used += stage_used;
    response_.size += stage_used;
    if (parse != HttpParse::kOk) return parse;
  }
  return HttpParse::kOk;
}

HttpParse HttpResponseReader::read_stage(std::string_view input, bool ended, std::size_t* used) {
  switch (stage_) {
    case Stage::kHead:
      return read_head(input, ended, used);
    case Stage::kSizedBody:
    case Stage::kChunk:
      return read_body(input, used);
    case Stage::kBodyUntilEnd:
      return read_body_until_end(input, ended, used);
    case Stage::kChunkSize:
      return read_chunk_size(input, used);
    case Stage::kChunkEnd:
      return read_chunk_end(input, used);
    case Stage::kTrailers:
      return read_trailer(input, used);
  }
  return HttpParse::kBad;
}

bool HttpResponseReader::is_body_too_long(std::size_t size) {
  if (size <= kMaxListBytes) return false;
  excessive_size_ = size;
  return true;
}

HttpParse HttpResponseReader::read_head(std::string_view input, bool ended, std::size_t* used) {
  auto head_end = input.find(kHeadEnd);
  if (head_end == std::string_view::npos) return check_partial_head(input, ended);
  Head head;
  if (!parse_head(input.substr(0, head_end), &head, &response_)) return HttpParse::kBad;
  *used = head_end + kHeadEnd.size();
  bool has_no_body = head.status < 200 || head.status == kNoContent || head.status == kNotModified;
  if (head.chunked) {
    stage_ = Stage::kChunkSize;
  } else if (has_no_body || head.content_length) {
    stage_ = Stage::kSizedBody;
    missing_ = has_no_body ? 0 : *head.content_length;
    if (is_body_too_long(missing_)) return HttpParse::kBad;
    response_.body.reserve(missing_);
  } else {
    stage_ = Stage::kBodyUntilEnd;
    response_.keep_alive = false;
  }
  return HttpParse::kOk;
}

// Reads the rest of a body with a Content-Length, or of a chunk.
HttpParse HttpResponseReader::read_body(std::string_view input, std::size_t* used) {
  *used = std::min(missing_, input.size());
  response_.body.append(input.substr(0, *used));
  missing_ -= *used;
  if (missing_ > 0) return HttpParse::kMore;
  if (stage_ == Stage::kSizedBody)
    is_complete_ = true;
  else
    stage_ = Stage::kChunkEnd;
  return HttpParse::kOk;
}

// Reads a body without a Content-Length, which ends with the connection.
HttpParse HttpResponseReader::read_body_until_end(std::string_view input, bool ended, std::size_t* used) {
  if (is_body_too_long(response_.body.size() + input.size())) return HttpParse::kBad;
  response_.body.append(input);
  *used = input.size();
  is_complete_ = ended;
  return ended ? HttpParse::kOk : HttpParse::kMore;
}

HttpParse HttpResponseReader::read_chunk_size(std::string_view input, std::size_t* used) {
  auto line_end = input.find(kLineEnd);
  if (line_end == std::string_view::npos)
    return input.size() > kMaxChunkLineSize ? HttpParse::kBad : HttpParse::kMore;
  auto line = input.substr(0, line_end);
  auto size = parse_size(trim(line.substr(0, line.find(';'))), 16);
  if (!size || is_body_too_long(response_.body.size() + *size)) return HttpParse::kBad;
  *used = line_end + kLineEnd.size();
  missing_ = *size;
  stage_ = *size == 0 ? Stage::kTrailers : Stage::kChunk;
  return HttpParse::kOk;
}

HttpParse HttpResponseReader::read_chunk_end(std::string_view input, std::size_t* used) {
  if (input.size() < kLineEnd.size()) return kLineEnd.starts_with(input) ? HttpParse::kMore : HttpParse::kBad;
  if (!input.starts_with(kLineEnd)) return HttpParse::kBad;
  *used = kLineEnd.size();
  stage_ = Stage::kChunkSize;
  return HttpParse::kOk;
}

// Reads one line of the trailer fields; the empty one ends the response.
HttpParse HttpResponseReader::read_trailer(std::string_view input, std::size_t* used) {
  auto line_end = input.find(kLineEnd);
  auto size = line_end == std::string_view::npos ? input.size() : line_end + kLineEnd.size();
  if (trailer_size_ + size > kMaxHeadSize) return HttpParse::kBad;
  if (line_end == std::string_view::npos) return HttpParse::kMore;
  trailer_size_ += size;
  is_complete_ = line_end == 0;
  *used = size;
  return HttpParse::kOk;
}

HttpParse parse_response(std::string_view input, bool ended, HttpResponse* response) {
  HttpResponseReader reader;
  std::size_t used = 0;
  auto parse = reader.read(input, ended, &used);
  *response = std::move(reader.response());
  return parse;
}

}  // namespace database_proxy::discovery
