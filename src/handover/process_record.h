// The record that a process writes for the other processes on its listening socket, and its encoding. No I/O.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "endpoint_list/cordon_marks.h"
#include "endpoint_list/endpoint_list_view.h"
#include "handover/process_identity.h"

namespace database_proxy::handover {

using Micros = std::chrono::microseconds;

enum class ProcessStage { kStarting, kServing, kShuttingDown };

// A client's cancel request that was received by a process without the session.
struct ForwardedCancel {
  Micros received_at{0};
  std::uint32_t session_number = 0, secret = 0;
  bool operator==(const ForwardedCancel&) const = default;
};

// Times are on the machine's monotonic clock: the wall clock may be set while two processes run.
struct ProcessRecord {
  ProcessIdentity process;
  Micros written_at{0};
  ProcessStage stage = ProcessStage::kStarting;
  std::size_t descriptors = 0;
  endpoint_list::CordonMarks cordons;
  endpoint_list::EndpointListView endpoints;
  std::vector<ForwardedCancel> cancels;
  std::set<pid_t> known_processes;  // running processes whose records the writer has read
};

// Large enough for the maximum number of cordon marks, with long ids. A larger file is not of this program.
constexpr std::size_t kMaxRecordBytes = 256 * 1024;

std::string encode_record(const ProcessRecord& record);

enum class RecordError { kNone, kTooLarge, kUnknownFormat, kCorrupt, kInvalid };
const char* describe(RecordError error);

// Returns nullopt, with the reason in `error`, if the text is too large, truncated or corrupt, from another
// program or another version, or has invalid content.
std::optional<ProcessRecord> decode_record(std::string_view text, RecordError* error);

}  // namespace database_proxy::handover
