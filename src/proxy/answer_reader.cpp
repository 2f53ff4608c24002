#include "proxy/answer_reader.h"

#include <charconv>

#include "proxy/attempt_outcome.h"

namespace database_proxy::proxy {
namespace {

using routing::AttemptOutcome;

// A fraction is cut off, which rounds the position down.
std::optional<std::int64_t> to_position(std::string_view text) {
  std::int64_t value = 0;
  const char* last = text.data() + text.size();
  auto [end, error] = std::from_chars(text.data(), last, value);
  bool is_number = !text.empty() && error == std::errc() && (end == last || *end == '.');
  if (!is_number) return std::nullopt;
  return value;
}

routing::ServerRole to_role(std::string_view text) {
  if (text == "writer") return routing::ServerRole::kPrimary;
  if (text == "reader") return routing::ServerRole::kReplica;
  return routing::ServerRole::kUnknown;
}

}  // namespace

void AnswerReader::discard_report() {
  role_ = routing::ServerRole::kUnknown;
  position_unix_ms_.reset();
  load_report_.clear();
}

FrameVerdict AnswerReader::read(const pg::Frame& frame, std::size_t offset, std::string_view input,
                                ConnectionPhase phase) {
  bool is_answer = phase == ConnectionPhase::kAnswer;
  Span message{offset, frame.size};
  switch (frame.type) {
    case 'N':  // NoticeResponse
      return FrameVerdict::kAccepted;
    case 'S':  // ParameterStatus
      read_parameter(frame);
      return FrameVerdict::kAccepted;
    case 'R':  // authentication and BackendKeyData, in the handshake
    case 'K':
      return phase == ConnectionPhase::kHandshake ? FrameVerdict::kAccepted : FrameVerdict::kMalformed;
    case 'E':
      return read_error(frame);
    case 'T':  // RowDescription
      if (!is_answer || row_description_.size > 0) return FrameVerdict::kMalformed;
      row_description_ = message;
      return FrameVerdict::kAccepted;
    case 'D':  // DataRow
      return is_answer ? read_row(frame, message, input) : FrameVerdict::kMalformed;
    case 'C':  // CommandComplete
      if (!is_answer || complete_.size > 0) return FrameVerdict::kMalformed;
      complete_ = message;
      return FrameVerdict::kAccepted;
    case 'Z':  // ReadyForQuery
      if (!is_answer || outcome() == AttemptOutcome::kReset) return FrameVerdict::kMalformed;
      return FrameVerdict::kComplete;
    default:
      return FrameVerdict::kMalformed;
  }
}

FrameVerdict AnswerReader::read_error(const pg::Frame& frame) {
  auto fields = pg::parse_error(frame.body);
  if (!fields) return FrameVerdict::kMalformed;
  error_message_ = fields->message;
  if (error_code_.empty()) error_code_ = fields->code;
  return FrameVerdict::kAccepted;
}

FrameVerdict AnswerReader::read_row(const pg::Frame& frame, Span message, std::string_view input) {
  auto value = pg::parse_single_column(frame.body);
  bool is_expected = row_description_.size > 0 && data_row_.size == 0;
  if (!is_expected || !value) return FrameVerdict::kMalformed;
  data_row_ = message;
  value_ = {static_cast<std::size_t>(value->data() - input.data()), value->size()};
  return FrameVerdict::kAccepted;
}

// A report that cannot be parsed is ignored; the answer stays valid.
void AnswerReader::read_parameter(const pg::Frame& frame) {
  auto parameter = pg::parse_parameter(frame.body);
  if (!parameter) return;
  if (parameter->name == "server_role") role_ = to_role(parameter->value);
  if (parameter->name == "commit_clock") position_unix_ms_ = to_position(parameter->value);
  if (parameter->name == "usage") load_report_ = parameter->value;
}

AttemptOutcome AnswerReader::outcome() const {
  bool has_row = row_description_.size > 0 && data_row_.size > 0 && complete_.size > 0;
  bool has_part_of_row = row_description_.size + complete_.size > 0;
  if (!error_code_.empty()) return has_part_of_row ? AttemptOutcome::kReset : outcome_of_error(error_code_);
  return has_row ? AttemptOutcome::kServed : AttemptOutcome::kReset;
}

Answer AnswerReader::answer(std::string_view input) const {
  return Answer{{text(input, row_description_), text(input, data_row_), text(input, complete_)}};
}

}  // namespace database_proxy::proxy
