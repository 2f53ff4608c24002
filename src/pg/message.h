// Messages of PostgreSQL's protocol, version 3: parsed where they lie, written into strings. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace database_proxy::pg {

enum class Parse { kOk, kMore, kBad };

// One typed message: its letter, its body, and how many bytes it takes in all.
struct Frame {
  char type = 0;
  std::string_view body;
  std::size_t size = 0;
};
Parse parse_frame(std::string_view in, std::size_t max_body, Frame* frame);

// The first message of a connection, which has no letter.
enum class Opening { kStartup, kSsl, kGssEnc, kCancel, kOther };
struct FirstMessage {
  Opening kind = Opening::kOther;
  std::uint32_t code = 0;
  std::uint32_t number = 0, secret = 0;  // kCancel: the session it means
  std::size_t size = 0;
};
Parse parse_first(std::string_view in, FirstMessage* first);

std::optional<std::string_view> text_of_query(
    std::string_view body);  // without its end mark, which must be there

// The fields of an ErrorResponse that matter here.
struct ErrorFields {
  std::string_view code, message, detail;
};
std::optional<ErrorFields> parse_error(std::string_view body);

struct Parameter {
  std::string_view name, value;
};
std::optional<Parameter> parse_parameter(std::string_view body);

// The single column of a DataRow; nullopt when there is another number of columns, NULL, or a false length.
std::optional<std::string_view> parse_single_column(std::string_view body);

// Writers.
std::string query_head(std::size_t text_size);  // the letter and length of a Query whose text follows
std::string startup_message(std::string_view user, std::string_view database);
std::string simple_query(std::string_view text);
std::string ready_for_query();
// AuthenticationOk, the parameters drivers ask for, what to cancel by, ReadyForQuery.
std::string greeting(std::uint32_t number, std::uint32_t secret);
std::string negotiate_version();  // to a client that asks for more than 3.0
std::string command_complete(std::string_view tag);
std::string empty_query_response();
std::string error_response(std::string_view severity, std::string_view code, std::string_view message,
                           std::string_view detail = {});

}  // namespace database_proxy::pg
