#include "testbench/fake_servers.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <set>
#include <stdexcept>
#include <unordered_map>

#include "net/buffer.h"
#include "net/socket.h"
#include "net/system_errors.h"
#include "pg/message.h"
#include "pg/statement.h"
#include "routing/unix_clock.h"
#include "testbench/loop_thread.h"
#include "testbench/process_under_test.h"

namespace database_proxy::testbench {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxMessageBytes = 192 * 1024, kReadLimitBytes = 2 * kMaxMessageBytes;
constexpr Micros kMaxWatchDuration{60'000'000};

std::int64_t unix_ms_at(Micros now) {
  static const Micros offset = [] {
    auto wall = std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
    return wall - net::monotonic_now();
  }();
  return (now + offset) / Micros(1000);
}

void append_big_endian(std::string& out, std::size_t value, int bytes) {
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
    out.push_back(static_cast<char>(value >> shift & 0xff));
}

void append_message(std::string& out, char type, std::string_view body) {
  out.push_back(type);
  append_big_endian(out, body.size() + 4, 4);
  out.append(body);
}

// RowDescription of one bytea column, DataRow, CommandComplete.
std::string row_response(std::string_view value) {
  static const std::string description = [] {
    std::string column("\0\1content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\1", 28), all;
    append_message(all, 'T', column);
    return all;
  }();
  std::string out = description, body("\0\1", 2);
  append_big_endian(body, value.size(), 4);
  body += value;
  append_message(out, 'D', body);
  append_message(out, 'C', std::string_view("SELECT 1\0", 9));
  return out;
}

std::string parameter_status(std::string_view name, std::string_view value) {
  std::string out, body(name);
  body.push_back('\0');
  body += value;
  body.push_back('\0');
  append_message(out, 'S', body);
  return out;
}

template <typename T>
T read_number(const json& from, const char* key, T otherwise, double least, double most) {
  if (!from.contains(key)) return otherwise;
  if (!from.at(key).is_number()) throw std::invalid_argument(fmt::format("{} is not a number", key));
  double value = from.at(key).get<double>();
  if (!(value >= least && value <= most))
    throw std::invalid_argument(fmt::format("{} is not between {} and {}", key, least, most));
  return static_cast<T>(value);
}

Micros read_millis(const json& from, const char* key, Micros otherwise) {
  return Micros(static_cast<std::int64_t>(
      read_number<double>(from, key, static_cast<double>(otherwise.count()) / 1000, 0, 3.6e6) * 1000));
}

}  // namespace

FakeServersOptions FakeServersOptions::parse(const json& j) try {
  static const std::set<std::string> known{"sets",       "replicas",       "connections",     "threads",
                                           "cpus",       "zones",          "handover_gap_ms", "cores",
                                           "service_us", "spread",         "write_factor",    "key_window_ms",
                                           "lag_ms",     "bound_ms",       "cold_share",      "warm_up_ms",
                                           "check_age",  "discovery_port", "steer_port",      "seed",
                                           "script"};
  if (!j.is_object()) throw std::invalid_argument("not a JSON object");
  for (auto& [key, value] : j.items())
    if (!known.count(key)) throw std::invalid_argument("unknown key '" + key + "'");
  FakeServersOptions o;
  o.shard_groups = read_number(j, "sets", o.shard_groups, 1, 64);
  o.replicas = read_number(j, "replicas", o.replicas, 0, 64);
  o.connections = read_number(j, "connections", o.connections, 1, 1e5);
  o.threads = read_number(j, "threads", o.threads, 1, 64);
  o.seed = read_number(j, "seed", o.seed, 0, 1e15);
  o.discovery_port = read_number(j, "discovery_port", 0, 0, 65535);
  o.control_port = read_number(j, "steer_port", 0, 0, 65535);
  o.handover_gap = read_millis(j, "handover_gap_ms", o.handover_gap);
  o.key_window = read_millis(j, "key_window_ms", o.key_window);
  o.model.cores = read_number(j, "cores", o.model.cores, 1, 1024);
  o.model.service_us = read_number(j, "service_us", o.model.service_us, 0, 1e7);
  o.model.write_factor = read_number(j, "write_factor", o.model.write_factor, 0, 1000);
  o.model.service_variation = read_number(j, "spread", o.model.service_variation, 0, 10);
  o.model.lag = read_millis(j, "lag_ms", o.model.lag);
  o.model.staleness_bound = read_millis(j, "bound_ms", o.model.staleness_bound);
  o.model.warm_up = read_millis(j, "warm_up_ms", o.model.warm_up);
  o.model.initial_speed = read_number(j, "cold_share", o.model.initial_speed, 0.01, 1);
  o.model.check_staleness = j.value("check_age", o.model.check_staleness);
  o.zones = j.value("zones", o.zones);
  o.cpus = j.value("cpus", o.cpus);
  if (o.zones.empty()) throw std::invalid_argument("zones must not be empty");
  for (auto& step : j.value("script", json::array()))
    o.script.push_back({read_millis(step, "at_ms", Micros(0)), step});
  return o;
} catch (const json::exception& e) {
  throw std::invalid_argument(e.what());
}

// ---- data servers
// ------------------------------------------------------------------------------------------

class FakeServers::ShardGroupThread : public LoopThread {
 public:
  explicit ShardGroupThread(int cpu) : LoopThread(cpu, [this] { closed.clear(); }) {}
  std::vector<std::unique_ptr<net::Handler>> closed;  // until the end of the loop iteration that closed them
  std::unordered_map<std::string, IdempotencyKeyStore> keys;  // by shard group
};

class FakeServers::Connection : public net::Handler {
 public:
  Connection(DataServer& server, net::Loop& loop, net::Fd fd)
      : server_(server), loop_(loop), fd_(std::move(fd)) {}
  ~Connection() override;
  bool start();
  void on_ready(std::uint32_t events) override;
  void close(bool reset = false);

 private:
  void process_input();
  void query(std::string_view text);
  void request(const pg::Statement& statement);
  void end_attempt();
  void answer(std::string_view head, bool with_position);
  void error(std::string_view code);

  DataServer& server_;
  net::Loop& loop_;  // outlives the server
  net::Fd fd_;
  net::InBuffer in_;
  net::OutBuffer out_;
  bool started_ = false, rejected_ = false, in_flight_ = false;
  Micros first_byte_at_{-1};  // arrival of the first byte that is not yet parsed
  std::string request_id_;    // of the attempt in flight on this connection
  net::Loop::TimerId answer_timer_ = net::Loop::kNoTimer;
};

class FakeServers::DataServer : public net::Handler {
 public:
  DataServer(FakeServers& fake_servers, ShardGroupThread& thread, std::string id, int shard_group,
             std::uint64_t seed, bool primary)
      : fake_servers(fake_servers),
        thread(thread),
        id(std::move(id)),
        shard_group(shard_group),
        model(fake_servers.options_.model, seed, primary) {}
  ~DataServer() override { shut_down(true); }

  void listen(int at) {
    int error = 0;
    listener_ = net::listen_on(*net::parse_address(fmt::format("127.0.0.1:{}", at)), &error);
    if (!listener_)
      throw std::runtime_error(fmt::format("server {} cannot listen: {}", id, net::message_of(error)));
    port = net::local_port(listener_.get());
    thread.loop().add(listener_.get(), this);
  }
  void on_ready(std::uint32_t) override {
    int error = 0;
    while (auto fd = net::accept_from(listener_.get(), &error)) {
      auto made = std::make_unique<Connection>(*this, thread.loop(), std::move(fd));
      auto* connection = made.get();
      ++counters.opened;
      counters.max_connections = std::max(counters.max_connections, ++counters.connections);
      connections_.emplace(connection, std::move(made));
      connection->start();
    }
  }
  void on_closed(Connection* connection) {
    auto it = connections_.find(connection);
    if (it == connections_.end()) return;
    --counters.connections;
    thread.closed.push_back(std::move(it->second));
    connections_.erase(it);
  }
  // Simulates the end of the server's process: connections are reset and new ones refused.
  void shut_down(bool discards_connections = false) {
    if (listener_) thread.loop().remove(listener_.get(), this);
    listener_.reset();
    std::vector<Connection*> all;
    for (auto& [connection, owned] : connections_) all.push_back(connection);
    for (auto* connection : all) connection->close(true);
    if (discards_connections) connections_.clear();
  }
  Micros now() const { return thread.loop().now(); }
  std::int64_t unix_ms() const { return unix_ms_at(now()); }

  FakeServers& fake_servers;
  ShardGroupThread& thread;
  const std::string id;
  const int shard_group;
  ServerModel model;
  ServerCounters counters;
  int port = 0;

 private:
  net::Fd listener_;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
};

FakeServers::Connection::~Connection() {
  loop_.cancel(&answer_timer_);
  if (fd_) loop_.remove(fd_.get(), this);
}

bool FakeServers::Connection::start() {
  if (server_.thread.loop().add(fd_.get(), this)) return true;
  close();
  return false;
}

void FakeServers::Connection::close(bool reset) {
  if (!fd_) return;
  end_attempt();
  if (reset) {
    linger hard{1, 0};
    setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  }
  server_.thread.loop().remove(fd_.get(), this);
  fd_.reset();
  server_.on_closed(this);
}

// Ends the attempt for the proxy. The server continues to process an abandoned attempt; the model has already
// accounted for its service time.
void FakeServers::Connection::end_attempt() {
  server_.thread.loop().cancel(&answer_timer_);
  if (std::exchange(in_flight_, false)) server_.model.complete();
  if (!request_id_.empty()) server_.fake_servers.invariants_.on_attempt_end(std::exchange(request_id_, {}));
}

void FakeServers::Connection::on_ready(std::uint32_t events) {
  if ((events & EPOLLOUT) && !out_.flush(fd_.get())) return close();
  if (!(events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR))) return;
  auto before = in_.view().size();
  auto end = in_.fill(fd_.get(), kReadLimitBytes);
  if (before == 0 && !in_.view().empty()) first_byte_at_ = server_.now();
  if (server_.model.state() != ServerState::kUnresponsive) process_input();
  if (fd_ && net::is_disconnected(end)) close();
}

void FakeServers::Connection::process_input() {
  while (fd_ && request_id_.empty()) {
    if (!started_) {
      pg::FirstMessage first;
      auto parse = pg::parse_first_message(in_.view(), &first);
      if (parse == pg::ParseStatus::kBad) return close();
      if (parse == pg::ParseStatus::kMore) return;
      in_.consume(first.size);
      started_ = true;
      if (server_.counters.connections > static_cast<int>(server_.fake_servers.options_.connections)) {
        ++server_.counters.rejected;
        out_.write(fd_.get(), {pg::error_response("FATAL", "53300", "too many connections")});
        return close();
      }
      if (!out_.write(fd_.get(), {pg::greeting(1, 2)})) return close();
      continue;
    }
    pg::Frame frame;
    auto parse = pg::parse_frame(in_.view(), kMaxMessageBytes, &frame);
    if (parse == pg::ParseStatus::kMore) return;
    if (parse == pg::ParseStatus::kBad || frame.type != 'Q') return close();
    if (auto text = pg::query_text(frame.body))
      query(*text);
    else
      error("08P01");
    if (!fd_) return;
    in_.consume(frame.size);
    if (!in_.view().empty()) first_byte_at_ = server_.now();
  }
}

void FakeServers::Connection::query(std::string_view text) {
  if (text == "SHOW usage" || text == "SELECT 1") {
    ++server_.counters.probes;
    auto& m = server_.model;
    auto usage =
        fmt::format("x0={:.3f},x1={},rif={}", static_cast<double>(m.position(server_.unix_ms())) / 1000,
                    m.primary() ? 1 : 0, m.in_flight());
    return answer(row_response(text == "SELECT 1" ? "1" : usage), false);
  }
  auto statement = pg::parse_statement(text);
  switch (statement.kind) {
    case pg::StatementKind::kEmpty:
      out_.write(fd_.get(), {pg::empty_query_response(), pg::ready_for_query()});
      return;
    case pg::StatementKind::kSession:
      out_.write(fd_.get(), {pg::command_complete(statement.tag), pg::ready_for_query()});
      return;
    case pg::StatementKind::kUnknown:
      ++server_.counters.malformed;
      return error("08P01");
    case pg::StatementKind::kRead:
    case pg::StatementKind::kWrite:
      return request(statement);
  }
}

void FakeServers::Connection::request(const pg::Statement& s) {
  auto& fake_servers = server_.fake_servers;
  auto now = server_.now();
  auto& f = server_.counters;
  ++f.requests;
  fake_servers.invariants_.on_attempt(now, first_byte_at_, s.id, server_.id);
  fake_servers.invariants_.on_request(now, server_.shard_group, server_.id, server_.model.speed(now));
  request_id_ = s.id;
  ModelRequest model_request;
  model_request.kind = s.kind == pg::StatementKind::kWrite ? RequestKind::kWrite
                       : s.request_class == "browse"       ? RequestKind::kBoundedStaleness
                                                           : RequestKind::kReadYourWrites;
  model_request.after_unix_ms = s.after_unix_ms.value_or(0);
  auto unix_now = server_.unix_ms();
  auto admitted = server_.model.admit(now, unix_now, model_request);
  switch (admitted.result) {
    case AdmissionResult::kRun:
      break;
    case AdmissionResult::kRejected:
      ++f.rejected;
      return error("53300");
    case AdmissionResult::kNotPrimary:
      ++f.not_primary;
      return error("25006");
    case AdmissionResult::kTooOld:
      ++f.too_old;
      return error("72000");
    case AdmissionResult::kFailed:
      return error("XX000");
    case AdmissionResult::kNoAnswer:
      return;
  }
  in_flight_ = true;
  auto position = server_.model.position(unix_now);
  if (!server_.model.primary() && model_request.kind != RequestKind::kWrite) {
    auto needed = model_request.kind == RequestKind::kBoundedStaleness
                      ? unix_now - fake_servers.options_.model.staleness_bound / Micros(1000)
                      : model_request.after_unix_ms;
    if (position < needed)
      fake_servers.invariants_.record_violation(
          Invariant::kStaleRead,
          fmt::format("request {} at {}, {} ms too old", s.id, server_.id, needed - position));
  }
  if (model_request.kind == RequestKind::kWrite && s.idempotency_key) {
    auto& store =
        server_.thread.keys.try_emplace(std::to_string(server_.shard_group), fake_servers.options_.key_window)
            .first->second;
    if (store.apply(now, std::hash<std::string_view>{}(*s.idempotency_key)) ==
        IdempotencyKeyStore::Applied::kTwice)
      fake_servers.invariants_.record_violation(Invariant::kExpiredIdempotencyKey,
                                                fmt::format("key {} at {}", *s.idempotency_key, server_.id));
  }
  if (admitted.done <= now) return answer(row_response(s.id), true);
  answer_timer_ = server_.thread.loop().at(admitted.done, [this] {
    answer_timer_ = net::Loop::kNoTimer;
    if (server_.model.state() == ServerState::kUnresponsive) return;
    answer(row_response(std::string(request_id_)), true);
    if (fd_) process_input();
  });
}

// Writes an answer; `with_position` adds role and position, as in an answer to a request.
void FakeServers::Connection::answer(std::string_view head, bool with_position) {
  static const std::string ready = pg::ready_for_query();
  std::string tail;
  if (with_position) {
    static const std::string primary_role = parameter_status("server_role", "writer"),
                             replica_role = parameter_status("server_role", "reader");
    auto& m = server_.model;
    tail = m.primary() ? primary_role : replica_role;
    tail += parameter_status("commit_clock", fmt::format_int(m.position(server_.unix_ms())).c_str());
  }
  end_attempt();
  if (!out_.write(fd_.get(), {head, tail, ready})) close();
}

void FakeServers::Connection::error(std::string_view code) {
  answer(pg::error_response("ERROR", code, "request rejected by the fake server"), true);
}

// ---- discovery
// ----------------------------------------------------------------------------------------------

class FakeServers::Discovery : public LoopThread {
 public:
  Discovery(FakeServers& fake_servers, int port)
      : LoopThread(-1, [this] { closed_.clear(); }), fake_servers_(fake_servers), on_accept_(*this) {
    int error = 0;
    listener_ = net::listen_on(*net::parse_address(fmt::format("127.0.0.1:{}", port)), &error);
    if (!listener_) throw std::runtime_error("discovery cannot listen: " + net::message_of(error));
    loop().add(listener_.get(), &on_accept_);
    for (int node = 0; node < fake_servers.options_.nodes; ++node) listen_for(node);
  }
  ~Discovery() { stop(); }
  int port() const { return net::local_port(listener_.get()); }
  int port_of(int node) const { return nodes_.at(static_cast<std::size_t>(node))->port(); }

  // Adds or replaces an entry of the list and answers the waiting calls. Runs in the thread of discovery.
  void update(json entry) {
    ++generation_;
    for (auto& e : entries_)
      if (e.body.at("instanceId") == entry.at("instanceId")) {
        e = {generation_, std::move(entry)};
        return answer_waiting();
      }
    entries_.push_back({generation_, std::move(entry)});
    answer_waiting();
  }
  json entry(const std::string& id) const {
    for (auto& e : entries_)
      if (e.body.at("instanceId") == id) return e.body;
    throw std::invalid_argument("discovery does not list " + id);
  }
  json list(std::optional<std::int64_t> after) const {
    json instances = json::array();
    for (auto& e : entries_)
      if (after ? e.generation > *after : e.body.at("lifecycle") != "removed") instances.push_back(e.body);
    return {{"generation", generation_}, {"reset", !after}, {"instances", std::move(instances)}};
  }
  bool is_unresponsive = false;  // accepts calls and answers none
  // Calls received; of those, calls for the full list, and calls rejected with 503.
  std::uint64_t calls = 0, full_list_calls = 0, rejected_calls = 0;
  std::map<std::int64_t, std::uint64_t> calls_by_second;

  // Returns the time at which a call that arrives now has been processed, one call at a time; nullopt if too
  // many calls wait.
  std::optional<Micros> admit() {
    auto now = loop().now(), cost = fake_servers_.options_.list_call_cost;
    if (cost.count() <= 0) return now;
    auto waiting = busy_until_ > now ? (busy_until_ - now) / cost : 0;
    if (fake_servers_.options_.max_waiting_list_calls > 0 &&
        waiting >= fake_servers_.options_.max_waiting_list_calls)
      return std::nullopt;
    return busy_until_ = std::max(now, busy_until_) + cost;
  }

 private:
  struct Entry {
    std::int64_t generation;
    json body;
  };
  class DiscoveryConnection : public net::Handler {
   public:
    DiscoveryConnection(Discovery& owner, net::Fd fd, std::string node = "")
        : owner_(owner), fd_(std::move(fd)), node_(std::move(node)) {}
    ~DiscoveryConnection() override { owner_.loop().cancel(&timer_); }
    void on_ready(std::uint32_t events) override {
      if ((events & EPOLLOUT) && !out_.flush(fd_.get())) return end();
      auto closed = net::is_disconnected(in_.fill(fd_.get(), 64 * 1024));
      auto head = in_.view().find("\r\n\r\n");
      if (head != std::string_view::npos) {
        auto line = in_.view().substr(0, in_.view().find("\r\n"));
        after_ = integer_parameter(line, "after=");
        auto wait = integer_parameter(line, "wait_ms=").value_or(0);
        in_.consume(head + 4);
        waiting_ = true;
        ++owner_.calls;
        ++owner_.calls_by_second[owner_.loop().now() / Micros(1'000'000)];
        owner_.full_list_calls += !after_;
        owner_.loop().cancel(&timer_);
        auto ready_at = owner_.admit();
        if (!ready_at) {
          ++owner_.rejected_calls;
          waiting_ = false;
          if (!out_.write(fd_.get(), {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"}))
            end();
        } else {
          // The call is processed first; then it waits for an update, up to the time that the caller gave.
          auto wait_for = std::min(Micros(wait * 1000), kMaxWatchDuration);
          auto answer_or_wait = [this, wait_for] {
            if (!after_ || owner_.generation_ > *after_ || wait_for.count() <= 0) return reply();
            timer_ = owner_.loop().at(owner_.loop().now() + wait_for, [this] { reply(); });
          };
          if (*ready_at > owner_.loop().now())
            timer_ = owner_.loop().at(*ready_at, answer_or_wait);
          else
            answer_or_wait();
        }
      }
      if (closed) end();
    }
    void reply() {
      if (!std::exchange(waiting_, false) || owner_.is_unresponsive) return;
      owner_.loop().cancel(&timer_);
      auto list = owner_.list(after_);
      auto body = list.dump();
      auto head = fmt::format(
          "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.size());
      auto now = net::monotonic_now();
      if (!out_.write(fd_.get(), {head, body})) return end();
      auto& invariants = owner_.fake_servers_.invariants_;
      for (auto& e : list.at("instances")) {
        bool takes_work = e.at("lifecycle") == "up";
        if (node_.empty())
          invariants.on_listed(now, e.at("instanceId"), takes_work);
        else
          invariants.out_of_service_checker().on_listed(now, node_, e.at("instanceId"), takes_work);
      }
    }
    void end() {
      if (!fd_) return;
      owner_.loop().remove(fd_.get(), this);
      fd_.reset();
      auto it = std::find_if(owner_.connections_.begin(), owner_.connections_.end(),
                             [&](auto& c) { return c.get() == this; });
      if (it == owner_.connections_.end()) return;
      owner_.closed_.push_back(std::move(*it));
      owner_.connections_.erase(it);
    }
    bool start() { return owner_.loop().add(fd_.get(), this); }

   private:
    static std::optional<std::int64_t> integer_parameter(std::string_view line, std::string_view name) {
      auto at = line.find(name);
      if (at == std::string_view::npos) return std::nullopt;
      std::int64_t value = 0;
      auto digits = line.substr(at + name.size());
      std::from_chars(digits.data(), digits.data() + digits.size(), value);
      return value;
    }
    Discovery& owner_;
    net::Fd fd_;
    std::string node_;  // name of the calling node; empty: not known
    net::InBuffer in_;
    net::OutBuffer out_;
    std::optional<std::int64_t> after_;
    bool waiting_ = false;
    net::Loop::TimerId timer_ = net::Loop::kNoTimer;
  };
  class OnAccept : public net::Handler {
   public:
    explicit OnAccept(Discovery& owner) : owner_(owner) {}
    void on_ready(std::uint32_t) override {
      int error = 0;
      while (auto fd = net::accept_from(owner_.listener_.get(), &error)) {
        owner_.connections_.push_back(std::make_unique<DiscoveryConnection>(owner_, std::move(fd)));
        owner_.connections_.back()->start();
      }
    }

   private:
    Discovery& owner_;
  };
  // Accepts the connections at the discovery address of one node.
  class NodeListener : public net::Handler {
   public:
    NodeListener(Discovery& owner, int node) : owner_(owner), node_(fmt::format("n{}", node)) {
      int error = 0;
      listener_ = net::listen_on(*net::parse_address("127.0.0.1:0"), &error);
      if (!listener_) throw std::runtime_error("discovery cannot listen: " + net::message_of(error));
      owner_.loop().add(listener_.get(), this);
    }
    void on_ready(std::uint32_t) override {
      int error = 0;
      while (auto fd = net::accept_from(listener_.get(), &error)) {
        owner_.connections_.push_back(std::make_unique<DiscoveryConnection>(owner_, std::move(fd), node_));
        owner_.connections_.back()->start();
      }
    }
    int port() const { return net::local_port(listener_.get()); }

   private:
    Discovery& owner_;
    std::string node_;
    net::Fd listener_;
  };
  void listen_for(int node) { nodes_.push_back(std::make_unique<NodeListener>(*this, node)); }
  void answer_waiting() {
    std::vector<DiscoveryConnection*> all;
    for (auto& c : connections_) all.push_back(c.get());
    for (auto* c : all) c->reply();
  }

  FakeServers& fake_servers_;
  OnAccept on_accept_;
  net::Fd listener_;
  std::int64_t generation_ = 1;
  Micros busy_until_{0};
  std::vector<Entry> entries_;
  std::vector<std::unique_ptr<DiscoveryConnection>> connections_, closed_;
  std::vector<std::unique_ptr<NodeListener>> nodes_;
};

// ---- control
// -----------------------------------------------------------------------------------------------

class FakeServers::ControlServer {
 public:
  ControlServer(FakeServers& fake_servers, int port) : fake_servers_(fake_servers) {
    int error = 0;
    listener_ = net::listen_on(*net::parse_address(fmt::format("127.0.0.1:{}", port)), &error);
    if (!listener_) throw std::runtime_error("control socket cannot listen: " + net::message_of(error));
    thread_ = std::thread([this] { run(); });
  }
  ~ControlServer() {
    stop_ = true;
    thread_.join();
  }
  int port() const { return net::local_port(listener_.get()); }

 private:
  // Executes the script and the lines of one control connection at a time; answers each line.
  void run() {
    auto began = net::monotonic_now();
    std::size_t next = 0;
    net::Fd peer;
    std::string in;
    while (!stop_) {
      auto& script = fake_servers_.options_.script;
      while (next < script.size() && net::monotonic_now() - began >= script[next].at)
        execute(script[next++].action);
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
      int error = 0;
      if (!peer) peer = net::accept_from(listener_.get(), &error);
      if (!peer) continue;
      char chunk[4096];
      auto n = recv(peer.get(), chunk, sizeof chunk, 0);
      if (n == 0 || (n < 0 && errno != EAGAIN) || in.size() > 64 * 1024) {
        peer.reset();
        in.clear();
        continue;
      }
      if (n > 0) in.append(chunk, static_cast<std::size_t>(n));
      for (auto end = in.find('\n'); end != std::string::npos; end = in.find('\n')) {
        auto line = json::parse(in.substr(0, end), nullptr, false);
        in.erase(0, end + 1);
        auto answer = execute(line).dump() + "\n";
        [[maybe_unused]] auto sent = send(peer.get(), answer.data(), answer.size(), MSG_NOSIGNAL);
      }
    }
  }
  json execute(const json& action) try {
    if (!action.is_object()) throw std::invalid_argument("not a JSON object");
    if (action.value("do", "") == "report") return fake_servers_.report();
    fake_servers_.control(action);
    return {{"ok", true}};
  } catch (const std::exception& e) {
    return {{"ok", false}, {"why", e.what()}};
  }
  FakeServers& fake_servers_;
  net::Fd listener_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

// ---- fake servers
// ----------------------------------------------------------------------------------------------

FakeServers::FakeServers(FakeServersOptions options)
    : options_(std::move(options)), invariants_(options_.limits) {
  std::stable_sort(options_.script.begin(), options_.script.end(),
                   [](auto& a, auto& b) { return a.at < b.at; });
  unix_ms_at(Micros(0));
  for (int i = 0; i < options_.threads; ++i) {
    auto& cpus = options_.cpus;
    threads_.push_back(std::make_unique<ShardGroupThread>(
        cpus.empty() ? -1 : cpus[static_cast<std::size_t>(i) % cpus.size()]));
    threads_.back()->start();
  }
  discovery_ = std::make_unique<Discovery>(*this, options_.discovery_port);
  discovery_->start();
  for (int shard_group = 1; shard_group <= options_.shard_groups; ++shard_group)
    for (int i = 0; i <= options_.replicas; ++i) add_server(shard_group, i == 0, false);
  for (int shard_group = 1; shard_group <= options_.shard_groups; ++shard_group) apply_zone_lag(shard_group);
  control_server_ = std::make_unique<ControlServer>(*this, options_.control_port);
}

FakeServers::~FakeServers() {
  control_server_.reset();
  discovery_->stop();
  for (auto& [id, p] : locations_) run_in_thread(p, [server = p.server] { delete server; });
  for (auto& thread : threads_) thread->stop();
}

std::string FakeServers::discovery_address() const { return fmt::format("127.0.0.1:{}", discovery_->port()); }
std::string FakeServers::discovery_address_of(int node) const {
  return fmt::format("127.0.0.1:{}", discovery_->port_of(node));
}
std::string FakeServers::control_address() const {
  return fmt::format("127.0.0.1:{}", control_server_->port());
}

void FakeServers::run_in_thread(const ServerLocation& location, const std::function<void()>& call) const {
  location.thread->call(call);
}

void FakeServers::add_server(int shard_group, bool primary, bool is_warming_up, bool announces_start) {
  int number = ++last_server_numbers_[shard_group];
  auto id = fmt::format("s{}-{}", shard_group, number);
  ServerLocation p;
  p.shard_group = shard_group;
  p.thread = threads_[static_cast<std::size_t>(shard_group) % threads_.size()].get();
  auto seed = options_.seed * 1000003 + static_cast<std::uint64_t>(shard_group) * 1009 +
              static_cast<std::uint64_t>(number);
  int port = 0;
  run_in_thread(p, [&] {
    p.server = new DataServer(*this, *p.thread, id, shard_group, seed, primary);
    if (is_warming_up) p.server->model.restart(p.thread->loop().now());
    p.server->listen(free_port());  // the port must still be free when the server restarts at it
    port = p.server->port;
  });
  locations_[id] = p;
  if (primary) primaries_[shard_group] = id;
  auto zone = options_.zones[static_cast<std::size_t>(number - 1) % options_.zones.size()];
  locations_[id].zone = zone;
  json entry = {{"instanceId", id},
                {"hostPort", options_.advertised_address ? options_.advertised_address(zone, port)
                                                         : fmt::format("127.0.0.1:{}", port)},
                {"zone", zone},
                {"cell", shard_group},
                {"lifecycle", "up"},
                {"weight", 1.0},
                {"startedAtMs", is_warming_up && announces_start ? unix_ms_at(net::monotonic_now()) : 0}};
  discovery_->call([&] { discovery_->update(entry); });
}

const FakeServers::ServerLocation& FakeServers::location_of(const json& action) const {
  auto id = action.value("server", "");
  auto it = locations_.find(id);
  if (it == locations_.end()) throw std::invalid_argument("unknown server '" + id + "'");
  return it->second;
}

// Sets the replication lag of each replica by its distance from the zone of the primary.
void FakeServers::apply_zone_lag(int shard_group) {
  if (!options_.lag_between) return;
  auto& primary = locations_.at(primaries_.at(shard_group));
  for (auto& [id, p] : locations_) {
    if (p.shard_group != shard_group) continue;
    auto lag = options_.model.lag + options_.lag_between(primary.zone, p.zone);
    run_in_thread(p, [&, server = p.server] { server->model.set_lag(lag, server->unix_ms()); });
  }
}

void FakeServers::control(const json& action) {
  // An action with a zone and no server applies to all servers of the zone, one after another.
  if (action.contains("zone") && !action.contains("server")) {
    std::vector<std::string> all;
    {
      std::lock_guard lock(mutex_);
      for (auto& [id, p] : locations_)
        if (p.zone == action.at("zone")) all.push_back(id);
    }
    if (all.empty()) throw std::invalid_argument("no server in that zone");
    for (auto& id : all) {
      auto one = action;
      one.erase("zone");
      one["server"] = id;
      control(one);
    }
    return;
  }
  std::lock_guard lock(mutex_);
  auto what = action.value("do", "");
  auto set_server_state = [&](ServerState to) {
    auto& p = location_of(action);
    run_in_thread(p, [&] { p.server->model.set_state(to); });
  };
  auto set_lifecycle = [&](const std::string& id, const std::string& lifecycle,
                           std::optional<std::int64_t> started = {}) {
    discovery_->call([&] {
      auto entry = discovery_->entry(id);
      entry["lifecycle"] = lifecycle;
      if (started) entry["startedAtMs"] = *started;
      discovery_->update(entry);
    });
  };
  auto id = action.value("server", "");
  if (what == "drain") {  // finishes its requests and accepts those that arrive within the grace period
    location_of(action);
    set_lifecycle(id, "draining");
  } else if (what == "refuse") {
    set_server_state(ServerState::kDraining);
  } else if (what == "up") {
    set_server_state(ServerState::kUp);
    set_lifecycle(id, "up");
  } else if (what == "list-up") {  // ends a drain; the state of the server does not change
    location_of(action);
    set_lifecycle(id, "up");
  } else if (what == "remove") {
    location_of(action);
    set_lifecycle(id, "removed");
  } else if (what == "kill") {
    auto& p = location_of(action);
    run_in_thread(p, [&] {
      p.server->model.set_state(ServerState::kDown);
      p.server->shut_down();
    });
  } else if (what == "start") {  // after a kill: at the same address, warming up
    auto& p = location_of(action);
    run_in_thread(p, [&] {
      p.server->model.set_state(ServerState::kUp);
      p.server->model.restart(p.server->now());
      p.server->listen(p.server->port);
    });
    set_lifecycle(id, "up", unix_ms_at(net::monotonic_now()));
  } else if (what == "silence") {
    set_server_state(ServerState::kUnresponsive);
  } else if (what == "speak") {
    set_server_state(ServerState::kUp);
  } else if (what == "slow") {
    auto& p = location_of(action);
    auto times = read_number(action, "times", 1.0, 0.01, 1e4);
    run_in_thread(p, [&] { p.server->model.set_slowdown(times); });
  } else if (what == "fail") {
    auto& p = location_of(action);
    auto share = read_number(action, "share", 0.0, 0, 1);
    run_in_thread(p, [&] { p.server->model.set_failure_rate(share); });
  } else if (what == "lag") {
    auto& p = location_of(action);
    auto lag = read_millis(action, "ms", Micros(0));
    run_in_thread(p, [&] { p.server->model.set_lag(lag, p.server->unix_ms()); });
  } else if (what == "add") {
    add_server(read_number(action, "set", 1, 1, options_.shard_groups), false, action.value("cold", true),
               action.value("told", true));
  } else if (what == "handover") {
    auto& to = location_of(action);
    auto& from = locations_.at(primaries_.at(to.shard_group));
    if (from.server == to.server) throw std::invalid_argument(id + " is the primary");
    run_in_thread(from, [&] { from.server->model.set_primary(false, from.server->unix_ms()); });
    auto gap = read_millis(action, "gap_ms", options_.handover_gap);
    run_in_thread(to, [&] {
      auto* server = to.server;
      to.thread->loop().at(to.thread->loop().now() + gap,
                           [server] { server->model.set_primary(true, server->unix_ms()); });
    });
    primaries_[to.shard_group] = id;
    apply_zone_lag(to.shard_group);
  } else if (what == "discovery") {
    bool is_unresponsive = action.value("mute", false);
    discovery_->call([&] { discovery_->is_unresponsive = is_unresponsive; });
  } else {
    throw std::invalid_argument("unknown action '" + what + "'");
  }
}

std::vector<std::string> FakeServers::servers() const {
  std::lock_guard lock(mutex_);
  std::vector<std::string> all;
  for (auto& [id, p] : locations_) all.push_back(id);
  return all;
}

std::map<std::string, ServerCounters> FakeServers::counters() {
  std::lock_guard lock(mutex_);
  std::map<std::string, ServerCounters> all;
  for (auto& [id, p] : locations_)
    run_in_thread(p, [&, id = id, server = p.server] {
      all[id] = server->counters;
      all[id].overloads = server->model.overloads();
    });
  return all;
}

std::vector<double> FakeServers::thread_cpu_seconds() {
  std::vector<double> all;
  for (auto& thread : threads_) {
    double seconds = 0;
    thread->call([&] { seconds = testbench::thread_cpu_seconds(); });
    all.push_back(seconds);
  }
  return all;
}

std::map<std::int64_t, std::uint64_t> FakeServers::list_calls_by_second() {
  std::map<std::int64_t, std::uint64_t> all;
  discovery_->call([&] { all = discovery_->calls_by_second; });
  return all;
}

json FakeServers::members() {
  json list;
  discovery_->call([&] { list = discovery_->list(std::nullopt); });
  return list;
}

json FakeServers::report() {
  json servers = json::object(), violations = json::array();
  for (auto& [id, f] : counters())
    servers[id] = {{"requests", f.requests},       {"probes", f.probes},
                   {"turned_away", f.rejected},    {"not_primary", f.not_primary},
                   {"too_old", f.too_old},         {"malformed", f.malformed},
                   {"connections", f.connections}, {"most_connections", f.max_connections},
                   {"opened", f.opened},           {"falls", f.overloads}};
  for (auto& b : invariants_.violations())
    violations.push_back({{"rule", name_of(b.invariant)}, {"count", b.count}, {"first", b.first}});
  std::uint64_t calls = 0, full_list_calls = 0, rejected_calls = 0;
  discovery_->call([&] {
    calls = discovery_->calls, full_list_calls = discovery_->full_list_calls,
    rejected_calls = discovery_->rejected_calls;
  });
  return {{"servers", servers},
          {"breaches", violations},
          {"drain_last_send_ms", invariants_.drain_last_send_ms()},
          {"list_calls", calls},
          {"whole_list_calls", full_list_calls},
          {"list_refused", rejected_calls}};
}

}  // namespace database_proxy::testbench
