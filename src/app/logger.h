// The log: lines on standard error, as text or as JSON. spdlog's thread writes them, so no event loop ever
// waits for the output. Logging never blocks, and its rate is limited: excess lines are counted and dropped.
#pragma once

#include <memory>
#include <string>

#include "net/log.h"

namespace spdlog::details {
class thread_pool;
}

namespace database_proxy::app {

// The section `log` of the operator's file.
struct LogOptions {
  bool json = false;
  net::Level min_level = net::Level::kInfo;
  int lines_per_second = 40;
};

// Owns the thread that writes the log.
class Logger {
 public:
  // `fd` is not closed by the logger and must outlive it.
  explicit Logger(std::string name, LogOptions options = {}, int fd = 2);
  ~Logger();  // returns after all lines are written, or dropped if the reader is stalled
  // Returns a function that logs; may be called in any thread. `tag` names the thread whose lines it logs;
  // empty: lines that concern the whole process.
  net::Log sink(const std::string& tag = "");
  void write(net::Level level, const std::string& line) { sink_(level, line); }
  void configure(LogOptions options);
  void flush();  // returns after all earlier lines have been written or dropped, or after 1 s

 private:
  class LineSink;
  std::shared_ptr<spdlog::details::thread_pool> thread_;
  std::shared_ptr<LineSink> line_sink_;
  net::Log sink_;
};

}  // namespace database_proxy::app
