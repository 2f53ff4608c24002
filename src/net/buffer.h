// Bytes on their way in, parsed where they lie, and bytes on their way out, written gathered.
#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace database_proxy::net {

// How reading ended: it would block; the peer has closed; the connection broke; the cap is reached; bytes
// have come, and more may be there.
enum class IoResult { kAgain, kClosed, kReset, kFull, kMore };

// Whether nothing more will come from the peer.
constexpr bool is_disconnected(IoResult result) {
  return result == IoResult::kClosed || result == IoResult::kReset;
}

// Unread input of one connection.
class InBuffer {
 public:
  std::string_view view() const { return std::string_view(bytes_).substr(start_); }
  // Drops the first bytes, which have been parsed.
  void consume(std::size_t count);
  // Reads until EAGAIN, the end, `max_buffered` unread bytes are buffered, or `max_bytes` bytes have come by
  // this call. A read that returns fewer bytes than were asked for does not mean that all has been read.
  IoResult fill(int fd, std::size_t max_buffered, std::size_t max_bytes = SIZE_MAX);
  // Reads once, until `max_buffered` unread bytes are buffered. For a caller that can tell from what has come
  // that there will be no more, and else calls again.
  IoResult read_once(int fd, std::size_t max_buffered);
  std::size_t memory() const { return bytes_.capacity(); }
  void clear() { consume(bytes_.size()); }

 private:
  IoResult read_at_most(int fd, std::size_t max_bytes);

  std::string bytes_;
  std::size_t start_ = 0;
};

// Throws away what has come, `max_bytes` bytes at most. kFull: there may be more.
IoResult discard(int fd, std::size_t max_bytes);

// Output of one connection that its socket has not taken yet.
class OutBuffer {
 public:
  bool empty() const { return bytes_.empty(); }
  std::size_t size() const { return bytes_.size(); }
  // Writes what is queued and then the parts with one writev, and keeps a copy of what the socket did not
  // take. False: the connection is broken.
  bool write(int fd, std::initializer_list<std::string_view> parts) { return write(fd, parts, 0); }
  // The same, and the end of the stream in the same segment, so that the peer never has the one without the
  // other. Where the socket did not take all, the end is not sent.
  bool write_and_shut_down(int fd, std::initializer_list<std::string_view> parts);
  bool flush(int fd) { return write(fd, {}); }

 private:
  bool write(int fd, std::initializer_list<std::string_view> parts, int flags);
  std::string bytes_;
};

}  // namespace database_proxy::net
