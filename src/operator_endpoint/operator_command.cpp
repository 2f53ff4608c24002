#include "operator_endpoint/operator_command.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace database_proxy::operator_endpoint {
namespace {

constexpr std::string_view kCommandList = "commands are health, cordon ID, uncordon ID";

OperatorCommand malformed(std::string error) {
  OperatorCommand command;
  command.error = std::move(error);
  return command;
}

std::vector<std::string_view> split_words(std::string_view line) {
  std::vector<std::string_view> words;
  while (!line.empty()) {
    auto end = std::min(line.find(' '), line.size());
    if (end > 0) words.push_back(line.substr(0, end));
    line.remove_prefix(std::min(end + 1, line.size()));
  }
  return words;
}

bool is_control_character(unsigned char character) {
  constexpr unsigned char kFirstPrintable = 0x20, kDelete = 0x7f;
  return character < kFirstPrintable || character == kDelete;
}

}  // namespace

OperatorCommand parse_command(std::string_view line) {
  using Kind = OperatorCommand::Kind;
  if (line.ends_with('\r')) line.remove_suffix(1);
  if (line.size() > kMaxCommandBytes)
    return malformed(fmt::format("the command is longer than {} bytes", kMaxCommandBytes));
  if (std::any_of(line.begin(), line.end(), is_control_character))
    return malformed("the command contains control characters");
  auto words = split_words(line);
  if (words.empty()) return malformed(fmt::format("the line is empty; {}", kCommandList));
  OperatorCommand command;
  if (words[0] == "health")
    command.kind = Kind::kHealth;
  else if (words[0] == "cordon")
    command.kind = Kind::kCordon;
  else if (words[0] == "uncordon")
    command.kind = Kind::kUncordon;
  else
    return malformed(fmt::format("unknown command; {}", kCommandList));
  bool takes_server = command.kind == Kind::kCordon || command.kind == Kind::kUncordon;
  std::size_t expected_words = takes_server ? 2 : 1;
  if (words.size() != expected_words)
    return malformed(fmt::format("{} takes {}", words[0], takes_server ? "one id" : "no argument"));
  if (takes_server) command.server = words[1];
  return command;
}

std::string yes(std::string_view remark) {
  return remark.empty() ? std::string("YES\n") : fmt::format("YES {}\n", remark);
}

std::string no(std::string_view reason) { return fmt::format("NO {}\n", reason); }

}  // namespace database_proxy::operator_endpoint
