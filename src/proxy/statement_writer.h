// Writes one statement to a data server so that it can be given up until the server has nearly all of it.
//
// A server starts a statement once its last byte has arrived. Bytes that the socket has accepted leave this
// machine as fast as the server takes them, which may be seconds later, and bytes that the server's machine
// has accepted cannot be called back. So the last byte of a long statement is withheld until the server's
// machine has taken all others, and is not sent at all if the server would read it too late. Until then the
// statement cannot have run, and resetting the connection ends it.
#pragma once

#include <cstddef>
#include <initializer_list>
#include <string_view>

#include "net/buffer.h"
#include "net/loop.h"
#include "proxy/ports.h"

namespace database_proxy::proxy {

// Belongs to one connection to a data server and is used in its thread only.
class StatementWriter {
 public:
  enum class Status {
    kUnfinished,  // the last byte was not handed to the socket: the statement cannot have run
    kWritten,     // the socket has accepted the last byte
    kTooLate,     // the server reads too slowly for the last byte to arrive in time; it is never sent
    kBroken,      // the connection broke
  };

  // Writes a message that may run at any time, or that cannot run at all. Returns false if the connection is
  // broken.
  bool write_at_once(int descriptor, std::initializer_list<std::string_view> parts);
  // Begins a statement whose last byte must have arrived by `arrive_by`.
  Status begin(int descriptor, const Query& query, Micros now, Micros arrive_by);
  // Continues the statement: the socket may accept more, or the server may have taken more.
  Status proceed(int descriptor, Micros now);
  // Whether every byte that was handed over so far is in the socket, so that only what the server takes
  // decides when proceed() has more to do.
  bool awaits_server() const { return buffer_.empty() && is_last_byte_withheld_; }
  // The time until the next call of proceed() while the writer awaits the server.
  Micros next_check_in(Micros now) const;
  // Whether nothing waits to be accepted by the socket.
  bool is_idle() const { return buffer_.empty() && !is_last_byte_withheld_; }
  // The bytes of the statement that the server's machine had taken when that was last looked at.
  std::size_t bytes_taken() const { return taken_; }
  std::size_t statement_size() const { return size_; }
  // Bytes that the socket has not accepted.
  std::size_t memory() const { return buffer_.size(); }

 private:
  Status release_last_byte(int descriptor, Micros now);
  Micros reading_delay(Micros now) const;

  net::OutBuffer buffer_;
  bool is_last_byte_withheld_ = false;
  char last_byte_ = 0;
  std::size_t size_ = 0;           // of the statement
  std::size_t taken_ = 0;          // bytes that have left this machine's send queue
  std::size_t taken_at_once_ = 0;  // of these, at the beginning: the size of the server's buffers
  Micros began_at_{0};
  Micros arrive_by_{0};
};

}  // namespace database_proxy::proxy
