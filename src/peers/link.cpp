#include "peers/link.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <system_error>

#include "peers/message_codec.h"

namespace database_proxy::peers {
namespace {

std::string error_text(int error) { return std::generic_category().message(error); }

}  // namespace

Link::Link(net::Loop& loop, Owner& owner, const net::Address& address, LinkTimes times)
    : loop_(loop), owner_(owner), address_(address), times_(times), is_dialed_(true) {}

Link::Link(net::Loop& loop, Owner& owner, net::Fd accepted, LinkTimes times)
    : loop_(loop),
      owner_(owner),
      times_(times),
      is_dialed_(false),
      is_connected_(true),
      fd_(std::move(accepted)) {}

Link::~Link() {
  loop_.cancel(&timer_);
  if (fd_) loop_.remove(fd_.get(), this);
}

bool Link::start() {
  if (is_dialed_) {
    int error = 0;
    fd_ = net::start_connect(address_, &error);
  }
  if (!fd_ || !loop_.add(fd_.get(), this)) {
    fd_.reset();
    is_closed_ = true;
    return false;
  }
  int enabled = 1;  // a vote must not wait until more data fills the packet
  setsockopt(fd_.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  last_received_ = loop_.now();
  if (is_dialed_)
    timer_ = loop_.at(loop_.now() + times_.connect_timeout, [this] { close("connect timed out"); });
  else
    check_last_received();
  return true;
}

void Link::check_last_received() {
  loop_.cancel(&timer_);
  if (is_closed_) return;
  if (loop_.now() - last_received_ >= times_.receive_timeout)
    return close("no message was received within the timeout");
  if (is_dialed_) send(encode_ping());
  if (!is_closed_) timer_ = loop_.at(loop_.now() + times_.ping_interval, [this] { check_last_received(); });
}

bool Link::send_frame(const std::string& frame) {
  if (is_closed_ || !is_connected_) return false;
  if (out_.size() > 0 && out_.size() + frame.size() > kMaxQueuedBytes) {
    ++dropped_frames_;
    return false;
  }
  if (out_.write(fd_.get(), {frame})) return true;
  // Closes the link in the next turn of the loop, because the caller may be iterating over its links, which
  // on_link_down changes.
  loop_.cancel(&timer_);
  timer_ = loop_.at(loop_.now(), [this] { close("the connection broke"); });
  return false;
}

void Link::close(const std::string& reason) {
  if (is_closed_) return;
  is_closed_ = true;
  is_connected_ = false;
  loop_.cancel(&timer_);
  if (fd_) loop_.remove(fd_.get(), this);
  fd_.reset();
  owner_.on_link_down(*this, reason);
}

void Link::on_ready(std::uint32_t events) {
  if (is_closed_) return;
  if (!is_connected_) {
    if (int error = net::socket_error(fd_.get())) return close(error_text(error));
    if (!(events & EPOLLOUT)) return;
    is_connected_ = true;
    last_received_ = loop_.now();
    owner_.on_link_up(*this);
    check_last_received();
  }
  if (is_closed_) return;
  if ((events & EPOLLOUT) && !out_.flush(fd_.get())) return close("the connection broke");
  if (!(events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR))) return;
  // The read is bounded in each turn of the loop, so that one peer that floods this node does not starve the
  // others.
  auto end = in_.fill(fd_.get(), kMaxFrameBytes + 4, kMaxFrameBytes + 4);
  read_messages(net::is_disconnected(end));
  if (!is_closed_ && end == net::IoResult::kFull) loop_.call_again(this);
}

void Link::read_messages(bool connection_ended) {
  last_received_ = loop_.now();
  while (!is_closed_) {
    nlohmann::json object;
    std::size_t size = 0;
    auto parse = parse_frame(in_.view(), &object, &size);
    if (parse == FrameParse::kBad) return close("it sent a malformed frame");
    if (parse == FrameParse::kMore) break;
    in_.consume(size);
    EncodedMessage message(std::move(object));
    if (message.type() == MessageType::kPing)
      send(encode_pong());
    else if (message.type() != MessageType::kPong)
      owner_.on_message(*this, message);
  }
  if (connection_ended) close("the connection ended");
}

}  // namespace database_proxy::peers
