// Lines on standard error. It never blocks and never floods: what does not fit is counted and dropped.
#pragma once

#include <cstdint>
#include <string>

#include "net/log.h"

namespace linenwinch::app {

class Logger {
 public:
  explicit Logger(std::string name, int fd = 2) : name_(std::move(name)), fd_(fd) {}
  void write(net::Level level, const std::string& line);
  net::Log sink() {
    return [this](net::Level level, const std::string& line) { write(level, line); };
  }

 private:
  static constexpr int kLinesPerSecond = 40;
  std::string name_;
  int fd_;
  std::int64_t second_ = 0;
  int lines_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace linenwinch::app
