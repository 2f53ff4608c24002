#include "workers/remote_decider.h"

namespace database_proxy::workers {
namespace {

// While the ring is full: how soon the rest is tried again. The other side is busy and needs no wake-up.
constexpr Micros kTryAgain{1000};

}  // namespace

const routing::ClassInfo* RemoteDecider::find_class(std::string_view name) const {
  auto it = classes_.find(std::string(name));
  return it == classes_.end() ? nullptr : &it->second;
}

void RemoteDecider::update(Micros now, const discovery::EndpointListUpdate& list, bool) {
  staleness_check_.listed(now, list);
}

void RemoteDecider::report(Micros, routing::Result result) {
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

bool RemoteDecider::ask(Micros, const routing::Request& request) {
  if (line_.told.backlog() >= most_waiting_) return false;
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
  if (left) ticked.next_due = now + kTryAgain;
  while (auto* decision = line_.made.front()) {
    auto verdict = staleness_check_.judge(now, *decision);
    if (verdict == DecisionStalenessCheck::Verdict::kAhead)
      break;  // its list is in the mailbox, which ends the next sleep
    decision->stale = verdict != DecisionStalenessCheck::Verdict::kGood;
    returned_ += decision->stale;
    if (decision->what == routing::Decision::What::kSend) {
      decision->wait -= now - decision->made;
      if (decision->begin_within != Micros::max()) decision->begin_within -= now - decision->made;
    }
    ticked.decisions.push_back(std::move(*decision));
    line_.made.pop();
  }
  return ticked;
}

}  // namespace database_proxy::workers
