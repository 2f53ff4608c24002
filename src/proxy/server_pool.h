// Connections to data servers: opened as needed, one request at a time on each, kept while useful.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "discovery/endpoint_list_codec.h"
#include "net/buffer.h"
#include "net/log.h"
#include "net/loop.h"
#include "net/socket.h"
#include "pg/message.h"
#include "proxy/ports.h"
#include "proxy/sibling_workers.h"

namespace database_proxy::proxy {

struct PoolLimits {
  Micros connect_timeout{250'000};
  Micros idle{20'000'000};  // well before the server's own idle limit: what crosses that ends as a reset
  Micros probe_timeout{250'000};
};

class ServerPool;

class ServerConnection : public net::Handler {
 public:
  ServerConnection(ServerPool& pool, std::string server) : pool_(pool), server_(std::move(server)) {}
  ~ServerConnection() override;
  void on_ready(std::uint32_t events) override;

 private:
  friend class ServerPool;
  // kUp: it has just come up, and its job is written at the end of this turn.
  enum class State { kConnecting, kGreeting, kEstablished, kIdle, kBusy, kSettled };

  struct Job {
    bool probe = false;
    RequestId request = 0;
    int attempt = 0;
    Micros started{0}, deadline{0};
    Micros begin_by = Micros::max();  // it is not written later
  };
  // What has been read of the answer, as offsets into the buffer: it may move while more comes in.
  struct Span {
    std::size_t at = 0, size = 0;
  };

  bool open(const net::Address& address, int* error);
  bool begin(const Job& job);  // writes it, or connects first; false: broken before a byte went out
  bool ready();
  void read_frames();
  bool frame(const pg::Frame& frame, std::size_t at);
  void finish(routing::AttemptOutcome outcome, bool reusable);
  void on_connection_error();
  void on_malformed_answer();
  routing::AttemptOutcome answer_outcome() const;
  std::string_view text(Span span) const { return in_.view().substr(span.at, span.size); }

  ServerPool& pool_;
  std::string server_;
  net::Fd fd_;
  State state_ = State::kConnecting;
  net::InBuffer in_;
  net::OutBuffer out_;
  std::optional<Job> job_;
  net::Loop::TimerId job_timer_ = net::Loop::kNoTimer, idle_timer_ = net::Loop::kNoTimer;
  bool written_ = false, used_ = false, reusable_ = false, peer_closed_ = false;
  std::size_t parsed_ = 0;
  Span row_description_, data_row_, complete_, value_;
  std::string error_, load_;
  routing::ServerRole role_ = routing::ServerRole::kUnknown;
  std::optional<std::int64_t> position_;
};

class ServerPool {
 public:
  ServerPool(net::Loop& loop, PoolLimits limits, ServerEvents& events, net::Log log,
             SiblingWorkers* others = nullptr);
  ~ServerPool();

  void update(const discovery::EndpointListUpdate& list);
  void set_limits(PoolLimits limits) { limits_ = limits; }  // for what begins from now on
  void start(RequestId request, int attempt, const std::string& server, Micros wait, Micros start_within);
  // Closes; tells nobody unless an attempt was out, and where `attempt` is given, just that one.
  void cancel(RequestId request, std::optional<int> attempt = std::nullopt);
  void probe(const std::string& server);
  void release(void* connection);  // the answer of its attempt has been passed on
  bool close_one_idle();           // to make room for a descriptor; false: there is none
  void close_one_idle(const std::string& server);
  std::size_t servers_known() const { return servers_.size(); }
  // Begins the attempts whose connections have come up: after all that this turn has brought is known, so
  // that a client's end goes before its attempt's beginning.
  void start_ready_attempts();
  void sweep();  // at the end of a turn: frees what was closed in it
  // Asked before a new connection: false when no descriptor is left.
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

  void run(const std::string& server, ServerConnection::Job job);
  void end_unsent(const std::string& server, const ServerConnection::Job& job,
                  routing::AttemptOutcome outcome);
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
  std::unordered_map<RequestId, ServerConnection*> out_;  // attempts that are out
  std::vector<ServerConnection*> established_;            // in state kUp
  std::vector<std::unique_ptr<ServerConnection>> closed_;
  std::uint64_t malformed_answers_ = 0;
  Micros malformed_logged_at_{INT64_MIN / 2};
};

}  // namespace database_proxy::proxy
