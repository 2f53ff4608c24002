// A pool of connections to data servers. Connections are opened on demand, carry one request at a time, and
// are kept for reuse while idle.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "discovery/endpoint_list_codec.h"
#include "net/log.h"
#include "net/loop.h"
#include "net/socket.h"
#include "proxy/memory_budget.h"
#include "proxy/ports.h"
#include "proxy/server_connection.h"
#include "proxy/sibling_workers.h"

namespace database_proxy::proxy {

// Time limits of a pool.
struct PoolLimits {
  Micros connect_timeout{250'000};
  Micros idle{20'000'000};  // well below the server's idle limit, because a request that is sent while the
                            // server closes the connection ends with a reset
  Micros probe_timeout{250'000};
};

// Belongs to a dispatcher or to a component that only probes, and is used only in the owner's thread.
class ServerPool {
 public:
  ServerPool(net::Loop& loop, PoolLimits limits, ServerEvents& events, net::Log log,
             SiblingWorkers* siblings = nullptr);
  ~ServerPool();

  // Updates addresses, and closes idle connections to servers that were removed from the list or have a new
  // address.
  void update(const discovery::EndpointListUpdate& list);
  // Sets the limits of jobs and connections that begin from now on.
  void set_limits(PoolLimits limits) { limits_ = limits; }
  // Limits of an attempt, from now on.
  struct TimeLimits {
    Micros start_within = Micros::max();   // until its writing begins
    Micros arrive_within = Micros::max();  // until its last byte has arrived
    Micros fresh_within = Micros::max();   // until its last byte is sent: the server's data is recent enough
  };
  // Starts an attempt, whose end is reported through ServerEvents.
  void start(RequestId request, int attempt, const std::string& server, Micros timeout,
             const TimeLimits& limits);
  // Cancels the request's attempt in flight; if `attempt` is given, only an attempt of that number, and only
  // before its answer begins to arrive.
  void cancel(RequestId request, std::optional<int> attempt = std::nullopt);
  // Starts a probe, whose result is reported through ServerEvents.
  void probe(const std::string& server);
  // Takes back a connection after the answer of its attempt has been passed on.
  void release(void* connection);
  // Closes an idle connection to free a descriptor. Returns false if no connection is idle.
  bool close_one_idle();
  // Closes an idle connection to this server, if there is one.
  void close_one_idle(const std::string& server);
  // Sets the budget for received answers; nullptr: they are not counted. It must outlive the pool.
  void set_memory_budget(MemoryBudget* budget) { memory_budget_ = budget; }
  std::size_t servers_known() const { return servers_.size(); }
  // Starts the attempts whose connections have been established. Called after all events of the iteration
  // have been read, so that a client's disconnection takes effect before its attempt starts.
  void start_ready_attempts();
  // Frees the connections that were closed in this iteration. Called at its end.
  void free_closed();
  // Called before a connection is opened. Returns false if no descriptor is left.
  std::function<bool()> has_descriptor = [] { return true; };

 private:
  friend class ServerConnection;
  struct Server {
    std::optional<net::Address> address;
    std::string address_text;
    bool is_listed = false;
    int connections = 0;
    std::vector<ServerConnection*> idle;
  };

  void run(const std::string& server, ServerJob job);
  void retry_probe(const std::string& server, ServerJob job);
  void end_unsent(const std::string& server, const ServerJob& job, routing::AttemptOutcome outcome);
  void close(ServerConnection* connection);
  void close_idle(Server& server);
  void erase_if_unused(const std::string& name);
  void on_malformed_answer(const std::string& server);
  void on_attempt_too_late(const ServerJob& job, const std::string& server);

  net::Loop& loop_;
  PoolLimits limits_;
  ServerEvents& events_;
  net::Log log_;
  SiblingWorkers* siblings_;
  MemoryBudget* memory_budget_ = nullptr;
  std::unordered_map<std::string, Server> servers_;
  std::unordered_map<ServerConnection*, std::unique_ptr<ServerConnection>> connections_;
  std::unordered_map<RequestId, ServerConnection*> attempts_;  // in flight
  std::vector<ServerConnection*> established_;                 // their jobs are not written yet
  std::vector<std::unique_ptr<ServerConnection>> closed_connections_;
  std::uint64_t malformed_answers_ = 0;
  Micros malformed_answer_logged_at_{INT64_MIN / 2};
  std::uint64_t late_attempts_ = 0;  // since the last log line about them
  Micros late_attempt_logged_at_{INT64_MIN / 2};
};

}  // namespace database_proxy::proxy
