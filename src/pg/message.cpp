#include "pg/message.h"

namespace database_proxy::pg {
namespace {

constexpr std::uint32_t kVersion3 = 196608, kCancelCode = 80877102, kSslCode = 80877103, kGssCode = 80877104;
constexpr std::uint32_t kMaxFirstMessageBytes = 10'000;  // bytes, as PostgreSQL itself allows
constexpr std::size_t kLengthSize = 4;  // bytes of a message's length field, which counts itself
constexpr std::uint32_t kCancelRequestSize = 16;

std::uint32_t read32(std::string_view in, std::size_t at) {
  auto byte = [&](std::size_t offset) { return std::uint32_t{static_cast<unsigned char>(in[at + offset])}; };
  return byte(0) << 24 | byte(1) << 16 | byte(2) << 8 | byte(3);
}

void put32(std::string& out, std::size_t value) {
  for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>(value >> shift & 0xff));
}

std::string message(char type, std::string_view body) {
  std::string out(1, type);
  put32(out, body.size() + kLengthSize);
  out.append(body);
  return out;
}

// Removes one NUL-terminated string from the front of `in` and returns it without the NUL.
std::optional<std::string_view> take_text(std::string_view& in) {
  auto end = in.find('\0');
  if (end == std::string_view::npos) return std::nullopt;
  auto text = in.substr(0, end);
  in.remove_prefix(end + 1);
  return text;
}

std::string parameter(std::string_view name, std::string_view value) {
  std::string body(name);
  body.push_back('\0');
  body.append(value).push_back('\0');
  return message('S', body);
}

}  // namespace

bool is_message_type(char type) {
  return (type >= 'A' && type <= 'Z') || (type >= 'a' && type <= 'z') || (type >= '1' && type <= '3');
}

ParseStatus parse_frame(std::string_view in, std::size_t max_body, Frame* frame) {
  if (in.empty()) return ParseStatus::kMore;
  // With an unknown type byte the stream is out of step, and the length after it is not valid either.
  char type = in[0];
  if (!is_message_type(type)) return ParseStatus::kBad;
  if (in.size() < 5) return ParseStatus::kMore;
  std::size_t length = read32(in, 1);
  if (length < 4 || length - 4 > max_body) return ParseStatus::kBad;
  if (in.size() < 1 + length) return ParseStatus::kMore;
  *frame = {type, in.substr(5, length - 4), 1 + length};
  return ParseStatus::kOk;
}

namespace {

FirstMessageKind kind_of_code(std::uint32_t code) {
  if (code == kSslCode) return FirstMessageKind::kSsl;
  if (code == kGssCode) return FirstMessageKind::kGssEnc;
  if (code == kCancelCode) return FirstMessageKind::kCancel;
  bool is_version_3 = code >> 16 == kVersion3 >> 16;
  return is_version_3 ? FirstMessageKind::kStartup : FirstMessageKind::kOther;
}

// Whether `list` consists of pairs of strings and a final empty string.
bool is_parameter_list(std::string_view list) {
  while (true) {
    auto name = take_text(list);
    if (!name) return false;
    if (name->empty()) return list.empty();
    if (!take_text(list)) return false;
  }
}

}  // namespace

ParseStatus parse_first_message(std::string_view in, FirstMessage* first) {
  if (in.size() < kLengthSize) return ParseStatus::kMore;
  std::uint32_t length = read32(in, 0);
  if (length < 8 || length > kMaxFirstMessageBytes) return ParseStatus::kBad;
  if (in.size() < length) return ParseStatus::kMore;
  first->size = length;
  first->code = read32(in, 4);
  first->kind = kind_of_code(first->code);
  if (first->kind == FirstMessageKind::kCancel) {
    if (length != kCancelRequestSize) return ParseStatus::kBad;
    first->number = read32(in, 8);
    first->secret = read32(in, 12);
  }
  if (first->kind != FirstMessageKind::kStartup) return ParseStatus::kOk;
  return is_parameter_list(in.substr(8, length - 8)) ? ParseStatus::kOk : ParseStatus::kBad;
}

std::optional<std::string_view> query_text(std::string_view body) {
  if (body.empty() || body.find('\0') != body.size() - 1) return std::nullopt;
  return body.substr(0, body.size() - 1);
}

std::optional<ErrorFields> parse_error(std::string_view body) {
  ErrorFields fields;
  while (!body.empty() && body[0] != '\0') {
    char type = body[0];
    body.remove_prefix(1);
    auto text = take_text(body);
    if (!text) return std::nullopt;
    if (type == 'C') fields.code = *text;
    if (type == 'M') fields.message = *text;
    if (type == 'D') fields.detail = *text;
  }
  if (fields.code.empty()) return std::nullopt;
  return fields;
}

std::optional<Parameter> parse_parameter(std::string_view body) {
  auto name = take_text(body);
  auto value = name ? take_text(body) : std::nullopt;
  if (!value || !body.empty()) return std::nullopt;
  return Parameter{*name, *value};
}

std::optional<std::string_view> parse_single_column(std::string_view body) {
  if (body.size() < 6 || body[0] != 0 || body[1] != 1) return std::nullopt;
  std::size_t length = read32(body, 2);
  if (body.size() != 6 + length) return std::nullopt;
  return body.substr(6);
}

std::string query_head(std::size_t text_size) {
  std::string out(1, 'Q');
  put32(out, text_size + 5);
  return out;
}

std::string startup_message(std::string_view user, std::string_view database) {
  std::string body;
  put32(body, kVersion3);
  for (auto text : {std::string_view("user"), user, std::string_view("database"), database}) {
    body.append(text);
    body.push_back('\0');
  }
  body.push_back('\0');
  std::string out;
  put32(out, body.size() + 4);
  return out + body;
}

std::string simple_query(std::string_view text) {
  std::string out = query_head(text.size());
  out.append(text).push_back('\0');
  return out;
}

std::string ready_for_query() { return message('Z', "I"); }

std::string greeting(std::uint32_t number, std::uint32_t secret) {
  std::string key;
  put32(key, number);
  put32(key, secret);
  return message('R', std::string_view("\0\0\0\0", 4)) + parameter("server_version", "15.0") +
         parameter("client_encoding", "UTF8") + parameter("standard_conforming_strings", "on") +
         message('K', key) + ready_for_query();
}

std::string repeated_parameter() { return parameter("client_encoding", "UTF8"); }

std::string negotiate_version() { return message('v', std::string_view("\0\0\0\0\0\0\0\0", 8)); }

std::string command_complete(std::string_view tag) {
  std::string body(tag);
  body.push_back('\0');
  return message('C', body);
}

std::string empty_query_response() { return message('I', ""); }

std::string error_response(std::string_view severity, std::string_view code, std::string_view text,
                           std::string_view detail) {
  std::string body;
  auto field = [&](char type, std::string_view value) {
    body.push_back(type);
    body.append(value).push_back('\0');
  };
  field('S', severity);
  field('V', severity);
  field('C', code);
  field('M', text);
  if (!detail.empty()) field('D', detail);
  body.push_back('\0');
  return message('E', body);
}

}  // namespace database_proxy::pg
