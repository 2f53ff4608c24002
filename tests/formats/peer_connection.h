// Connections by which a test acts as a peer of a node: blocking sockets that send and receive frames. A read
// or an accept that waits longer than ten seconds throws.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "net/fd.h"
#include "peers/codec.h"

namespace database_proxy::test {

using nlohmann::json;

// A blocking connection between a node and a test that acts as one of its peers.
class PeerConnection {
 public:
  explicit PeerConnection(net::Fd socket) : socket_(std::move(socket)) {
    timeval timeout{10, 0};
    setsockopt(socket_.get(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  }
  // Connects to a node's port on the loopback address. Throws std::runtime_error if that fails.
  static PeerConnection dial(int port) {
    net::Fd socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(socket.get(), reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
      throw std::runtime_error("cannot connect to the node");
    return PeerConnection(std::move(socket));
  }

  void send(const json& message) {
    auto bytes = peers::frame(message);
    if (::send(socket_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(bytes.size()))
      throw std::runtime_error("the connection broke");
  }
  // Returns the oldest unread message of this type that satisfies `predicate`, and waits for one if there is
  // none. Other messages are kept for later calls, since the order of unrelated messages is not fixed.
  json next(const std::string& type, const std::function<bool(const json&)>& predicate = nullptr) {
    auto matches = [&](const json& message) {
      return message.at("t") == type && (!predicate || predicate(message));
    };
    auto found = std::find_if(unread_.begin(), unread_.end(), matches);
    if (found != unread_.end()) {
      auto message = *found;
      unread_.erase(found);
      return message;
    }
    while (true) {
      auto message = next_message("'" + type + "'");
      if (matches(message)) return message;
      unread_.push_back(std::move(message));
    }
  }
  // Sends the hello message and returns the reply.
  json handshake(const json& hello) {
    send(hello);
    return next_message("a reply to the hello message");
  }
  // Sends an admin command and returns its answer.
  json run_admin_command(json request) {
    request["t"] = "tool";
    send(request);
    return next("answer");
  }

 private:
  // Returns the next message of any type and answers pings; `expected` describes it in the error message.
  json next_message(const std::string& expected) {
    while (true) {
      json message;
      std::size_t size = 0;
      auto parse = peers::parse_frame(received_, &message, &size);
      if (parse == peers::FrameParse::kBad) throw std::runtime_error("the node sent a malformed frame");
      if (parse == peers::FrameParse::kOk) {
        // The node must write exactly the codec's encoding: sorted keys, numbers in their shortest form.
        EXPECT_EQ(received_.substr(0, size), peers::frame(message));
        received_.erase(0, size);
        if (message.at("t") == "ping") send({{"t", "pong"}});
        return message;
      }
      char chunk[16384];
      auto count = recv(socket_.get(), chunk, sizeof chunk, 0);
      if (count <= 0) throw std::runtime_error("no further message from the node; expected " + expected);
      received_.append(chunk, static_cast<std::size_t>(count));
    }
  }

  net::Fd socket_;
  std::string received_;
  std::vector<json> unread_;
};

// A listening socket of the test, to which a node connects as to one of its peers.
class PeerListener {
 public:
  PeerListener() : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    if (bind(socket_.get(), reinterpret_cast<sockaddr*>(&address), length) != 0 ||
        listen(socket_.get(), 8) != 0 ||
        getsockname(socket_.get(), reinterpret_cast<sockaddr*>(&address), &length) != 0)
      throw std::runtime_error("cannot listen on a loopback port");
    port_ = ntohs(address.sin_port);
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  PeerConnection accept_peer() {
    timeval timeout{10, 0};
    setsockopt(socket_.get(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    net::Fd accepted(accept4(socket_.get(), nullptr, nullptr, SOCK_CLOEXEC));
    if (!accepted) throw std::runtime_error("the node did not connect");
    return PeerConnection(std::move(accepted));
  }

 private:
  net::Fd socket_;
  int port_ = 0;
};

}  // namespace database_proxy::test
