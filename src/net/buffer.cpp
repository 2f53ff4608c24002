#include "net/buffer.h"

#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace database_proxy::net {
namespace {
constexpr std::size_t kMaxReadSize = 16 * 1024;  // bytes per system call
// An emptied buffer with a larger capacity frees its memory: otherwise a thousand connections that each once
// held a large value would keep that memory for good.
constexpr std::size_t kMaxRetainedCapacity = 4 * 1024;
}  // namespace

void InBuffer::consume(std::size_t count) {
  start_ += std::min(count, bytes_.size() - start_);
  if (start_ < bytes_.size()) return;
  start_ = 0;
  bytes_.clear();
  if (bytes_.capacity() > kMaxRetainedCapacity) bytes_.shrink_to_fit();
}

IoResult InBuffer::read_at_most(int fd, std::size_t max_bytes) {
  char chunk[kMaxReadSize];
  ssize_t size = 0;
  do {
    size = recv(fd, chunk, std::min(sizeof chunk, max_bytes), 0);
  } while (size < 0 && errno == EINTR);
  if (size < 0) return errno == EAGAIN || errno == EWOULDBLOCK ? IoResult::kAgain : IoResult::kReset;
  if (size == 0) return IoResult::kClosed;
  if (start_ > 0) {
    bytes_.erase(0, start_);
    start_ = 0;
  }
  bytes_.append(chunk, static_cast<std::size_t>(size));
  return IoResult::kMore;
}

IoResult InBuffer::read_once(int fd, std::size_t max_buffered) {
  auto buffered = bytes_.size() - start_;
  return buffered >= max_buffered ? IoResult::kFull : read_at_most(fd, max_buffered - buffered);
}

IoResult InBuffer::fill(int fd, std::size_t max_buffered, std::size_t max_bytes) {
  while (true) {
    auto buffered = bytes_.size() - start_;
    if (buffered >= max_buffered || max_bytes == 0) return IoResult::kFull;
    auto result = read_at_most(fd, std::min(max_buffered - buffered, max_bytes));
    if (result != IoResult::kMore) return result;
    max_bytes -= bytes_.size() - start_ - buffered;
  }
}

IoResult discard(int fd, std::size_t max_bytes) {
  while (max_bytes > 0) {
    ssize_t n = recv(fd, nullptr, max_bytes, MSG_TRUNC);  // on TCP this drops the bytes without a copy
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) return errno == EAGAIN || errno == EWOULDBLOCK ? IoResult::kAgain : IoResult::kReset;
    if (n == 0) return IoResult::kClosed;
    max_bytes -= static_cast<std::size_t>(n);
  }
  return IoResult::kFull;
}

bool OutBuffer::write(int fd, std::initializer_list<std::string_view> parts, int flags) {
  std::array<iovec, 16> iov{};
  std::size_t count = 0;
  auto push = [&](std::string_view part) {
    if (!part.empty() && count < iov.size()) iov[count++] = {const_cast<char*>(part.data()), part.size()};
  };
  push(bytes_);
  for (auto part : parts) push(part);
  std::size_t first = 0;
  while (first < count) {
    msghdr message{};
    message.msg_iov = &iov[first];
    message.msg_iovlen = count - first;
    ssize_t n = sendmsg(fd, &message, MSG_NOSIGNAL | flags);  // like writev, but without SIGPIPE
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
    if (n < 0) return false;
    auto left = static_cast<std::size_t>(n);
    while (first < count && left >= iov[first].iov_len) left -= iov[first++].iov_len;
    if (first < count) {
      iov[first].iov_base = static_cast<char*>(iov[first].iov_base) + left;
      iov[first].iov_len -= left;
    }
  }
  std::string rest;
  for (; first < count; ++first) rest.append(static_cast<char*>(iov[first].iov_base), iov[first].iov_len);
  bytes_ = std::move(rest);
  return true;
}

bool OutBuffer::write_and_shut_down(int fd, std::initializer_list<std::string_view> parts) {
  if (!write(fd, parts, MSG_MORE)) return false;
  if (bytes_.empty()) ::shutdown(fd, SHUT_WR);
  return true;
}

}  // namespace database_proxy::net
