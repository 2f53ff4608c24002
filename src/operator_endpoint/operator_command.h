// Parsing of an operator's command line, and formatting of the replies to it. No I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace database_proxy::operator_endpoint {

// The maximum length of a line in bytes. Ids of data servers are short, so a longer line cannot be a command.
constexpr std::size_t kMaxCommandBytes = 512;

// A command sent by an operator.
struct OperatorCommand {
  enum class Kind { kHealth, kCordon, kUncordon, kMalformed };
  Kind kind = Kind::kMalformed;
  std::string server;  // kCordon, kUncordon: the id of the data server
  std::string error;   // kMalformed: the error in the line
};

// Parses a line without its line feed. A carriage return at its end is part of the line ending.
OperatorCommand parse_command(std::string_view line);

// Format the replies, each a complete line.
std::string yes(std::string_view remark = {});
std::string no(std::string_view reason);

}  // namespace database_proxy::operator_endpoint
