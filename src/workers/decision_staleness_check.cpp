#include "workers/decision_staleness_check.h"

namespace database_proxy::workers {
namespace {

// The time after which a change is forgotten: a decision made before it is rejected by then for its age
// (kMaxDecisionAge).
constexpr Micros kOutOfServiceRetention{1'000'000};

}  // namespace

void DecisionStalenessCheck::on_endpoint_list(Micros now, const discovery::EndpointListUpdate& update) {
  ++version_;
  prune(now);
  std::unordered_map<std::string, bool> previous;
  if (update.reset) previous.swap(in_service_);
  for (auto& endpoint : update.endpoints) {
    bool is_in_service = endpoint.lifecycle == discovery::Lifecycle::kUp;
    if (is_in_service) {
      in_service_[endpoint.id] = true;
      continue;
    }
    auto& known = update.reset ? previous : in_service_;
    auto it = known.find(endpoint.id);
    // Only the change from in service to out of service counts: a repeated update about the same drain must
    // not make decisions stale that were based on the first one.
    if (it == known.end() || it->second) out_of_service_[endpoint.id] = {version_, now};
    if (endpoint.lifecycle == discovery::Lifecycle::kRemoved)
      in_service_.erase(endpoint.id);
    else
      in_service_[endpoint.id] = false;
  }
  if (update.reset)
    for (auto& [id, was_in_service] : previous)
      if (!in_service_.count(id)) out_of_service_[id] = {version_, now};
}

void DecisionStalenessCheck::prune(Micros now) {
  std::erase_if(out_of_service_, [&](auto& entry) { return now - entry.second.at > kOutOfServiceRetention; });
}

DecisionStalenessCheck::Verdict DecisionStalenessCheck::check(Micros now,
                                                              const routing::Decision& decision) const {
  if (decision.endpoint_list_version > version_) return Verdict::kAhead;
  if (decision.kind != routing::Decision::Kind::kSend) return Verdict::kCurrent;
  if (now - decision.decided_at > kMaxDecisionAge || now >= decision.decided_at + decision.timeout)
    return Verdict::kTooOld;
  auto it = out_of_service_.find(decision.server);
  if (it != out_of_service_.end() && decision.endpoint_list_version < it->second.version)
    return Verdict::kOutOfService;
  return Verdict::kCurrent;
}

}  // namespace database_proxy::workers
