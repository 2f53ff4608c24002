#include "operator_endpoint/operator_listener.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <cerrno>
#include <chrono>
#include <stdexcept>
#include <utility>

#include "net/system_errors.h"
#include "operator_endpoint/operator_connection.h"

namespace database_proxy::operator_endpoint {
namespace {

using namespace std::chrono_literals;
using net::Micros;

// Longer than 4 s, for which a client may keep its connection open before it completes its command.
constexpr Micros kConnectionTimeout = 6s;
// Commands are rare, and a flood of them must not delay the clients of the proxy.
constexpr int kAcceptsPerIteration = 8;
// Delays before the next attempt after a failed accept, and after a failed attempt to listen.
constexpr Micros kAcceptRetry = 50ms, kListenRetry = 50ms;

}  // namespace

OperatorConnection::OperatorConnection(OperatorListener& listener, std::uint64_t number, net::Fd socket)
    : listener_(listener), number_(number), socket_(std::move(socket)) {
  auto& loop = listener_.loop_;
  timer_ = loop.at(loop.now() + kConnectionTimeout, [this] { listener_.close(number_); });
}

OperatorConnection::~OperatorConnection() {
  listener_.loop_.cancel(&timer_);
  if (is_watched_) listener_.loop_.remove(socket_.get(), this);
}

bool OperatorConnection::start() {
  is_watched_ = listener_.loop_.add(socket_.get(), this);
  return is_watched_;
}

void OperatorConnection::on_ready(std::uint32_t events) {
  bool is_writable = (events & EPOLLOUT) != 0;
  if (is_writable && !output_.flush(socket_.get())) return listener_.close(number_);
  if (is_answered_) return finish();
  bool is_readable = (events & EPOLLIN) != 0 || net::reports_disconnect(events);
  if (is_readable && !has_command_) read_command();
}

// A complete line and the end of the client's data may arrive together.
void OperatorConnection::read_command() {
  constexpr std::size_t kLineEnd = 2;
  auto end = input_.fill(socket_.get(), kMaxCommandBytes + kLineEnd);
  auto text = input_.view();
  auto line_feed = text.find('\n');
  if (line_feed == std::string_view::npos) {
    if (net::is_disconnected(end)) return listener_.close(number_);
    if (end != net::IoResult::kFull) return;
  }
  has_command_ = true;
  auto command = parse_command(text.substr(0, line_feed));
  if (command.kind == OperatorCommand::Kind::kMalformed) return answer(no(command.error));
  auto answer_later = [self = std::weak_ptr(listener_.self_), number = number_](const std::string& reply) {
    auto listener = self.lock();
    if (!listener) return;
    auto found = (*listener)->connections_.find(number);
    if (found != (*listener)->connections_.end()) found->second->answer(reply);
  };
  listener_.handle_(command, answer_later);
}

void OperatorConnection::answer(std::string_view text) {
  is_answered_ = true;
  if (!output_.write(socket_.get(), {text})) return listener_.close(number_);
  finish();
}

// Discards the bytes received after the command before closing: closing with unread bytes would reset the
// connection, and the client would lose the reply.
void OperatorConnection::finish() {
  constexpr std::size_t kMaxDiscardedBytes = 16 * kMaxCommandBytes;
  if (!output_.empty()) return;
  shutdown(socket_.get(), SHUT_WR);
  net::discard(socket_.get(), kMaxDiscardedBytes);
  listener_.close(number_);
}

OperatorListener::OperatorListener(net::Loop& loop, std::string address, Handle handle, net::Log log)
    : loop_(loop),
      address_(std::move(address)),
      handle_(std::move(handle)),
      log_(std::move(log)),
      on_socket_ready_(*this),
      self_(std::make_shared<OperatorListener*>(this)) {
  auto parsed = net::parse_address(address_);
  if (!parsed) throw std::runtime_error(fmt::format("operator is not a valid address: '{}'", address_));
  parsed_address_ = *parsed;
  listen();
}

OperatorListener::~OperatorListener() {
  loop_.cancel(&retry_timer_);
  if (socket_) loop_.remove(socket_.get(), &on_socket_ready_);
}

int OperatorListener::port() const { return net::local_port(socket_.get()); }

void OperatorListener::listen() {
  int error = 0;
  socket_ = net::listen_on(parsed_address_, &error);
  if (socket_ && loop_.add(socket_.get(), &on_socket_ready_)) {
    log_(net::Level::kInfo, fmt::format("operators are served on {}", address_));
    return;
  }
  if (socket_) error = ENOMEM;  // the kernel has no memory left to watch the socket
  socket_.reset();
  auto what = fmt::format("cannot listen for operators on {}: {}", address_, net::message_of(error));
  if (!net::is_transient(error)) throw std::runtime_error(what);
  if (!std::exchange(has_logged_failure_, true)) log_(net::Level::kWarning, what + "; trying again");
  retry_timer_ = loop_.at(loop_.now() + kListenRetry, [this] { listen(); });
}

// Connections whose command is being answered are kept.
bool OperatorListener::evict_oldest_without_command() {
  for (auto& [number, connection] : connections_) {
    if (connection->has_command()) continue;
    close(number);
    return true;
  }
  return false;
}

void OperatorListener::accept_waiting() {
  closed_.clear();
  loop_.cancel(&retry_timer_);
  for (int accepted = 0; accepted < kAcceptsPerIteration; ++accepted) {
    if (connections_.size() >= kMaxConnections && !evict_oldest_without_command()) break;
    int error = 0;
    auto socket = net::accept_from(socket_.get(), &error);
    if (socket) {
      admit(std::move(socket));
      continue;
    }
    if (error == EAGAIN || error == EWOULDBLOCK) return;
    if (error == ECONNABORTED || error == EINTR || error == EPROTO) continue;
    return accept_later(kAcceptRetry);
  }
  accept_later(connections_.size() < kMaxConnections ? Micros(0) : kAcceptRetry);
}

void OperatorListener::accept_later(Micros delay) {
  retry_timer_ = loop_.at(loop_.now() + delay, [this] { accept_waiting(); });
}

void OperatorListener::admit(net::Fd socket) {
  auto number = next_number_++;
  auto connection = std::make_unique<OperatorConnection>(*this, number, std::move(socket));
  if (connection->start()) connections_.emplace(number, std::move(connection));
}

// One of the connection's own functions may be on the call stack, so it is freed in the next loop iteration.
void OperatorListener::close(std::uint64_t number) {
  auto found = connections_.find(number);
  if (found == connections_.end()) return;
  closed_.push_back(std::move(found->second));
  connections_.erase(found);
  loop_.at(loop_.now(), [self = std::weak_ptr(self_)] {
    if (auto listener = self.lock()) (*listener)->closed_.clear();
  });
}

}  // namespace database_proxy::operator_endpoint
