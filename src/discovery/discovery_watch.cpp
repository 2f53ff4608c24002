#include "discovery/discovery_watch.h"

#include <fmt/format.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

#include "discovery/discovery_call.h"
#include "discovery/endpoint_list_codec.h"
#include "discovery/http.h"
#include "discovery/polling_schedule.h"
#include "net/log.h"
#include "net/loop.h"
#include "net/socket.h"

namespace database_proxy::discovery {
namespace {

using namespace std::chrono_literals;

// A watch counts as uninterrupted if the next call follows the last answer within this time; otherwise the
// changes in the next answer may be old.
constexpr net::Micros kContinuedWithin = 200ms;

constexpr int kHttpOk = 200, kHttpTooManyRequests = 429, kHttpServerErrors = 500;

}  // namespace

DiscoveryWatch::DiscoveryWatch(net::Loop& loop, net::Address address, std::string host,
                               std::optional<std::int64_t> generation, const PollingSchedule& schedule,
                               UpdateHandler on_update, net::Log log)
    : loop_(loop),
      host_(std::move(host)),
      generation_(generation.value_or(0)),
      on_update_(std::move(on_update)),
      log_(std::move(log)),
      calls_{Call(loop, address, handlers_of(0)), Call(loop, address, handlers_of(1))},
      newest_(calls_.data()),
      schedule_(schedule),
      needs_full_list_(!generation) {}

DiscoveryWatch::~DiscoveryWatch() { loop_.cancel(&timer_); }

DiscoveryCall::Handlers DiscoveryWatch::handlers_of(std::size_t index) {
  return {[this, index] { send_request(calls_[index]); },
          [this, index](const HttpResponse& response) { on_response(calls_[index], response); },
          [this, index](const std::string& reason, CallFailure failure) {
            on_failure(calls_[index], reason, failure);
          }};
}

void DiscoveryWatch::start_call_after(net::Micros delay) {
  loop_.cancel(&timer_);
  if (delay.count() == 0) return start_call();
  timer_ = loop_.at(loop_.now() + delay, [this] { start_call(); });
}

void DiscoveryWatch::start_call() {
  loop_.cancel(&timer_);
  newest_ = &call_to_start();
  newest_->connection.connect();
}

// Returns the call to be replaced by a new one: one that is not open. If both are, the older one stays while
// its answer may still come in time or keeps coming.
DiscoveryWatch::Call& DiscoveryWatch::call_to_start() {
  if (!newest_->connection.is_open()) return *newest_;
  auto& older = other_than(*newest_);
  if (!older.connection.is_open()) return older;
  auto now = loop_.now();
  auto waited = now - older.connection.sent_at() - older.wait;
  bool is_coming = now - older.connection.last_byte_at() < PollingSchedule::kLongestAnswerPause;
  return waited < PollingSchedule::kLongestAnswer || is_coming ? *newest_ : older;
}

void DiscoveryWatch::send_request(Call& call) {
  call.is_full_list = needs_full_list_;
  call.wait = needs_full_list_ ? net::Micros(0) : schedule_.watch_wait();
  call.is_continued = answered_at_ && net::monotonic_now() - *answered_at_ < kContinuedWithin;
  auto path = needs_full_list_
                  ? std::string("/catalog/members")
                  : fmt::format("/catalog/members?after={}&wait_ms={}", generation_, call.wait / 1ms);
  newest_ = &call;
  await_answer();
  call.connection.send(
      fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", path, host_));
}

net::Micros DiscoveryWatch::overdue_at(const Call& call) const {
  auto& connection = call.connection;
  auto until_last_byte = connection.last_byte_at() - connection.sent_at();
  return connection.sent_at() + schedule_.overdue_after(call.is_full_list, until_last_byte);
}

void DiscoveryWatch::await_answer() {
  loop_.cancel(&timer_);
  auto after = schedule_.overdue_after(newest_->is_full_list, net::Micros(0));
  timer_ = loop_.at(loop_.now() + after, [this] { on_overdue(); });
}

// Makes another call if the answer to the newest one has not come, unless it keeps coming.
void DiscoveryWatch::on_overdue() {
  auto due = overdue_at(*newest_);
  if (loop_.now() < due) {
    timer_ = loop_.at(due, [this] { on_overdue(); });
    return;
  }
  log_first_failure(fmt::format(
      "request to discovery is overdue: {} bytes of its answer after {} ms; its answer is still awaited, and "
      "another request is made",
      newest_->connection.bytes_received(), (loop_.now() - newest_->connection.sent_at()) / 1ms));
  schedule_.on_overdue();
  start_call();
}

void DiscoveryWatch::on_response(Call& call, const HttpResponse& response) {
  if (response.status != kHttpOk) return on_error_status(call, response.status);
  if (!apply_update(call, response.body)) return;
  other_than(call).connection.close();
  if (response.keep_alive) return send_request(call);
  call.connection.close();
  newest_ = &call;
  start_call_after(net::Micros(0));
}

// An overloaded service still knows this watch's generation, and the full list is the most expensive request
// for it, so the full list is not requested. Any other status may mean that the service does not know the
// generation.
void DiscoveryWatch::on_error_status(Call& call, int status) {
  bool is_overloaded = status >= kHttpServerErrors || status == kHttpTooManyRequests;
  if (!is_overloaded) needs_full_list_ = true;
  call.connection.close();
  on_failure(call, fmt::format("the service answered with HTTP status {}", status),
             is_overloaded ? CallFailure::kRejected : CallFailure::kBroken);
}

// Parses and reports the update. If it is malformed, calls on_failure() and returns false.
bool DiscoveryWatch::apply_update(Call& call, const std::string& body) try {
  auto update = parse_endpoint_list(body);
  update.reset = update.reset || call.is_full_list;
  update.source = call.is_continued ? UpdateSource::kOpenWatch : UpdateSource::kReopenedWatch;
  update.service = host_;
  answered_at_ = loop_.now();
  generation_ = update.generation;
  if (call.is_full_list) needs_full_list_ = false;
  auto taken = loop_.now() - call.connection.sent_at();
  if (failing_) log_(net::Level::kInfo, fmt::format("discovery answers again, after {} ms", taken / 1ms));
  failing_ = false;
  schedule_.on_answered(taken, call.wait);
  on_update_(std::move(update));
  return true;
} catch (const std::invalid_argument& e) {
  needs_full_list_ = true;
  call.connection.close();
  on_failure(call, fmt::format("the endpoint list in the response cannot be read: {}", e.what()),
             CallFailure::kBroken);
  return false;
}

// Called after the call has been closed. While the newest call is open, it goes on without this one.
void DiscoveryWatch::on_failure(const Call& call, const std::string& reason, CallFailure failure) {
  log_first_failure(fmt::format("request to discovery failed: {}", reason));
  if (&call == newest_) start_call_after(schedule_.delay_after(failure));
}

void DiscoveryWatch::log_first_failure(const std::string& text) {
  if (!failing_) log_(net::Level::kWarning, text);
  failing_ = true;
}

}  // namespace database_proxy::discovery
