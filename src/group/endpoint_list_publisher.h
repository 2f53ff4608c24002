// The job `list`: its lease holder polls the list service and publishes each new endpoint list, complete,
// through the log.
//
// Belongs to the group's thread. A list that does not reach the log is proposed again until it does; one that
// was published under this lease is not proposed twice. Twice a second the holder tells every node which
// generation it knows, as long as the list service answers.
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

  // Does what is due, where this node holds the lease.
  void run(Micros now);
  // The lease has ended.
  void stop_polling() { watch_.reset(); }
  // The list service has moved; the next run() polls the new one.
  void on_discovery_changed();

  // Polls for a complete list, of which there should be few.
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
  std::map<std::string, discovery::Endpoint> endpoints_;  // as the list service gave them, by id
  std::int64_t generation_ = 0;
  bool is_complete_ = false;  // endpoints_ is no mere difference
  std::uint64_t complete_polls_ = 0;

  bool is_publishing_ = false;  // to_publish_ is not in the registry yet
  std::string to_publish_;
  std::int64_t version_to_publish_ = 0;
  Micros last_proposed_{0};
  Micros last_answer_{0};  // of the list service; 0: none yet
  Micros last_status_{0};
};

}  // namespace database_proxy::group
