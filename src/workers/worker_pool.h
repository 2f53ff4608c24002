// Several proxies in one process, each with its own thread and event loop, behind one address. The pool does
// what they have in common: it watches discovery, assigns clients to workers, forwards cancels, shares the
// limits and orders the shutdown.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "discovery/endpoint_list_subscription.h"
#include "proxy/proxy.h"
#include "request_router/router.h"
#include "workers/connection_balancer.h"
#include "workers/decision_thread.h"
#include "workers/shared_request_registry.h"

namespace database_proxy::workers {

// kShared: one decision module for all workers; kSplit: one for each worker.
enum class DecisionMode { kShared, kSplit };
// kBalanced: one thread accepts all clients and assigns them to workers; kReusePort: the kernel distributes
// them.
enum class AcceptMode { kBalanced, kReusePort };

// The options of a worker pool that are not options of a proxy.
struct WorkerPoolOptions {
  std::size_t count = 1;
  DecisionMode decisions = DecisionMode::kShared;
  AcceptMode accept = AcceptMode::kBalanced;
  bool share_probes = true;  // kSplit: a successful probe counts for all workers
  // `ring_capacity`: the entries of each ring between a worker and the decision thread, enough for what
  // gathers in 0.1 s at 40,000 requests per second while the receiver is stalled. `max_queued_requests`: the
  // number of new requests that may wait behind a full ring; further ones are rejected.
  std::size_t ring_capacity = 4096, max_queued_requests = 4096;
  // The number of connections to one data server, over all workers, above which idle ones are closed instead
  // of kept. PostgreSQL by default accepts 100 connections and reserves 3 of them for administrators.
  int connections_per_server = 90;
  // The cores that the workers are pinned to in turn, and the decision thread after the last worker; empty:
  // not pinned.
  std::vector<int> cpus;
};

// The whole configuration of a worker pool.
struct WorkerPoolConfig {
  request_router::Settings settings;
  std::uint64_t seed = 0;
  proxy::ProxyOptions proxy;  // its descriptors, memory and pool limits are for all workers together
  WorkerPoolOptions options;
};

// Owns the workers and, with shared decisions, the decision thread.
class WorkerPool {
 public:
  // `log(tag)` returns the log sink of one thread; the tag is empty for messages of the pool as a whole.
  // `control` is the event loop of the thread that calls run(). Throws std::runtime_error when the pool
  // cannot listen.
  WorkerPool(net::Loop& control, WorkerPoolConfig config, std::function<net::Log(const std::string&)> log);
  ~WorkerPool();

  void run();  // returns when all workers have stopped
  // Makes each worker finish the requests that it accepted; run() returns after that. May be called again
  // once a successor serves.
  void shut_down(proxy::ShutdownMode mode);
  void stop_now();  // run() returns soon, even with requests open
  // Applies the options that may change under load.
  void reconfigure(const proxy::ProxyOptions& options, int connections_per_server);
  int port() const;
  // As the functions of Proxy with these names; called in the control thread.
  void apply_overlay_change(discovery::EndpointListUpdate change) {
    update_endpoint_list(std::move(change), false);
  }
  void set_other_processes_usage(const proxy::OtherProcessesUsage& others);
  void set_waiting_for_other_processes(bool is_waiting);
  std::size_t descriptors_held() const;
  void cancel(std::uint32_t number, std::uint32_t secret);
  std::function<void(std::uint32_t, std::uint32_t)> on_unknown_cancel = [](auto, auto) {};
  // The reason why the pool cannot serve at present; empty: it can. Called in the control thread.
  std::string unhealthy_reason() const;
  std::function<void()> on_ready = [] {};  // called when the pool starts to serve

  // For tests and tools; may be called from any thread. Runs `call` in the worker's own thread, or in the
  // decision thread.
  void post(std::size_t worker, std::function<void(proxy::Proxy&)> call);
  void post_to_decision_thread(std::function<void()> call);
  std::size_t workers() const { return workers_.size(); }
  std::size_t clients(std::size_t worker) const { return resource_usage_.of(worker).clients; }
  std::uint64_t stale_decisions() const;  // decisions that were stale on arrival and made again; after run()
  proxy::Counters counters() const { return counters_; }  // after run()

 private:
  class Worker;
  class Acceptor;
  friend class Worker;
  void update_endpoint_list(discovery::EndpointListUpdate update, bool cached);
  void request_descriptor(std::optional<std::size_t> requester);
  std::vector<WorkerSlot> worker_slots() const;
  std::size_t descriptors_allowed() const;
  int connections_per_server() const;
  void begin_shutdown();
  bool is_accepting() const;  // one thread accepts clients for all workers; called from any thread
  void log_shutdown();
  void on_worker_stopped();
  void on_worker_ready();
  void start_serving();
  void on_cancel_not_found(std::uint32_t number, std::uint32_t secret);
  void update_usable_servers(const discovery::EndpointListUpdate& update);

  net::Loop& control_;
  WorkerPoolConfig config_;
  std::function<net::Log(const std::string&)> make_log_;
  net::Log log_;
  ResourceUsageTable resource_usage_;
  OpenRequestNames request_names_;
  ServerConnections server_connections_;
  std::atomic<std::size_t> configured_descriptors_;  // the current setting
  std::atomic<std::size_t> other_processes_{0}, other_descriptors_{0};
  std::atomic<int> connections_per_server_;
  std::unique_ptr<DecisionThread> decision_thread_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::unique_ptr<Acceptor> acceptor_;
  std::optional<discovery::EndpointListSubscription> discovery_;
  net::TaskQueue tasks_;
  std::atomic<bool> has_reported_ready_{false};
  bool stopping_ = false, has_discovery_answered_ = false;
  bool is_worker_ready_ = false, is_waiting_for_other_processes_ = false, is_serving_ = false;
  Micros started_at_;
  std::unordered_set<std::string> usable_servers_;  // ids of the servers that are up
  std::size_t running_ = 0;
  proxy::Counters counters_;
};

}  // namespace database_proxy::workers
