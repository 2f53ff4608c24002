// The messages of a client that PostgreSQL's protocol has no answer for: Flush, the messages of a copy
// outside a copy, and everything between an error in the extended protocol and the next Sync. They are
// removed from the stream as it arrives, so that they take neither memory nor a turn. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>

namespace database_proxy::pg {

// Finds the messages without an answer in the stream of one client, which is given to it in pieces. The
// stream begins behind the startup message.
class UnansweredMessageFilter {
 public:
  // A body longer than `max_body` makes the stream invalid: nothing is removed from there on, and the parser
  // finds the invalid message.
  explicit UnansweredMessageFilter(std::size_t max_body) : max_body_(max_body) {}

  struct Result {
    std::size_t size = 0;          // what is left of the piece, at its beginning
    std::size_t scanned = 0;       // the part of it that need not be given again
    std::size_t dropped_ends = 0;  // number of messages that ended in this piece and were removed
  };
  // Removes such messages from a piece. The bytes behind Result::scanned, fewer than a message's header, must
  // begin the next piece.
  Result filter(char* bytes, std::size_t size);

  // Whether a message of this type is removed where it follows the input so far.
  bool drops(char type) const;
  // A message that is being removed is not complete.
  bool is_within_dropped_message() const { return is_dropping_ && body_left_ > 0; }

 private:
  void begin_message(char type, std::size_t size);

  std::size_t max_body_;
  std::size_t body_left_ = 0;  // bytes that are to come of the message whose header was seen
  bool is_dropping_ = false;   // that message is removed
  bool is_skipping_ = false;   // up to the next Sync
  bool is_invalid_ = false;
};

}  // namespace database_proxy::pg
