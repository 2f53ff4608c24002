// A daemon as a child process of the lab: its files, its start and end, and what the kernel says it used.
#pragma once

#include <sys/types.h>

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace linenwinch::lab {

struct DaemonOptions {
  std::string program;  // the linenwinch to run
  std::string folder;   // where its files go; must exist
  std::string discovery;
  nlohmann::json known;
  nlohmann::json operator_file;  // null: none is given
  std::vector<int> cpus;         // it may run on these; empty: anywhere
  std::size_t sockets = 8192, memory_mb = 2048;
  std::string name = "config";  // of its files: two daemons in one folder need two
  std::string operators;        // the door's address, as NODE_OPERATOR; empty: none
  int listen_fd = -1;           // a listening socket of ours that it inherits, as descriptor 7
  std::string shared_folder;    // its TMPDIR; empty: ours
  bool await = true;            // until it can serve
  std::uint64_t seed = 1;
  nlohmann::json settings = {};  // merged over those of the lab's deployment
};

// The request classes, limits and guarantees that the lab's stand-ins keep to.
nlohmann::json lab_settings();

class Daemon {
 public:
  // Starts it and, unless told otherwise, waits until it is ready. Throws std::runtime_error with the end of
  // its log.
  explicit Daemon(const DaemonOptions& options);
  ~Daemon();  // kills it where it still runs
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  int port() const { return port_; }
  pid_t pid() const { return pid_; }
  void signal(int number);
  int wait();  // for its end; its exit code, or 128 and the signal
  std::string log() const;
  // One call at its door: the whole answer; empty where none came.
  std::string call(const std::string& line) const;
  void write_operator_file(const nlohmann::json& content);

  struct Usage {
    double cpu_seconds = 0;                 // of the whole process
    std::map<std::string, double> threads;  // by name: CPU seconds
    double rss_mb = 0;
    int descriptors = 0;
  };
  Usage usage() const;

 private:
  DaemonOptions options_;
  pid_t pid_ = -1;
  int port_ = 0;
};

}  // namespace linenwinch::lab
