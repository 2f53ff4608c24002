// Messages of PostgreSQL's protocol, version 3: parsed where they lie, written into strings. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace database_proxy::pg {

// kMore: the message is not there as a whole yet. kBad: this is no message, and the connection is lost.
enum class ParseStatus { kOk, kMore, kBad };

// One typed message.
struct Frame {
  char type = 0;          // its letter
  std::string_view body;  // points into the input
  std::size_t size = 0;   // bytes that it takes in all
};
// `max_body`: a longer body is kBad at once. `frame` is set with kOk only.
ParseStatus parse_frame(std::string_view in, std::size_t max_body, Frame* frame);

// The first message of a connection has no letter; its code tells what it is.
enum class FirstMessageKind { kStartup, kSsl, kGssEnc, kCancel, kOther };
struct FirstMessage {
  FirstMessageKind kind = FirstMessageKind::kOther;
  std::uint32_t code = 0;
  std::uint32_t number = 0;  // kCancel: of the session that it means
  std::uint32_t secret = 0;  // kCancel: the proof that its sender knows that session
  std::size_t size = 0;      // bytes that it takes in all
};
ParseStatus parse_first_message(std::string_view in, FirstMessage* first);

// The text of a Query without its end mark; nullopt: the mark is missing, or another one stands before the
// end.
std::optional<std::string_view> query_text(std::string_view body);

// The fields of an ErrorResponse that matter here.
struct ErrorFields {
  std::string_view code, message, detail;
};
// nullopt: malformed, or without a code.
std::optional<ErrorFields> parse_error(std::string_view body);

// A ParameterStatus.
struct Parameter {
  std::string_view name, value;
};
std::optional<Parameter> parse_parameter(std::string_view body);

// The single column of a DataRow; nullopt when there is another number of columns, NULL, or a false length.
std::optional<std::string_view> parse_single_column(std::string_view body);

// The letter and length of a Query whose text, of `text_size` bytes and its end mark, follows.
std::string query_head(std::size_t text_size);
std::string startup_message(std::string_view user, std::string_view database);
std::string simple_query(std::string_view text);
std::string ready_for_query();
// What a client gets after its startup: AuthenticationOk, the parameters that drivers expect, BackendKeyData
// (by which it may cancel), ReadyForQuery.
std::string greeting(std::uint32_t number, std::uint32_t secret);
// NegotiateProtocolVersion: to a client that wishes for more than 3.0.
std::string negotiate_version();
std::string command_complete(std::string_view tag);
std::string empty_query_response();
std::string error_response(std::string_view severity, std::string_view code, std::string_view message,
                           std::string_view detail = {});

}  // namespace database_proxy::pg
