// Input buffers, parsed in place, and output buffers, written with gathered writes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace database_proxy::net {

// Result of reading. kAgain: it would block. kClosed: the peer has closed the connection. kReset: the
// connection broke. kFull: the limit is reached. kMore: bytes were read, and more may be available.
enum class IoResult { kAgain, kClosed, kReset, kFull, kMore };

// Returns whether no more input will arrive from the peer.
constexpr bool is_disconnected(IoResult result) {
  return result == IoResult::kClosed || result == IoResult::kReset;
}

// Input of one connection that has not been consumed yet.
class InBuffer {
 public:
  std::string_view view() const { return std::string_view(bytes_).substr(start_); }
  // Drops the first `count` bytes, which have been parsed.
  void consume(std::size_t count);
  // Reads until EAGAIN, the end of the stream, `max_buffered` unread bytes in the buffer, or `max_bytes`
  // bytes read by this call. A read that returns fewer bytes than requested does not mean that all has been
  // read.
  IoResult fill(int fd, std::size_t max_buffered, std::size_t max_bytes = SIZE_MAX);
  // Reads once, up to `max_buffered` unread bytes in the buffer. For callers that can tell from the input
  // whether it is complete, and otherwise call again.
  IoResult read_once(int fd, std::size_t max_buffered);
  // The unread bytes from `offset` on, which the caller may change. Valid until the next call that reads.
  char* data_from(std::size_t offset) { return bytes_.data() + start_ + offset; }
  // Drops all but the first `size` unread bytes.
  void truncate(std::size_t size) { bytes_.resize(start_ + size); }
  std::size_t memory() const { return bytes_.capacity(); }
  void clear() { consume(bytes_.size()); }

 private:
  IoResult read_at_most(int fd, std::size_t max_bytes);

  std::string bytes_;
  std::size_t start_ = 0;
};

// Reads and discards up to `max_bytes` bytes. Returns kFull if there may be more.
IoResult discard(int fd, std::size_t max_bytes);

// Output of one connection that its socket has not accepted yet.
class OutBuffer {
 public:
  bool empty() const { return bytes_.empty(); }
  std::size_t size() const { return bytes_.size(); }
  // Writes the queued bytes and then the parts with one gathered write, and keeps a copy of what the socket
  // did not accept. Returns false if the connection is broken.
  bool write(int fd, std::initializer_list<std::string_view> parts) { return write(fd, parts, 0); }
  // Writes like write() and shuts down the sending side, with the end of the stream in the same segment, so
  // that the peer never receives one without the other. If the socket did not accept everything, the end is
  // not sent.
  bool write_and_shut_down(int fd, std::initializer_list<std::string_view> parts);
  bool flush(int fd) { return write(fd, {}); }

 private:
  bool write(int fd, std::initializer_list<std::string_view> parts, int flags);
  std::string bytes_;
};

}  // namespace database_proxy::net
