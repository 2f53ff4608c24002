// The thread that owns the decision facade when all workers share one. It probes the data servers itself, so
// that a stalled worker does not make a server look unresponsive and the number of probes does not grow with
// the number of workers.
#pragma once

#include <memory>
#include <thread>
#include <vector>

#include "net/task_queue.h"
#include "proxy/server_pool.h"
#include "routing/decision_facade.h"
#include "workers/remote_decider.h"

namespace database_proxy::workers {

class DecisionThread : private proxy::ServerEvents {
 public:
  // `wake(w)` notifies worker `w` that decisions are waiting for it. A request belongs to worker (id - 1)
  // modulo `workers`.
  DecisionThread(std::unique_ptr<routing::DecisionFacade> facade, std::size_t workers,
                 std::size_t ring_capacity, proxy::PoolLimits limits, net::Log log,
                 std::function<void(std::size_t)> wake);
  ~DecisionThread();

  DecisionChannel& channel(std::size_t worker) { return *channels_[worker]; }
  // Only for the facade's request classes, which never change: the rest belongs to this thread.
  const routing::DecisionFacade& facade() const { return *facade_; }
  void start(int cpu);  // -1: not pinned to a core
  void stop();

  // The functions below may be called from any thread.
  void wake() { tasks_.notify(); }
  void post(net::TaskQueue::Task call) { tasks_.post(std::move(call)); }
  void update_endpoint_list(discovery::EndpointListUpdate update, bool cached);
  // As DecisionFacade::share_sessions().
  void share_sessions(bool is_shared);
  void set_limits(proxy::PoolLimits limits);
  std::uint64_t probes() const { return probes_made_.load(std::memory_order_relaxed); }
  std::size_t descriptors() const { return descriptors_.load(std::memory_order_relaxed); }

 private:
  void on_iteration_end();
  void receive_events(DecisionChannel& channel);
  void send_decisions(std::vector<routing::Decision> decisions);

  void attempt_ended(proxy::AttemptEnd) override {}  // this thread sends no requests
  void probe_ended(routing::ProbeResult result) override { probe_results_.push_back(std::move(result)); }
  proxy::ClientPort* client_of(routing::RequestId) override { return nullptr; }
  void attempt_begins(routing::RequestId, const std::string&) override {}

  net::Loop loop_;
  net::TaskQueue tasks_;
  std::unique_ptr<routing::DecisionFacade> facade_;
  proxy::ServerPool pool_;
  std::function<void(std::size_t)> wake_;
  std::vector<std::unique_ptr<DecisionChannel>> channels_;
  std::vector<bool> workers_to_wake_;  // by worker; woken at the end of the iteration
  std::vector<routing::Request> new_requests_;
  std::vector<routing::ProbeResult> probe_results_;
  std::uint64_t endpoint_list_version_ = 0;  // the number of changes so far
  std::size_t first_channel_ = 0;            // the channel that is read first; advances with each iteration
  net::Loop::TimerId due_timer_ = net::Loop::kNoTimer;
  std::atomic<std::uint64_t> probes_made_{0};
  std::atomic<std::size_t> descriptors_{0};
  std::thread thread_;
};

}  // namespace database_proxy::workers
