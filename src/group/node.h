// One node of the group, in a thread of its own. It joins the modules of this folder: each of them owns its
// state and says in its header what it does; the node passes events from one to another and decides nothing.
//
//   peer_connections      links to other daemons
//   consensus_driver      the replicated log of a voter, on raft_storage
//   replicated_state      what the log has made: leases, the published list and plan
//   follower_replication  the same for followers
//   leader_forwarding     requests to the leader, responses back
//   lease_session         leases on jobs, held and granted
//   endpoint_list_...     the job `list`: publisher, and subscriber with its fallback
//   health_check_job      the jobs `probe N`, with load_report_gossip
//   placement_job         the job `placement`, with plan_builder and plan_subscriber
//   admin_commands        what operators ask
//
// docs/design/group.md tells why it is built like this.
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

// Constructed, started and stopped by the process; everything else happens in its own thread.
class Node {
 public:
  // Opens a voter's directory and listens. `discovery`: the list service's address. `initial_list`: the endpoint
  // list that the process has from elsewhere. Throws std::runtime_error with one line for a directory of
  // another installation or in use and for a port in use, std::invalid_argument for options that check()
  // rejects.
  Node(Options options, std::string discovery, discovery::PollingSchedule schedule,
       discovery::EndpointListUpdate initial_list, NodeHost& host, net::Log log);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Starts the thread.
  void start();
  // Hands its jobs and its leadership over, which takes about a second at most. The thread goes on until
  // stop().
  void resign();
  // Ends the thread, after what was given to the disk is written.
  void stop();

  // All of these from any thread.

  // This process needs load reports of a server: for a while its health check job reports on it.
  void subscribe_to_load(const std::string& server);
  // What this process observed of zones of data servers since the last call, every kObservationInterval.
  void submit_observation(placement::Observation observation);
  // Of the plan that this process follows; 0: it follows none.
  std::uint64_t adopted_plan_number() const;
  // What may change while it runs: where the list service and the voters are.
  void reconfigure(std::string discovery, std::vector<NodeAddress> nodes);

  int port() const;  // 0: not listening

 private:
  std::unique_ptr<NodeModules> modules_;
  std::thread thread_;
};

}  // namespace database_proxy::group
