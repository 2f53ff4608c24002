// Reports of lease holders on their way to every node, and subscriptions to load reports on their way to the
// lease holders of health checks.
//
// A report carries its job and the holder's fencing token; a node that knows a newer token rejects it and
// does not pass it on. Subscriptions carry a shard group only: those of many processes become one on the way.
//
// Belongs to the group's thread. Nothing is repeated here: reports and subscriptions are renewed at the
// source.
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

// Told of the reports that this node accepts, by their job.
class JobReportObserver {
 public:
  virtual ~JobReportObserver() = default;
  virtual void on_endpoint_list_status(const peers::EndpointListStatus& status) = 0;
  // The lease holder of the job `placement` works, and this is its newest committed plan.
  virtual void on_placement_status(std::uint64_t plan_number) = 0;
  virtual void on_load_reports(std::vector<LoadReport> reports) = 0;
};

// Accepts, passes on and hands out reports; passes on subscriptions.
class LoadReportGossip {
 public:
  LoadReportGossip(NodeContext& context, PeerConnections& connections, ReplicatedState& state,
                   JobReportObserver& observer)
      : context_(context), connections_(connections), state_(state), observer_(observer) {}

  // `from`: the link that it came over; nullptr: it is this node's own.
  void on_job_report(const peers::EncodedMessage& message, peers::Link* from);

  // A process needs load reports of this shard group; `from` as above.
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
