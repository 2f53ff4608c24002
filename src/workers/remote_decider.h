// A worker's end of the decision thread: hands over what has happened, and takes what was decided.
#pragma once

#include <unordered_map>

#include "net/task_queue.h"
#include "routing/decider.h"
#include "workers/decision_staleness_check.h"
#include "workers/spsc_queue.h"

namespace database_proxy::workers {

// What a worker tells: one of three, told apart by `kind`. No variant: its members are small, and what goes
// through the ring is copied into it anyway.
struct WorkerEvent {
  enum class Kind { kRequest, kResult, kClientDisconnected } kind = Kind::kClientDisconnected;
  routing::RequestId disconnected_request = 0;
  routing::Request request{};
  routing::AttemptResult result{};
};

// Both ways between one worker and the decision thread.
struct DecisionChannel {
  explicit DecisionChannel(std::size_t ring_capacity) : events(ring_capacity), decisions(ring_capacity) {}
  SpscQueue<WorkerEvent> events;           // worker to decisions
  SpscQueue<routing::Decision> decisions;  // decisions to worker
  std::atomic<bool> ready{false};          // the decisions know of a server that is up
};

class RemoteDecider : public routing::Decider {
 public:
  // `most_waiting`: new requests that may wait beyond the full ring; more are turned away. What else is sent
  // is bounded by what is open. `wake` tells the decision thread that something waits for it.
  RemoteDecider(DecisionChannel& channel,
                const std::unordered_map<std::string, routing::RequestClassInfo>& classes,
                std::size_t max_queued_requests, std::function<void()> wake)
      : channel_(channel),
        classes_(classes),
        max_queued_requests_(max_queued_requests),
        wake_(std::move(wake)) {}

  const routing::RequestClassInfo* find_class(std::string_view name) const override;
  bool ready() const override { return channel_.ready.load(std::memory_order_acquire); }
  // Lists reach the decision thread by another way; here they only raise the fence.
  void update(Micros now, const discovery::EndpointListUpdate& list, bool cached) override;
  void report(Micros now, routing::AttemptResult result) override;
  void report(Micros, routing::ProbeResult) override {}  // the decision thread probes by itself
  void on_client_disconnected(Micros now, routing::RequestId request) override;
  bool submit(Micros now, const routing::Request& request) override;
  void share_sessions(Micros, bool) override {}  // the decision thread is told by the pool
  // A group of daemons goes with one worker, so there is no plan of zones here and nobody who would use
  // capacities.
  void plan(Micros, request_router::Plan) override {}
  double spare_capacity(const std::string&) const override { return 0; }
  routing::TickResult collect(Micros now) override;

  bool has_decisions() const { return channel_.decisions.has_items(); }  // decisions wait to be collected
  std::uint64_t stale_decisions() const { return stale_decisions_; }  // decisions that went back as too old

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
