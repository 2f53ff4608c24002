// One call to the discovery service at a time, on one connection, which is reused while the service keeps it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "discovery/http.h"
#include "discovery/polling_schedule.h"
#include "net/buffer.h"
#include "net/loop.h"
#include "net/socket.h"

namespace database_proxy::discovery {

// Owned by a DiscoveryWatch and used in its loop's thread. The handlers may call any member function.
class DiscoveryCall : public net::Handler {
 public:
  struct Handlers {
    std::function<void()> on_connected;
    std::function<void(HttpResponse)> on_response;
    std::function<void(const std::string& reason, CallFailure failure)> on_failure;
  };

  DiscoveryCall(net::Loop& loop, net::Address address, Handlers handlers);
  ~DiscoveryCall() override;
  DiscoveryCall(const DiscoveryCall&) = delete;
  DiscoveryCall& operator=(const DiscoveryCall&) = delete;

  // Ends the call, if any, and connects; on_connected or on_failure follows.
  void connect();
  // Sends a request on the established connection; on_response or on_failure follows.
  void send(const std::string& request);
  // Ends the call and the connection; no handler is called for it any more.
  void close();
  void on_ready(std::uint32_t events) override;

  // Whether it connects, or awaits a response.
  bool is_open() const { return static_cast<bool>(fd_); }
  bool is_sent() const { return is_sent_; }
  net::Micros sent_at() const { return sent_at_; }
  // When the last byte of the response came; before the first one, the time of sending.
  net::Micros last_byte_at() const { return last_byte_at_; }
  std::size_t bytes_received() const { return bytes_received_; }

 private:
  void on_connecting(std::uint32_t events);
  void read_input();
  void read_responses(bool ended);
  void fail(const std::string& reason, CallFailure failure = CallFailure::kBroken);
  void on_unusable_response();

  net::Loop& loop_;
  net::Address address_;
  Handlers handlers_;
  net::Fd fd_;
  net::InBuffer in_;
  net::OutBuffer out_;
  HttpResponseReader reader_;
  net::Loop::TimerId connect_timer_ = net::Loop::kNoTimer;
  bool is_connected_ = false;
  bool is_sent_ = false;  // a request was sent, and its response is not complete
  net::Micros sent_at_{0}, last_byte_at_{0};
  std::size_t bytes_received_ = 0;  // of the response
};

}  // namespace database_proxy::discovery
