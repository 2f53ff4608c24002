// What keeps protocols apart from dispatch: the dispatcher sees clients and servers only through these.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "routing/facade.h"

namespace linenwinch::proxy {

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

// Where the rest of a long answer comes from.
class StreamSource {
 public:
  virtual ~StreamSource() = default;
  virtual void more() = 0;     // the client can take more
  virtual void abandon() = 0;  // it has gone; nothing is to be passed to it any more
};

// One client's request. Exactly one of serve, stream, refuse and fail is called, unless the client leaves
// first.
class ClientPort {
 public:
  virtual ~ClientPort() = default;
  virtual Query query(Micros wait) = 0;
  virtual void serve(const Answer& answer) = 0;
  // An answer that is not held as a whole: its messages come in pieces of any size, as much at once as there
  // is room for, until stream_ended(). Not whole: the client must be able to tell.
  virtual void stream(StreamSource& source) = 0;
  virtual std::size_t room(std::size_t window) const = 0;
  virtual void piece(std::string_view bytes) = 0;
  virtual void stream_ended(bool whole) = 0;
  virtual void refuse(Micros retry_after) = 0;
  virtual void fail(std::string_view why) = 0;
};

// How one attempt ended at the data server.
struct AttemptEnd {
  routing::Result result;
  std::optional<Answer> answer;  // with kServed; valid until the pool gets its connection back
  bool stream = false;           // with kServed: a long one, of which the beginning has come
  void* connection = nullptr;    // to be given back to the pool once the answer is passed on
};

class ServerEvents {
 public:
  virtual ~ServerEvents() = default;
  virtual void attempt_ended(AttemptEnd end) = 0;
  virtual void probe_ended(routing::ProbeResult result) = 0;
  // A long answer that was passed on has ended; nullopt: since its client went away.
  virtual void stream_ended(RequestId, std::optional<bool>) {}
  virtual ClientPort* client_of(RequestId request) = 0;
};

}  // namespace linenwinch::proxy
