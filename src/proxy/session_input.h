// The input of one client that has not been taken as commands yet: reads it within limits, removes the
// messages that have no answer, and tracks the earliest time at which each command may have been sent.
#pragma once

#include <cstdint>
#include <string_view>
#include <utility>

#include "net/buffer.h"
#include "net/loop.h"
#include "pg/unanswered_messages.h"
#include "proxy/arrival_times.h"

namespace database_proxy::proxy {

using net::Micros;

// Limit of one message in bytes: a value of 64 KiB takes 128 KiB as hexadecimal digits, and the rest of a
// statement is short.
constexpr std::size_t kMaxClientMessageSize = 132 * 1024;
// Limit of the bytes that are read ahead; pipelined input beyond it waits in the kernel.
constexpr std::size_t kReadAhead = kMaxClientMessageSize + 16 * 1024;

// Reading does not go on into the last part of the buffer: it would take a system call for each few bytes.
constexpr std::size_t kMinReadSize = 4 * 1024;

// So much of a connection may at least be under way, whatever the size of its receive buffer.
constexpr std::size_t kMinReceiveWindow = 32 * 1024;

// Used only in the thread of its loop.
class SessionInput {
 public:
  // `waiting_since`: the earliest time from which the connection, and the input that its client has sent, may
  // have waited for the connection to be accepted.
  SessionInput(net::Loop& loop, Micros waiting_since) : loop_(loop), arrival_times_(waiting_since) {}

  // Renews this client's share of the loop once per iteration, so that a client that sends continuously waits
  // for all other clients after each share.
  void begin_iteration();
  // Grants the client the share of its connection's last iteration, in which all of its commands are taken.
  void grant_last_share();
  // Reads within the share and the buffer's limit. The end of the stream changes no other state.
  net::IoResult read(int descriptor);
  // The input from here on consists of typed messages: the startup message has been consumed.
  void start_messages();
  // Returns whether messages without an answer have ended since the last call.
  bool take_has_dropped_messages() { return std::exchange(has_dropped_messages_, false); }
  // Takes one command from this iteration's share; false: the share is used up.
  bool take_command_share();
  // Called when the command turned out to cost little more than its answer: gives most of its share back.
  void return_command_share();

  std::string_view view() const { return buffer_.view(); }
  std::size_t memory() const { return buffer_.memory(); }
  void consume(std::size_t size);
  void clear() { consume(view().size()); }
  // Nothing of a message has arrived that is not complete or not taken.
  bool is_empty() const { return view().empty() && !filter_.is_within_dropped_message(); }

  // Whether so much was read since reading last emptied the socket that the client's system may have been
  // told to wait with more: it arrives a moment after the socket was emptied.
  bool may_have_been_held_back() const { return read_since_end_ > kMinReceiveWindow; }

  // Reading stopped at a limit, so more input may wait in the kernel.
  bool is_paused() const { return is_paused_; }
  bool is_share_used_up() const { return bytes_left_ == 0; }
  bool is_buffer_full() const { return view().size() + kMinReadSize > kReadAhead; }
  // Reading stopped at a limit that no longer holds.
  bool may_read_more() const { return is_paused_ && !is_share_used_up() && !is_buffer_full(); }
  // More is read before a command is started, up to a limit: the end of the client's stream may follow it.
  bool must_read_more() const {
    return is_paused_ && is_share_used_up() && !is_buffer_full() && read_since_end_ < kReadAhead;
  }

  // The earliest time at which the message at `offset` in the view may have been sent.
  Micros sent_at(std::size_t offset, std::size_t size) const {
    return arrival_times_.sent_at(consumed_ + offset, consumed_ + offset + size);
  }

 private:
  net::IoResult read_once(int descriptor);
  void drop_unanswered_messages();
  std::size_t size_without_dropped_header() const;

  net::Loop& loop_;
  net::InBuffer buffer_;
  std::uint64_t iteration_ = ~0ULL;  // the loop's iteration in which the shares below were renewed
  std::int64_t command_share_left_ = 0;
  std::size_t bytes_left_ = 0;
  bool is_paused_ = false;
  std::size_t read_since_end_ = 0;  // bytes read since the read before that emptied the socket
  pg::UnansweredMessageFilter filter_{kMaxClientMessageSize};
  bool has_started_messages_ = false;
  bool has_dropped_messages_ = false;
  std::size_t filtered_ = 0;    // bytes at the beginning of the view that the filter has seen
  std::uint64_t consumed_ = 0;  // bytes of the stream, without dropped messages, before the view
  ArrivalTimes arrival_times_;
};

}  // namespace database_proxy::proxy
