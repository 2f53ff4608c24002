// What the owner of a set's probes tells of its servers, kept for a moment: an answer to the module's own
// wish to probe, and news that nobody asked for. A fact is no fresher than it says. Where this process has
// seen a server silent with its own eyes, facts about it say nothing until it has answered here. No I/O, no
// clock.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "routing/decision_facade.h"

namespace database_proxy::routing {

class LoadReportCache {
 public:
  // An owner that probes every 100 ms, three of which may be late.
  static constexpr Micros kFresh{400'000};

  // False: it is of no use here now.
  bool record(Micros now, ProbeResult result, Micros age) {
    auto& one = known_[result.server];
    if (one.distrusted || (one.result && now - age < one.seen)) return false;
    one.seen = now - age;
    one.result = std::move(result);
    return age <= kFresh;
  }
  std::optional<ProbeResult> find_fresh(Micros now, const std::string& server) const {
    auto it = known_.find(server);
    if (it == known_.end() || it->second.distrusted || !it->second.result) return std::nullopt;
    return now - it->second.seen <= kFresh ? it->second.result : std::nullopt;
  }
  bool is_distrusted(const std::string& server) const {
    auto it = known_.find(server);
    return it != known_.end() && it->second.distrusted;
  }
  // Seen here: it answered, or it was out of reach or silent.
  void on_contact(const std::string& server, bool answered) {
    if (answered) {
      if (auto it = known_.find(server); it != known_.end()) it->second.distrusted = false;
      return;
    }
    auto& one = known_[server];
    one.distrusted = true;
    one.result.reset();
  }
  void on_contact(const std::string& server, AttemptOutcome outcome) {
    if (outcome == AttemptOutcome::kNoConnection || outcome == AttemptOutcome::kTimedOut)
      return on_contact(server, false);
    if (outcome == AttemptOutcome::kServed || outcome == AttemptOutcome::kDeclined ||
        outcome == AttemptOutcome::kError || outcome == AttemptOutcome::kRejected)
      on_contact(server, true);
  }
  // Of servers that are listed no more nothing is kept.
  void retain_listed(const std::vector<discovery::Endpoint>& on_endpoint_list) {
    std::unordered_map<std::string, One> kept;
    for (auto& m : on_endpoint_list)
      if (auto it = known_.find(m.id); it != known_.end()) kept.insert(std::move(*it));
    known_ = std::move(kept);
  }
  std::size_t size() const { return known_.size(); }

 private:
  struct One {
    std::optional<ProbeResult> result;
    Micros seen{INT64_MIN / 4};
    bool distrusted = false;
  };
  std::unordered_map<std::string, One> known_;
};

}  // namespace database_proxy::routing
