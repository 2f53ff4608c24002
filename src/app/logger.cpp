#include "app/logger.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

namespace linenwinch::app {
namespace {

constexpr std::size_t kLongestLine = 1000;  // under what a pipe takes whole

const char* word(net::Level level) {
  switch (level) {
    case net::Level::kInfo:
      return "info";
    case net::Level::kWarning:
      return "warning";
    case net::Level::kError:
      return "error";
  }
  return "error";
}

}  // namespace

void Logger::write(net::Level level, const std::string& line) {
  auto now = std::chrono::system_clock::now();
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
  if (ms / 1000 != second_) {
    second_ = ms / 1000;
    lines_ = 0;
  }
  // A pipe that nobody reads would block the whole proxy.
  pollfd writable{fd_, POLLOUT, 0};
  if (++lines_ > kLinesPerSecond || poll(&writable, 1, 0) != 1 || !(writable.revents & POLLOUT)) {
    ++dropped_;
    return;
  }
  auto text = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {} {}", fmt::gmtime(std::time_t(ms / 1000)),
                          ms % 1000, name_, word(level), line.substr(0, kLongestLine));
  if (dropped_ > 0) text += fmt::format(" ({} lines dropped before this one)", dropped_);
  dropped_ = 0;
  // Peers' bytes may be in it: one line stays one line.
  std::replace_if(
      text.begin(), text.end(), [](unsigned char c) { return c < ' ' || c == 127; }, '?');
  text.push_back('\n');
  [[maybe_unused]] auto n = ::write(fd_, text.data(), text.size());
}

}  // namespace linenwinch::app
