// Fault-injection harness: runs several proxy processes, the fake servers that they connect to, a
// controllable link for each connection between two processes, and one history of all events. The destructor
// ends the processes.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "app/fleet.h"
#include "testbench/fake_servers.h"
#include "testbench/fault_injection/history.h"
#include "testbench/fault_injection/links.h"
#include "testbench/process_under_test.h"

namespace database_proxy::testbench::faults {

using nlohmann::json;

// A zone, and the region that it belongs to.
struct HarnessZone {
  std::string name, region;
};

// Processes, zones and settings of a FaultHarness.
struct FaultHarnessOptions {
  std::string program, folder;
  int voters = 3, followers = 0;
  bool grouped = true;          // false: proxies run without a consensus group
  bool start = true;            // the constructor starts all processes
  bool bootstrap = true;        // the constructor bootstraps the group and waits for a leader
  json group = json::object();  // merged over the `group` section of each process
  FakeServersOptions fake_servers;
  json settings = json::object();
  std::uint64_t seed = 1;
  // Processes (voters first) and data servers are assigned to these zones round-robin. Each connection from a
  // proxy to a data server uses the link between their zones. Empty: one zone, and no such links.
  std::vector<HarnessZone> zones;
  Micros intra_region_delay{500}, inter_region_delay{10'000};  // one way: between zones of one region, of two
  Micros intra_region_lag{5'000}, inter_region_lag{40'000};    // of replicas, added to the common lag
  std::vector<std::string> own_sources;  // processes with links (name, zone) of their own to the servers
  bool placement = false;                // placement plans for zones are enabled
  double requests_per_weight = 0;        // configured capacity of a server of weight 1, for the plan
};

// Owns the processes, fake servers and links of one test, and injects faults into them.
class FaultHarness {
 public:
  explicit FaultHarness(FaultHarnessOptions options);  // throws std::runtime_error
  ~FaultHarness();

  const std::vector<std::string>& voters() const { return voters_; }
  std::vector<std::string> followers() const;
  std::vector<std::string> all() const;  // voters first
  FakeServers& fake_servers() { return *fake_servers_; }
  History& history() { return history_; }
  int port(const std::string& name) const { return processes_.at(name).client_port; }
  ProcessUnderTest* daemon(const std::string& name) { return processes_.at(name).daemon.get(); }
  std::string folder(const std::string& name) const;
  std::string log(const std::string& name) const;  // of all runs of the process
  std::string address(const std::string& name) const { return processes_.at(name).address; }
  std::string operator_file(const std::string& name) const;

  // Processes.
  void start(const std::string& name);  // waits until the process is ready
  // Starts all named processes without waiting until they are ready. `known`: the endpoint list that each has
  // at its start.
  void launch(const std::vector<std::string>& names, const json& known);
  void kill(const std::string& name);
  void pause(const std::string& name);   // SIGSTOP
  void resume(const std::string& name);  // SIGCONT
  bool paused(const std::string& name) const { return processes_.at(name).paused; }
  int terminate(const std::string& name);  // sends SIGTERM; returns the exit code
  void empty_directory(const std::string& name);
  void corrupt_store(const std::string& name);                         // overwrites part of its database file
  void limit_file_size(const std::string& name, std::uint64_t bytes);  // takes effect at the next start
  // Adds `ms` milliseconds to each sync of a file by a voter. Takes effect at once.
  void set_sync_delay(const std::string& name, int ms);
  bool running(const std::string& name);

  // Links between processes; `from` opens the connection. Two voters have two links, as each connects to the
  // other.
  void cut(const std::string& a, const std::string& b);  // holds all bytes; connections stay open
  void block_outgoing(const std::string& name);          // holds what the process sends; it still receives
  void block_incoming(const std::string& name);          // holds what is sent to the process; it still sends
  void isolate(const std::string& name);
  void shape(const std::string& from, const std::string& to, LinkState state);
  void reset_links(const std::string& name);
  void heal();  // ends the faults of all links; delays between zones stay

  // Zones. `cut_zones` holds connections to servers and between processes, in both directions.
  const std::string& zone_of(const std::string& name) const { return processes_.at(name).zone; }
  std::vector<std::string> in_zone(const std::string& zone) const;
  void cut_zones(const std::string& a, const std::string& b);
  // Holds connections from proxies of zone `from`, or from one process of `own_sources`, to servers of zone
  // `to`.
  void cut_zone_direction(const std::string& from, const std::string& to);
  void isolate_zone(const std::string& zone);
  std::uint64_t bytes_forwarded(const std::string& from, const std::string& to) {
    return links_->bytes_forwarded(from, to);
  }
  std::string region_of(const std::string& zone) const;

  // Admin commands and queries. `send_command` throws std::runtime_error if there is no answer.
  json send_command(const std::string& name, json command, int timeout_ms = 1000);
  std::optional<json> status(const std::string& name, int timeout_ms = 500);
  std::string leader();                              // as reported by a majority of the voters; empty: none
  std::string lease_holder(const std::string& job);  // from `lease_holders`; empty: none
  json lease_holders();  // from the lease registry of the voter with the highest applied index
  // Polls `condition`. Returns true once it holds, false after `timeout`.
  bool wait_until(const std::function<bool()>& condition, Micros timeout = Micros(20'000'000));

 private:
  struct Process {
    std::string address, zone;
    ProcessUnderTestOptions options;
    int client_port = 0;
    std::unique_ptr<ProcessUnderTest> daemon;
    std::string earlier_log;
    bool paused = false;
  };
  LinkState link_state_between(const HarnessZone& a, const HarnessZone& b) const;
  void set_links(const std::function<bool(const std::string&, const std::string&)>& predicate,
                 LinkState state);

  FaultHarnessOptions options_;
  History history_;
  std::vector<std::string> voters_;
  std::unique_ptr<Links> links_;
  std::unique_ptr<FakeServers> fake_servers_;
  std::vector<std::pair<std::string, std::string>> process_links_;
  std::map<std::string, Process> processes_;
};

}  // namespace database_proxy::testbench::faults
