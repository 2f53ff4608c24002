// Several proxies in one process, a thread and a loop each, behind one address. What is common to all is
// here: the watch on discovery, dealing clients out, cancels, limits, the order of a shutdown.
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

enum class DecisionMode { kShared, kSplit };      // one module for all; a module for each worker
enum class AcceptMode { kBalanced, kReusePort };  // one thread accepts and deals out; the kernel does

struct WorkerPoolOptions {
  std::size_t count = 1;
  DecisionMode decisions = DecisionMode::kShared;
  AcceptMode accept = AcceptMode::kBalanced;
  bool share_probes = true;  // kSplit: a good probe counts for all workers
  // Entries of a ring between a worker and the decision thread: what a stalled peer lets gather in a tenth of
  // a second at 40,000 requests a second. New requests that may wait behind a full one; more are turned away.
  std::size_t ring_capacity = 4096, max_queued_requests = 4096;
  // Connections to one data server over all workers above which idle ones are closed rather than kept.
  // PostgreSQL's own default lets 100 in, of which it keeps 3 for its administrators.
  int connections_per_server = 90;
  std::vector<int>
      cpus;  // workers in turn, and the decision thread behind the last, run on these; empty: anywhere
};

struct WorkerPoolConfig {
  request_router::Settings settings;
  std::uint64_t seed = 0;
  proxy::ProxyOptions proxy;  // descriptors, memory and pool are those of all workers together
  WorkerPoolOptions options;
};

// A module's settings for one of `count` workers of this router: it must know itself as one of more routers,
// or cold servers would get `count` times their share.
request_router::Settings settings_of_worker(request_router::Settings settings, std::size_t worker,
                                            std::size_t count);
std::uint64_t seed_of_worker(std::uint64_t seed, std::size_t worker);

class WorkerPool {
 public:
  // `log(tag)` gives the sink of one thread; the tag is empty for what concerns all. `control` is the loop of
  // the thread that calls run(). Throws std::runtime_error when it cannot listen.
  WorkerPool(net::Loop& control, WorkerPoolConfig config, std::function<net::Log(const std::string&)> log);
  ~WorkerPool();

  void run();  // until all workers have stopped
  // Each finishes what was taken; run() returns after that. May be called again once a successor serves.
  void shut_down(proxy::ShutdownMode mode);
  void stop_now();  // run() returns soon, whatever is open
  void reconfigure(const proxy::ProxyOptions& options, int connections_per_server);
  int port() const;
  // In the control thread, as a proxy by itself has them.
  void apply_change(discovery::EndpointListUpdate change) { update_endpoint_list(std::move(change), false); }
  void share_limits_with(const proxy::OtherProcessesUsage& others);
  void set_waiting_for_others(bool is_waiting);
  std::size_t descriptors_held() const;
  void cancel(std::uint32_t number, std::uint32_t secret);
  std::function<void(std::uint32_t, std::uint32_t)> on_unknown_cancel = [](auto, auto) {};
  // Why it cannot serve at present; empty: it can. In the control thread.
  std::string unhealthy_reason() const;
  std::function<void()> on_ready = [] {};  // the first worker can serve

  // For tests and tools, from any thread: runs it in the worker's, or the decision thread's, own thread.
  void post(std::size_t worker, std::function<void(proxy::Proxy&)> call);
  void post_to_decision_thread(std::function<void()> call);
  std::size_t workers() const { return workers_.size(); }
  std::size_t clients(std::size_t worker) const { return resource_usage_.of(worker).clients; }
  std::uint64_t stale_decisions() const;  // decisions that came too late and were made anew; after run()
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
  void log_shutdown();
  void on_worker_stopped();  // a worker has stopped
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
  std::atomic<std::size_t> configured_descriptors_;  // as configured now
  std::atomic<std::size_t> other_processes_{0}, other_descriptors_{0};
  std::atomic<int> connections_per_server_;
  std::unique_ptr<DecisionThread> decision_thread_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::unique_ptr<Acceptor> acceptor_;
  std::optional<discovery::EndpointListSubscription> discovery_;
  net::TaskQueue tasks_;
  std::atomic<bool> has_reported_ready_{false};
  bool stopping_ = false, has_discovery_answered_ = false;
  bool is_worker_ready_ = false, is_waiting_for_others_ = false, is_serving_ = false;
  Micros started_at_;
  std::unordered_set<std::string> usable_servers_;  // those that are up
  std::size_t running_ = 0;
  proxy::Counters counters_;
};

}  // namespace database_proxy::workers
