// What one client has sent and is not taken as commands yet: reading within limits, and the time since when
// the input may have waited to be read.
//
// A request's time runs from when its client sent it. What is read now may have waited in the socket, behind
// a full buffer or before a busy loop, so its arrival is dated back as far as that is possible.
#pragma once

#include <optional>
#include <string_view>

#include "net/buffer.h"
#include "net/loop.h"

namespace database_proxy::proxy {

using net::Micros;

// Bytes of one message: a value of 64 KiB takes 128 KiB as hexadecimal digits, the rest of a statement is
// short.
constexpr std::size_t kMaxClientMessageSize = 132 * 1024;
// Bytes that are read ahead; what is pipelined beyond them waits in the kernel.
constexpr std::size_t kReadAhead = kMaxClientMessageSize + 16 * 1024;

// Used by the thread of its loop only.
class SessionInput {
 public:
  // `waiting_since`: since when the connection, and what its client has sent, may have waited to be accepted.
  SessionInput(net::Loop& loop, Micros waiting_since) : loop_(loop), unread_since_(waiting_since) {}

  // Renews this client's share of the loop, once an iteration: whoever sends without end waits for all the
  // others after each share.
  void begin_iteration();
  // Reads within the share and the buffer's limit. The end of the stream changes nothing else.
  net::IoEnd read(int descriptor);
  // Takes one command of this iteration's share; false: it is used up.
  bool take_command_share() { return commands_left_-- > 0; }

  std::string_view view() const { return buffer_.view(); }
  std::size_t memory() const { return buffer_.memory(); }
  void consume(std::size_t size) { buffer_.consume(size); }
  void clear() { buffer_.clear(); }

  // Reading stopped at a limit, so more may wait in the kernel.
  bool is_paused() const { return is_paused_; }
  bool is_share_used_up() const { return bytes_left_ == 0; }
  bool is_buffer_full() const { return buffer_.view().size() >= kReadAhead; }
  // More must be read before a command is begun: what comes behind it may be the client's end.
  bool must_read_more() const { return is_paused_ && is_share_used_up() && !is_buffer_full(); }

  // All whole commands among the first `parsed` bytes are taken; the last byte of the next one is still to
  // come.
  void on_commands_taken(std::size_t parsed);
  // Since when the oldest input that is not taken may have been there.
  Micros arrived_at() const { return input_since_.value_or(loop_.now()); }

 private:
  net::Loop& loop_;
  net::InBuffer buffer_;
  std::uint64_t iteration_ = ~0ULL;  // of the loop, in which the shares below were renewed
  int commands_left_ = 0;
  std::size_t bytes_left_ = 0;
  bool is_paused_ = false;
  bool is_caught_up_ = false;           // the last look has read all that was there
  bool was_paused_in_command_ = false;  // since the command that is not complete began
  Micros unread_since_;                 // what is still unread may be there since then
  std::optional<Micros> input_since_;   // of what was read and is not yet taken as commands
};

}  // namespace database_proxy::proxy
