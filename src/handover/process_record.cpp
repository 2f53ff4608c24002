#include "handover/process_record.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace database_proxy::handover {
namespace {

using nlohmann::json;

// Start of the header line: the program, and the version of the format. The checksum of the body follows.
constexpr std::string_view kHeaderPrefix = "database-proxy process 1 ";

std::uint64_t fnv1a(std::string_view text) {
  constexpr std::uint64_t kOffset = 14695981039346656037u, kPrime = 1099511628211u;
  std::uint64_t hash = kOffset;
  for (unsigned char byte : text) hash = (hash ^ byte) * kPrime;
  return hash;
}

std::string header_for(std::string_view body) {
  return fmt::format("{}{:016x}\n", kHeaderPrefix, fnv1a(body));
}

Micros micros_from(const json& value) { return Micros(value.get<std::int64_t>()); }

json cordons_to_json(const endpoint_list::CordonMarks& marks) {
  json value = json::object();
  for (auto& [id, mark] : marks)
    value[id] = {{"changed_at", mark.changed_at.count()}, {"cordoned", mark.is_cordoned}};
  return value;
}

json cancels_to_json(const std::vector<ForwardedCancel>& cancels) {
  json value = json::array();
  for (auto& cancel : cancels)
    value.push_back({cancel.received_at.count(), cancel.session_number, cancel.secret});
  return value;
}

endpoint_list::EndpointListView view_from(const json& body) {
  endpoint_list::EndpointListView view;
  view.service = body.value("discovery", view.service);
  view.generation = body.value("generation", view.generation);
  view.usable = body.value("usable", view.usable);
  return view;
}

ProcessRecord record_from(const json& body) {
  ProcessRecord record;
  record.process.pid = body.at("pid").get<pid_t>();
  record.process.start_ticks = body.at("start_ticks").get<std::uint64_t>();
  record.written_at = micros_from(body.at("written_at"));
  record.stage = static_cast<ProcessStage>(body.at("stage").get<int>());
  record.descriptors = body.at("descriptors").get<std::size_t>();
  for (auto& [id, mark] : body.at("cordons").items())
    record.cordons[id] = {micros_from(mark.at("changed_at")), mark.at("cordoned").get<bool>()};
  record.endpoints = view_from(body);  // absent in records of earlier versions
  for (auto& cancel : body.at("cancels"))
    record.cancels.push_back({micros_from(cancel.at(0)), cancel.at(1), cancel.at(2)});
  record.known_processes = body.value("known_processes", record.known_processes);
  return record;
}

bool is_valid(const ProcessRecord& record) {
  bool is_stage = record.stage >= ProcessStage::kStarting && record.stage <= ProcessStage::kShuttingDown;
  return record.process.pid > 0 && is_stage && record.cordons.size() <= endpoint_list::kMaxCordonMarks;
}

}  // namespace

std::string encode_record(const ProcessRecord& record) {
  json body = {{"pid", record.process.pid},
               {"start_ticks", record.process.start_ticks},
               {"written_at", record.written_at.count()},
               {"stage", static_cast<int>(record.stage)},
               {"descriptors", record.descriptors},
               {"cordons", cordons_to_json(record.cordons)},
               {"discovery", record.endpoints.service},
               {"generation", record.endpoints.generation},
               {"usable", record.endpoints.usable},
               {"cancels", cancels_to_json(record.cancels)},
               {"known_processes", record.known_processes}};
  auto text = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return header_for(text) + text;
}

const char* describe(RecordError error) {
  switch (error) {
    case RecordError::kNone:
      return "it is valid";
    case RecordError::kTooLarge:
      return "it is too large";
    case RecordError::kUnknownFormat:
      return "it was written by another program or by another version of this one";
    case RecordError::kCorrupt:
      return "it is truncated or corrupt";
    case RecordError::kInvalid:
      return "its content is invalid";
  }
  return "it cannot be read";
}

std::optional<ProcessRecord> decode_record(std::string_view text, RecordError* error) try {
  auto fail = [error](RecordError reason) {
    *error = reason;
    return std::nullopt;
  };
  if (text.size() > kMaxRecordBytes) return fail(RecordError::kTooLarge);
  if (kHeaderPrefix.starts_with(text)) return fail(RecordError::kCorrupt);
  if (!text.starts_with(kHeaderPrefix)) return fail(RecordError::kUnknownFormat);
  auto header_end = text.find('\n');
  if (header_end == std::string_view::npos) return fail(RecordError::kCorrupt);
  auto body = text.substr(header_end + 1);
  if (text.substr(0, header_end + 1) != header_for(body)) return fail(RecordError::kCorrupt);
  auto record = record_from(json::parse(body));
  if (!is_valid(record)) return fail(RecordError::kInvalid);
  *error = RecordError::kNone;
  return record;
} catch (const json::exception&) {
  *error = RecordError::kInvalid;
  return std::nullopt;
}

}  // namespace database_proxy::handover
