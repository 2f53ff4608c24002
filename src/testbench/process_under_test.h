// A daemon as a child process of the lab: its files, its start and end, and what the kernel says it used.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace database_proxy::testbench {

struct ProcessUnderTestOptions {
  std::string program;  // the database-proxy to run
  std::string folder;   // where its files go; must exist
  std::string discovery;
  nlohmann::json known_members;
  nlohmann::json operator_file;  // null: none is given
  std::vector<int> cpus;         // it may run on these; empty: anywhere
  std::size_t sockets = 8192;
  std::uint64_t seed = 1;
  nlohmann::json settings = {};  // merged over those of the lab's deployment
  int port = 0;                  // for clients; 0: one that is free
  std::string name = "lab";
  std::size_t memory_mb = 2048;
  bool wait_until_ready = true;             // until it is ready; else the caller asks ready()
  std::uint64_t max_file_bytes = 0;  // bytes that a file may have (RLIMIT_FSIZE); 0: any
  std::vector<std::pair<std::string, std::string>> environment;
  int listening_socket = -1;     // inherited as descriptor 7 and named by NODE_ACCEPT_FD; -1: none
  std::string operator_address;  // in the configuration and in NODE_OPERATOR; empty: none
};

// A port that nobody listens on at the moment.
int free_port();

// The request classes, limits and guarantees that the lab's stand-ins keep to.
nlohmann::json testbench_settings();

// Sends one line to an operators' address and returns the complete answer; empty: none came in time.
std::string operator_call(const std::string& address, const std::string& line,
                          std::chrono::milliseconds timeout);

class ProcessUnderTest {
 public:
  // Starts it and waits until it is ready. Throws std::runtime_error with the end of its log.
  explicit ProcessUnderTest(const ProcessUnderTestOptions& options);
  ~ProcessUnderTest();  // kills it where it still runs
  ProcessUnderTest(const ProcessUnderTest&) = delete;
  ProcessUnderTest& operator=(const ProcessUnderTest&) = delete;

  int port() const { return port_; }
  pid_t pid() const { return pid_; }
  void signal(int number);
  int wait();  // for its end; its exit code, or 128 and the signal
  std::string log() const;
  bool running();                               // it has not ended by itself
  int exit_code() const { return exit_code_; }  // of one that has; or 128 and the signal
  bool ready();                                 // it has said so in its log
  // Sends one line to the operators' address and returns the complete answer; empty: none came in time.
  std::string operator_call(const std::string& line, std::chrono::milliseconds timeout) const;
  void write_operator_file(const nlohmann::json& content);

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
