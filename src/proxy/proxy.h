// One proxy: accepts clients, watches discovery, keeps to the limit on descriptors, shuts down. Used by one
// thread only.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "discovery/endpoint_list_subscription.h"
#include "proxy/client_eviction.h"
#include "proxy/client_session.h"
#include "proxy/dispatcher.h"
#include "proxy/shutdown_schedule.h"

namespace database_proxy::proxy {

// Whether another process accepts the clients of the same listening socket while this one shuts down.
enum class ShutdownMode { kLast, kSuccessorServes };

// What the other processes on the same listening socket use. All of them share the limits of one proxy.
struct OtherProcessesUsage {
  std::size_t processes = 0, descriptors = 0;
  bool takes_requests = false;  // whether one of them may take requests of the same sessions
};

// The number of descriptors, out of `all`, that this process may hold: an equal share, or less while the
// other processes hold more than their shares and are releasing them, so that all processes together keep to
// the limit. `own`: the descriptors that the process needs before it serves any client.
std::size_t descriptors_allowed(std::size_t all, const OtherProcessesUsage& others, std::size_t own);

// The options of one proxy.
struct ProxyOptions {
  std::string listen, discovery;
  std::size_t descriptors = 1024;
  std::size_t memory = 64 << 20;  // bytes
  PoolLimits pool;
  discovery::EndpointListUpdate known;
  discovery::PollingSchedule schedule{};
  // The index of this proxy among the proxies of its process, and their count. `listens`: it accepts clients
  // itself, on an address that all of them share; otherwise it receives them through adopt().
  std::uint32_t number = 0, count = 1;
  bool listens = true;
  // A listening socket that other processes hold as well, prepared by net::prepare_inherited_listener(). It
  // is neither closed nor shut down, and clients are accepted once this process can serve. -1: the proxy
  // opens its own.
  int inherited_listener = -1;
  Micros shutdown_limit{3'700'000};  // after SIGTERM the platform kills the process no earlier than this
  // Changes each endpoint list from discovery before any other part of the proxy sees it.
  std::function<discovery::EndpointListUpdate(discovery::EndpointListUpdate)> overlay =
      [](discovery::EndpointListUpdate update) { return update; };
  std::size_t reserved_descriptors = 0;  // reserved for the operators' address
  Micros drain_grace{0};                 // from the settings; 0: they guarantee none
  bool logs_decisions = false;  // logs each attempt, rejection and failure with its reason, at level debug
  // Shared with the other proxies of this process, and with other processes; null: the proxy has its own.
  std::shared_ptr<EffectMemory> effects = nullptr;
  // False: lists come through apply_endpoint_list(), until watch_discovery() makes the proxy poll discovery
  // itself.
  bool watches = true;
};

// Owns its sessions, its dispatcher and, through that, its connections to data servers.
class Proxy : public SessionOwner {
 public:
  // The only proxy of its process: it watches discovery and logs its own start and end. Throws
  // std::runtime_error when it cannot listen.
  Proxy(net::Loop& loop, routing::Decider& decider, ProxyOptions options, const net::Log& log);
  // One of several proxies: lists come through update_endpoint_list(), and the worker pool logs start and
  // end.
  Proxy(net::Loop& loop, routing::Decider& decider, ProxyOptions options, const net::Log& log,
        SiblingWorkers& siblings);
  ~Proxy() override;

  void run();  // returns when the proxy has shut down
  // Finishes the requests that were accepted; run() returns after that. May be called again once a successor
  // serves.
  void shut_down(ShutdownMode mode);
  void stop_now() { loop_.stop(); }  // run() returns after this iteration, even with requests open
  // Applies the options that may change under load: discovery's address, descriptors, memory, the pool's
  // limits and logging of decisions.
  void reconfigure(const ProxyOptions& options);
  int port() const;
  // The reason why the proxy cannot serve at present; empty: it can.
  std::string unhealthy_reason() const;
  // Starts or stops polling discovery, for a proxy that otherwise receives its lists.
  void watch_discovery(bool watched);
  // Applies a list to a proxy that does not watch discovery; called in the proxy's thread. A list older than
  // the newest known one is ignored, unless the service was reset and its generations start again
  // (`is_restart`).
  void apply_endpoint_list(discovery::EndpointListUpdate update, bool is_restart = false);
  // Sets the usage of the other processes on the same listening socket, which share this proxy's limits.
  void set_other_processes_usage(const OtherProcessesUsage& others);
  // While this is set, no client of an inherited socket is accepted.
  void set_waiting_for_other_processes(bool is_waiting) { is_waiting_for_other_processes_ = is_waiting; }
  std::size_t descriptors_held() const { return descriptors_in_use(); }
  // Applies a list to one of several proxies. This and the calls below are made in the proxy's thread.
  void update_endpoint_list(discovery::EndpointListUpdate update, bool cached) {
    dispatcher_.update_endpoints(std::move(update), cached);
  }
  // Applies a change of the overlay's list; called in the proxy's thread.
  void apply_overlay_change(discovery::EndpointListUpdate change) {
    dispatcher_.update_endpoints(std::move(change));
  }
  void adopt(net::Fd client);
  void release_descriptor();  // closes the connection that is cheapest to lose, a client's or a server's
  // False: no session of this proxy has this number and secret.
  bool cancel(std::uint32_t number, std::uint32_t secret);
  // Called for a CancelRequest that matches no session of this process.
  std::function<void(std::uint32_t, std::uint32_t)> on_unknown_cancel = [](auto, auto) {};
  Dispatcher& dispatcher() { return dispatcher_; }
  std::size_t clients() const { return sessions_.size(); }
  std::function<void()> on_ready = [] {};              // called when the proxy can serve for the first time
  std::function<void()> before_iteration_end = [] {};  // called before an iteration's requests are dispatched
  ServerPool& pool() { return dispatcher_.pool(); }
  void on_session_closed(ClientSession* session) override;
  void on_cancel_request(std::uint32_t number, std::uint32_t secret) override;
  MemoryBudget& memory_budget() override { return memory_budget_; }
  void on_awaiting_ready(ClientSession* session) override { awaiting_ready_.push_back(session); }
  void schedule_flush(ClientSession* session) override { to_flush_.push_back(session); }

 private:
  Proxy(net::Loop& loop, routing::Decider& decider, ProxyOptions options, const net::Log& log,
        SiblingWorkers* siblings);
  class Listener : public net::Handler {
   public:
    explicit Listener(Proxy& proxy) : proxy_(proxy) {}
    void on_ready(std::uint32_t) override { proxy_.accept_all(); }

   private:
    Proxy& proxy_;
  };

  void open_listener();
  void start_accepting();
  void stop_accepting();
  void accept_all();
  void on_iteration_end();
  void resume_awaiting_sessions();
  bool free_descriptor();
  enum class AcceptResult { kTryNext, kNoneWaiting, kNoDescriptor };
  bool can_accept_client();
  AcceptResult accept_one();
  void retry_accepting();
  void accept_after_shortage();
  void wake_to_accept(Micros delay);  // at the end of an iteration that begins then
  EvictionScope default_eviction_scope() const;
  bool close_client(EvictionScope scope);
  void trim_idle();
  void poll_idle_clients();
  void apply_phase(ClientSession& session) const;
  void begin_shutdown();
  void continue_shutdown();
  void log_shutdown_backlog();
  void close_clients_for_successor();
  void close_clients_without_commands();
  bool may_get_clients() const;
  void close_all_clients();
  void stop();
  std::vector<ClientSession*> all_sessions() const;
  std::size_t descriptors_in_use() const;
  std::size_t descriptors_allowed() const;
  void release_excess_descriptors();
  std::size_t total_clients() const;
  void publish();
  void update_memory_limit();
  void release_memory();
  void admit(net::Fd fd, Micros waiting_since);
  std::uint32_t next_secret();

  net::Loop& loop_;
  ProxyOptions options_;
  net::Log log_;
  SiblingWorkers* siblings_;
  MemoryBudget memory_budget_;
  Dispatcher dispatcher_;
  std::optional<discovery::EndpointListSubscription> discovery_;
  std::int64_t generation_ = 0;  // of the newest list, from any source
  Listener on_listener_;
  net::Fd own_listener_;
  int listener_ = -1;  // own_listener_ or the inherited one; -1: the proxy does not listen
  // The time since which clients may have waited in the backlog; none: the last accept found it empty.
  std::optional<Micros> backlog_since_;
  std::array<std::uint32_t, 64> secrets_{};  // generated ahead, with one system call for many clients
  std::size_t secrets_left_ = 0;
  bool must_retry_accept_ = false, was_ready_ = false, running_ = false;
  bool is_waiting_for_other_processes_ = false;
  bool is_accepting_ = false, has_discovery_answered_ = false;
  Micros started_at_;
  std::unordered_map<ClientSession*, std::unique_ptr<ClientSession>> sessions_;
  std::vector<std::unique_ptr<ClientSession>> closed_;  // kept until the end of the iteration
  std::vector<ClientSession*> to_flush_, awaiting_ready_;
  std::optional<ShutdownSchedule> shutdown_;  // set by the signal to stop
  bool has_logged_shutdown_backlog_ = false;
  OtherProcessesUsage other_processes_;
  ShutdownMode shutdown_mode_ = ShutdownMode::kLast;
  Micros trimmed_at_{0}, published_at_{0};
  ResourceUsage usage_;
  std::uint64_t accepts_without_descriptor_ = 0;
  std::uint32_t next_number_ = 1;  // per proxy; session numbers are unique over all of them
  net::Loop::TimerId accept_retry_timer_ = net::Loop::kNoTimer;
};

}  // namespace database_proxy::proxy
