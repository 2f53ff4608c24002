#include "discovery/discovery_call.h"

#include <fmt/format.h>
#include <sys/epoll.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <system_error>
#include <utility>

#include "discovery/endpoint_list_limits.h"
#include "discovery/http.h"
#include "discovery/polling_schedule.h"
#include "net/buffer.h"
#include "net/loop.h"
#include "net/socket.h"

namespace database_proxy::discovery {
namespace {

// Maximum number of bytes that are buffered until the reader of the response can use them: its longest line.
constexpr std::size_t kMaxBufferedInput = 64 * 1024;

constexpr int kHttpOk = 200;

std::string error_message(int error) { return std::generic_category().message(error); }

}  // namespace

DiscoveryCall::DiscoveryCall(net::Loop& loop, net::Address address, Handlers handlers)
    : loop_(loop), address_(address), handlers_(std::move(handlers)) {}

DiscoveryCall::~DiscoveryCall() { close(); }

void DiscoveryCall::close() {
  loop_.cancel(&connect_timer_);
  if (fd_) loop_.remove(fd_.get(), this);
  fd_.reset();
  in_ = {};
  out_ = {};
  reader_ = {};
  is_connected_ = is_sent_ = false;
}

void DiscoveryCall::connect() {
  close();
  int error = 0;
  fd_ = net::start_connect(address_, &error);
  if (!fd_ || !loop_.add(fd_.get(), this)) {
    fd_.reset();
    return fail(error_message(error));
  }
  connect_timer_ =
      loop_.at(loop_.now() + PollingSchedule::kConnectTimeout, [this] { fail("connecting timed out"); });
}

void DiscoveryCall::send(const std::string& request) {
  is_sent_ = true;
  sent_at_ = last_byte_at_ = loop_.now();
  bytes_received_ = 0;
  if (!out_.write(fd_.get(), {request})) fail("the connection broke");
}

void DiscoveryCall::on_ready(std::uint32_t events) {
  if (!is_connected_) return on_connecting(events);
  if ((events & EPOLLOUT) && !out_.flush(fd_.get())) return fail("the connection broke");
  if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) read_input();
}

void DiscoveryCall::on_connecting(std::uint32_t events) {
  if (int error = net::socket_error(fd_.get())) return fail(error_message(error));
  if (!(events & EPOLLOUT)) return;
  is_connected_ = true;
  loop_.cancel(&connect_timer_);
  handlers_.on_connected();
}

void DiscoveryCall::read_input() {
  auto end = net::IoResult::kMore;
  while (is_connected_ && end == net::IoResult::kMore) {
    auto buffered = in_.view().size();
    end = in_.read_once(fd_.get(), kMaxBufferedInput);
    auto received = in_.view().size() - buffered;
    bytes_received_ += received;
    if (received > 0) last_byte_at_ = loop_.now();
    read_responses(end == net::IoResult::kClosed);
  }
  if (!is_connected_) return;
  if (end == net::IoResult::kFull) return fail("the response is too long");
  // A reset is not a regular end: a body without a Content-Length is then incomplete.
  if (end == net::IoResult::kReset) fail("the connection was reset");
}

void DiscoveryCall::read_responses(bool ended) {
  while (is_connected_ && (reader_.has_begun() || !in_.view().empty())) {
    std::size_t used = 0;
    auto parse = reader_.read(in_.view(), ended, &used);
    in_.consume(used);
    if (parse == HttpParse::kMore) break;
    if (parse == HttpParse::kBad) return on_unusable_response();
    auto response = std::move(std::exchange(reader_, {}).response());
    if (response.status < kHttpOk) continue;  // an interim (1xx) response
    is_sent_ = false;
    handlers_.on_response(std::move(response));
  }
  if (ended && is_connected_) fail("the connection ended");
}

void DiscoveryCall::on_unusable_response() {
  auto size = reader_.excessive_size();
  if (size == 0) return fail("the response is not valid HTTP");
  fail(fmt::format("the endpoint list is too large: {} bytes or more, and the limit is {} bytes", size,
                   kMaxListBytes),
       CallFailure::kTooLarge);
}

void DiscoveryCall::fail(const std::string& reason, CallFailure failure) {
  close();
  handlers_.on_failure(reason, failure);
}

}  // namespace database_proxy::discovery
