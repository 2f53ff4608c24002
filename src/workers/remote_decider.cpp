#include "workers/remote_decider.h"

namespace database_proxy::workers {
namespace {

// While the ring is full: how soon the rest is tried again. The other side is busy and needs no wake-up.
constexpr Micros kRetryInterval{1000};

}  // namespace

const routing::RequestClassInfo* RemoteDecider::find_class(std::string_view name) const {
  auto it = classes_.find(std::string(name));
  return it == classes_.end() ? nullptr : &it->second;
}

void RemoteDecider::update(Micros now, const discovery::EndpointListUpdate& list, bool) {
  staleness_check_.on_endpoint_list(now, list);
}

void RemoteDecider::report(Micros, routing::AttemptResult result) {
  Told told;
  told.kind = Told::Kind::kResult;
  told.result = std::move(result);
  line_.told.send(std::move(told));
  told_ = true;
}

void RemoteDecider::on_client_disconnected(Micros, routing::RequestId request) {
  Told told;
  told.on_client_disconnected = request;
  line_.told.send(std::move(told));
  told_ = true;
}

bool RemoteDecider::submit(Micros, const routing::Request& request) {
  if (line_.told.backlog() >= most_queued_requests_) return false;
  Told told;
  told.kind = Told::Kind::kRequest;
  told.request = request;
  line_.told.send(std::move(told));
  return told_ = true;
}

routing::TickResult RemoteDecider::collect(Micros now) {
  routing::TickResult ticked;
  bool left = line_.told.flush();
  if (std::exchange(told_, false) || left) wake_();
  if (left) ticked.next_due = now + kRetryInterval;
  while (auto* decision = line_.made.front()) {
    auto verdict = staleness_check_.check(now, *decision);
    if (verdict == DecisionStalenessCheck::Verdict::kAhead)
      break;  // its list is in the mailbox, which ends the next sleep
    decision->stale = verdict != DecisionStalenessCheck::Verdict::kCurrent;
    returned_ += decision->stale;
    if (decision->kind == routing::Decision::Kind::kSend) {
      decision->timeout -= now - decision->decided_at;
      if (decision->start_within != Micros::max()) decision->start_within -= now - decision->decided_at;
    }
    ticked.decisions.push_back(std::move(*decision));
    line_.made.pop();
  }
  return ticked;
}

}  // namespace database_proxy::workers
