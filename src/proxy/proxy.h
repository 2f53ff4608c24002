// The proxy as a whole: accepts clients, watches discovery, counts descriptors, shuts down. Used by one
// thread.
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

namespace database_proxy::proxy {

// Whether another process accepts the clients of the same listening socket while this one shuts down.
enum class ShutdownMode { kLast, kSuccessorServes };

// What other processes hold that count as one proxy with this one.
struct OtherProcessesUsage {
  std::size_t processes = 0, descriptors = 0;
  bool takes_requests = false;  // one of them may, of the same sessions
};

// So many of all descriptors may be held beside the others: an equal part, or less as long as they hold more
// than theirs and are giving way, so that all together keep the limit. `own`: what the process needs before
// it serves anybody.
std::size_t descriptors_allowed(std::size_t all, const OtherProcessesUsage& others, std::size_t own);

// How one proxy is set up.
struct ProxyOptions {
  std::string listen, discovery;
  std::size_t descriptors = 1024;
  std::size_t memory = 64 << 20;  // bytes
  PoolLimits pool;
  discovery::EndpointListUpdate known;
  discovery::PollingSchedule schedule{};
  // Of several proxies in one process: which one, of how many. `listens`: it accepts clients itself, on an
  // address that they share; otherwise they are given to it by adopt().
  std::uint32_t number = 0, count = 1;
  bool listens = true;
  // A listening socket that other processes have as well, prepared by net::prepare_inherited_listener(). It
  // is neither closed nor shut down, and clients are accepted once this process can serve. -1: it opens its
  // own.
  int inherited_listener = -1;
  Micros shutdown_limit{3'700'000};  // after SIGTERM the platform kills the process no earlier than this
  // What all else sees of an endpoint list that discovery gives.
  std::function<discovery::EndpointListUpdate(discovery::EndpointListUpdate)> overlay =
      [](discovery::EndpointListUpdate update) { return update; };
  std::size_t reserved_descriptors = 0;  // kept back for the operators' address
  Micros drain_grace{0};                 // of the settings; 0: they guarantee none
  bool logs_decisions = false;  // each attempt, rejection and failure with its reason, as debug lines
  // False: lists are given by list(), until watch_discovery() says that nobody gives them any more.
  bool watches = true;
};

// Owns its sessions, its dispatcher and, through that, its connections to data servers.
class Proxy : public SessionOwner {
 public:
  // By itself: it watches discovery and logs its own start and end. Throws std::runtime_error when it cannot
  // listen.
  Proxy(net::Loop& loop, routing::Decider& decider, ProxyOptions options, const net::Log& log);
  // One of several: lists come by list(), and the pool of workers logs.
  Proxy(net::Loop& loop, routing::Decider& decider, ProxyOptions options, const net::Log& log,
        SiblingWorkers& siblings);
  ~Proxy() override;

  void run();  // until it has shut down
  // Finishes what was taken; run() returns after that. May be called again once a successor serves.
  void shut_down(ShutdownMode mode);
  void stop_now() { loop_.stop(); }  // run() returns after this iteration, whatever is open
  // Takes over what may change under load: discovery's address, descriptors, the pool's limits.
  void reconfigure(const ProxyOptions& options);
  int port() const;
  // Why it cannot serve at present; empty: it can.
  std::string unhealthy_reason() const;
  // Asks discovery itself, or no longer: for one whose lists are given to it.
  void watch_discovery(bool watched);
  // For one that does not watch, in its own thread. A list that is older than what is known changes nothing,
  // unless the service was reset and counts anew (`is_restart`).
  void apply_endpoint_list(discovery::EndpointListUpdate update, bool is_restart = false);
  // Other processes with the same listening socket run, and count as one proxy with this one.
  void share_limits_with(const OtherProcessesUsage& others);
  // While it is set no client of an inherited socket is accepted.
  void set_waiting_for_others(bool is_waiting) { is_waiting_for_others_ = is_waiting; }
  std::size_t descriptors_held() const { return descriptors_in_use(); }
  // For one of several, all in its own thread.
  void list(discovery::EndpointListUpdate update, bool cached) {
    dispatcher_.update_endpoints(std::move(update), cached);
  }
  // A change of what the overlay shows, in its own thread.
  void apply_change(discovery::EndpointListUpdate change) { dispatcher_.update_endpoints(std::move(change)); }
  void adopt(net::Fd client);
  void release_descriptor();  // closes what can be missed most easily
  // False: no session of this proxy has this name.
  bool cancel(std::uint32_t number, std::uint32_t secret);
  // A client asked to cancel what a session of no proxy of this process has out.
  std::function<void(std::uint32_t, std::uint32_t)> on_unknown_cancel = [](auto, auto) {};
  Dispatcher& dispatcher() { return dispatcher_; }
  std::size_t clients() const { return sessions_.size(); }
  std::function<void()> on_ready = [] {};              // it can serve from now on
  std::function<void()> before_iteration_end = [] {};  // runs before what an iteration brought is dispatched
  ServerPool& pool() { return dispatcher_.pool(); }
  void on_session_closed(ClientSession* session) override;
  void on_cancel_request(std::uint32_t number, std::uint32_t secret) override;
  bool on_buffered_change(std::ptrdiff_t change) override;
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
  bool free_descriptor();
  enum class AcceptResult { kTryNext, kNoneWaiting, kNoDescriptor };
  bool has_room_for_client();
  AcceptResult accept_one();
  void retry_accepting();
  void accept_after_shortage();
  EvictionScope usual_scope() const;
  bool close_client(EvictionScope scope);
  void trim_idle();
  void close_idle_clients();
  void begin_shutdown();
  void hand_clients_over();
  void end_what_is_left();
  void stop_if_empty();
  std::size_t descriptors_in_use() const;
  std::size_t descriptors_allowed() const;
  void give_way_to_others();
  std::size_t clients_in_all() const;
  void publish();
  void admit(net::Fd fd, Micros waiting_since);
  std::uint32_t next_secret();

  net::Loop& loop_;
  ProxyOptions options_;
  net::Log log_;
  SiblingWorkers* siblings_;
  Dispatcher dispatcher_;
  std::optional<discovery::EndpointListSubscription> discovery_;
  std::int64_t generation_ = 0;  // of the newest list, whoever gave it
  Listener on_listener_;
  net::Fd own_listener_;
  int listener_ = -1;  // its own, or the inherited one; -1: it does not listen
  // Since when clients may wait that are not accepted yet; none: the last look found none waiting.
  std::optional<Micros> backlog_since_;
  std::array<std::uint32_t, 64> secrets_{};  // drawn ahead: one system call for many clients
  std::size_t secrets_left_ = 0;
  bool accepts_again_ = false, was_ready_ = false, running_ = false;
  bool is_waiting_for_others_ = false;
  bool is_accepting_ = false, has_discovery_answered_ = false;
  Micros started_at_;
  std::unordered_map<ClientSession*, std::unique_ptr<ClientSession>> sessions_;
  std::vector<std::unique_ptr<ClientSession>> closed_;  // until the end of the iteration in which they were
  std::vector<ClientSession*> to_flush_;
  std::size_t buffered_ = 0;  // what clients' unfinished statements hold
  std::optional<Micros> stopping_since_;
  OtherProcessesUsage others_;
  ShutdownMode shutdown_mode_ = ShutdownMode::kLast;
  Micros trimmed_at_{0}, published_at_{0};
  ResourceUsage held_;
  std::uint64_t accepts_without_descriptor_ = 0;
  std::uint32_t next_number_ = 1;  // counted within the proxy; sessions are numbered over all of them
  net::Loop::TimerId accept_retry_timer_ = net::Loop::kNoTimer;
};

}  // namespace database_proxy::proxy
