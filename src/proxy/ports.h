// Interfaces that separate the protocols from dispatch: the dispatcher uses clients and servers only through
// them.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "routing/decision_facade.h"

namespace database_proxy::proxy {

using routing::Micros;
using routing::RequestId;

// The parts of a request as it is sent to a data server. `before` and `after` point into the client's buffer;
// `head` and `timeout_ms` are owned.
struct Query {
  std::string head, timeout_ms;  // composed for this attempt; the timeout in decimal digits
  std::string_view before, after;
};

// An answer as received from a data server: its messages, in order.
struct Answer {
  std::array<std::string_view, 3> frames;  // RowDescription, DataRow, CommandComplete
  std::size_t size() const { return frames[0].size() + frames[1].size() + frames[2].size(); }
};

// What is known of a client's connection. kUnknown: input waits that was not read, so that the end of the
// connection would not be seen, and nothing else has shown lately that the client is there. It is asked for a
// sign, and the loop runs again once there may be one.
enum class ClientPresence { kConnected, kGone, kUnknown };

// One client's request. Exactly one of serve, reject, reject_at_shutdown and fail is called, unless the
// client disconnects first.
class ClientPort {
 public:
  virtual ~ClientPort() = default;
  virtual Query query(Micros timeout) = 0;
  // Called right before a request is submitted for a decision, and before an attempt begins; true at that
  // moment. kGone: the client has disconnected, and its requests have been abandoned.
  virtual ClientPresence presence() = 0;
  // False: there is no memory to keep the answer until the client reads it.
  virtual bool has_memory_for(const Answer& answer) = 0;
  virtual void serve(const Answer& answer) = 0;
  virtual void reject(Micros retry_after) = 0;
  virtual void reject_at_shutdown() = 0;  // another process may serve a repeat
  virtual void fail(std::string_view why) = 0;
};

// The outcome of one attempt at the data server.
struct AttemptEnd {
  routing::AttemptResult result;
  std::optional<Answer> answer;  // with kServed; valid until the connection is returned to the pool
  void* connection = nullptr;    // to be returned to the pool once the answer is passed on
  bool lacks_memory = false;     // the answer was given up because there is no memory for it
};

// Receives the events of the data servers' connections.
class ServerEvents {
 public:
  virtual ~ServerEvents() = default;
  virtual void attempt_ended(AttemptEnd end) = 0;
  virtual void probe_ended(routing::ProbeResult result) = 0;
  virtual ClientPort* client_of(RequestId request) = 0;
  // Called when the statement of an attempt is about to be sent.
  virtual void attempt_begins(RequestId request, const std::string& server) = 0;
};

}  // namespace database_proxy::proxy
