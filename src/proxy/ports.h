// What keeps protocols apart from dispatch: the dispatcher sees clients and servers only through these.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "routing/decision_facade.h"

namespace database_proxy::proxy {

using routing::Micros;
using routing::RequestId;

// The pieces of a request as it goes to a data server. They point into the client's buffer and into `owned`.
struct Query {
  std::string head, wait;  // made for this attempt
  std::string_view before, after;
};

// An answer as a data server gave it: its messages, in order.
struct Answer {
  std::array<std::string_view, 3> frames;  // RowDescription, DataRow, CommandComplete
};

// One client's request. Exactly one of serve, refuse and fail is called, unless the client leaves first.
class ClientPort {
 public:
  virtual ~ClientPort() = default;
  virtual Query query(Micros wait) = 0;
  // Asked right before an attempt begins. False: the client has gone, and its requests have been given up.
  virtual bool still_connected() = 0;
  virtual void serve(const Answer& answer) = 0;
  virtual void reject(Micros retry_after) = 0;
  virtual void fail(std::string_view why) = 0;
};

// How one attempt ended at the data server.
struct AttemptEnd {
  routing::AttemptResult result;
  std::optional<Answer> answer;  // with kServed; valid until the pool gets its connection back
  void* connection = nullptr;    // to be given back to the pool once the answer is passed on
};

class ServerEvents {
 public:
  virtual ~ServerEvents() = default;
  virtual void attempt_ended(AttemptEnd end) = 0;
  virtual void probe_ended(routing::ProbeResult result) = 0;
  virtual ClientPort* client_of(RequestId request) = 0;
  // An attempt's statement goes out now.
  virtual void attempt_begins(RequestId request, const std::string& server) = 0;
};

}  // namespace database_proxy::proxy
