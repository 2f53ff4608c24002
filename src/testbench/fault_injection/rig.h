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
#include "testbench/fake_servers.h"
#include "testbench/fault_injection/history.h"
#include "testbench/fault_injection/links.h"
#include "testbench/process_under_test.h"

namespace database_proxy::testbench::faults {

using nlohmann::json;

struct HarnessZone {
  std::string name, region;
};

struct FaultHarnessOptions {
  std::string program, folder;
  int voters = 3, followers = 0;
  bool grouped = true;          // false: each proxy for itself, as without the section
  bool start = true;            // all processes, when the rig is made
  bool bootstrap = true;       // the group begins, and a leader is there when the rig is ready
  json group = json::object();  // merged over the section of each process
  FakeServersOptions fake_servers;
  json settings = json::object();
  std::uint64_t seed = 1;
  // Processes, voters first, are dealt out over these in turn, and so are data servers; every connection from
  // a proxy to a data server takes the link of their zones. Empty: one place, and no such links.
  std::vector<HarnessZone> zones;
  Micros intra_region_delay{500}, inter_region_delay{10'000};  // each way: between zones of a region, and of two
  Micros intra_region_lag{5'000}, inter_region_lag{40'000};    // of replicas, beside what all have
  std::vector<std::string> own_sources;  // processes whose ways to servers are no others': links (name, zone)
  bool placement = false;             // the plan of zones is on
  double requests_per_weight = 0;              // what a server of weight 1 bears, as the plan is told
};

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
  std::string log(const std::string& name) const;  // of all its lives
  std::string address(const std::string& name) const { return processes_.at(name).address; }
  std::string operator_file(const std::string& name) const;

  // Processes.
  void start(const std::string& name);  // waits until it is ready
  // All of these at the same moment, without waiting for any; `known`: the list that each has at its start.
  void launch(const std::vector<std::string>& names, const json& known);
  void kill(const std::string& name);
  void pause(const std::string& name);   // SIGSTOP
  void resume(const std::string& name);  // SIGCONT
  bool paused(const std::string& name) const { return processes_.at(name).paused; }
  int terminate(const std::string& name);  // SIGTERM; its exit code
  void empty_directory(const std::string& name);
  void corrupt_store(const std::string& name);                    // overwrites the middle of its store
  void limit_file_size(const std::string& name, std::uint64_t bytes);  // from its next start on
  void set_sync_delay(const std::string& name, int ms);                 // each sync, from now on
  bool running(const std::string& name);

  // Links between processes; `from` dials. Both ways of speaking of two voters run over two links.
  void cut(const std::string& a, const std::string& b);  // nothing passes, in silence
  void block_outgoing(const std::string& name);                    // is heard by none, hears all
  void block_incoming(const std::string& name);                  // hears none, is heard by all
  void isolate(const std::string& name);
  void shape(const std::string& from, const std::string& to, LinkState state);
  void reset_links(const std::string& name);
  void heal();  // all links

  // Zones. `cut_zones` is for servers' connections and the daemons' own, both ways.
  const std::string& zone_of(const std::string& name) const { return processes_.at(name).zone; }
  std::vector<std::string> in_zone(const std::string& zone) const;
  void cut_zones(const std::string& a, const std::string& b);
  void cut_zone_direction(const std::string& from,
                    const std::string& to);  // proxies of one to servers of the other
  void isolate_zone(const std::string& zone);
  std::uint64_t bytes_forwarded(const std::string& from, const std::string& to) { return links_->bytes_forwarded(from, to); }
  std::string region_of(const std::string& zone) const;

  // Tools. Throw std::runtime_error where there is no answer.
  json send_command(const std::string& name, json command, int timeout_ms = 1000);
  std::optional<json> status(const std::string& name, int timeout_ms = 500);
  std::string leader();                       // as a majority of the voters names it; empty: none
  std::string lease_holder(const std::string& job);  // by any voter's ledger
  json lease_holders();
  // Polls until it is so; false after `patience`.
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
  void set_links(const std::function<bool(const std::string&, const std::string&)>& predicate, LinkState state);

  FaultHarnessOptions options_;
  History history_;
  std::vector<std::string> voters_;
  std::unique_ptr<Links> links_;
  std::unique_ptr<FakeServers> fake_servers_;
  std::vector<std::pair<std::string, std::string>> process_links_;
  std::map<std::string, Process> processes_;
};

}  // namespace database_proxy::testbench::faults
