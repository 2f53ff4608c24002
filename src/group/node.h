// One node of the group, in a thread of its own. It connects the modules of this folder. Each module owns its
// state and documents its task in its header; the node forwards events between the modules and makes no
// decisions.
//
//   peer_connections      links to other daemons
//   consensus_driver      the replicated log of a voter, stored by raft_storage
//   replicated_state      the state built from the log: leases, the published endpoint list and plan
//   follower_replication  replication of that state to followers
//   leader_forwarding     requests to the leader, responses back
//   lease_session         leases on jobs, as lease holder and as leader
//   endpoint_list_...     the job `list`: publisher, and subscriber with its fallback
//   health_check_job      the jobs `probe N`, with load_report_gossip
//   placement_job         the job `placement`, with plan_builder and plan_subscriber
//   admin_commands        commands of operators
//
// docs/design/group.md gives the reasons for this design.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "discovery/endpoint_list_codec.h"
#include "discovery/polling_schedule.h"
#include "group/node_host.h"
#include "group/options.h"
#include "net/log.h"
#include "placement/zone_observation.h"

namespace database_proxy::group {

class NodeModules;

// One node of the group. The process constructs, starts and stops it; everything else runs in the node's own
// thread.
class Node {
 public:
  // Opens the directory of a voter and listens. `discovery`: the discovery service's address. `initial_list`:
  // the endpoint list that the process already has from another source. Throws std::runtime_error with a
  // one-line message for a directory that belongs to another installation or is in use, and for a port in
  // use; std::invalid_argument for options that check() rejects.
  Node(Options options, std::string discovery, discovery::PollingSchedule schedule,
       discovery::EndpointListUpdate initial_list, NodeHost& host, net::Log log);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Starts the thread.
  void start();
  // Releases all leases and, on the leader, transfers leadership, which takes about a second at most. The
  // thread runs on until stop().
  void resign();
  // Stops the thread and waits until everything passed to the storage is written.
  void stop();

  // The functions below may be called from any thread.

  // Subscribes to load reports of a server: for a while, the health check job of its shard group sends
  // reports on it.
  void subscribe_to_load(const std::string& server);
  // Submits what this process has observed of zones of data servers since the last call. To be called every
  // kObservationInterval.
  void submit_observation(placement::Observation observation);
  // Returns the number of the plan that this process follows; 0: it follows none.
  std::uint64_t adopted_plan_number() const;
  // Applies the options that may change while the node runs: the addresses of the discovery service and of
  // the voters.
  void reconfigure(std::string discovery, std::vector<NodeAddress> nodes);

  int port() const;  // 0: not listening

 private:
  std::unique_ptr<NodeModules> modules_;
  std::thread thread_;
};

}  // namespace database_proxy::group
