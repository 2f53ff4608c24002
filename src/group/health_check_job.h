// The jobs `probe N`: the lease holder checks the data servers of shard group N for the whole fleet and sends
// their load reports to all nodes, so that hundreds of nodes need not check each server themselves. A
// shard group is checked only while a process subscribes to its load reports.
//
// Belongs to the group's thread. A check without a result after two seconds counts as lost. Results that
// arrive between two calls of run() are sent together by the second.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "group/endpoint_list_subscriber.h"
#include "group/health_checker.h"
#include "group/lease_session.h"
#include "group/load_report_gossip.h"
#include "group/node_context.h"
#include "peers/messages.h"

namespace database_proxy::group {

// The health checks of all shard groups whose leases this node holds.
class HealthCheckJob {
 public:
  HealthCheckJob(NodeContext& context, LeaseSession& leases, EndpointListSubscriber& subscriber,
                 LoadReportGossip& gossip)
      : context_(context), leases_(leases), subscriber_(subscriber), gossip_(gossip) {}

  // Enables health checks. The endpoint list may change before start() is called; nothing is checked until
  // then.
  void start(std::unique_ptr<HealthChecker> checker);
  void on_effective_endpoint_list(const discovery::EndpointListUpdate& list);
  // Queues the load report of a finished check for the next run().
  void on_result(const HealthCheckResult& result);
  // Makes the checks that are due for every shard group whose lease this node holds, and sends the reports.
  void run(Micros now);
  void end_loop_iteration();

  // Returns the names of the health check jobs, one for each shard group of the endpoint list.
  std::vector<std::string> job_names() const;

 private:
  struct RoundRobin {
    Micros last_due{0};
    std::size_t next_replica = 0;
  };

  void check_shard_group(std::int64_t shard_group, Micros now);
  void check_server(const std::string& job, const std::string& server, Micros now);
  std::int64_t count_due_checks(RoundRobin* round_robin, std::size_t replicas, Micros now) const;
  void send_reports();

  NodeContext& context_;
  LeaseSession& leases_;
  EndpointListSubscriber& subscriber_;
  LoadReportGossip& gossip_;
  std::unique_ptr<HealthChecker> checker_;
  std::map<std::int64_t, RoundRobin> round_robins_;  // over replicas, by shard group
  std::map<std::string, Micros> pending_checks_;     // by server: start time
  std::map<std::string, Micros> primaries_;          // by server: time of its last report as primary
  std::map<std::int64_t, std::vector<peers::ServerLoad>> unsent_reports_;  // by shard group
};

}  // namespace database_proxy::group
