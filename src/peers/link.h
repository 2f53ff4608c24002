// One connection between two daemons, dialed or accepted: frames in, frames out. It makes no decision and
// knows only two messages, ping and pong.
//
// A link lives in the thread of its loop. Its output queue is bounded: what does not fit is dropped and
// counted, and send() returns false. Consensus repeats what was dropped by itself; whoever streams must
// restart the stream. A link on which nothing was received for LinkTimes::receive_timeout is closed.
#pragma once

#include <cstdint>
#include <string>

#include "net/buffer.h"
#include "net/fd.h"
#include "net/loop.h"
#include "net/socket.h"
#include "peers/codec.h"
#include "peers/encoded_message.h"
#include "peers/messages.h"

namespace database_proxy::peers {

// Bytes that wait to be written to one peer: two of the longest frames.
constexpr std::size_t kMaxQueuedBytes = 2 * kMaxFrameBytes;

// Of a link; the defaults are those of production.
struct LinkTimes {
  net::Micros connect_timeout{1'000'000};  // until a connection is established
  net::Micros ping_interval{500'000};      // between two pings of the side that dialed; each is answered
  net::Micros receive_timeout{2'500'000};  // five pings may be late before a link is taken for broken
};

// Who is at the other end. A dialed link has its name from the start, the rest comes with the greeting.
struct LinkPeer {
  std::string name;
  PeerRole role = PeerRole::kFollower;
  consensus::NodeId id = consensus::kNobody;
  bool has_greeted = false;
};

// Closed links stay closed; a new connection is a new link.
class Link : public net::Handler {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    // A dialed link is connected.
    virtual void on_link_up(Link& link) = 0;
    virtual void on_message(Link& link, const EncodedMessage& message) = 0;
    // The last call of a link. The link must outlive this call: set it aside until the loop's turn ends.
    virtual void on_link_down(Link& link, const std::string& reason) = 0;
  };

  // Dials `address` once started.
  Link(net::Loop& loop, Owner& owner, const net::Address& address, LinkTimes times = {});
  // Takes an accepted connection.
  Link(net::Loop& loop, Owner& owner, net::Fd accepted, LinkTimes times = {});
  ~Link() override;
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  // False: it has failed already, and on_link_down is not called.
  bool start();
  // False: nothing of the message was queued.
  bool send(const EncodedMessage& message) { return send_frame(message.to_frame()); }
  bool send_frame(const std::string& frame);
  // Calls on_link_down, once.
  void close(const std::string& reason);

  bool is_connected() const { return is_connected_; }
  bool is_dialed() const { return is_dialed_; }
  std::uint64_t dropped_frames() const { return dropped_frames_; }
  // The owner's notes.
  const LinkPeer& peer() const { return peer_; }
  void set_peer(LinkPeer peer) { peer_ = std::move(peer); }

  void on_ready(std::uint32_t events) override;

 private:
  void read_messages(bool connection_ended);
  void check_last_received();

  net::Loop& loop_;
  Owner& owner_;
  net::Address address_;
  LinkTimes times_;
  LinkPeer peer_;
  bool is_dialed_;
  bool is_connected_ = false;
  bool is_closed_ = false;
  net::Fd fd_;
  net::InBuffer in_;
  net::OutBuffer out_;
  net::Micros last_received_{0};
  std::uint64_t dropped_frames_ = 0;
  net::Loop::TimerId timer_ = net::Loop::kNoTimer;  // connecting, then check_last_received
};

}  // namespace database_proxy::peers
