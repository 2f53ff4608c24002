// Listener on the operators' address. Each connection carries one command and is closed after the reply. The
// number of connections, their duration and their bytes are limited, so that a client that holds connections
// open cannot keep others from being answered.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/log.h"
#include "net/loop.h"
#include "net/socket.h"
#include "operator_endpoint/operator_command.h"

namespace database_proxy::operator_endpoint {

// The maximum number of connections. Beyond it, the oldest one that has not sent its command is closed.
constexpr std::size_t kMaxConnections = 16;
// The maximum number of descriptors that a listener holds. They are reserved, not available to clients.
constexpr std::size_t kListenerDescriptors = kMaxConnections + 1;

class OperatorConnection;

// Owned and used by the thread of its loop.
class OperatorListener {
 public:
  // Called with the command of each complete line. The Answer may be called later, once, in the loop's
  // thread.
  using Answer = std::function<void(std::string)>;
  using Handle = std::function<void(const OperatorCommand&, Answer)>;

  // Listens on `address`. If it is temporarily unavailable, listening is retried. Throws std::runtime_error
  // for an address on which this machine can never listen.
  OperatorListener(net::Loop& loop, std::string address, Handle handle, net::Log log);
  ~OperatorListener();
  OperatorListener(const OperatorListener&) = delete;
  OperatorListener& operator=(const OperatorListener&) = delete;

  int port() const;

 private:
  friend class OperatorConnection;
  class ReadyHandler : public net::Handler {
   public:
    explicit ReadyHandler(OperatorListener& listener) : listener_(listener) {}
    void on_ready(std::uint32_t) override { listener_.accept_waiting(); }

   private:
    OperatorListener& listener_;
  };

  void listen();
  void accept_waiting();
  void accept_later(net::Micros delay);
  void admit(net::Fd socket);
  bool evict_oldest_without_command();
  void close(std::uint64_t number);

  net::Loop& loop_;
  std::string address_;
  net::Address parsed_address_;
  Handle handle_;
  net::Log log_;
  ReadyHandler on_socket_ready_;
  net::Fd socket_;
  bool has_logged_failure_ = false;
  std::uint64_t next_number_ = 0;
  std::map<std::uint64_t, std::unique_ptr<OperatorConnection>> connections_;  // in the order of acceptance
  std::vector<std::unique_ptr<OperatorConnection>> closed_;  // their own functions may be on the call stack
  net::Loop::TimerId retry_timer_ = net::Loop::kNoTimer;
  std::shared_ptr<OperatorListener*> self_;  // lets late replies detect that the listener was destroyed
};

}  // namespace database_proxy::operator_endpoint
