#include "discovery/discovery_watch.h"

#include <fmt/format.h>
#include <sys/epoll.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <system_error>
#include <utility>

#include "discovery/endpoint_list_codec.h"
#include "discovery/endpoint_list_limits.h"
#include "discovery/http.h"
#include "discovery/polling_schedule.h"
#include "net/buffer.h"
#include "net/log.h"
#include "net/loop.h"
#include "net/socket.h"

namespace database_proxy::discovery {
namespace {

using namespace std::chrono_literals;

// Maximum number of bytes that are buffered until the reader of the response can use them: its longest line.
constexpr std::size_t kMaxBufferedInput = 64 * 1024;

// A watch counts as uninterrupted if the next call follows the last answer within this time; otherwise the
// changes in the next answer may be old.
constexpr net::Micros kContinuedWithin = 200ms;

constexpr int kHttpOk = 200, kHttpTooManyRequests = 429, kHttpServerErrors = 500;

std::string error_message(int error) { return std::generic_category().message(error); }

}  // namespace

DiscoveryWatch::DiscoveryWatch(net::Loop& loop, net::Address address, std::string host,
                               std::optional<std::int64_t> generation, const PollingSchedule& schedule,
                               UpdateHandler on_update, net::Log log)
    : loop_(loop),
      address_(address),
      host_(std::move(host)),
      generation_(generation.value_or(0)),
      on_update_(std::move(on_update)),
      log_(std::move(log)),
      schedule_(schedule),
      needs_full_list_(!generation) {}

DiscoveryWatch::~DiscoveryWatch() { disconnect(); }

void DiscoveryWatch::disconnect() {
  loop_.cancel(&timer_);
  if (fd_) loop_.remove(fd_.get(), this);
  fd_.reset();
  in_ = {};
  out_ = {};
  response_ = {};
  connected_ = false;
}

void DiscoveryWatch::connect() {
  disconnect();
  int error = 0;
  fd_ = net::start_connect(address_, &error);
  if (!fd_ || !loop_.add(fd_.get(), this)) {
    fd_.reset();
    return on_failure(error_message(error));
  }
  timer_ = loop_.at(loop_.now() + PollingSchedule::kConnectTimeout,
                    [this] { on_failure("connecting timed out"); });
}

void DiscoveryWatch::connect_after(net::Micros delay) {
  if (delay.count() == 0) return connect();
  timer_ = loop_.at(loop_.now() + delay, [this] { connect(); });
}

void DiscoveryWatch::send_request() {
  auto path = needs_full_list_ ? std::string("/catalog/members")
                               : fmt::format("/catalog/members?after={}&wait_ms={}", generation_,
                                             PollingSchedule::kWatchWait / 1ms);
  auto request = fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", path, host_);
  is_continued_ = answered_at_ && net::monotonic_now() - *answered_at_ < kContinuedWithin;
  loop_.cancel(&timer_);
  auto timeout = needs_full_list_ ? schedule_.list_timeout() : schedule_.watch_timeout();
  timer_ = loop_.at(loop_.now() + timeout, [this] { on_failure("the request timed out"); });
  if (!out_.write(fd_.get(), {request})) on_failure("the connection broke");
}

void DiscoveryWatch::on_ready(std::uint32_t events) {
  if (!connected_) {
    if (int error = net::socket_error(fd_.get())) return on_failure(error_message(error));
    if (!(events & EPOLLOUT)) return;
    connected_ = true;
    return send_request();
  }
  if ((events & EPOLLOUT) && !out_.flush(fd_.get())) return on_failure("the connection broke");
  if (!(events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR))) return;
  auto end = net::IoResult::kMore;
  while (connected_ && end == net::IoResult::kMore) {
    end = in_.read_once(fd_.get(), kMaxBufferedInput);
    read_responses(end == net::IoResult::kClosed);
  }
  if (!connected_) return;
  if (end == net::IoResult::kFull) return on_failure("the response is too long");
  // A reset is not a regular end: a body without a Content-Length is then incomplete.
  if (end == net::IoResult::kReset) on_failure("the connection was reset");
}

void DiscoveryWatch::read_responses(bool ended) {
  while (connected_ && (response_.has_begun() || !in_.view().empty())) {
    std::size_t used = 0;
    auto parse = response_.read(in_.view(), ended, &used);
    in_.consume(used);
    if (parse == HttpParse::kMore) break;
    if (parse == HttpParse::kBad) return on_unusable_response();
    auto response = std::move(std::exchange(response_, {}).response());
    if (response.status < kHttpOk) continue;  // an interim (1xx) response
    if (response.status != kHttpOk) return on_error_status(response.status);
    if (!apply_update(response.body)) return;
    if (!response.keep_alive) return connect();
    send_request();
  }
  if (ended && connected_) on_failure("the connection ended");
}

void DiscoveryWatch::on_unusable_response() {
  auto size = response_.excessive_size();
  if (size == 0) return on_failure("the response is not valid HTTP");
  on_failure(fmt::format("the endpoint list is too large: {} bytes or more, and the limit is {} bytes", size,
                         kMaxListBytes),
             Failure::kTooLarge);
}

// An overloaded service still knows this watch's generation, and the full list is the most expensive request
// for it, so the full list is not requested. Any other status may mean that the service does not know the
// generation.
void DiscoveryWatch::on_error_status(int status) {
  bool is_overloaded = status >= kHttpServerErrors || status == kHttpTooManyRequests;
  if (!is_overloaded) needs_full_list_ = true;
  on_failure(fmt::format("the service answered with HTTP status {}", status),
             is_overloaded ? Failure::kRejected : Failure::kBroken);
}

// Parses and reports the update. If it is malformed, calls on_failure() and returns false.
bool DiscoveryWatch::apply_update(const std::string& body) try {
  auto update = parse_endpoint_list(body);
  update.reset = update.reset || needs_full_list_;
  update.source = is_continued_ ? UpdateSource::kOpenWatch : UpdateSource::kReopenedWatch;
  update.service = host_;
  answered_at_ = loop_.now();
  generation_ = update.generation;
  needs_full_list_ = false;
  if (failing_) log_(net::Level::kInfo, "discovery answers again");
  failing_ = false;
  schedule_.on_answered();
  on_update_(std::move(update));
  return true;
} catch (const std::invalid_argument& e) {
  needs_full_list_ = true;
  on_failure(fmt::format("the endpoint list in the response cannot be read: {}", e.what()));
  return false;
}

void DiscoveryWatch::on_failure(const std::string& reason, Failure failure) {
  if (!failing_) log_(net::Level::kWarning, fmt::format("request to discovery failed: {}", reason));
  failing_ = true;
  disconnect();
  connect_after(delay_after(failure));
}

net::Micros DiscoveryWatch::delay_after(Failure failure) {
  switch (failure) {
    case Failure::kBroken:
      return schedule_.delay_after_broken_call();
    case Failure::kRejected:
      return schedule_.delay_after_rejected_call();
    case Failure::kTooLarge:
      return PollingSchedule::kDelayAfterTooLargeList;
  }
  return PollingSchedule::kDelayAfterTooLargeList;
}

}  // namespace database_proxy::discovery
