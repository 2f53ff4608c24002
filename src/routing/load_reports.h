// A short-lived cache of load reports of data servers that another process has gathered for all processes.
// The reports answer probes that the decision module requests; unrequested reports are used as well. No I/O,
// no clock, no thread.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "routing/decision_facade.h"

namespace database_proxy::routing {

// The age of a report is counted from its measurement. After this process has itself found a server
// unresponsive, reports about that server are ignored until it has answered this process.
class LoadReportCache {
 public:
  // The process that probes for all does so every 100 ms; three reports in a row may be late.
  static constexpr Micros kFresh{400'000};

  // Stores a report. `age`: the least time since the measurement. Returns whether the report is usable now.
  bool record(Micros now, ProbeResult result, Micros age) {
    auto& entry = entries_[result.server];
    bool is_older = entry.result && now - age < entry.measured_at;
    if (entry.is_distrusted || is_older) return false;
    entry.measured_at = now - age;
    entry.result = std::move(result);
    return age <= kFresh;
  }
  // The last report of a server if it is fresh enough to replace a probe.
  std::optional<ProbeResult> find_fresh(Micros now, const std::string& server) const {
    auto it = entries_.find(server);
    if (it == entries_.end() || it->second.is_distrusted || !it->second.result) return std::nullopt;
    return now - it->second.measured_at <= kFresh ? it->second.result : std::nullopt;
  }
  bool is_distrusted(const std::string& server) const {
    auto it = entries_.find(server);
    return it != entries_.end() && it->second.is_distrusted;
  }
  // Records the result of this process's own attempt to reach a server.
  void on_contact(const std::string& server, bool answered) {
    if (answered) {
      if (auto it = entries_.find(server); it != entries_.end()) it->second.is_distrusted = false;
      return;
    }
    auto& entry = entries_[server];
    entry.is_distrusted = true;
    entry.result.reset();
  }
  void on_contact(const std::string& server, AttemptOutcome outcome) {
    switch (outcome) {
      case AttemptOutcome::kNoConnection:
      case AttemptOutcome::kTimedOut:
        return on_contact(server, false);
      case AttemptOutcome::kServed:
      case AttemptOutcome::kDeclined:
      case AttemptOutcome::kError:
      case AttemptOutcome::kRejected:
        return on_contact(server, true);
      case AttemptOutcome::kReset:
      case AttemptOutcome::kCancelled:
      case AttemptOutcome::kNotSent:
        return;  // gives no information about the server
    }
  }
  // Forgets servers that are not listed any more.
  void retain_listed(const std::vector<discovery::Endpoint>& listed) {
    std::unordered_map<std::string, Entry> retained;
    for (auto& endpoint : listed)
      if (auto it = entries_.find(endpoint.id); it != entries_.end()) retained.insert(std::move(*it));
    entries_ = std::move(retained);
  }
  std::size_t size() const { return entries_.size(); }

 private:
  static constexpr Micros kNever{INT64_MIN / 4};  // far back, so that differences stay in range
  struct Entry {
    std::optional<ProbeResult> result;
    Micros measured_at = kNever;
    bool is_distrusted = false;
  };
  std::unordered_map<std::string, Entry> entries_;
};

}  // namespace database_proxy::routing
