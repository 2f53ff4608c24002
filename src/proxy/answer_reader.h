// Collects the messages of one data server's answer as they arrive and derives the outcome. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "pg/message.h"
#include "proxy/ports.h"

namespace database_proxy::proxy {

// The input that a connection expects: its handshake, nothing, or the answer to the statement it has sent.
enum class ConnectionPhase { kHandshake, kIdle, kAnswer };

// The result of checking a message against the connection's phase.
enum class FrameVerdict {
  kAccepted,
  kComplete,  // the answer ends with it
  kMalformed,
};

// Belongs to one connection. Messages are stored as offsets into the connection's input, whose buffer may
// move while more arrives.
class AnswerReader {
 public:
  // Discards the state of the last answer.
  void reset() { *this = {}; }
  // Discards what a malformed answer reported about its server.
  void discard_report();
  // Processes the message at `offset` of the input.
  FrameVerdict read(const pg::Frame& frame, std::size_t offset, std::string_view input,
                    ConnectionPhase phase);

  // The outcome by the messages so far: a row or an error, not both; kReset: no complete answer.
  routing::AttemptOutcome outcome() const;
  // Whether the answer has begun.
  bool has_begun() const { return row_description_.size > 0 || !error_code_.empty(); }
  // Whether the next message should be the row.
  bool awaits_row() const { return row_description_.size > 0 && data_row_.size == 0; }
  // The three messages of a served request.
  Answer answer(std::string_view input) const;
  // The value of the row's one column.
  std::string_view value(std::string_view input) const { return text(input, value_); }

  const std::string& error_code() const { return error_code_; }        // SQLSTATE; empty: none
  const std::string& error_message() const { return error_message_; }  // of the last error
  const std::string& load_report() const { return load_report_; }
  routing::ServerRole role() const { return role_; }
  std::optional<std::int64_t> position_unix_ms() const { return position_unix_ms_; }

 private:
  struct Span {
    std::size_t offset = 0;
    std::size_t size = 0;
  };
  static std::string_view text(std::string_view input, Span span) {
    return input.substr(span.offset, span.size);
  }
  FrameVerdict read_error(const pg::Frame& frame);
  FrameVerdict read_row(const pg::Frame& frame, Span message, std::string_view input);
  void read_parameter(const pg::Frame& frame);

  Span row_description_, data_row_, complete_, value_;
  std::string error_code_, error_message_, load_report_;
  routing::ServerRole role_ = routing::ServerRole::kUnknown;
  std::optional<std::int64_t> position_unix_ms_;
};

}  // namespace database_proxy::proxy
