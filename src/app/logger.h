// The log: lines on standard error, as text or as JSON. spdlog's thread writes them, so no loop ever waits
// for it. It never blocks and never floods: what does not fit is counted and dropped.
#pragma once

#include <memory>
#include <string>

#include "net/log.h"

namespace spdlog::details {
class thread_pool;
}

namespace database_proxy::app {

struct LogOptions {
  bool json = false;
  net::Level min_level = net::Level::kInfo;
  int lines_per_second = 40;
};

class Logger {
 public:
  // `fd` stays the caller's and must outlive this.
  explicit Logger(std::string name, LogOptions options = {}, int fd = 2);
  ~Logger();  // after all that was logged is written, or dropped where nobody reads
  // From any thread. `tag` names the thread that it is for; empty: what concerns all.
  net::Log sink(const std::string& tag = "");
  void write(net::Level level, const std::string& line) { sink_(level, line); }
  void configure(LogOptions options);
  void flush();  // returns when all that was logged before has been written or dropped

 private:
  class LineSink;
  std::shared_ptr<spdlog::details::thread_pool> thread_;
  std::shared_ptr<LineSink> line_sink_;
  net::Log sink_;
};

}  // namespace database_proxy::app
