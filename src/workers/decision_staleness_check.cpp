#include "workers/decision_staleness_check.h"

namespace database_proxy::workers {
namespace {

// Decisions made before a change are too old for kStalest anyway after this; the change is forgotten then.
constexpr Micros kKeep{1'000'000};

}  // namespace

void DecisionStalenessCheck::on_endpoint_list(Micros now, const discovery::EndpointListUpdate& update) {
  ++version_;
  prune(now);
  std::unordered_map<std::string, bool> before;
  if (update.reset) before.swap(takes_);
  for (auto& m : update.endpoints) {
    bool takes = m.lifecycle == discovery::Lifecycle::kUp;
    if (takes) {
      takes_[m.id] = true;
      continue;
    }
    auto& known = update.reset ? before : takes_;
    auto it = known.find(m.id);
    // Only the step from taking work to not taking it closes: a second word of the same drain must not turn
    // back what was decided in full knowledge of the first.
    if (it == known.end() || it->second) closed_[m.id] = {version_, now};
    if (m.lifecycle == discovery::Lifecycle::kRemoved)
      takes_.erase(m.id);
    else
      takes_[m.id] = false;
  }
  if (update.reset)
    for (auto& [id, takes] : before)
      if (!takes_.count(id)) closed_[id] = {version_, now};
}

void DecisionStalenessCheck::prune(Micros now) {
  std::erase_if(closed_, [&](auto& entry) { return now - entry.second.at > kKeep; });
}

DecisionStalenessCheck::Verdict DecisionStalenessCheck::check(Micros now,
                                                              const routing::Decision& decision) const {
  if (decision.endpoint_list_version > version_) return Verdict::kAhead;
  if (decision.kind != routing::Decision::Kind::kSend) return Verdict::kCurrent;
  if (now - decision.decided_at > kLongestDecisionAge || now >= decision.decided_at + decision.timeout)
    return Verdict::kTooOld;
  auto it = closed_.find(decision.server);
  if (it != closed_.end() && decision.endpoint_list_version < it->second.version) return Verdict::kClosed;
  return Verdict::kCurrent;
}

}  // namespace database_proxy::workers
