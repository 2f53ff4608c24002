// Connections to data servers: opened as needed, one request at a time on each, kept while useful.
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
#include "proxy/ports.h"
#include "proxy/server_connection.h"
#include "proxy/sibling_workers.h"

namespace database_proxy::proxy {

// Times of a pool.
struct PoolLimits {
  Micros connect_timeout{250'000};
  Micros idle{20'000'000};  // well before the server's own idle limit: what crosses that ends as a reset
  Micros probe_timeout{250'000};
};

// Owned by a dispatcher, or by whoever only probes; used in its thread.
class ServerPool {
 public:
  ServerPool(net::Loop& loop, PoolLimits limits, ServerEvents& events, net::Log log,
             SiblingWorkers* siblings = nullptr);
  ~ServerPool();

  // Learns addresses, and closes idle connections to servers that left the list or have moved.
  void update(const discovery::EndpointListUpdate& list);
  // For what begins from now on.
  void set_limits(PoolLimits limits) { limits_ = limits; }
  // Starts an attempt; its end is reported through ServerEvents.
  void start(RequestId request, int attempt, const std::string& server, Micros timeout, Micros start_within);
  // Ends the attempt that is in flight for the request, and where `attempt` is given, only that one.
  void cancel(RequestId request, std::optional<int> attempt = std::nullopt);
  // Starts a health check.
  void probe(const std::string& server);
  // The answer of the connection's attempt has been passed on.
  void release(void* connection);
  // Frees a descriptor; false: no connection is idle.
  bool close_one_idle();
  // Closes an idle connection to this server, where there is one.
  void close_one_idle(const std::string& server);
  std::size_t servers_known() const { return servers_.size(); }
  // Begins the attempts whose connections have come up: after all that this iteration has brought is known,
  // so that a client's end goes before its attempt's beginning.
  void start_ready_attempts();
  // At the end of an iteration: frees what was closed in it.
  void sweep();
  // Called before a new connection; false: no descriptor is left.
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
  void end_unsent(const std::string& server, const ServerJob& job, routing::AttemptOutcome outcome);
  void close(ServerConnection* connection);
  void drop_idle(Server& server);
  void forget(const std::string& name);
  void on_malformed_answer(const std::string& server);

  net::Loop& loop_;
  PoolLimits limits_;
  ServerEvents& events_;
  net::Log log_;
  SiblingWorkers* siblings_;
  std::unordered_map<std::string, Server> servers_;
  std::unordered_map<ServerConnection*, std::unique_ptr<ServerConnection>> all_;
  std::unordered_map<RequestId, ServerConnection*> attempts_;  // in flight
  std::vector<ServerConnection*> established_;                 // whose jobs are still to be written
  std::vector<std::unique_ptr<ServerConnection>> closed_;
  std::uint64_t malformed_answers_ = 0;
  Micros malformed_logged_at_{INT64_MIN / 2};
};

}  // namespace database_proxy::proxy
