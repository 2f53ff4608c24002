// A proxy as a child process of the testbench: its files, start and end, and its resource usage as the kernel
// reports it.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace database_proxy::testbench {

struct ProcessUnderTestOptions {
  std::string program;  // path of the database-proxy executable
  std::string folder;   // directory of its files; must exist
  std::string discovery;
  nlohmann::json known_members;
  nlohmann::json operator_file;  // null: the proxy is started without one
  std::vector<int> cpus;         // CPUs that it may run on; empty: all
  std::size_t sockets = 8192;
  std::uint64_t seed = 1;
  nlohmann::json settings = {};  // merge patch for testbench_settings()
  int port = 0;                  // port for clients; 0: any free port
  std::string name = "lab";
  std::size_t memory_mb = 2048;
  bool wait_until_ready = true;      // in the constructor; if not, the caller polls ready()
  std::uint64_t max_file_bytes = 0;  // maximum size of a file (RLIMIT_FSIZE); 0: unlimited
  std::vector<std::pair<std::string, std::string>> environment;
  int listening_socket = -1;     // inherited as descriptor 7 and named by NODE_ACCEPT_FD; -1: none
  std::string operator_address;  // in the configuration and in NODE_OPERATOR; empty: none
};

// Returns a port that no process listens on, and reserves it against other test harnesses on this machine
// until this process ends.
int free_port();

// Returns settings with the request classes, limits and guarantees that the fake servers comply with.
nlohmann::json testbench_settings();

// Sends one line to an operator address. Returns the complete answer, or an empty string if none arrived
// within the timeout.
std::string operator_call(const std::string& address, const std::string& line,
                          std::chrono::milliseconds timeout);

class ProcessUnderTest {
 public:
  // Starts the process and, with wait_until_ready, waits until it is ready. Throws std::runtime_error with
  // the beginning of its log if it does not become ready.
  explicit ProcessUnderTest(const ProcessUnderTestOptions& options);
  ~ProcessUnderTest();  // kills the process if it still runs
  ProcessUnderTest(const ProcessUnderTest&) = delete;
  ProcessUnderTest& operator=(const ProcessUnderTest&) = delete;

  int port() const { return port_; }
  pid_t pid() const { return pid_; }
  void signal(int number);
  int wait();  // waits for its end; returns its exit code, or 128 + signal number
  std::string log() const;
  bool running();                               // whether the process has not ended
  int exit_code() const { return exit_code_; }  // of an ended process, or 128 + signal number
  bool ready();                                 // whether its log contains the readiness line
  // Sends one line to the operator address of the process. Returns the complete answer, or an empty string if
  // none arrived within the timeout.
  std::string operator_call(const std::string& line, std::chrono::milliseconds timeout) const;
  void write_operator_file(const nlohmann::json& content);

  // Resource usage: CPU time since the start of the process, and its current memory and descriptors.
  struct Usage {
    double cpu_seconds = 0;                 // of the whole process
    std::map<std::string, double> threads;  // by name: CPU seconds
    double rss_mb = 0;
    int descriptors = 0;
  };
  Usage usage() const;

 private:
  ProcessUnderTestOptions options_;
  pid_t pid_ = -1;
  int exit_code_ = -1;
  int port_ = 0;
};

}  // namespace database_proxy::testbench
