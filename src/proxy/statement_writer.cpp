#include "proxy/statement_writer.h"

#include <algorithm>

#include "net/socket.h"

namespace database_proxy::proxy {
namespace {

using namespace std::chrono_literals;

// A statement of at most this size fits into the receive window of an idle connection.
constexpr std::size_t kMaxUndividedSize = 2048;
// What a server takes within this time, it takes into its buffers, whatever its pace of reading.
constexpr Micros kBufferFillTime = 50ms;
// Limits of the interval between two looks at what the server has taken, and the share of the elapsed time
// that the interval takes between them.
constexpr Micros kMinCheckInterval = 200us, kMaxCheckInterval = 10ms;
constexpr int kCheckIntervalDivisor = 4;

std::size_t size_of(const Query& query) {
  return query.head.size() + query.before.size() + query.timeout_ms.size() + query.after.size();
}

}  // namespace

bool StatementWriter::write_at_once(int descriptor, std::initializer_list<std::string_view> parts) {
  return buffer_.write(descriptor, parts);
}

StatementWriter::Status StatementWriter::begin(int descriptor, const Query& query, Micros now,
                                               Micros arrive_by) {
  size_ = size_of(query);
  taken_ = taken_at_once_ = 0;
  began_at_ = now;
  arrive_by_ = arrive_by;
  is_last_byte_withheld_ = size_ > kMaxUndividedSize;
  auto last_part = query.after;
  if (is_last_byte_withheld_) {
    last_byte_ = last_part.back();
    last_part.remove_suffix(1);
  }
  if (!buffer_.write(descriptor, {query.head, query.before, query.timeout_ms, last_part}))
    return Status::kBroken;
  return proceed(descriptor, now);
}

StatementWriter::Status StatementWriter::proceed(int descriptor, Micros now) {
  if (!buffer_.flush(descriptor)) return Status::kBroken;
  if (!is_last_byte_withheld_) return buffer_.empty() ? Status::kWritten : Status::kUnfinished;
  auto unsent = net::unsent_bytes(descriptor) + buffer_.size();
  taken_ = size_ - 1 - std::min(size_ - 1, unsent);
  if (now - began_at_ <= kBufferFillTime) taken_at_once_ = taken_;
  return unsent == 0 ? release_last_byte(descriptor, now) : Status::kUnfinished;
}

// The bytes before the last one have been taken, but the server may not have read them from its buffers.
StatementWriter::Status StatementWriter::release_last_byte(int descriptor, Micros now) {
  if (now + reading_delay(now) >= arrive_by_) return Status::kTooLate;
  is_last_byte_withheld_ = false;
  if (!buffer_.write(descriptor, {std::string_view(&last_byte_, 1)})) return Status::kBroken;
  return buffer_.empty() ? Status::kWritten : Status::kUnfinished;
}

// The time that the server needs to read what is in its buffers, at the pace at which it has read until now.
Micros StatementWriter::reading_delay(Micros now) const {
  auto read_since = taken_ - taken_at_once_;
  if (read_since == 0) return Micros(0);  // everything fitted into its buffers: the pace is unknown
  auto buffered = static_cast<std::int64_t>(taken_at_once_);
  return (now - began_at_) * buffered / static_cast<std::int64_t>(read_since);
}

Micros StatementWriter::next_check_in(Micros now) const {
  return std::clamp<Micros>((now - began_at_) / kCheckIntervalDivisor, kMinCheckInterval, kMaxCheckInterval);
}

}  // namespace database_proxy::proxy
