// The input of one client that has not been taken as commands yet: reads it within limits, and tracks the
// earliest time at which it may have arrived.
//
// A request's timeout starts when its client sends it. Input that is read now may have waited in the socket,
// behind a full buffer or for a busy loop, so its arrival time is the earliest time that is possible.
#pragma once

#include <optional>
#include <string_view>

#include "net/buffer.h"
#include "net/loop.h"

namespace database_proxy::proxy {

using net::Micros;

// Limit of one message in bytes: a value of 64 KiB takes 128 KiB as hexadecimal digits, and the rest of a
// statement is short.
constexpr std::size_t kMaxClientMessageSize = 132 * 1024;
// Limit of the bytes that are read ahead; pipelined input beyond it waits in the kernel.
constexpr std::size_t kReadAhead = kMaxClientMessageSize + 16 * 1024;

// Used only in the thread of its loop.
class SessionInput {
 public:
  // `waiting_since`: the earliest time from which the connection, and the input that its client has sent, may
  // have waited for the connection to be accepted.
  SessionInput(net::Loop& loop, Micros waiting_since) : loop_(loop), unread_since_(waiting_since) {}

  // Renews this client's share of the loop once per iteration, so that a client that sends continuously waits
  // for all other clients after each share.
  void begin_iteration();
  // Grants the client the share of its connection's last iteration, in which all of its commands are taken.
  void grant_last_share();
  // Reads within the share and the buffer's limit. The end of the stream changes no other state.
  net::IoResult read(int descriptor);
  // Takes one command from this iteration's share; false: the share is used up.
  bool take_command_share() { return commands_left_-- > 0; }

  std::string_view view() const { return buffer_.view(); }
  std::size_t memory() const { return buffer_.memory(); }
  void consume(std::size_t size) { buffer_.consume(size); }
  void clear() { buffer_.clear(); }

  // Reading stopped at a limit, so more input may wait in the kernel.
  bool is_paused() const { return is_paused_; }
  bool is_share_used_up() const { return bytes_left_ == 0; }
  bool is_buffer_full() const { return buffer_.view().size() >= kReadAhead; }
  // Reading stopped at a limit that no longer holds.
  bool may_read_more() const { return is_paused_ && !is_share_used_up() && !is_buffer_full(); }
  // More must be read before a command is started: the end of the client's stream may follow it.
  bool must_read_more() const { return is_paused_ && is_share_used_up() && !is_buffer_full(); }

  // Called when all complete commands, which are the first `parsed` bytes, have been taken, and the next
  // command is still incomplete.
  void on_commands_taken(std::size_t parsed);
  // The earliest time at which the oldest input that is not yet taken may have arrived.
  Micros arrived_at() const { return input_since_.value_or(loop_.now()); }

 private:
  net::Loop& loop_;
  net::InBuffer buffer_;
  std::uint64_t iteration_ = ~0ULL;  // the loop's iteration in which the shares below were renewed
  int commands_left_ = 0;
  std::size_t bytes_left_ = 0;
  bool is_paused_ = false;
  bool is_caught_up_ = false;           // the last read emptied the socket
  bool was_paused_in_command_ = false;  // since the incomplete command began
  Micros unread_since_;                 // the earliest arrival of unread input
  std::optional<Micros> input_since_;   // the same, of input read and not yet taken as commands
};

}  // namespace database_proxy::proxy
