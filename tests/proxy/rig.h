// Test fixture of the network tests: a proxy in its own thread, with the data servers, the discovery service
// and the clients that it talks to, on 127.0.0.1 and ports that the system assigns. Each test sets the
// function that determines a server's answers. The fixture generates no load.
#pragma once

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <condition_variable>
#include <cstring>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "app/config.h"
#include "net/socket.h"
#include "pg/message.h"
#include "proxy/proxy.h"

namespace database_proxy::test {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

// The protocol's limits are this much longer on sockets.
constexpr auto kSocketSlack = 50ms;

inline std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Waits until `condition` holds and returns true; returns false after a timeout that only a fault can exceed.
inline bool eventually(const std::function<bool()>& condition, Clock::duration timeout = 8s) {
  for (auto end = Clock::now() + timeout; Clock::now() < end; std::this_thread::sleep_for(2ms))
    if (condition()) return true;
  return condition();
}

// A blocking socket, with a buffer of bytes that were received and not yet parsed.
class Peer {
 public:
  explicit Peer(int fd) : fd_(fd) {
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &kReceiveTimeout, sizeof kReceiveTimeout);
  }
  // `receive_buffer`: its size in bytes; 0: the system's.
  static Peer connect_to(int port, int receive_buffer = 0) {
    auto address = *net::parse_address("127.0.0.1:" + std::to_string(port));
    int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);  // not inherited by processes that the test starts
    if (receive_buffer > 0) setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address.storage), address.length) == 0);
    return Peer(fd);
  }
  int fd() const { return fd_.get(); }
  bool send(std::string_view bytes) {
    while (!bytes.empty()) {
      auto n = ::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (n <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
  }
  bool receive() {  // returns false at the end of the connection, on an error or on a timeout
    char chunk[65536];
    auto n = recv(fd_.get(), chunk, sizeof chunk, 0);
    if (n <= 0) return false;
    received.append(chunk, static_cast<std::size_t>(n));
    return true;
  }
  // Receives the next message and returns its type and body; type 0 if there is none.
  std::pair<char, std::string> next_message() {
    pg::Frame frame;
    while (pg::parse_frame(received, 1 << 22, &frame) != pg::ParseStatus::kOk)
      if (!receive()) return {};
    std::pair<char, std::string> result{frame.type, std::string(frame.body)};
    received.erase(0, frame.size);
    return result;
  }
  void close() { fd_.reset(); }
  std::string received;

 private:
  static constexpr timeval kReceiveTimeout{10, 0};
  net::Fd fd_;
};

// Accepts connections on its own port and serves each in a thread. The destructor shuts all of them down.
class TestListener {
 public:
  // `receive_buffer`: the size in bytes of each connection's receive buffer; 0: the system's.
  explicit TestListener(std::function<void(Peer&)> serve, int receive_buffer = 0) : serve_(std::move(serve)) {
    int error = 0;
    fd_ = net::listen_on(*net::parse_address("127.0.0.1:0"), &error);
    REQUIRE(fd_);
    if (receive_buffer > 0)
      setsockopt(fd_.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    accept_thread_ = std::thread([this] {
      while (!stop_) {
        pollfd p{fd_.get(), POLLIN, 0};
        poll(&p, 1, 10);
        net::Fd fd(accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC));
        if (!fd) continue;
        std::lock_guard lock(mutex_);
        connection_fds_.push_back(fd.get());
        connection_threads_.emplace_back([this, connection = std::move(fd)]() mutable {
          Peer peer(dup(connection.get()));
          serve_(peer);
          shutdown(connection.get(), SHUT_RDWR);
        });
      }
    });
  }
  ~TestListener() {
    stop_ = true;
    accept_thread_.join();
    for (int fd : connection_fds_) shutdown(fd, SHUT_RDWR);
    for (auto& t : connection_threads_) t.join();
  }
  int port() const { return net::local_port(fd_.get()); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }

 private:
  std::function<void(Peer&)> serve_;
  net::Fd fd_;
  std::atomic<bool> stop_{false};
  std::mutex mutex_;
  std::vector<int> connection_fds_;
  std::vector<std::thread> connection_threads_;
  std::thread accept_thread_;
};

// Answer of a fake data server to one statement.
struct Reply {
  // kRaw: `text` unchanged and nothing else. kTrailingBytes: a valid row "value", directly followed by
  // `text`.
  enum Kind { kRow, kError, kNoAnswer, kReset, kTruncated, kRaw, kTrailingBytes } kind = kRow;
  std::string text = "value";  // value of the row, or code of the error
  std::int64_t position = 0;   // commit position as Unix time in ms; 0: the current time
  // The answer is written in this number of pieces, evenly over this time. With kNoAnswer, the last piece is
  // never written.
  int pieces = 1;
  std::chrono::milliseconds over{0};
};

// Returns the messages of a result with one row of one column.
inline std::string row(const std::string& value) {
  std::string body("\0\1", 2);
  for (int shift = 24; shift >= 0; shift -= 8)
    body.push_back(static_cast<char>(value.size() >> shift & 0xff));
  body += value;
  auto message = [](char type, const std::string& inner) {
    auto framed = pg::simple_query(inner);  // same framing, but with a terminating NUL, which is removed
    framed.pop_back();
    framed[0] = type;
    auto length = inner.size() + 4;
    for (int i = 0; i < 4; ++i) framed[1 + i] = static_cast<char>(length >> (24 - 8 * i) & 0xff);
    return framed;
  };
  std::string column("\0\1content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\1", 28);
  return message('T', column) + message('D', body) + pg::command_complete("SELECT 1");
}

// A fake data server, primary or replica; `reply` determines its answers.
class Server {
 public:
  explicit Server(bool primary) : primary_(primary), listener_([this](Peer& peer) { serve(peer); }) {}
  ~Server() { hold_greeting = false; }

  std::function<Reply(const std::string&)> reply = [](const std::string&) { return Reply{}; };
  std::atomic<int> connections{0}, open_connections{0}, in_flight{0}, max_in_flight{0}, probes{0};
  std::atomic<std::int64_t> position{0};  // commit position in probes and answers, in ms; 0: the current time
  std::atomic<int> unanswered{0};         // requests left without an answer whose connections are still open
  std::atomic<bool> hold_greeting{false};  // while true, new connections are accepted but get no greeting
  std::atomic<int> greetings_sent{0}, answers_sent{0};  // numbers of greetings and answers written
  std::atomic<bool> rejects_connections{false};         // at its connection limit: rejects each new one
  std::string address() const { return listener_.address(); }
  std::vector<std::string> statements() {
    std::lock_guard lock(mutex_);
    return statements_;
  }
  std::size_t count() { return statements().size(); }

 private:
  void serve(Peer& peer) {
    ++connections;
    ++open_connections;
    session(peer);
    --open_connections;
  }
  void session(Peer& peer) {
    pg::FirstMessage first;
    while (pg::parse_first_message(peer.received, &first) != pg::ParseStatus::kOk)
      if (!peer.receive()) return;
    peer.received.erase(0, first.size);
    if (rejects_connections) {
      peer.send(pg::error_response("FATAL", "53300", "too many connections"));
      return;
    }
    while (hold_greeting) std::this_thread::sleep_for(1ms);
    peer.send(pg::greeting(1, 2));
    ++greetings_sent;
    while (true) {
      auto [type, body] = peer.next_message();
      if (type != 'Q') return;
      body.pop_back();
      if (body == "SHOW usage") {
        ++probes;
        peer.send(row("x0=" + std::to_string(current_position() / 1000.0) + ",x1=" + (primary_ ? "1" : "0")) +
                  pg::ready_for_query());
        continue;
      }
      {
        std::lock_guard lock(mutex_);
        statements_.push_back(body);
      }
      max_in_flight = std::max(max_in_flight.load(), ++in_flight);
      auto r = !primary_ && body.starts_with("INSERT") ? Reply{Reply::kError, "25006", 0} : reply(body);
      --in_flight;
      if (r.kind == Reply::kNoAnswer) {
        if (r.pieces > 1) send_in_pieces(peer, row(r.text), r.pieces, r.pieces - 1, r.over);
        ++unanswered;
        while (peer.receive()) {
        }
        --unanswered;
        return;
      }
      if (r.kind == Reply::kReset) return;
      if (r.kind == Reply::kRaw) {
        peer.send(r.text);
        continue;
      }
      if (r.kind == Reply::kTruncated) {  // the first half of the row, then the connection ends
        auto complete = row(r.text);
        peer.send(complete.substr(0, complete.size() / 2));
        return;
      }
      auto parameter = [](const std::string& name, const std::string& value) {
        auto framed = pg::command_complete(name + '\0' + value);
        framed[0] = 'S';
        return framed;
      };
      std::string trailing = r.kind == Reply::kTrailingBytes ? std::exchange(r.text, "value") : "";
      std::string answer = r.kind != Reply::kError ? row(r.text) : pg::error_response("ERROR", r.text, "no");
      answer += parameter("server_role", primary_ ? "writer" : "reader") +
                parameter("commit_clock", std::to_string(r.position ? r.position : current_position())) +
                pg::ready_for_query() + trailing;
      send_in_pieces(peer, answer, r.pieces, r.pieces, r.over);
      ++answers_sent;
    }
  }
  std::int64_t current_position() const {
    auto fixed = position.load();
    return fixed != 0 ? fixed : unix_ms();
  }
  // Sends the first `count` of `pieces` equal parts; all of them would take the time `over`.
  static void send_in_pieces(Peer& peer, const std::string& bytes, int pieces, int count,
                             std::chrono::milliseconds over) {
    for (int i = 0; i < count; ++i) {
      if (i > 0) std::this_thread::sleep_for(over / (pieces - 1));
      auto begin = bytes.size() * i / pieces, end = bytes.size() * (i + 1) / pieces;
      if (!peer.send(std::string_view(bytes).substr(begin, end - begin))) return;
    }
  }

  bool primary_;
  std::mutex mutex_;
  std::vector<std::string> statements_;
  TestListener listener_;
};

// A fake discovery service: returns the endpoint list if it is newer than the caller's version, and otherwise
// waits a short time for a newer one.
class Discovery {
 public:
  Discovery() : listener_([this](Peer& peer) { serve(peer); }) {}
  std::string address() const { return listener_.address(); }
  void set(const std::string& instances) {
    std::lock_guard lock(mutex_);
    instances_ = instances;
    ++generation_;
  }
  std::string list() {
    std::lock_guard lock(mutex_);
    return "{\"generation\":" + std::to_string(generation_) + ",\"reset\":true,\"instances\":[" + instances_ +
           "]}";
  }
  // calls_to_cut, calls_to_reject: number of next calls that end with the connection closed, or with a 503.
  // full_list_calls: number of calls for the full list.
  std::atomic<int> calls{0}, calls_to_cut{0};
  std::atomic<int> calls_to_reject{0}, full_list_calls{0};
  std::atomic<bool> unresponsive{false};  // calls get no answer
  // Stops answering on the connections that are open now, for good; new connections are served.
  void stop_answering_open_connections() { ++epoch_; }
  std::atomic<int> answer_delay_ms{0};  // from a call, or the end of its wait, to its answer
  std::atomic<int> write_over_ms{0};    // answers are written evenly over this time
  std::atomic<int> answers_to_stop{0};  // number of next answers that stop half way, with the connection open
  std::atomic<bool> trickle{false};     // answers are sent at one byte each 20 ms and never end

 private:
  void serve(Peer& peer) {
    auto epoch = epoch_.load();
    while (true) {
      while (peer.received.find("\r\n\r\n") == std::string::npos)
        if (!peer.receive()) return;
      int after = -1;
      if (auto at = peer.received.find("after="); at != std::string::npos)
        after = std::atoi(&peer.received[at + 6]);
      peer.received.clear();
      ++calls;
      full_list_calls += after < 0;
      while (unresponsive || epoch != epoch_)
        if (!peer.receive()) return;
      if (trickle) peer.send("HTTP/1.1 200 OK\r\nX-Padding: ");
      while (trickle) {
        if (!peer.send("a")) return;
        std::this_thread::sleep_for(20ms);
      }
      if (calls_to_reject > 0) {
        --calls_to_reject;
        peer.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      if (calls_to_cut > 0) {
        --calls_to_cut;
        return;
      }
      auto newer = [&] {
        std::lock_guard lock(mutex_);
        return generation_ > after;
      };
      std::string body = eventually(newer, 200ms) ? list()
                                                  : "{\"generation\":" + std::to_string(after) +
                                                        ",\"reset\":false,\"instances\":[]}";
      std::this_thread::sleep_for(std::chrono::milliseconds(answer_delay_ms));
      if (answer_delay_ms > 0 && after < 0) body = list();
      if (epoch != epoch_) continue;
      auto answer = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
      if (!write(peer, answer)) return;
    }
  }
  bool write(Peer& peer, const std::string& answer) {
    constexpr std::size_t kPieces = 30;
    bool is_stopped = answers_to_stop > 0 && answers_to_stop-- > 0;
    if (write_over_ms == 0 && !is_stopped) return peer.send(answer);
    for (std::size_t i = 0; i < (is_stopped ? kPieces / 2 : kPieces); ++i) {
      auto begin = answer.size() * i / kPieces, end = answer.size() * (i + 1) / kPieces;
      if (!peer.send(std::string_view(answer).substr(begin, end - begin))) return false;
      std::this_thread::sleep_for(std::chrono::milliseconds(write_over_ms) / kPieces);
    }
    while (is_stopped && peer.receive()) {
    }
    return !is_stopped;
  }

  std::atomic<int> epoch_{0};
  std::mutex mutex_;
  std::string instances_;
  int generation_ = 1;
  TestListener listener_;
};

// Returns an entry of the endpoint list as JSON, for shard group 2.
inline std::string endpoint_entry(const std::string& id, const Server& server,
                                  const std::string& lifecycle = "up") {
  return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + server.address() +
         "\",\"zone\":\"a\",\"cell\":2,\"lifecycle\":\"" + lifecycle + "\",\"startedAtMs\":0}";
}

// Returns the proxy's configuration as JSON; `extra` is appended to the members of "settings".
inline std::string config_text(const std::string& discovery, const std::string& known,
                               const std::string& extra = "") {
  return R"({"name":"t","listen":"127.0.0.1:0","discovery":")" + discovery +
         R"(","seed":"1f","limits":{"sockets":200},"known":)" + known + R"(,"settings":{
    "RequestClasses":[
      {"Name":"browse","Effect":"pure","TargetMs":500.0,"DeadlineMs":2000.0,"Importance":3.0},
      {"Name":"own-view","Effect":"pure","TargetMs":500.0,"DeadlineMs":2000.0,"Importance":1.0},
      {"Name":"book","Effect":"token","Group":"cell","KeyTtlMs":5000.0,"TargetMs":1200.0,"DeadlineMs":5000.0,
       "Importance":6.0,"LateShare":0.7}],
    "FamilyInfo":{"Behind":"reject","ReadLevel":["recent","own_writes","update"],"OldestDataMs":[300.0,0.0,0.0],
      "Positions":true,"WriteMarks":"client","ShowsRole":"off"},
    "Report":{"How":"on_probe","Fields":["x0","x1","rif"]},"Orgs":[],"Zone":"a","NInstances":1,"StepMs":5.0,
    "Limits":{"Probes":true,"Cancel":true,"RetryAfter":true,"SecondCopies":false,"MaxAttempts":8,
      "MaxRetryAfterMs":1000.0,"ConnectTimeoutMs":250.0,"KeepaliveMs":30000.0},
    "Guarantees":{"AnswerSlackMs":20.0,"DrainGraceMs":1000.0,"FallMs":1500.0,"WarmUpMs":18000.0,
      "ColdShare":0.17,"TipMultiple":3.0})" +
         extra + "}}";
}

// Answer that a client received for one statement.
struct Answer {
  char end = 0;  // 'Z' (ReadyForQuery), or 0 if the connection ended first
  bool row = false;
  std::string value, code, detail, tag;
};

// Returns a CancelRequest; `key` is the key data that the session to cancel received at its start.
inline std::string cancel_request(const std::string& key) {
  return std::string("\0\0\0\x10\x04\xd2\x16\x2e", 8) + key;
}

// A blocking client of the proxy.
class Client : public Peer {
 public:
  explicit Client(int port, bool start_session = true, int receive_buffer = 0)
      : Peer(Peer::connect_to(port, receive_buffer)) {
    if (!start_session) return;
    send(pg::startup_message("backend", "store"));
    REQUIRE(answer().end == 'Z');
  }
  // Starts the session of a client that was constructed without one; returns its key for a CancelRequest.
  std::string start() {
    std::string key;
    send(pg::startup_message("backend", "store"));
    for (auto [type, body] = next_message(); type != 'Z' && type != 0; std::tie(type, body) = next_message())
      if (type == 'K') key = body;
    REQUIRE(key.size() == 8);
    return key;
  }
  Answer answer() {
    Answer a;
    while (true) {
      auto [type, body] = next_message();
      if (type == 0) return a;
      if (type == 'Z') {
        a.end = 'Z';
        return a;
      }
      if (type == 'D') {
        auto value = pg::parse_single_column(body);
        a.row = value.has_value();
        a.value = value.value_or("");
      }
      if (type == 'C') a.tag = body.c_str();
      if (type == 'I') a.tag = "empty";
      if (type != 'E') continue;
      auto fields = pg::parse_error(body);
      REQUIRE(fields);
      a.code = fields->code;
      a.detail = fields->detail;
    }
  }
  Answer query(const std::string& sql) {
    send(pg::simple_query(sql));
    return answer();
  }
};

// Return a read and a write of shard group 2; `d` is the client's timeout in milliseconds.
inline std::string read_sql(const std::string& id, int d = 1500, const std::string& rest = "") {
  return "SELECT content FROM kv WHERE name = 'k1' /* id=" + id + ",c=browse,d=" + std::to_string(d) +
         ",cluster=2" + rest + " */";
}
inline std::string write_sql(const std::string& id, int d = 1500) {
  return "INSERT INTO kv (name, content) VALUES ('k1', '\\x9f03') RETURNING content /* id=" + id +
         ",c=book,d=" + std::to_string(d) + ",k=77,cluster=2 */";
}

// Returns a write of a value of `bytes` bytes.
inline std::string long_write_sql(const std::string& id, const std::string& name, std::size_t bytes, int d) {
  std::string digits;
  for (std::size_t i = 0; i < bytes; ++i) digits += "ab";
  return "INSERT INTO kv (name, content) VALUES ('" + name + "', '\\x" + digits +
         "') RETURNING content /* id=" + id + ",c=book,d=" + std::to_string(d) + ",k=" + id + ",cluster=2 */";
}

// A shard group of one primary and one replica, a discovery service, and a proxy in its own thread.
struct ProxyFixture {
  explicit ProxyFixture(
      std::size_t descriptors = 200, const std::string& extra = "", bool unresponsive_discovery = false,
      const std::function<void(app::Config&)>& adjust = [](app::Config&) {}) {
    discovery.unresponsive = unresponsive_discovery;
    discovery.set(endpoint_entry("s-p", primary) + "," + endpoint_entry("s-r", replica));
    config = app::parse_config(config_text(discovery.address(), discovery.list(), extra));
    config.sockets = descriptors;
    adjust(config);
    std::promise<int> started;
    wake_up_fd_ = net::Fd(eventfd(0, EFD_NONBLOCK));
    thread_ = std::thread([this, &started] {
      net::Loop loop;
      routing::DecisionFacade facade(config.settings, config.seed, routing::UnixClock::measured(),
                                     [](const std::string&) {});
      proxy::ProxyOptions options;
      options.listen = config.listen;
      options.discovery = config.discovery;
      options.descriptors = config.sockets;
      options.memory = config.memory;
      options.pool = config.pool;
      options.known = config.known;
      routing::LocalDecider decider(facade);
      proxy::Proxy proxy(loop, decider, options, [](net::Level, const std::string&) {});
      struct WakeUpHandler : net::Handler {
        std::function<void()> call;
        void on_ready(std::uint32_t events) override {
          if (events & EPOLLIN) call();
        }
      } handler;
      handler.call = [&] {
        std::uint64_t count = 0;
        [[maybe_unused]] auto n = read(wake_up_fd_.get(), &count, sizeof count);
        std::function<void(proxy::Proxy&)> action;
        {
          std::lock_guard lock(mutex_);
          action = std::exchange(pending_action_, {});
        }
        if (action) return action(proxy);
        is_graceful ? proxy.shut_down(proxy::ShutdownMode::kLast) : loop.stop();
      };
      loop.add(wake_up_fd_.get(), &handler);
      started.set_value(proxy.port());
      proxy.run();
      ended = true;
      loop.remove(wake_up_fd_.get(), &handler);
    });
    port = started.get_future().get();
  }
  ~ProxyFixture() {
    if (!is_graceful) wake_up();
    thread_.join();
  }
  void wake_up() {
    std::uint64_t one = 1;
    REQUIRE(write(wake_up_fd_.get(), &one, sizeof one) == sizeof one);
  }
  // Runs `action` in the proxy's thread. Returns when that thread has taken it over, possibly before it ends.
  void with_proxy(std::function<void(proxy::Proxy&)> action) {
    {
      std::lock_guard lock(mutex_);
      pending_action_ = std::move(action);
    }
    wake_up();
    REQUIRE(eventually([&] {
      std::lock_guard lock(mutex_);
      return !pending_action_;
    }));
  }
  // Pauses the proxy's event loop during its lifetime: all events of that time are ready in the next
  // iteration.
  class PausedLoop {
   public:
    // `before_pause` runs in the proxy's thread before the pause.
    explicit PausedLoop(
        ProxyFixture& fixture, std::function<void(proxy::Proxy&)> before_pause = [](proxy::Proxy&) {}) {
      auto state = state_;
      fixture.with_proxy([state, before_pause](proxy::Proxy& proxy) {
        before_pause(proxy);
        state->paused.set_value();
        state->released.get_future().wait();
      });
      state->paused.get_future().wait();
    }
    ~PausedLoop() { state_->released.set_value(); }

   private:
    struct State {
      std::promise<void> paused, released;
    };
    std::shared_ptr<State> state_ = std::make_shared<State>();
  };
  void shut_down_gracefully() {
    is_graceful = true;
    wake_up();
  }

  Server primary{true}, replica{false};
  Discovery discovery;
  app::Config config;
  int port = 0;
  std::atomic<bool> is_graceful{false}, ended{false};

 private:
  net::Fd wake_up_fd_;
  std::mutex mutex_;
  std::function<void(proxy::Proxy&)> pending_action_;
  std::thread thread_;
};

}  // namespace database_proxy::test
