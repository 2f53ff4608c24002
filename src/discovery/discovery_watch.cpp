#include "discovery/discovery_watch.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstring>

#include "discovery/http.h"

namespace database_proxy::discovery {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kCap = 2 * 1024 * 1024;

}  // namespace

Watch::Watch(net::Loop& loop, net::Address address, std::string host, std::optional<std::int64_t> generation,
             PollingSchedule schedule, Told told, net::Log log)
    : loop_(loop),
      address_(address),
      host_(std::move(host)),
      generation_(generation.value_or(0)),
      told_(std::move(told)),
      log_(std::move(log)),
      schedule_(std::move(schedule)),
      whole_(!generation) {}

Watch::~Watch() { disconnect(); }

void Watch::disconnect() {
  loop_.cancel(&timer_);
  if (fd_) loop_.remove(fd_.get(), this);
  fd_.reset();
  in_ = {};
  out_ = {};
  connected_ = false;
}

void Watch::connect() {
  disconnect();
  int error = 0;
  fd_ = net::start_connect(address_, &error);
  if (!fd_ || !loop_.add(fd_.get(), this)) {
    fd_.reset();
    return broken(std::strerror(error));
  }
  timer_ =
      loop_.at(loop_.now() + PollingSchedule::kConnectTimeout, [this] { broken("no connection in time"); });
}

void Watch::ask() {
  auto path = whole_ ? std::string("/catalog/members")
                     : fmt::format("/catalog/members?after={}&wait_ms={}", generation_,
                                   PollingSchedule::kWatchWait / 1ms);
  auto request = fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", path, host_);
  loop_.cancel(&timer_);
  auto timeout = whole_ ? schedule_.list_timeout() : schedule_.watch_timeout();
  timer_ = loop_.at(loop_.now() + timeout, [this] { broken("no answer in time"); });
  if (!out_.write(fd_.get(), {request})) broken("the connection broke");
}

void Watch::on_ready(std::uint32_t events) {
  if (!connected_) {
    if (int error = net::socket_error(fd_.get())) return broken(std::strerror(error));
    if (!(events & EPOLLOUT)) return;
    connected_ = true;
    return ask();
  }
  if ((events & EPOLLOUT) && !out_.flush(fd_.get())) return broken("the connection broke");
  if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) {
    auto end = in_.fill(fd_.get(), kCap);
    if (end == net::IoEnd::kFull) return broken("the answer is too long");
    read(end == net::IoEnd::kClosed);
    // A reset is no end: a body of no stated length that it cuts off is not whole.
    if (end == net::IoEnd::kReset && fd_) broken("the connection was reset");
  }
}

void Watch::read(bool ended) {
  while (fd_ && !in_.view().empty()) {
    HttpResponse response;
    auto parse = parse_response(in_.view(), ended, &response);
    if (parse == HttpParse::kMore) break;
    if (parse == HttpParse::kBad) return broken("the answer is no HTTP");
    in_.consume(response.size);
    if (response.status < 200) continue;  // an interim answer
    if (response.status != 200) {
      // A service at its limit knows our version as before, and the whole list is the dearest thing to ask of
      // it; any other refusal may mean that it does not.
      bool refused = response.status >= 500 || response.status == 429;
      whole_ = whole_ || !refused;
      return broken(fmt::format("it answered with status {}", response.status), refused);
    }
    try {
      auto update = parse_endpoint_list(response.body);
      update.reset = update.reset || whole_;
      generation_ = update.generation;
      whole_ = false;
      if (failing_) log_(net::Level::kInfo, "discovery answers again");
      failing_ = false;
      schedule_.answered();
      told_(std::move(update));
    } catch (const std::invalid_argument& e) {
      whole_ = true;
      return broken(fmt::format("it sent a list that cannot be read: {}", e.what()));
    }
    if (!response.keep_alive) return connect();
    ask();
  }
  if (ended && fd_) broken("the connection ended");
}

void Watch::broken(const std::string& why, bool refused) {
  if (!failing_) log_(net::Level::kWarning, fmt::format("discovery does not answer: {}", why));
  failing_ = true;
  disconnect();
  pause(refused ? schedule_.after_refused_call() : schedule_.after_broken_call());
}

void Watch::pause(net::Micros time) {
  if (time.count() == 0) return connect();
  timer_ = loop_.at(loop_.now() + time, [this] { connect(); });
}

}  // namespace database_proxy::discovery
