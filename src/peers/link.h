// One connection between two nodes, dialed or accepted, which sends and receives frames. It makes no
// decisions and interprets only two messages, ping and pong.
//
// A link belongs to the thread of its loop. Its output queue is bounded: a message that does not fit is
// dropped and counted, and send() returns false. Consensus resends dropped messages by itself; the sender of
// a stream must restart the stream. A link that has received nothing for LinkTimes::receive_timeout is
// closed.
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

// Maximum number of bytes that wait to be written to one peer: two frames of the maximum length.
constexpr std::size_t kMaxQueuedBytes = 2 * kMaxFrameBytes;

// Timeouts and ping interval of a link. The defaults are the values used in production.
struct LinkTimes {
  net::Micros connect_timeout{1'000'000};  // until a connection is established
  net::Micros ping_interval{500'000};      // between two pings of the side that dialed; each is answered
  net::Micros receive_timeout{2'500'000};  // five pings may be late before the link is considered broken
};

// The peer at the other end of a link. The name of a dialed peer is known from the start; the greeting
// supplies the rest.
struct LinkPeer {
  std::string name;
  PeerRole role = PeerRole::kFollower;
  consensus::NodeId id = consensus::kNoNode;
  bool has_greeted = false;
};

// A link to one peer. A closed link is not reopened: a new connection needs a new link.
class Link : public net::Handler {
 public:
  // Receives the events of a link.
  class Owner {
   public:
    virtual ~Owner() = default;
    // Called when a dialed link is connected.
    virtual void on_link_up(Link& link) = 0;
    virtual void on_message(Link& link, const EncodedMessage& message) = 0;
    // The last call of a link. The link must outlive this call, so the owner keeps it until the loop's turn
    // ends. A reason that begins with "it " states a fault of the peer.
    virtual void on_link_down(Link& link, const std::string& reason) = 0;
  };

  // Creates a link that dials `address` once it is started.
  Link(net::Loop& loop, Owner& owner, const net::Address& address, LinkTimes times = {});
  // Creates a link for an accepted connection.
  Link(net::Loop& loop, Owner& owner, net::Fd accepted, LinkTimes times = {});
  ~Link() override;
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  // Returns false if the link has failed already; on_link_down is not called then.
  bool start();
  // Return false if nothing of the message was queued.
  bool send(const EncodedMessage& message) { return send_frame(message.to_frame()); }
  bool send_frame(const std::string& frame);
  // Closes the link and calls on_link_down. Does nothing if the link is closed already.
  void close(const std::string& reason);

  bool is_connected() const { return is_connected_; }
  bool is_dialed() const { return is_dialed_; }
  std::uint64_t dropped_frames() const { return dropped_frames_; }
  // The peer, as the owner has set it.
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
  net::Loop::TimerId timer_ = net::Loop::kNoTimer;  // connect_timeout, then check_last_received
};

}  // namespace database_proxy::peers
