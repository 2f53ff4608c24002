// One connection between two daemons, dialed or accepted: frames in, frames out. It knows no decision.
//
// The queue out is bounded: what does not fit is dropped and counted, and send() says so. Consensus asks
// again by itself; whoever streams must begin anew. A link on which nothing came for `silence` is closed.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/buffer.h"
#include "net/fd.h"
#include "net/loop.h"
#include "net/socket.h"
#include "peers/codec.h"

namespace database_proxy::peers {

// What waits to be written to one peer: two of the longest frames.
constexpr std::size_t kMostQueued = 2 * kLongestFrame;

struct LinkTimes {
  net::Micros connect{1'000'000};  // to a connection
  net::Micros ping{500'000};       // a dialer says something at least so often, and is answered
  net::Micros silence{2'500'000};  // five of them may be late before a link is taken for broken
};

class Link : public net::Handler {
 public:
  struct Owner {
    virtual ~Owner() = default;
    virtual void link_up(Link& link) = 0;  // dialed: connected
    virtual void link_said(Link& link, const json& message) = 0;
    // The last word of a link; it must not be destroyed within this call (put it aside until the turn ends).
    virtual void link_down(Link& link, const std::string& why) = 0;
  };

  Link(net::Loop& loop, Owner& owner, const net::Address& address, LinkTimes times = {});  // dials
  Link(net::Loop& loop, Owner& owner, net::Fd accepted, LinkTimes times = {});
  ~Link() override;
  bool start();  // false: it has failed already, and link_down was not called
  bool send(const json& message) { return send_frame(frame(message)); }
  bool send_frame(const std::string& bytes);
  void close(const std::string& why);
  bool up() const { return connected_; }
  bool dialed() const { return dialed_; }
  std::uint64_t dropped() const { return dropped_; }
  void on_ready(std::uint32_t events) override;

  // For the owner: who is at the other end, once greeted.
  std::string name, kind;
  std::uint64_t id = 0;
  bool greeted = false;

 private:
  void read(bool ended);
  void watch();

  net::Loop& loop_;
  Owner& owner_;
  net::Address address_;
  LinkTimes times_;
  bool dialed_, connected_ = false, closed_ = false;
  net::Fd fd_;
  net::InBuffer in_;
  net::OutBuffer out_;
  net::Micros heard_{0};
  std::uint64_t dropped_ = 0;
  net::Loop::TimerId timer_ = net::Loop::kNoTimer;
};

}  // namespace database_proxy::peers
