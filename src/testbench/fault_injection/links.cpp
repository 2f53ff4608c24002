#include "testbench/fault_injection/links.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>

#include "net/system_errors.h"

namespace database_proxy::testbench::faults {
namespace {

// Limit per direction; beyond it the sender's window fills up, as on a dead link.
constexpr std::size_t kMaxBufferedBytes = 4 << 20;
constexpr std::size_t kChunkBytes = 64 * 1024;

}  // namespace

struct Links::Connection {
  struct End : net::Handler {
    explicit End(Connection& c) : connection(c) {}
    void on_ready(std::uint32_t) override { connection.pump(); }
    Connection& connection;
    net::Fd fd;
    bool connected = true, ended = false;
  };
  struct Direction {
    std::deque<std::pair<Micros, std::string>> queue;  // due time and bytes
    std::size_t buffered = 0;
    double credit = 0;
    Micros credit_updated{0};
  };

  Connection(Link& l, net::Fd accepted, net::Fd dialed);
  ~Connection();
  void pump();
  bool read(End& from, Direction& direction);
  bool write(End& to, Direction& direction, bool is_forward);
  void close(bool with_reset);

  Link& link;
  End dialer_end{*this}, target_end{*this};  // the sockets to the dialer and to the target
  Direction forward, backward;
  net::Loop::TimerId timer = net::Loop::kNoTimer;
  bool closed = false;
};

struct Links::Link : net::Handler {
  Link(net::Loop& l, net::Address t) : loop(l), target(t) {}
  ~Link() override {
    connections.clear();
    if (listener) loop.remove(listener.get(), this);
  }
  void on_ready(std::uint32_t) override {
    int error = 0;
    while (auto fd = net::accept_from(listener.get(), &error)) {
      auto dialed = net::start_connect(target, &error);
      if (!dialed) continue;
      std::erase_if(connections, [](auto& p) { return p->closed; });
      connections.push_back(std::make_unique<Connection>(*this, std::move(fd), std::move(dialed)));
    }
  }
  net::Loop& loop;
  net::Address target;
  net::Fd listener;
  LinkState state;
  std::uint64_t bytes_forwarded = 0;
  std::vector<std::unique_ptr<Connection>> connections;
};

struct Links::SharedListener : net::Handler {
  SharedListener(Links& l, std::string t, net::Address a) : links(l), to(std::move(t)), target(a) {}
  ~SharedListener() override {
    if (listener) links.thread_.loop().remove(listener.get(), this);
  }
  void on_ready(std::uint32_t) override {
    int error = 0;
    while (auto fd = net::accept_from(listener.get(), &error)) {
      sockaddr_in peer{};
      socklen_t length = sizeof peer;
      char text[INET_ADDRSTRLEN] = "";
      getpeername(fd.get(), reinterpret_cast<sockaddr*>(&peer), &length);
      inet_ntop(AF_INET, &peer.sin_addr, text, sizeof text);
      auto from = links.sources_.find(text);
      if (from == links.sources_.end()) continue;
      auto it = links.links_.find({from->second, to});
      if (it == links.links_.end()) continue;
      auto dialed = net::start_connect(target, &error);
      if (!dialed) continue;
      std::erase_if(it->second->connections, [](auto& p) { return p->closed; });
      it->second->connections.push_back(
          std::make_unique<Connection>(*it->second, std::move(fd), std::move(dialed)));
    }
  }
  Links& links;
  std::string to;
  net::Address target;
  net::Fd listener;
};

Links::Connection::Connection(Link& l, net::Fd accepted, net::Fd dialed) : link(l) {
  dialer_end.fd = std::move(accepted);
  target_end.fd = std::move(dialed);
  target_end.connected = false;
  link.loop.add(dialer_end.fd.get(), &dialer_end);
  link.loop.add(target_end.fd.get(), &target_end);
}

Links::Connection::~Connection() { close(false); }

void Links::Connection::close(bool with_reset) {
  if (closed) return;
  closed = true;
  link.loop.cancel(&timer);
  for (auto* end : {&dialer_end, &target_end}) {
    if (!end->fd) continue;
    if (with_reset) {
      linger now{1, 0};
      setsockopt(end->fd.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    link.loop.remove(end->fd.get(), end);
    end->fd.reset();
  }
}

bool Links::Connection::read(End& from, Direction& direction) {
  std::string chunk(kChunkBytes, '\0');
  while (!from.ended && direction.buffered < kMaxBufferedBytes) {
    auto n = recv(from.fd.get(), chunk.data(), chunk.size(), 0);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return true;
    if (n <= 0) {
      from.ended = true;
      break;
    }
    direction.buffered += static_cast<std::size_t>(n);
    direction.queue.emplace_back(link.loop.now() + link.state.delay,
                                 chunk.substr(0, static_cast<std::size_t>(n)));
  }
  return true;
}

// Returns false if the socket has failed.
bool Links::Connection::write(End& to, Direction& direction, bool is_forward) {
  auto& s = link.state;
  auto now = link.loop.now();
  while (!direction.queue.empty()) {
    bool held = is_forward ? s.hold_forward : s.hold_backward;
    if (held || direction.queue.front().first > now) return true;
    auto& bytes = direction.queue.front().second;
    auto max_bytes = bytes.size();
    if (s.bytes_per_second > 0) {
      auto rate = static_cast<double>(s.bytes_per_second);
      auto elapsed_s = static_cast<double>((now - direction.credit_updated).count()) / 1e6;
      direction.credit = std::min(rate / 20 + 1, direction.credit + elapsed_s * rate);
      direction.credit_updated = now;
      max_bytes = std::min(max_bytes, static_cast<std::size_t>(direction.credit));
      if (max_bytes == 0) return true;
    }
    if (is_forward && s.stall_after >= 0)
      max_bytes = std::min(max_bytes, static_cast<std::size_t>(s.stall_after));
    auto n = max_bytes == 0 ? 0 : send(to.fd.get(), bytes.data(), max_bytes, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return true;
    if (n < 0) return false;
    link.bytes_forwarded += static_cast<std::uint64_t>(n);
    direction.buffered -= static_cast<std::size_t>(n);
    direction.credit -= static_cast<double>(n);
    bytes.erase(0, static_cast<std::size_t>(n));
    if (is_forward && s.stall_after >= 0 && (s.stall_after -= n) <= 0) {
      s.stall_after = -1;
      s.hold_forward = true;
    }
    if (bytes.empty()) direction.queue.pop_front();
  }
  return true;
}

void Links::Connection::pump() {
  if (closed) return;
  if (!target_end.connected) {
    int error = net::socket_error(target_end.fd.get());
    sockaddr_storage peer{};
    socklen_t length = sizeof peer;
    if (error != 0) return close(true);
    if (getpeername(target_end.fd.get(), reinterpret_cast<sockaddr*>(&peer), &length) != 0) return;
    target_end.connected = true;
  }
  read(dialer_end, forward);
  read(target_end, backward);
  if (!write(target_end, forward, true) || !write(dialer_end, backward, false)) return close(true);
  // The end of a stream is passed on after all its bytes, and not while the direction is held.
  auto& s = link.state;
  if (dialer_end.ended && forward.queue.empty() && !s.hold_forward) return close(false);
  if (target_end.ended && backward.queue.empty() && !s.hold_backward) return close(false);
  link.loop.cancel(&timer);
  Micros next = Micros::max();
  for (auto* direction : {&forward, &backward})
    if (!direction->queue.empty() && !(direction == &forward ? s.hold_forward : s.hold_backward))
      next = std::min(next, std::max(direction->queue.front().first, link.loop.now() + Micros(2000)));
  if (next != Micros::max()) timer = link.loop.at(next, [this] { pump(); });
}

Links::Links() { thread_.start(); }

Links::~Links() {
  thread_.call([this] {
    shared_listeners_.clear();
    links_.clear();
  });
  thread_.stop();
}

int Links::add_listener(const std::string& from, const std::string& to, const std::string& address) {
  int port = 0;
  int error = 0;
  auto target = net::parse_address(address);
  if (!target) throw std::runtime_error("not an address: " + address);
  thread_.call([&] {
    auto l = std::make_unique<Link>(thread_.loop(), *target);
    l->listener = net::listen_on(*net::parse_address("127.0.0.1:0"), &error);
    if (!l->listener) return;
    port = net::local_port(l->listener.get());
    thread_.loop().add(l->listener.get(), l.get());
    links_[{from, to}] = std::move(l);
  });
  if (port == 0)
    throw std::runtime_error(
        fmt::format("cannot listen for the link from {} to {}: {}", from, to, net::message_of(error)));
  return port;
}

void Links::add_source(const std::string& address, const std::string& from) {
  thread_.call([&] { sources_[address] = from; });
}

void Links::add_link(const std::string& from, const std::string& to) {
  thread_.call([&] { links_[{from, to}] = std::make_unique<Link>(thread_.loop(), net::Address{}); });
}

int Links::add_shared_listener(const std::string& to, const std::string& address) {
  int port = 0;
  int error = 0;
  auto target = net::parse_address(address);
  if (!target) throw std::runtime_error("not an address: " + address);
  thread_.call([&] {
    auto shared_listener = std::make_unique<SharedListener>(*this, to, *target);
    shared_listener->listener = net::listen_on(*net::parse_address("127.0.0.1:0"), &error);
    if (!shared_listener->listener) return;
    port = net::local_port(shared_listener->listener.get());
    thread_.loop().add(shared_listener->listener.get(), shared_listener.get());
    shared_listeners_.push_back(std::move(shared_listener));
  });
  if (port == 0)
    throw std::runtime_error(fmt::format("cannot listen in front of {}: {}", to, net::message_of(error)));
  return port;
}

Links::Link& Links::link(const std::string& from, const std::string& to) {
  auto it = links_.find({from, to});
  if (it == links_.end())
    throw std::invalid_argument(fmt::format("there is no link from {} to {}", from, to));
  return *it->second;
}

void Links::set(const std::string& from, const std::string& to, LinkState state) {
  thread_.call([&] {
    auto& l = link(from, to);
    l.state = state;
    for (auto& p : l.connections) p->pump();
  });
}

void Links::reset(const std::string& from, const std::string& to) {
  thread_.call([&] {
    for (auto& p : link(from, to).connections) p->close(true);
  });
}

std::uint64_t Links::bytes_forwarded(const std::string& from, const std::string& to) {
  std::uint64_t bytes = 0;
  thread_.call([&] { bytes = link(from, to).bytes_forwarded; });
  return bytes;
}

}  // namespace database_proxy::testbench::faults
