#include "workers/remote_decider.h"

namespace database_proxy::workers {
namespace {

// The interval for flushing the backlog again while the ring is full. The decision thread is busy then and
// needs no wake-up.
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
  WorkerEvent event;
  event.kind = WorkerEvent::Kind::kResult;
  event.result = std::move(result);
  channel_.events.send(std::move(event));
  has_new_events_ = true;
}

void RemoteDecider::on_client_disconnected(Micros, routing::RequestId request) {
  WorkerEvent event;
  event.disconnected_request = request;
  channel_.events.send(std::move(event));
  has_new_events_ = true;
}

bool RemoteDecider::submit(Micros, const routing::Request& request) {
  if (channel_.events.backlog() >= max_queued_requests_) return false;
  WorkerEvent event;
  event.kind = WorkerEvent::Kind::kRequest;
  event.request = request;
  channel_.events.send(std::move(event));
  return has_new_events_ = true;
}

routing::TickResult RemoteDecider::collect(Micros now) {
  routing::TickResult result;
  bool has_backlog = channel_.events.flush();
  if (std::exchange(has_new_events_, false) || has_backlog) wake_();
  if (has_backlog) result.next_due = now + kRetryInterval;
  while (auto* decision = channel_.decisions.front()) {
    auto verdict = staleness_check_.check(now, *decision);
    if (verdict == DecisionStalenessCheck::Verdict::kAhead)
      break;  // its list is in this worker's task queue, which keeps the loop from sleeping
    decision->stale = verdict != DecisionStalenessCheck::Verdict::kCurrent;
    stale_decisions_ += decision->stale;
    if (decision->kind == routing::Decision::Kind::kSend) {
      auto age = now - decision->decided_at;
      decision->timeout -= age;
      for (auto* limit : {&decision->start_within, &decision->arrive_within, &decision->fresh_within})
        if (*limit != Micros::max()) *limit -= age;
    }
    result.decisions.push_back(std::move(*decision));
    channel_.decisions.pop();
  }
  return result;
}

}  // namespace database_proxy::workers
