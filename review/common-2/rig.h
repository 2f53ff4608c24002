// Stand-ins for the cases of the second review: data servers, discovery, clients, and the process under test.
// One thread for each connection, blocking sockets, loopback addresses only. They follow the protocol page;
// what a case changes is set by its hooks.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace rig {

inline double mono_ms() {
  using namespace std::chrono;
  return duration<double, std::milli>(steady_clock::now().time_since_epoch()).count();
}
inline double unix_ms() {
  using namespace std::chrono;
  return duration<double, std::milli>(system_clock::now().time_since_epoch()).count();
}
inline double started_at() {
  static const double at = mono_ms();
  return at;
}
inline void sleep_ms(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// record.txt: one line for each event, with the milliseconds since the start of the case.
class Record {
 public:
  static Record& get() {
    static Record record;
    return record;
  }
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard lock(mutex_);
    if (!file_) return;
    std::fprintf(file_, "%9.1f ", mono_ms() - started_at());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};
#define RECORD(...) ::rig::Record::get().line(__VA_ARGS__)

[[noreturn]] inline void cannot_run(const std::string& why) {
  RECORD("the case could not run: %s", why.c_str());
  std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
  std::fflush(nullptr);
  _exit(2);
}

inline int listen_on_loopback(int* port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(*port));
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(fd, 512) != 0)
    cannot_run("cannot listen on a loopback port");
  socklen_t length = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  *port = ntohs(address.sin_port);
  return fd;
}

// A port that is free at this moment, for a process that listens on it itself.
inline int free_port() {
  int port = 0;
  close(listen_on_loopback(&port));
  return port;
}

inline int connect_to(int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool write_all(int fd, std::string_view text) {
  while (!text.empty()) {
    ssize_t size = send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    if (size < 0 && errno == EINTR) continue;
    if (size <= 0) return false;
    text.remove_prefix(static_cast<std::size_t>(size));
  }
  return true;
}

// Reads until `done` says that the buffer is enough. Returns false at the end of the stream, a reset, or when
// the time (on mono_ms()) is over.
inline bool read_until(int fd, std::string* buffer, double until_ms, const std::function<bool()>& done) {
  while (!done()) {
    double left = until_ms - mono_ms();
    if (left <= 0) return false;
    pollfd state{fd, POLLIN, 0};
    int ready = poll(&state, 1, static_cast<int>(std::ceil(std::min(left, 1000.0))));
    if (ready < 0 && errno != EINTR) return false;
    if (ready <= 0) continue;
    char chunk[65536];
    ssize_t size = recv(fd, chunk, sizeof chunk, MSG_DONTWAIT);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) continue;
    if (size <= 0) return false;
    buffer->append(chunk, static_cast<std::size_t>(size));
  }
  return true;
}

inline bool has_been_closed(int fd) {
  pollfd state{fd, POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

// PostgreSQL's messages.
inline std::string be32(std::uint32_t value) {
  std::string out(4, '\0');
  for (int i = 0; i < 4; ++i) out[i] = static_cast<char>(value >> (24 - 8 * i) & 0xff);
  return out;
}
inline std::uint32_t get32(std::string_view in) {
  std::uint32_t value = 0;
  for (int i = 0; i < 4; ++i) value = value << 8 | static_cast<unsigned char>(in[i]);
  return value;
}
inline std::string message(char type, std::string_view body) {
  return std::string(1, type) + be32(static_cast<std::uint32_t>(body.size() + 4)) + std::string(body);
}
inline std::string zero(std::string_view text) { return std::string(text) + std::string(1, '\0'); }
inline std::string parameter(std::string_view name, std::string_view value) {
  return message('S', zero(name) + zero(value));
}
inline std::string ready() { return message('Z', "I"); }
inline std::string error(std::string_view code, std::string_view text) {
  return message('E', "S" + zero("ERROR") + "C" + zero(code) + "M" + zero(text) + std::string(1, '\0'));
}
inline std::string row_description() {
  using namespace std::string_literals;
  return message('T', "\0\1"s + zero("content") + "\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\1"s);
}
inline std::string data_row(std::string_view value) {
  using namespace std::string_literals;
  return message('D', "\0\1"s + be32(static_cast<std::uint32_t>(value.size())) + std::string(value));
}
inline std::string row(std::string_view value, std::string_view tag) {
  return row_description() + data_row(value) + message('C', zero(tag));
}
inline std::string startup() {
  std::string body =
      be32(196608) + zero("user") + zero("backend") + zero("database") + zero("store") + std::string(1, '\0');
  return be32(static_cast<std::uint32_t>(body.size() + 4)) + body;
}
inline std::string query(std::string_view text) { return message('Q', zero(text)); }
// The size of the message at the beginning of the buffer; 0: it is not complete.
inline std::size_t frame_size(std::string_view in) {
  if (in.size() < 5) return 0;
  std::size_t size = 1 + get32(in.substr(1));
  return in.size() >= size ? size : 0;
}

// The value of a name in a statement's comment; empty: it is absent.
inline std::string field(const std::string& text, const std::string& name) {
  auto comment = text.rfind("/* ");
  if (comment == std::string::npos) return "";
  for (std::string mark : {" " + name + "=", "," + name + "="}) {
    auto at = text.find(mark, comment);
    if (at == std::string::npos) continue;
    at += mark.size();
    return text.substr(at, text.find_first_of(", ", at) - at);
  }
  return "";
}

struct Request {
  std::string id, request_class, text;
  bool is_write = false;
  double arrived_unix = 0, arrived = 0;  // of its last byte
};

// A data server. `handle` gives the answer to a request; the connection's thread sends it.
class DataServer {
 public:
  struct Answer {
    std::string bytes;  // without ReadyForQuery and parameters where `is_raw`
    bool is_raw = false;
    bool closes = false;  // the connection ends after the answer
  };
  std::string id, zone = "woodbrook";
  int cell = 1;
  int port = 0;
  std::atomic<bool> is_primary{false};
  std::function<Answer(DataServer&, const Request&)> handle;
  std::function<bool(DataServer&, const Request&, int)>
      give;                                    // in place of `handle`: writes the answer itself
  std::function<double()> handshake_delay_ms;  // of the connection that has just come up
  std::function<std::string()> report;         // the answer to SHOW usage
  double idle_close_ms = 0;                    // 0: as long as the proxy keeps it
  std::atomic<int> connections{0}, in_flight{0};
  std::atomic<std::uint64_t> requests{0}, probes{0};

  void start() {
    listener_ = listen_on_loopback(&port);
    std::thread([this] {
      while (true) {
        int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          sleep_ms(5);
          continue;
        }
        int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, fd] {
          ++connections;
          serve(fd);
          close(fd);
          --connections;
        }).detach();
      }
    }).detach();
  }
  std::string parameters(std::optional<double> position_unix_ms = std::nullopt) const {
    auto text = parameter("server_role", is_primary ? "writer" : "reader");
    if (position_unix_ms) {
      char number[40];
      std::snprintf(number, sizeof number, "%.0f", *position_unix_ms);
      text += parameter("commit_clock", number);
    }
    return text;
  }

 private:
  void serve(int fd) {
    std::string in;
    auto has_startup = [&] { return in.size() >= 4 && in.size() >= get32(in); };
    if (!read_until(fd, &in, mono_ms() + 10000, has_startup)) return;
    in.erase(0, get32(in));
    if (handshake_delay_ms) sleep_ms(handshake_delay_ms());
    if (!write_all(fd, message('R', be32(0)) + parameter("server_version", "15.0") +
                           message('K', be32(1) + be32(1)) + ready()))
      return;
    while (true) {
      double wait = idle_close_ms > 0 ? idle_close_ms : 60000;
      if (!read_until(fd, &in, mono_ms() + wait, [&] { return !in.empty(); })) return;
      if (!read_until(fd, &in, mono_ms() + 60000, [&] { return frame_size(in) > 0; })) return;
      Request request;
      request.arrived_unix = unix_ms();
      request.arrived = mono_ms();
      auto size = frame_size(in);
      auto frame = in.substr(0, size);
      in.erase(0, size);
      if (frame[0] == 'X') return;
      if (frame[0] != 'Q') {
        write_all(fd, error("08P01", "no query") + ready());
        return;
      }
      request.text = frame.substr(5, frame.size() - 6);
      if (request.text == "SHOW usage") {
        ++probes;
        auto text = report ? report() : std::string("inflight=0");
        if (!write_all(fd, row(text, "SHOW") + ready())) return;
        continue;
      }
      if (request.text == "SELECT 1") {
        ++probes;
        if (!write_all(fd, row("1", "SELECT 1") + ready())) return;
        continue;
      }
      request.id = field(request.text, "id");
      request.request_class = field(request.text, "c");
      request.is_write = request.text.rfind("INSERT", 0) == 0;
      if (request.id.empty() || (!request.is_write && request.text.rfind("SELECT content", 0) != 0)) {
        RECORD("server %s got a statement that nobody sent: %.100s", id.c_str(), request.text.c_str());
        write_all(fd, error("08P01", "unknown statement") + ready());
        return;
      }
      ++requests;
      ++in_flight;
      RECORD("server %s gets %s (%s, d=%s)", id.c_str(), request.id.c_str(), request.request_class.c_str(),
             field(request.text, "d").c_str());
      if (give) {
        bool goes_on = give(*this, request, fd);
        --in_flight;
        if (!goes_on) return;
        continue;
      }
      auto answer = handle(*this, request);
      --in_flight;
      RECORD("server %s answers %s%s", id.c_str(), request.id.c_str(),
             answer.bytes.compare(0, 1, "E") == 0 ? " with an error: it has not run" : "");
      if (!write_all(fd, answer.is_raw ? answer.bytes : answer.bytes + parameters() + ready())) return;
      if (answer.closes) return;
    }
  }
  int listener_ = -1;
};

struct Entry {
  std::string id, zone, lifecycle = "up", machine = "std-3c";
  int port = 0, cell = 1;
  double started_at_ms = 0;
};

// Discovery's agent: the whole list, and the watch.
class Discovery {
 public:
  int port = 0;
  int indent = 0;              // spaces of a level; 0: none
  double answer_delay_ms = 0;  // from a call, or from the change that ends its wait, to its answer
  bool tells_whole_lists = false;
  std::atomic<int> calls{0}, answers{0};
  std::string name = "discovery";

  explicit Discovery(std::int64_t generation = 41) : generation_(generation) {}
  void set(std::vector<Entry> entries) { entries_ = std::move(entries); }
  void start() {
    listener_ = listen_on_loopback(&port);
    std::thread([this] {
      while (true) {
        int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          if (is_stopped_) return;
          sleep_ms(5);
          continue;
        }
        {
          std::lock_guard lock(mutex_);
          open_.push_back(fd);
        }
        std::thread([this, fd] { serve(fd); }).detach();
      }
    }).detach();
  }
  // The address takes no new connection.
  void stop_listening() {
    is_stopped_ = true;
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
  }
  void close_open() {
    std::lock_guard lock(mutex_);
    for (int fd : open_) shutdown(fd, SHUT_RDWR);
    open_.clear();
  }
  void change(const std::string& id, const std::string& lifecycle) {
    std::lock_guard lock(mutex_);
    ++generation_;
    for (auto& entry : entries_)
      if (entry.id == id) {
        entry.lifecycle = lifecycle;
        changes_[generation_] = entry;
      }
    RECORD("%s: version %lld, %s is %s", name.c_str(), static_cast<long long>(generation_), id.c_str(),
           lifecycle.c_str());
    changed_.notify_all();
  }
  std::string whole_list() {
    std::lock_guard lock(mutex_);
    return list_text(true, entries_, indent);
  }
  std::string known_list() {
    std::lock_guard lock(mutex_);
    return list_text(true, entries_, 0);
  }

 private:
  std::string list_text(bool reset, const std::vector<Entry>& entries, int width) const {
    std::string line = width > 0 ? "\n" : "", colon = width > 0 ? ": " : ":";
    auto pad = [&](int level) { return std::string(static_cast<std::size_t>(level * width), ' '); };
    std::string out = "{" + line + pad(1) + "\"generation\"" + colon + std::to_string(generation_) + "," +
                      line + pad(1) + "\"reset\"" + colon + (reset ? "true" : "false") + "," + line + pad(1) +
                      "\"instances\"" + colon + "[";
    bool is_first = true;
    for (auto& entry : entries) {
      if (reset && entry.lifecycle == "removed") continue;
      char started[40];
      std::snprintf(started, sizeof started, "%.0f", entry.started_at_ms);
      std::vector<std::pair<std::string, std::string>> fields{
          {"instanceId", "\"" + entry.id + "\""},
          {"hostPort", "\"127.0.0.1:" + std::to_string(entry.port) + "\""},
          {"zone", "\"" + entry.zone + "\""},
          {"machineType", "\"" + entry.machine + "\""},
          {"cell", std::to_string(entry.cell)},
          {"lifecycle", "\"" + entry.lifecycle + "\""},
          {"weight", "1.0"},
          {"startedAtMs", started}};
      out += (is_first ? "" : ",") + line + pad(2) + "{";
      is_first = false;
      for (std::size_t i = 0; i < fields.size(); ++i)
        out += (i ? "," : "") + line + pad(3) + "\"" + fields[i].first + "\"" + colon + fields[i].second;
      out += line + pad(2) + "}";
    }
    return out + line + pad(1) + "]" + line + "}";
  }

  void serve(int fd) {
    std::string in;
    while (true) {
      auto has_head = [&] { return in.find("\r\n\r\n") != std::string::npos; };
      if (!read_until(fd, &in, mono_ms() + 120000, has_head)) break;
      auto head = in.substr(0, in.find("\r\n\r\n"));
      in.erase(0, head.size() + 4);
      ++calls;
      auto line = head.substr(0, head.find("\r\n"));
      long long after = -1;
      int wait = 0;
      if (auto at = line.find("after="); at != std::string::npos) after = std::atoll(line.c_str() + at + 6);
      if (auto at = line.find("wait_ms="); at != std::string::npos) wait = std::atoi(line.c_str() + at + 8);
      std::string body;
      {
        std::unique_lock lock(mutex_);
        if (after >= 0)
          changed_.wait_for(lock, std::chrono::milliseconds(wait), [&] { return generation_ > after; });
        lock.unlock();
        sleep_ms(answer_delay_ms);
        lock.lock();
        if (after < 0 || (tells_whole_lists && generation_ > after)) {
          body = list_text(true, entries_, indent);
        } else {
          std::vector<Entry> changed;
          for (auto& [version, entry] : changes_)
            if (version > after) changed.push_back(entry);
          body = list_text(false, changed, indent);
        }
      }
      auto answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body;
      RECORD("%s: '%s' is answered with %zu bytes", name.c_str(), line.c_str(), body.size());
      if (!write_all(fd, answer)) break;
      ++answers;
    }
    std::lock_guard lock(mutex_);
    std::erase(open_, fd);
    close(fd);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::int64_t generation_;
  std::vector<Entry> entries_;
  std::map<std::int64_t, Entry> changes_;
  std::vector<int> open_;
  std::atomic<bool> is_stopped_{false};
  int listener_ = -1;
};

// A client's connection, which carries one request at a time.
class Client {
 public:
  struct Result {
    enum Kind { kServed, kRefused, kFailed, kClosed, kNoAnswer } kind = kNoAnswer;
    std::string value, code;
    double took_ms = 0;
  };
  static const char* name_of(Result::Kind kind) {
    static const char* names[] = {"served", "refused", "failed", "closed", "no answer"};
    return names[kind];
  }
  ~Client() { disconnect(); }
  bool is_connected() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  // When the first byte of the last answer's value was here.
  double value_began_at() const { return value_began_at_; }
  void disconnect() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
    in_.clear();
  }
  bool connect(int port) {
    disconnect();
    fd_ = connect_to(port);
    if (fd_ < 0) return false;
    if (!write_all(fd_, startup()) || !read_to_ready(mono_ms() + 3000, nullptr)) {
      disconnect();
      return false;
    }
    return true;
  }
  Result ask(const std::string& text, double wait_ms) {
    double sent = mono_ms();
    Result result;
    if (fd_ < 0 || !write_all(fd_, query(text))) {
      result.kind = Result::kClosed;
      disconnect();
      return result;
    }
    auto id = field(text, "id");
    RECORD("client sends %s", id.c_str());
    bool is_complete = read_to_ready(sent + wait_ms, &result);
    result.took_ms = mono_ms() - sent;
    RECORD("client gets for %s: %s %s after %.1f ms", id.c_str(), name_of(result.kind), result.code.c_str(),
           result.took_ms);
    if (!is_complete) disconnect();
    return result;
  }

 private:
  // Reads messages up to ReadyForQuery.
  bool read_to_ready(double until, Result* result) {
    bool has_row = false, has_complete = false;
    value_began_at_ = 0;
    while (true) {
      auto has_frame = [&] {
        if (value_began_at_ == 0 && in_.size() > 11 && in_[0] == 'D') value_began_at_ = mono_ms();
        return frame_size(in_) > 0;
      };
      if (!read_until(fd_, &in_, until, has_frame)) {
        if (result) result->kind = mono_ms() >= until ? Result::kNoAnswer : Result::kClosed;
        return false;
      }
      auto size = frame_size(in_);
      auto frame = in_.substr(0, size);
      in_.erase(0, size);
      if (frame[0] == 'D' && result && frame.size() >= 11) {
        has_row = true;
        result->value = frame.substr(11);
      }
      if (frame[0] == 'C') has_complete = true;
      if (frame[0] == 'E' && result) {
        auto at = frame.find(std::string("\0C", 2), 5);
        if (at != std::string::npos) result->code = frame.c_str() + at + 2;
        bool is_refusal = result->code == "53300" || result->code == "57P03";
        result->kind = is_refusal ? Result::kRefused : Result::kFailed;
      }
      if (frame[0] != 'Z') continue;
      if (result && result->code.empty() && has_row && has_complete) result->kind = Result::kServed;
      return true;
    }
  }
  int fd_ = -1;
  std::string in_;
  double value_began_at_ = 0;
};

inline std::string new_id() {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  std::lock_guard lock(mutex);
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

inline std::string read_statement(const std::string& id, const std::string& request_class, int wait_ms,
                                  int cell, const std::string& key) {
  return "SELECT content FROM kv WHERE name = '" + key + "' /* id=" + id + ",c=" + request_class +
         ",d=" + std::to_string(wait_ms) + ",cluster=" + std::to_string(cell) + " */";
}
inline std::string write_statement(const std::string& id, const std::string& request_class, int wait_ms,
                                   int cell, const std::string& key, const std::string& idempotency_key) {
  return "INSERT INTO kv (name, content) VALUES ('" + key + "', '\\x9f03') RETURNING content /* id=" + id +
         ",c=" + request_class + ",d=" + std::to_string(wait_ms) + ",k=" + idempotency_key +
         ",cluster=" + std::to_string(cell) + " */";
}

// The process under test, started as the deploy file says.
class Proxy {
 public:
  pid_t pid = 0;
  int port = 0;
  std::string name;
  std::map<std::string, std::string> environment;
  int inherited_listener = -1;  // becomes descriptor 7

  void start(const std::string& command, const std::string& log_path) {
    pid = fork();
    if (pid < 0) cannot_run("fork failed");
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      setpgid(0, 0);
      for (int signal_number : {SIGTERM, SIGINT, SIGHUP, SIGPIPE}) signal(signal_number, SIG_DFL);
      int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      if (inherited_listener >= 0) dup2(inherited_listener, 7);
      for (auto& [key, value] : environment) setenv(key.c_str(), value.c_str(), 1);
      execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
      _exit(127);
    }
    RECORD("%s is started as process %d", name.c_str(), static_cast<int>(pid));
  }
  bool has_ended() {
    if (pid <= 0) return true;
    int status = 0;
    if (waitpid(pid, &status, WNOHANG) != pid) return false;
    RECORD("%s has ended with status 0x%x", name.c_str(), status);
    pid = 0;
    return true;
  }
  void end() {
    if (pid <= 0) return;
    kill(-pid, SIGKILL);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    pid = 0;
  }
  ~Proxy() { end(); }
  // Waits until it has answered an empty query, as the front does.
  bool wait_until_ready(double ms) {
    double until = mono_ms() + ms;
    while (mono_ms() < until && !has_ended()) {
      int fd = connect_to(port);
      if (fd >= 0) {
        std::string in;
        write_all(fd, startup() + query(""));
        bool is_ready = read_until(fd, &in, std::min(until, mono_ms() + 1000),
                                   [&] { return in.find(message('I', "")) != std::string::npos; });
        close(fd);
        if (is_ready) {
          RECORD("%s is ready", name.c_str());
          return true;
        }
      }
      sleep_ms(20);
    }
    return false;
  }
};

inline std::string environment_or(const char* name, const std::string& otherwise) {
  const char* value = std::getenv(name);
  return value && *value ? value : otherwise;
}

inline void write_file(const std::string& path, const std::string& text) {
  auto temporary = path + ".new";
  std::FILE* file = std::fopen(temporary.c_str(), "w");
  if (!file || std::fwrite(text.data(), 1, text.size(), file) != text.size())
    cannot_run("cannot write " + path);
  std::fclose(file);
  if (std::rename(temporary.c_str(), path.c_str()) != 0) cannot_run("cannot write " + path);
}

// Settings like those of the second deployment: positions in probes only, replicas answer from what they
// have, a proxy remembers the writes of its sessions.
inline std::string small_settings() {
  return R"({
"NInstances":3,"Ordinal":0,"Zone":"woodbrook","Zones":["woodbrook","laventille","st-james"],"StepMs":5,
"RegistryMode":"push","CountedBy":"request","Tier":0,"Stages":["roam-db"],"Weights":"off","Kinds":["std-3c"],
"Clients":{"MarksRetry":false},"Family":"replicas","OverShareWorth":0.1,
"RequestClasses":[
{"Name":"usage-view","Effect":"pure","Group":"all","TargetMs":400,"DeadlineMs":1000,"Importance":3,"LateShare":0.2,"KeyTtlMs":3000,"Streaming":false},
{"Name":"own-update-read","Effect":"pure","Group":"all","TargetMs":200,"DeadlineMs":800,"Importance":2,"LateShare":0.2,"KeyTtlMs":3000,"Streaming":false},
{"Name":"tariff-lookup","Effect":"pure","Group":"all","TargetMs":300,"DeadlineMs":1000,"Importance":1,"LateShare":0,"KeyTtlMs":3000,"Streaming":false},
{"Name":"charge-post","Effect":"token","Group":"cell","TargetMs":500,"DeadlineMs":5000,"Importance":3,"LateShare":0.5,"KeyTtlMs":3000,"Streaming":false}],
"FamilyInfo":{"Behind":"off","CommitWaits":false,"CountedFromMs":0,"OldestDataMs":[3000,0,0,0],"PatienceMs":0,"Positions":false,
"ReadLevel":["recent","own_writes","loose","update"],"ShowsRole":"off","WriteMarks":"router"},
"Report":{"Fields":["x0","x1","q","rif"],"How":"on_probe"},
"Limits":{"Cancel":true,"ConnectTimeoutMs":250,"CpuUsPerRequest":0,"CpuUsPerS":500000,"KeepaliveMs":30000,"MaxAttempts":8,"MaxOpen":20000,
"MaxRetryAfterMs":500,"Peers":false,"Probes":true,"RetryAfter":true,"SecondCopies":false,"StreamsPerConn":1},
"Guarantees":{"AnswerSlackMs":20,"ColdShare":0.18,"DrainGraceMs":1000,"FallMs":1000,"MustAskInMs":10000,"TipMultiple":3,"WarmUpMs":16000},
"Goal":{"Whole":0.5,"WorstClass":0.2,"WorstTenant":0,"WorstWindow":0.3},
"Fees":{"Connection":0,"CrossZone":0.04,"Fleet":0,"Handshake":0,"LateFail":0.03,"Moves":0,"Origin":0,"Peer":0,"Probe":0.01,"RegistryMode":0,"Waste":0.03}
})";
}

inline std::string config_text(const std::string& name, int port, int discovery_port,
                               const std::string& known, const std::string& settings, int memory_mb = 64,
                               int sockets = 512) {
  return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + std::to_string(port) +
         "\",\"discovery\":\"127.0.0.1:" + std::to_string(discovery_port) +
         "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" +
         std::to_string(memory_mb) + ",\"sockets\":" + std::to_string(sockets) + "},\n\"known\":" + known +
         ",\n\"settings\":" + settings + "}\n";
}

// What every case has: its folder, a temporary folder, whether the disruption is on.
struct Case {
  std::string folder, temporary, run;
  bool has_trouble = true;

  Case() {
    started_at();
    signal(SIGPIPE, SIG_IGN);
    folder = environment_or("CASE_FOLDER", ".");
    temporary = environment_or("CASE_TMP", "/tmp");
    run = environment_or("CASE_RUN", "exec build/database-proxy serve");
    has_trouble = environment_or("TROUBLE", "1") != "0";
    Record::get().open(folder + "/record.txt");
    RECORD("the disruption is %s; run = %s", has_trouble ? "on" : "off", run.c_str());
  }
  void prepare(Proxy& proxy, const std::string& name, const std::string& config_path, int discovery_port) {
    proxy.name = name;
    proxy.environment = {{"NODE_NAME", name},
                         {"NODE_LISTEN", "127.0.0.1:" + std::to_string(proxy.port)},
                         {"NODE_DISCOVERY", "127.0.0.1:" + std::to_string(discovery_port)},
                         {"NODE_CONFIG", config_path},
                         {"TMPDIR", temporary}};
  }
  [[noreturn]] void finish(Proxy& proxy, bool is_broken, const std::string& verdict) {
    proxy.end();
    RECORD("%s: %s", is_broken ? "BROKEN" : "held", verdict.c_str());
    std::printf("%s: %s\n", is_broken ? "BROKEN" : "held", verdict.c_str());
    std::fflush(nullptr);
    _exit(is_broken ? 1 : 0);
  }
};

}  // namespace rig
