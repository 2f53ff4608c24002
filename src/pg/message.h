// Messages of PostgreSQL's protocol, version 3: parsed in place, written into strings. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace database_proxy::pg {

// kMore: the message is not complete yet. kBad: the input is not a message, and the connection is unusable.
enum class ParseStatus { kOk, kMore, kBad };

// One typed message.
struct Frame {
  char type = 0;          // the message's type byte
  std::string_view body;  // points into the input
  std::size_t size = 0;   // of the whole message in bytes
};
// Whether a typed message may have this type byte.
bool is_message_type(char type);
// Parses the message at the beginning of `in`. A body longer than `max_body` gives kBad at once. `frame` is
// set with kOk only.
ParseStatus parse_frame(std::string_view in, std::size_t max_body, Frame* frame);

// The kind of a connection's first message. This message has no type byte; its code gives the kind.
enum class FirstMessageKind { kStartup, kSsl, kGssEnc, kCancel, kOther };
struct FirstMessage {
  FirstMessageKind kind = FirstMessageKind::kOther;
  std::uint32_t code = 0;
  std::uint32_t number = 0;  // kCancel: the number of the session to cancel
  std::uint32_t secret = 0;  // kCancel: proof that the sender knows that session
  std::size_t size = 0;      // of the whole message in bytes
};
ParseStatus parse_first_message(std::string_view in, FirstMessage* first);

// The text of a Query without its terminating NUL; nullopt: the NUL is missing, or the text contains another.
std::optional<std::string_view> query_text(std::string_view body);

// The fields of an ErrorResponse that the proxy uses.
struct ErrorFields {
  std::string_view code, message, detail;
};
// Parses an ErrorResponse; nullopt: malformed, or without a code.
std::optional<ErrorFields> parse_error(std::string_view body);

// A ParameterStatus.
struct Parameter {
  std::string_view name, value;
};
std::optional<Parameter> parse_parameter(std::string_view body);

// The value of a DataRow's single column; nullopt: another number of columns, a NULL value or a wrong length.
std::optional<std::string_view> parse_single_column(std::string_view body);

// The type byte and length of a Query. Its text, of `text_size` bytes, and a terminating NUL follow.
std::string query_head(std::size_t text_size);
std::string startup_message(std::string_view user, std::string_view database);
std::string simple_query(std::string_view text);
std::string ready_for_query();
// The answer to a client's startup: AuthenticationOk, the parameters that drivers expect, BackendKeyData
// (which a CancelRequest repeats), ReadyForQuery.
std::string greeting(std::uint32_t number, std::uint32_t secret);
// A ParameterStatus that repeats one of the greeting. A server may send it at any time, and it changes
// nothing.
std::string repeated_parameter();
// NegotiateProtocolVersion, for a client that requests a version above 3.0.
std::string negotiate_version();
std::string command_complete(std::string_view tag);
std::string empty_query_response();
std::string error_response(std::string_view severity, std::string_view code, std::string_view message,
                           std::string_view detail = {});

}  // namespace database_proxy::pg
