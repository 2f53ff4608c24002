// One connection on the operators' address: reads a line, passes its command to the listener's handler,
// writes the reply and closes.
#pragma once

#include <cstdint>

#include "net/buffer.h"
#include "net/loop.h"
#include "operator_endpoint/operator_listener.h"

namespace database_proxy::operator_endpoint {

class OperatorConnection : public net::Handler {
 public:
  OperatorConnection(OperatorListener& listener, std::uint64_t number, net::Fd socket);
  ~OperatorConnection() override;

  bool start();  // returns false if the event loop cannot watch the socket
  bool has_command() const { return has_command_; }
  void on_ready(std::uint32_t events) override;
  void answer(std::string_view text);

 private:
  void read_command();
  void finish();

  OperatorListener& listener_;
  std::uint64_t number_;
  net::Fd socket_;
  net::InBuffer input_;
  net::OutBuffer output_;
  net::Loop::TimerId timer_ = net::Loop::kNoTimer;
  bool is_watched_ = false, has_command_ = false, is_answered_ = false;
};

}  // namespace database_proxy::operator_endpoint
