#include "operator/door.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <cerrno>
#include <stdexcept>

#include "net/socket.h"

namespace linenwinch::operation {
namespace {

using namespace std::chrono_literals;
using net::Micros;

// Callers hold a connection for 4 s without a whole call and may still make it.
constexpr Micros kPatience = 6s;
// One turn's share: calls are rare, and clients must not wait for a flood of them.
constexpr int kAcceptsPerTurn = 8;
// Where the system had no descriptor: how soon it is tried again. Well within the second of an answer.
constexpr Micros kLookAgain = 50ms;

}  // namespace

class Door::Caller : public net::Handler {
 public:
  Caller(Door& door, std::uint64_t number, net::Fd fd) : door_(door), number_(number), fd_(std::move(fd)) {
    timer_ = door_.loop_.at(door_.loop_.now() + kPatience, [this] { door_.close(number_); });
  }
  ~Caller() override {
    door_.loop_.cancel(&timer_);
    if (watched_) door_.loop_.remove(fd_.get(), this);
  }
  bool start() { return watched_ = door_.loop_.add(fd_.get(), this); }
  bool called() const { return called_; }

  void on_ready(std::uint32_t events) override {
    if ((events & EPOLLOUT) && !out_.empty() && !out_.flush(fd_.get())) return door_.close(number_);
    if (answered_) return leave();
    if (!(events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) || called_) return;
    // A line may come whole with the end of its sending right behind it, and that is a call too.
    auto end = in_.fill(fd_.get(), kLongestCall + 2);
    auto text = in_.view();
    auto at = text.find('\n');
    if (at == std::string_view::npos && end == net::IoEnd::kClosed) return door_.close(number_);
    if (at == std::string_view::npos && end != net::IoEnd::kFull) return;
    called_ = true;
    auto call = parse_call(text.substr(0, at));
    if (call.what == Call::What::kBad) return answer(no(call.why));
    door_.serve_(call, [self = std::weak_ptr(door_.self_), number = number_](std::string text) {
      auto door = self.lock();
      if (!door) return;
      auto it = (*door)->callers_.find(number);
      if (it != (*door)->callers_.end()) it->second->answer(std::move(text));
    });
  }

 private:
  void answer(std::string text) {
    answered_ = true;
    if (!out_.write(fd_.get(), {text})) return door_.close(number_);
    leave();
  }
  // What came behind the call is read first: a close on unread bytes would reset the connection and take the
  // answer along. Whoever goes on sending is cut off.
  void leave() {
    if (!out_.empty()) return;
    shutdown(fd_.get(), SHUT_WR);
    net::discard(fd_.get(), 16 * kLongestCall);
    door_.close(number_);
  }

  Door& door_;
  std::uint64_t number_;
  net::Fd fd_;
  net::InBuffer in_;
  net::OutBuffer out_;
  net::Loop::TimerId timer_ = net::Loop::kNoTimer;
  bool watched_ = false, called_ = false, answered_ = false;
};

Door::Door(net::Loop& loop, const std::string& address, Serve serve)
    : loop_(loop), serve_(std::move(serve)), on_listener_(*this), self_(std::make_shared<Door*>(this)) {
  auto parsed = net::parse_address(address);
  std::string error = "it is no address";
  if (parsed) listener_ = net::listen_on(*parsed, &error);
  if (!listener_ || !loop_.add(listener_.get(), &on_listener_))
    throw std::runtime_error(fmt::format("cannot listen for operators on {}: {}", address, error));
}

Door::~Door() {
  loop_.cancel(&again_);
  loop_.remove(listener_.get(), &on_listener_);
}

int Door::port() const { return net::local_port(listener_.get()); }

// The oldest that has not made its call gives way; those whose answer is on its way do not.
bool Door::make_room() {
  for (auto& [number, caller] : callers_)
    if (!caller->called()) {
      close(number);
      return true;
    }
  return false;
}

void Door::accept_all() {
  closed_.clear();
  loop_.cancel(&again_);
  for (int accepted = 0; accepted < kAcceptsPerTurn; ++accepted) {
    if (callers_.size() >= kMostCallers && !make_room()) break;
    int error = 0;
    auto fd = net::accept_from(listener_.get(), &error);
    if (!fd && (error == EAGAIN || error == EWOULDBLOCK)) return;
    if (!fd && (error == ECONNABORTED || error == EINTR || error == EPROTO)) continue;
    if (!fd) {
      again_ = loop_.at(loop_.now() + kLookAgain, [this] { accept_all(); });
      return;
    }
    auto number = next_++;
    auto caller = std::make_unique<Caller>(*this, number, std::move(fd));
    if (caller->start()) callers_.emplace(number, std::move(caller));
  }
  again_ = loop_.at(loop_.now() + (callers_.size() < kMostCallers ? Micros(0) : kLookAgain),
                    [this] { accept_all(); });
}

void Door::close(std::uint64_t number) {
  auto it = callers_.find(number);
  if (it == callers_.end()) return;
  closed_.push_back(std::move(it->second));
  callers_.erase(it);
  // Freed once nothing of it is on the stack any more.
  loop_.at(loop_.now(), [self = std::weak_ptr(self_)] {
    if (auto door = self.lock()) (*door)->closed_.clear();
  });
}

}  // namespace linenwinch::operation
