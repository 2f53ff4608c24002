// The fault rig: many processes of the daemon, stand-ins for what they talk to, a link of its own on every
// connection between any two of them, and one history of all that happened. Its processes end with it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "app/fleet.h"
#include "lab/daemon.h"
#include "lab/faults/history.h"
#include "lab/faults/links.h"
#include "lab/stand_in.h"

namespace linenwinch::lab::faults {

using nlohmann::json;

struct RigOptions {
  std::string program, folder;
  int voters = 3, followers = 0;
  bool grouped = true;          // false: each proxy for itself, as without the section
  bool initialise = true;       // the group begins, and a leader is there when the rig is ready
  json group = json::object();  // merged over the section of each process
  StandInOptions stand_in;
  json settings = json::object();
  std::uint64_t seed = 1;
};

class Rig {
 public:
  explicit Rig(RigOptions options);  // throws std::runtime_error
  ~Rig();

  const std::vector<std::string>& voters() const { return voters_; }
  std::vector<std::string> followers() const;
  std::vector<std::string> all() const;  // voters first
  StandIn& stand_in() { return *stand_in_; }
  History& history() { return history_; }
  int port(const std::string& name) const { return processes_.at(name).client_port; }
  Daemon* daemon(const std::string& name) { return processes_.at(name).daemon.get(); }
  std::string folder(const std::string& name) const;
  std::string log(const std::string& name) const;  // of all its lives
  std::string address(const std::string& name) const { return processes_.at(name).address; }
  std::string operator_file(const std::string& name) const;

  // Processes.
  void start(const std::string& name);  // waits until it is ready
  void kill(const std::string& name);
  void pause(const std::string& name);   // SIGSTOP
  void resume(const std::string& name);  // SIGCONT
  bool paused(const std::string& name) const { return processes_.at(name).paused; }
  int terminate(const std::string& name);  // SIGTERM; its exit code
  void empty_directory(const std::string& name);
  void tear_directory(const std::string& name);                    // overwrites the middle of its store
  void limit_files(const std::string& name, std::uint64_t bytes);  // from its next start on
  void slow_disk(const std::string& name, int ms);                 // each sync, from now on
  bool running(const std::string& name);

  // Links between processes; `from` dials. Both ways of speaking of two voters run over two links.
  void cut(const std::string& a, const std::string& b);  // nothing passes, in silence
  void mute(const std::string& name);                    // is heard by none, hears all
  void deafen(const std::string& name);                  // hears none, is heard by all
  void isolate(const std::string& name);
  void shape(const std::string& from, const std::string& to, LinkState state);
  void reset_links(const std::string& name);
  void heal();  // all links

  // Tools. Throw std::runtime_error where there is no answer.
  json ask(const std::string& name, json request, int patience_ms = 1000);
  std::optional<json> status(const std::string& name, int patience_ms = 500);
  std::string leader();                       // as a majority of the voters names it; empty: none
  std::string owner(const std::string& job);  // by any voter's ledger
  json owners();
  // Polls until it is so; false after `patience`.
  bool soon(const std::function<bool()>& what, Micros patience = Micros(20'000'000));

 private:
  struct Process {
    std::string address;
    DaemonOptions options;
    int client_port = 0;
    std::unique_ptr<Daemon> daemon;
    std::string earlier_log;
    bool paused = false;
  };
  void each_link(const std::function<bool(const std::string&, const std::string&)>& chosen, LinkState state);

  RigOptions options_;
  History history_;
  std::vector<std::string> voters_;
  std::unique_ptr<StandIn> stand_in_;
  std::unique_ptr<Links> links_;
  std::vector<std::pair<std::string, std::string>> linked_;
  std::map<std::string, Process> processes_;
};

}  // namespace linenwinch::lab::faults
