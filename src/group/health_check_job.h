// The jobs `probe N`: their lease holder checks the data servers of a shard group for the whole fleet and
// reports what they answer, so that hundreds of processes need not check each server themselves. A shard
// group is checked only while somebody subscribes to its reports.
//
// Belongs to the group's thread. A check without a result after two seconds counts as lost; results of one
// round of run() go out together in the next.
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

  // Before start() the endpoint list may already change; nothing is checked until then.
  void start(std::unique_ptr<HealthChecker> checker);
  void on_effective_endpoint_list(const discovery::EndpointListUpdate& list);
  void on_result(const HealthCheckResult& result);
  // Does what is due for every shard group whose lease this node holds.
  void run(Micros now);
  void end_loop_iteration();

  // One job for each shard group of the endpoint list.
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
  std::map<std::string, Micros> pending_checks_;     // by server: since when
  std::map<std::string, Micros> primaries_;          // servers that said they were one: when last
  std::map<std::int64_t, std::vector<peers::ServerLoad>> unsent_reports_;  // by shard group
};

}  // namespace database_proxy::group
