// The job `list`: its lease holder polls the discovery service and publishes each new endpoint list in full
// through the Raft log.
//
// Belongs to the group's thread. A list is proposed repeatedly until the registry contains it as published
// under the current lease. Twice a second the lease holder reports to every node which generation it knows,
// as long as the discovery service answers.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "discovery/discovery_watch.h"
#include "group/endpoint_list_subscriber.h"
#include "group/leader_forwarding.h"
#include "group/lease_session.h"
#include "group/load_report_gossip.h"
#include "group/node_context.h"
#include "group/replicated_state.h"

namespace database_proxy::group {

// The lease holder's side of the endpoint list.
class EndpointListPublisher {
 public:
  EndpointListPublisher(NodeContext& context, LeaseSession& leases, ReplicatedState& state,
                        LeaderForwarding& forwarding, EndpointListSubscriber& subscriber,
                        LoadReportGossip& gossip)
      : context_(context),
        leases_(leases),
        state_(state),
        forwarding_(forwarding),
        subscriber_(subscriber),
        gossip_(gossip) {}

  // Polls, publishes and reports as due if this node holds the lease.
  void run(Micros now);
  // To be called when the lease has ended.
  void stop_polling() { watch_.reset(); }
  // The address of the discovery service has changed; the next run() polls the new one.
  void on_discovery_changed();

  // The number of polls for a complete list, which should be low.
  std::uint64_t complete_polls() const { return complete_polls_; }

 private:
  void start_polling(Micros now);
  void on_update(const discovery::EndpointListUpdate& update);
  void publish();
  void report_status(Micros now);

  NodeContext& context_;
  LeaseSession& leases_;
  ReplicatedState& state_;
  LeaderForwarding& forwarding_;
  EndpointListSubscriber& subscriber_;
  LoadReportGossip& gossip_;

  std::unique_ptr<discovery::DiscoveryWatch> watch_;
  std::map<std::string, discovery::Endpoint> endpoints_;  // published list with later updates, by ID
  std::int64_t generation_ = 0;
  bool is_complete_ = false;  // endpoints_ is a complete list, not only changes
  std::uint64_t complete_polls_ = 0;

  bool is_publishing_ = false;  // to_publish_ is not in the registry yet
  std::string to_publish_;
  std::int64_t version_to_publish_ = 0;
  Micros last_proposed_{0};
  Micros last_discovery_answer_{0};  // 0: none yet
  Micros last_status_{0};
};

}  // namespace database_proxy::group
