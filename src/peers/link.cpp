#include "peers/link.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <cstring>

namespace database_proxy::peers {

Link::Link(net::Loop& loop, Owner& owner, const net::Address& address, LinkTimes times)
    : loop_(loop), owner_(owner), address_(address), times_(times), dialed_(true) {}

Link::Link(net::Loop& loop, Owner& owner, net::Fd accepted, LinkTimes times)
    : loop_(loop), owner_(owner), times_(times), dialed_(false), connected_(true), fd_(std::move(accepted)) {}

Link::~Link() {
  loop_.cancel(&timer_);
  if (fd_) loop_.remove(fd_.get(), this);
}

bool Link::start() {
  if (dialed_) {
    int error = 0;
    fd_ = net::start_connect(address_, &error);
  }
  if (!fd_ || !loop_.add(fd_.get(), this)) {
    fd_.reset();
    closed_ = true;
    return false;
  }
  int one = 1;  // a vote must not wait for a fuller packet
  setsockopt(fd_.get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  heard_ = loop_.now();
  if (dialed_)
    timer_ = loop_.at(loop_.now() + times_.connect, [this] { close("no connection in time"); });
  else
    watch();
  return true;
}

void Link::watch() {
  loop_.cancel(&timer_);
  if (closed_) return;
  if (loop_.now() - heard_ >= times_.silence) return close("nothing was heard for too long");
  if (dialed_) send({{"t", "ping"}});
  if (!closed_) timer_ = loop_.at(loop_.now() + times_.ping, [this] { watch(); });
}

bool Link::send_frame(const std::string& bytes) {
  if (closed_ || !connected_) return false;
  if (out_.size() > 0 && out_.size() + bytes.size() > kMostQueued) {
    ++dropped_;
    return false;
  }
  if (out_.write(fd_.get(), {bytes})) return true;
  // Not within a caller's own loop over its links.
  loop_.cancel(&timer_);
  timer_ = loop_.at(loop_.now(), [this] { close("the connection broke"); });
  return false;
}

void Link::close(const std::string& why) {
  if (closed_) return;
  closed_ = true;
  connected_ = false;
  loop_.cancel(&timer_);
  if (fd_) loop_.remove(fd_.get(), this);
  fd_.reset();
  owner_.link_down(*this, why);
}

void Link::on_ready(std::uint32_t events) {
  if (closed_) return;
  if (!connected_) {
    if (int error = net::socket_error(fd_.get())) return close(std::strerror(error));
    if (!(events & EPOLLOUT)) return;
    connected_ = true;
    heard_ = loop_.now();
    owner_.link_up(*this);
    watch();
  }
  if (closed_) return;
  if ((events & EPOLLOUT) && !out_.flush(fd_.get())) return close("the connection broke");
  if (!(events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR))) return;
  // Bounded a turn, so that one peer that floods does not keep the others from being heard.
  auto end = in_.fill(fd_.get(), kLongestFrame + 4, kLongestFrame + 4);
  read(net::is_over(end));
  if (!closed_ && end == net::IoEnd::kFull) loop_.again(this);
}

void Link::read(bool ended) {
  heard_ = loop_.now();
  while (!closed_) {
    json message;
    std::size_t size = 0;
    auto parse = parse_frame(in_.view(), &message, &size);
    if (parse == FrameParse::kBad) return close("it sent what is no message");
    if (parse == FrameParse::kMore) break;
    in_.consume(size);
    auto& kind = message.at("t").get_ref<const std::string&>();
    if (kind == "ping") {
      send({{"t", "pong"}});
    } else if (kind != "pong") {
      owner_.link_said(*this, message);
    }
  }
  if (ended) close("the connection ended");
}

}  // namespace database_proxy::peers
