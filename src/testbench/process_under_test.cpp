#include "testbench/process_under_test.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sched.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <mutex>
#include <random>
#include <stdexcept>
#include <thread>

#include "net/fd.h"
#include "net/socket.h"
#include "net/system_errors.h"

namespace database_proxy::testbench {
namespace {

using nlohmann::json;
namespace fs = std::filesystem;

// Returns the content of the file, or an empty string if it cannot be read. A file in /proc can be opened,
// but reading it fails if the process has ended in between.
std::string read_file(const fs::path& path) try {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
} catch (const std::ios_base::failure&) {
  return "";
}

void write_file(const fs::path& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file << text;
  if (!file.flush()) throw std::runtime_error("cannot write " + path.string());
}

int exit_code_of(int status) { return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status); }

// Called in the child process. The platform passes the listening socket by its descriptor number.
void inherit_listening_socket(int listening_socket) {
  constexpr int kInheritedDescriptor = 7;
  dup2(listening_socket, kInheritedDescriptor);
  fcntl(kInheritedDescriptor, F_SETFD, 0);  // dup2 keeps close-on-exec if the socket has this number already
  setenv("NODE_ACCEPT_FD", std::to_string(kInheritedDescriptor).c_str(), 1);
}

// Tells when a child process executes its program. Until then the child holds copies of all descriptors of
// this process, such as the listening sockets of fake servers: one that is stopped that early would keep a
// fake server from listening again.
class ExecNotice {
 public:
  ExecNotice() {
    std::array<int, 2> ends{};
    if (pipe2(ends.data(), O_CLOEXEC) != 0)
      throw std::runtime_error("cannot create a pipe: " + net::message_of(errno));
    read_end_ = net::Fd(ends[0]);
    write_end_ = net::Fd(ends[1]);
  }
  // Called in the parent process. Returns once the child has closed its end, by executing its program or by
  // ending.
  void wait() {
    write_end_.reset();
    char byte = 0;
    while (read(read_end_.get(), &byte, 1) < 0 && errno == EINTR) continue;
  }

 private:
  net::Fd read_end_, write_end_;
};

}  // namespace

// The ports lie below the range that the kernel uses for outgoing connections. Otherwise such a connection
// could take the port before the process listens on it, or while the process is restarted. A UDP socket on
// the same port, kept open until this process ends, reserves it against other test harnesses on this machine.
int free_port() {
  static std::mt19937 random{std::random_device()()};
  static std::mutex mutex;
  static std::vector<net::Fd> reservations;
  std::lock_guard lock(mutex);
  int error = 0;
  for (int i = 0; i < 1000; ++i) {
    int port = std::uniform_int_distribution<int>(12000, 31999)(random);
    auto address = *net::parse_address(fmt::format("127.0.0.1:{}", port));
    net::Fd reservation(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
    if (!reservation ||
        bind(reservation.get(), reinterpret_cast<const sockaddr*>(&address.storage), address.length) != 0 ||
        !net::listen_on(address, &error))
      continue;
    reservations.push_back(std::move(reservation));
    return port;
  }
  throw std::runtime_error("no free port found: " + net::message_of(error));
}

json testbench_settings() {
  return json::parse(R"({
    "RequestClasses":[
      {"Name":"browse","Effect":"pure","TargetMs":500.0,"DeadlineMs":2000.0,"Importance":3.0},
      {"Name":"own-view","Effect":"pure","TargetMs":500.0,"DeadlineMs":2000.0,"Importance":1.0},
      {"Name":"book","Effect":"token","Group":"cell","KeyTtlMs":5000.0,"TargetMs":1200.0,"DeadlineMs":5000.0,
       "Importance":6.0,"LateShare":0.7}],
    "FamilyInfo":{"Behind":"reject","ReadLevel":["recent","own_writes","update"],"OldestDataMs":[300.0,0.0,0.0],
      "Positions":true,"WriteMarks":"client","ShowsRole":"off"},
    "Report":{"How":"on_probe","Fields":["x0","x1","rif"]},"Orgs":[],"Zone":"north-bldg","NInstances":1,
    "StepMs":5.0,
    "Limits":{"Probes":true,"Cancel":true,"RetryAfter":true,"SecondCopies":false,"MaxAttempts":8,
      "MaxRetryAfterMs":1000.0,"ConnectTimeoutMs":250.0,"KeepaliveMs":30000.0},
    "Guarantees":{"AnswerSlackMs":20.0,"DrainGraceMs":1000.0,"FallMs":1500.0,"WarmUpMs":18000.0,
      "ColdShare":0.17,"TipMultiple":3.0}})");
}

ProcessUnderTest::ProcessUnderTest(const ProcessUnderTestOptions& options) : options_(options) {
  auto settings = testbench_settings();
  if (!options.settings.is_null()) settings.merge_patch(options.settings);
  json config = {{"name", options.name},
                 {"listen", fmt::format("127.0.0.1:{}", options.port ? options.port : free_port())},
                 {"discovery", options.discovery},
                 {"seed", fmt::format("{:x}", options.seed)},
                 {"limits", {{"sockets", options.sockets}, {"memory_mb", options.memory_mb}}},
                 {"known", options.known_members},
                 {"settings", settings}};
  if (!options.operator_address.empty()) config["operator"] = options.operator_address;
  fs::path folder(options.folder);
  auto config_path = (folder / "config.json").string(), log_path = (folder / "log").string(),
       operator_path = (folder / "operator.json").string();
  write_file(config_path, config.dump(1));
  if (!options.operator_file.is_null()) write_operator_file(options.operator_file);
  write_file(log_path, "");
  ExecNotice exec_notice;
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error("cannot fork a child process");
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // the child must end with the testbench, even if that is killed
    if (options.max_file_bytes > 0) {
      rlimit limit{options.max_file_bytes, options.max_file_bytes};
      setrlimit(RLIMIT_FSIZE, &limit);
    }
    for (auto& [name, value] : options.environment) setenv(name.c_str(), value.c_str(), 1);
    if (!options.cpus.empty()) {
      cpu_set_t set;
      CPU_ZERO(&set);
      for (int cpu : options.cpus) CPU_SET(static_cast<std::size_t>(cpu), &set);
      sched_setaffinity(0, sizeof set, &set);
    }
    int out = open(log_path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    dup2(out, 1);
    dup2(out, 2);
    if (!options.operator_address.empty()) setenv("NODE_OPERATOR", options.operator_address.c_str(), 1);
    if (options.listening_socket >= 0) inherit_listening_socket(options.listening_socket);
    std::vector<const char*> arguments{options.program.c_str(), "serve", "--config", config_path.c_str()};
    if (!options.operator_file.is_null()) {
      arguments.push_back("--operator");
      arguments.push_back(operator_path.c_str());
    }
    arguments.push_back(nullptr);
    execv(options.program.c_str(), const_cast<char**>(arguments.data()));
    _exit(127);
  }
  exec_notice.wait();
  if (!options.wait_until_ready) {
    port_ = options.port;
    return;
  }
  for (auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);;
       std::this_thread::sleep_for(std::chrono::milliseconds(5))) {
    auto text = log();
    constexpr std::string_view kListens = " listens on 127.0.0.1:";
    auto at = text.find(kListens);
    if (at != std::string::npos) port_ = std::atoi(text.c_str() + at + kListens.size());
    if (port_ > 0 && text.find("ready to serve") != std::string::npos) return;
    int status = 0;
    bool ended = waitpid(pid_, &status, WNOHANG) == pid_;
    if (!ended && std::chrono::steady_clock::now() < end) continue;
    if (ended) pid_ = -1;
    throw std::runtime_error(fmt::format("{} did not become ready: {}", options.program,
                                         text.empty() ? "its log is empty" : text.substr(0, 500)));
  }
}

ProcessUnderTest::~ProcessUnderTest() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void ProcessUnderTest::write_operator_file(const json& content) {
  auto path = fs::path(options_.folder) / "operator.json";
  write_file(path.string() + ".new", content.dump(1));
  fs::rename(path.string() + ".new", path);
}

bool ProcessUnderTest::ready() { return log().find("ready to serve") != std::string::npos; }

bool ProcessUnderTest::running() {
  if (pid_ <= 0) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
  pid_ = -1;
  exit_code_ = exit_code_of(status);
  return false;
}

void ProcessUnderTest::signal(int number) {
  if (pid_ > 0) kill(pid_, number);
}

int ProcessUnderTest::wait() {
  if (pid_ <= 0) return -1;
  int status = 0;
  waitpid(std::exchange(pid_, -1), &status, 0);
  exit_code_ = exit_code_of(status);
  return exit_code_;
}

std::string ProcessUnderTest::log() const { return read_file(fs::path(options_.folder) / "log"); }

std::string ProcessUnderTest::operator_call(const std::string& line,
                                            std::chrono::milliseconds timeout) const {
  return testbench::operator_call(options_.operator_address, line, timeout);
}

std::string operator_call(const std::string& operator_address, const std::string& line,
                          std::chrono::milliseconds timeout) {
  auto address = net::parse_address(operator_address);
  net::Fd fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  timeval limit{timeout.count() / 1000, timeout.count() % 1000 * 1000};
  setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  auto call = line + "\n";
  if (!address || connect(fd.get(), reinterpret_cast<sockaddr*>(&address->storage), address->length) != 0 ||
      send(fd.get(), call.data(), call.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(call.size()))
    return "";
  std::string answer;
  char chunk[4096];
  while (true) {
    ssize_t received = recv(fd.get(), chunk, sizeof chunk, 0);
    if (received < 0) return "";
    if (received == 0) return answer;
    answer.append(chunk, static_cast<std::size_t>(received));
  }
}

ProcessUnderTest::Usage ProcessUnderTest::usage() const {
  Usage usage;
  auto process = fs::path("/proc") / std::to_string(pid_);
  std::error_code none;
  for (auto& task : fs::directory_iterator(process / "task", none)) {
    auto name = read_file(task.path() / "comm");
    if (!name.empty() && name.back() == '\n') name.pop_back();
    // The fields are: nanoseconds on a CPU, nanoseconds waiting for a CPU, number of time slices on a CPU.
    auto seconds = std::atof(read_file(task.path() / "schedstat").c_str()) * 1e-9;
    usage.threads[name] += seconds;
    usage.cpu_seconds += seconds;
  }
  auto status = read_file(process / "status");
  if (auto at = status.find("VmRSS:"); at != std::string::npos)
    usage.rss_mb = std::atof(status.c_str() + at + 6) / 1024;
  for ([[maybe_unused]] auto& fd : fs::directory_iterator(process / "fd", none)) ++usage.descriptors;
  return usage;
}

}  // namespace database_proxy::testbench
