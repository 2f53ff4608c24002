#include "app/logger.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <mutex>
#include <nlohmann/json.hpp>

namespace database_proxy::app {
namespace {

constexpr std::size_t kMaxLineBytes = 1000;  // less than PIPE_BUF, so that a pipe takes a line atomically
// Capacity of the queue to the writing thread; when it is full, the oldest lines are dropped. The thread
// takes hundreds of thousands of lines a second, so the queue fills only while the thread gets no CPU time.
constexpr std::size_t kQueueLines = 512;

const char* level_name(spdlog::level::level_enum level) {
  if (level >= spdlog::level::err) return "error";
  if (level == spdlog::level::warn) return "warning";
  return level == spdlog::level::info ? "info" : "debug";
}

spdlog::level::level_enum level_of(net::Level level) {
  switch (level) {
    case net::Level::kDebug:
      return spdlog::level::debug;
    case net::Level::kInfo:
      return spdlog::level::info;
    case net::Level::kWarning:
      return spdlog::level::warn;
    case net::Level::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

// Replaces control characters, and in JSON also bytes that are not ASCII: the text may contain bytes received
// from peers, must stay one line and, in JSON, valid UTF-8.
std::string sanitize(spdlog::string_view_t text, bool json) {
  std::string line(text.data(), std::min(text.size(), kMaxLineBytes));
  std::replace_if(
      line.begin(), line.end(), [&](unsigned char c) { return c < ' ' || c == 127 || (json && c > 127); },
      '?');
  return line;
}

}  // namespace

class Logger::LineSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  LineSink(std::string name, LogOptions options, int fd) : name_(std::move(name)), fd_(fd) {
    configure(options);
  }
  void configure(LogOptions options) {
    json_ = options.json;
    lines_per_second_ = options.lines_per_second;
    set_level(level_of(options.min_level));
  }
  // Returns the number of lines that spdlog's queue has dropped so far because it was full.
  std::function<std::size_t()> queue_overruns = [] { return std::size_t{0}; };

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(message.time.time_since_epoch()).count();
    if (ms / 1000 != current_second_) {
      current_second_ = ms / 1000;
      lines_this_second_ = 0;
    }
    auto lost = queue_overruns();
    dropped_ += lost - std::exchange(seen_overruns_, lost);
    // Writing to a full pipe that nobody reads would block this thread, and so the exit of the process,
    // forever.
    pollfd writable{fd_, POLLOUT, 0};
    if (++lines_this_second_ > lines_per_second_ || poll(&writable, 1, 0) != 1 ||
        !(writable.revents & POLLOUT)) {
      ++dropped_;
      return;
    }
    auto time = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(std::time_t(ms / 1000)), ms % 1000);
    auto& tag = message.logger_name;
    bool json = json_;
    auto text = sanitize(message.payload, json);
    std::string line;
    if (json) {
      nlohmann::ordered_json object = {
          {"time", time}, {"proxy", name_}, {"level", level_name(message.level)}};
      if (tag.size() > 0) object["thread"] = std::string(tag.data(), tag.size());
      object["text"] = text;
      if (dropped_ > 0) object["dropped"] = dropped_;
      line = object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    } else {
      line = fmt::format("{} {}{}{} {} {}", time, name_, tag.size() > 0 ? "/" : "",
                         std::string_view(tag.data(), tag.size()), level_name(message.level), text);
      if (dropped_ > 0) line += fmt::format(" ({} lines dropped before this one)", dropped_);
    }
    dropped_ = 0;
    line.push_back('\n');
    [[maybe_unused]] auto n = ::write(fd_, line.data(), line.size());
  }
  void flush_() override {}

 private:
  std::string name_;
  int fd_;
  std::atomic<bool> json_{false};
  std::atomic<int> lines_per_second_{40};
  std::int64_t current_second_ = 0;
  int lines_this_second_ = 0;
  std::size_t dropped_ = 0, seen_overruns_ = 0;
};

Logger::Logger(std::string name, LogOptions options, int fd)
    : thread_(std::make_shared<spdlog::details::thread_pool>(kQueueLines, 1)),
      line_sink_(std::make_shared<LineSink>(std::move(name), options, fd)) {
  line_sink_->queue_overruns = [thread = thread_.get()] { return thread->overrun_counter(); };
  sink_ = sink();
}

Logger::~Logger() { thread_.reset(); }

net::Log Logger::sink(const std::string& tag) {
  auto logger = std::make_shared<spdlog::async_logger>(tag, line_sink_, thread_,
                                                       spdlog::async_overflow_policy::overrun_oldest);
  logger->set_level(spdlog::level::debug);  // the sink applies the configured level
  return [logger](net::Level level, const std::string& line) { logger->log(level_of(level), line); };
}

void Logger::configure(LogOptions options) { line_sink_->configure(options); }

void Logger::flush() {
  // The thread handles lines in order: once a marker has reached its own sink, all earlier lines are done.
  class FlushMarker : public spdlog::sinks::base_sink<std::mutex> {
   public:
    std::promise<void> reached;

   protected:
    void sink_it_(const spdlog::details::log_msg&) override {
      if (!std::exchange(done_, true)) reached.set_value();
    }
    void flush_() override {}

   private:
    bool done_ = false;
  };
  auto marker = std::make_shared<FlushMarker>();
  auto logger =
      std::make_shared<spdlog::async_logger>("flush", marker, thread_, spdlog::async_overflow_policy::block);
  logger->log(spdlog::level::err, "");
  marker->reached.get_future().wait_for(std::chrono::seconds(1));
}

}  // namespace database_proxy::app
