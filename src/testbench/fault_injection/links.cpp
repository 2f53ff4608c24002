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

// Of one direction, held in the rig; then the sender meets a full window, as on a dead link.
constexpr std::size_t kMostHeld = 4 << 20;
constexpr std::size_t kChunk = 64 * 1024;

}  // namespace

struct Links::Pair {
  struct End : net::Handler {
    explicit End(Pair& p) : pair(p) {}
    void on_ready(std::uint32_t) override { pair.pump(); }
    Pair& pair;
    net::Fd fd;
    bool connected = true, ended = false;
  };
  struct Way {
    std::deque<std::pair<Micros, std::string>> queue;  // due
    std::size_t held = 0;
    double credit = 0;
    Micros credited{0};
  };

  Pair(Link& l, net::Fd accepted, net::Fd dialed);
  ~Pair();
  void pump();
  bool read(End& from, Way& way);
  bool write(End& to, Way& way, bool there);
  void close(bool hard);

  Link& link;
  End near{*this}, far{*this};  // the dialer's end, and the other's
  Way there, back;
  net::Loop::TimerId timer = net::Loop::kNoTimer;
  bool closed = false;
};

struct Links::Link : net::Handler {
  Link(net::Loop& l, net::Address t) : loop(l), target(t) {}
  ~Link() override {
    pairs.clear();
    if (listener) loop.remove(listener.get(), this);
  }
  void on_ready(std::uint32_t) override {
    int error = 0;
    while (auto fd = net::accept_from(listener.get(), &error)) {
      auto there = net::start_connect(target, &error);
      if (!there) continue;
      std::erase_if(pairs, [](auto& p) { return p->closed; });
      pairs.push_back(std::make_unique<Pair>(*this, std::move(fd), std::move(there)));
    }
  }
  net::Loop& loop;
  net::Address target;
  net::Fd listener;
  LinkState state;
  std::uint64_t bytes_forwarded = 0;
  std::vector<std::unique_ptr<Pair>> pairs;
};

struct Links::Front : net::Handler {
  Front(Links& l, std::string t, net::Address a) : links(l), to(std::move(t)), target(a) {}
  ~Front() override {
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
      auto there = net::start_connect(target, &error);
      if (!there) continue;
      std::erase_if(it->second->pairs, [](auto& p) { return p->closed; });
      it->second->pairs.push_back(std::make_unique<Pair>(*it->second, std::move(fd), std::move(there)));
    }
  }
  Links& links;
  std::string to;
  net::Address target;
  net::Fd listener;
};

Links::Pair::Pair(Link& l, net::Fd accepted, net::Fd dialed) : link(l) {
  near.fd = std::move(accepted);
  far.fd = std::move(dialed);
  far.connected = false;
  link.loop.add(near.fd.get(), &near);
  link.loop.add(far.fd.get(), &far);
}

Links::Pair::~Pair() { close(false); }

void Links::Pair::close(bool hard) {
  if (closed) return;
  closed = true;
  link.loop.cancel(&timer);
  for (auto* end : {&near, &far}) {
    if (!end->fd) continue;
    if (hard) {
      linger now{1, 0};
      setsockopt(end->fd.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    link.loop.remove(end->fd.get(), end);
    end->fd.reset();
  }
}

bool Links::Pair::read(End& from, Way& way) {
  std::string chunk(kChunk, '\0');
  while (!from.ended && way.held < kMostHeld) {
    auto n = recv(from.fd.get(), chunk.data(), chunk.size(), 0);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return true;
    if (n <= 0) {
      from.ended = true;
      break;
    }
    way.held += static_cast<std::size_t>(n);
    way.queue.emplace_back(link.loop.now() + link.state.delay, chunk.substr(0, static_cast<std::size_t>(n)));
  }
  return true;
}

// False: the end is gone.
bool Links::Pair::write(End& to, Way& way, bool is_there) {
  auto& s = link.state;
  auto now = link.loop.now();
  while (!way.queue.empty()) {
    bool held = is_there ? s.hold_there : s.hold_back;
    if (held || way.queue.front().first > now) return true;
    auto& bytes = way.queue.front().second;
    auto most = bytes.size();
    if (s.bytes_per_second > 0) {
      auto rate = static_cast<double>(s.bytes_per_second);
      auto past = static_cast<double>((now - way.credited).count()) / 1e6;
      way.credit = std::min(rate / 20 + 1, way.credit + past * rate);
      way.credited = now;
      most = std::min(most, static_cast<std::size_t>(way.credit));
      if (most == 0) return true;
    }
    if (is_there && s.stall_after >= 0) most = std::min(most, static_cast<std::size_t>(s.stall_after));
    auto n = most == 0 ? 0 : send(to.fd.get(), bytes.data(), most, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return true;
    if (n < 0) return false;
    link.bytes_forwarded += static_cast<std::uint64_t>(n);
    way.held -= static_cast<std::size_t>(n);
    way.credit -= static_cast<double>(n);
    bytes.erase(0, static_cast<std::size_t>(n));
    if (is_there && s.stall_after >= 0 && (s.stall_after -= n) <= 0) {
      s.stall_after = -1;
      s.hold_there = true;
    }
    if (bytes.empty()) way.queue.pop_front();
  }
  return true;
}

void Links::Pair::pump() {
  if (closed) return;
  if (!far.connected) {
    int error = net::socket_error(far.fd.get());
    sockaddr_storage peer{};
    socklen_t length = sizeof peer;
    if (error != 0) return close(true);
    if (getpeername(far.fd.get(), reinterpret_cast<sockaddr*>(&peer), &length) != 0) return;
    far.connected = true;
  }
  read(near, there);
  read(far, back);
  if (!write(far, there, true) || !write(near, back, false)) return close(true);
  // An end that has gone is told to the other once what it said has passed, and not through a cut.
  auto& s = link.state;
  if (near.ended && there.queue.empty() && !s.hold_there) return close(false);
  if (far.ended && back.queue.empty() && !s.hold_back) return close(false);
  link.loop.cancel(&timer);
  Micros next = Micros::max();
  for (auto* way : {&there, &back})
    if (!way->queue.empty() && !(way == &there ? s.hold_there : s.hold_back))
      next = std::min(next, std::max(way->queue.front().first, link.loop.now() + Micros(2000)));
  if (next != Micros::max()) timer = link.loop.at(next, [this] { pump(); });
}

Links::Links() { thread_.start(); }

Links::~Links() {
  thread_.call([this] {
    fronts_.clear();
    links_.clear();
  });
  thread_.stop();
}

int Links::add(const std::string& from, const std::string& to, const std::string& address) {
  int port = 0;
  int error = 0;
  auto target = net::parse_address(address);
  if (!target) throw std::runtime_error("no address: " + address);
  thread_.call([&] {
    auto l = std::make_unique<Link>(thread_.loop(), *target);
    l->listener = net::listen_on(*net::parse_address("127.0.0.1:0"), &error);
    if (!l->listener) return;
    port = net::local_port(l->listener.get());
    thread_.loop().add(l->listener.get(), l.get());
    links_[{from, to}] = std::move(l);
  });
  if (port == 0)
    throw std::runtime_error(fmt::format("the link from {} to {}: {}", from, to, net::message_of(error)));
  return port;
}

void Links::source(const std::string& address, const std::string& from) {
  thread_.call([&] { sources_[address] = from; });
}

void Links::pair(const std::string& from, const std::string& to) {
  thread_.call([&] { links_[{from, to}] = std::make_unique<Link>(thread_.loop(), net::Address{}); });
}

int Links::add_front(const std::string& to, const std::string& address) {
  int port = 0;
  int error = 0;
  auto target = net::parse_address(address);
  if (!target) throw std::runtime_error("no address: " + address);
  thread_.call([&] {
    auto front = std::make_unique<Front>(*this, to, *target);
    front->listener = net::listen_on(*net::parse_address("127.0.0.1:0"), &error);
    if (!front->listener) return;
    port = net::local_port(front->listener.get());
    thread_.loop().add(front->listener.get(), front.get());
    fronts_.push_back(std::move(front));
  });
  if (port == 0) throw std::runtime_error(fmt::format("the front of {}: {}", to, net::message_of(error)));
  return port;
}

Links::Link& Links::link(const std::string& from, const std::string& to) {
  auto it = links_.find({from, to});
  if (it == links_.end()) throw std::invalid_argument(fmt::format("no link leads from {} to {}", from, to));
  return *it->second;
}

void Links::set(const std::string& from, const std::string& to, LinkState state) {
  thread_.call([&] {
    auto& l = link(from, to);
    l.state = state;
    for (auto& p : l.pairs) p->pump();
  });
}

void Links::reset(const std::string& from, const std::string& to) {
  thread_.call([&] {
    for (auto& p : link(from, to).pairs) p->close(true);
  });
}

std::uint64_t Links::bytes_forwarded(const std::string& from, const std::string& to) {
  std::uint64_t bytes = 0;
  thread_.call([&] { bytes = link(from, to).bytes_forwarded; });
  return bytes;
}

}  // namespace database_proxy::testbench::faults
