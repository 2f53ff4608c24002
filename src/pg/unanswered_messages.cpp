#include "pg/unanswered_messages.h"

#include <algorithm>
#include <cstring>

#include "pg/message.h"

namespace database_proxy::pg {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kHeaderBytes = 1 + kLengthBytes;  // type and length; the length counts itself

constexpr char kSync = 'S', kTerminate = 'X';

bool is_extended_protocol(char type) {
  // Parse, Bind, Execute, Describe, Close
  return type == 'P' || type == 'B' || type == 'E' || type == 'D' || type == 'C';
}

bool never_has_answer(char type) {
  // Flush, CopyData, CopyDone, CopyFail
  return type == 'H' || type == 'd' || type == 'c' || type == 'f';
}

std::size_t length_of(const char* message) {
  std::size_t length = 0;
  for (std::size_t i = 1; i <= kLengthBytes; ++i)
    length = length << 8 | static_cast<unsigned char>(message[i]);
  return length;
}

}  // namespace

bool UnansweredMessageFilter::drops(char type) const {
  if (is_invalid_) return false;
  if (is_skipping_) return type != kSync && type != kTerminate;
  return never_has_answer(type);
}

void UnansweredMessageFilter::begin_message(char type, std::size_t size) {
  body_left_ = size;
  is_dropping_ = drops(type);
  if (type == kSync) is_skipping_ = false;
  if (is_extended_protocol(type)) is_skipping_ = true;
}

UnansweredMessageFilter::Result UnansweredMessageFilter::filter(char* bytes, std::size_t size) {
  Result result;
  std::size_t at = 0, kept = 0;
  while (at < size && !is_invalid_) {
    if (body_left_ == 0) {
      if (size - at < kHeaderBytes) break;
      auto length = length_of(bytes + at);
      is_invalid_ = !is_message_type(bytes[at]) || length < kLengthBytes || length - kLengthBytes > max_body_;
      if (is_invalid_) break;
      begin_message(bytes[at], 1 + length);
    }
    auto part = std::min(body_left_, size - at);
    if (!is_dropping_) {
      if (kept != at) std::memmove(bytes + kept, bytes + at, part);
      kept += part;
    }
    at += part;
    body_left_ -= part;
    if (is_dropping_ && body_left_ == 0) ++result.dropped_ends;
  }
  auto rest = size - at;
  if (rest > 0 && kept != at) std::memmove(bytes + kept, bytes + at, rest);
  result.size = kept + rest;
  result.scanned = is_invalid_ ? result.size : kept;
  return result;
}

}  // namespace database_proxy::pg
