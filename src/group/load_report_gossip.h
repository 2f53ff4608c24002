// Disseminates the reports of lease holders to every node, and forwards subscriptions to load reports to the
// lease holders of the health check jobs.
//
// A report carries its job and the lease holder's fencing token; a node that knows a newer token rejects it
// and does not forward it. A subscription carries only a shard group, so each node merges those of many
// processes into one.
//
// Belongs to the group's thread. Nothing is sent again here: the senders renew reports and subscriptions.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "group/load_report.h"
#include "group/node_context.h"
#include "group/peer_connections.h"
#include "group/replicated_state.h"
#include "peers/messages.h"

namespace database_proxy::group {

// Notified of the reports that this node accepts, by their job.
class JobReportObserver {
 public:
  virtual ~JobReportObserver() = default;
  virtual void on_endpoint_list_status(const peers::EndpointListStatus& status) = 0;
  // The lease holder of the job `placement` is active; `plan_number` is that of its newest committed plan.
  virtual void on_placement_status(std::uint64_t plan_number) = 0;
  virtual void on_load_reports(std::vector<LoadReport> reports) = 0;
};

// Accepts, forwards and delivers reports; registers and forwards subscriptions.
class LoadReportGossip {
 public:
  LoadReportGossip(NodeContext& context, PeerConnections& connections, ReplicatedState& state,
                   JobReportObserver& observer)
      : context_(context), connections_(connections), state_(state), observer_(observer) {}

  // Handles a report that was received over the link `from`; nullptr: it is this node's own.
  void on_job_report(const peers::EncodedMessage& message, peers::Link* from);

  // Registers that a process needs load reports of this shard group; `from` as above.
  void subscribe(std::int64_t shard_group, peers::Link* from);
  bool is_subscribed(std::int64_t shard_group) const;

 private:
  struct Subscription {
    Micros last_request{0};
    Micros last_forwarded{0};
  };

  void deliver_load_reports(const peers::EncodedMessage& message);
  void forward_subscription(std::int64_t shard_group, const peers::Link* from);

  NodeContext& context_;
  PeerConnections& connections_;
  ReplicatedState& state_;
  JobReportObserver& observer_;
  std::map<std::int64_t, Subscription> subscriptions_;  // by shard group
};

}  // namespace database_proxy::group
