// A worker's connection to the decision thread: sends it the worker's events and receives its decisions.
#pragma once

#include <unordered_map>

#include "net/task_queue.h"
#include "routing/decider.h"
#include "workers/decision_staleness_check.h"
#include "workers/spsc_queue.h"

namespace database_proxy::workers {

// An event that a worker sends to the decision thread; `kind` selects the member that is set. Not a
// std::variant, because the members are small and are copied into the ring anyway.
struct WorkerEvent {
  enum class Kind { kRequest, kResult, kClientDisconnected } kind = Kind::kClientDisconnected;
  routing::RequestId disconnected_request = 0;
  routing::Request request{};
  routing::AttemptResult result{};
};

// The queues in both directions between one worker and the decision thread.
struct DecisionChannel {
  explicit DecisionChannel(std::size_t ring_capacity) : events(ring_capacity), decisions(ring_capacity) {}
  SpscQueue<WorkerEvent> events;           // worker to decision thread
  SpscQueue<routing::Decision> decisions;  // decision thread to worker
  std::atomic<bool> ready{false};          // as DecisionFacade::ready()
};

// The decider of a worker whose decisions are made in the decision thread.
class RemoteDecider : public routing::Decider {
 public:
  // `max_queued_requests`: the number of new requests that may wait behind a full ring; further ones are
  // rejected. The other events are bounded by the number of open requests. `wake` notifies the decision
  // thread that events are waiting for it.
  RemoteDecider(DecisionChannel& channel,
                const std::unordered_map<std::string, routing::RequestClassInfo>& classes,
                std::size_t max_queued_requests, std::function<void()> wake)
      : channel_(channel),
        classes_(classes),
        max_queued_requests_(max_queued_requests),
        wake_(std::move(wake)) {}

  const routing::RequestClassInfo* find_class(std::string_view name) const override;
  bool ready() const override { return channel_.ready.load(std::memory_order_acquire); }
  // Updates the staleness check only: the pool passes each list to the decision thread itself.
  void update(Micros now, const discovery::EndpointListUpdate& list, bool cached) override;
  void report(Micros now, routing::AttemptResult result) override;
  void report(Micros, routing::ProbeResult) override {}  // the decision thread probes the servers itself
  void on_client_disconnected(Micros now, routing::RequestId request) override;
  bool submit(Micros now, const routing::Request& request) override;
  void share_sessions(Micros, bool) override {}  // the pool notifies the decision thread itself
  // A consensus group is used with one worker only, so with several workers there is no placement plan, and
  // surplus capacities are not used.
  void plan(Micros, request_router::Plan) override {}
  double spare_capacity(const std::string&) const override { return 0; }
  routing::TickResult collect(Micros now) override;

  bool has_decisions() const { return channel_.decisions.has_items(); }  // for collect()
  std::uint64_t stale_decisions() const { return stale_decisions_; }     // decisions reported back as stale

 private:
  DecisionChannel& channel_;
  const std::unordered_map<std::string, routing::RequestClassInfo>& classes_;
  std::size_t max_queued_requests_;
  std::function<void()> wake_;
  DecisionStalenessCheck staleness_check_;
  bool has_new_events_ = false;
  std::uint64_t stale_decisions_ = 0;
};

}  // namespace database_proxy::workers
