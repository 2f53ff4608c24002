// The job `placement`: observations on their way to the lease holder, its plans on their way into the log,
// and what operators ask about them. What is decided is decided in placement/plan.h; when a plan may follow
// another, in PlanBuilder. Only voters with Options::placement take part; a follower sends its observation to
// its voter.
//
// Belongs to the group's thread. A plan is proposed again until it is committed or overtaken. Operators'
// changes wait for the plan that is on its way, in the order in which they came; at most kMaxWaitingRequests do.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "group/endpoint_list_subscriber.h"
#include "group/leader_forwarding.h"
#include "group/lease_session.h"
#include "group/load_report_gossip.h"
#include "group/node_context.h"
#include "group/peer_connections.h"
#include "group/plan_builder.h"
#include "group/plan_subscriber.h"
#include "group/replicated_state.h"
#include "peers/admin_messages.h"

namespace database_proxy::group {

// Every node's part in the plan of zones.
class PlacementJob {
 public:
  PlacementJob(NodeContext& context, PeerConnections& connections, ReplicatedState& state,
               LeaderForwarding& forwarding, LeaseSession& leases, EndpointListSubscriber& subscriber,
               PlanSubscriber& plans, LoadReportGossip& gossip);

  bool is_enabled() const { return builder_.has_value(); }
  // Rounds follow each other every kObserveEvery, from a random time on; none where it is not enabled.
  void start();

  // What this process observed, taken at this time of its own wall clock.
  void submit_observation(const placement::Observation& observation, std::int64_t taken_at_unix_ms);
  // From a proxy below this voter, and from another voter.
  void on_observation(const peers::Link& link, const peers::EncodedMessage& message);
  void on_observation_sum(const peers::Link& link, const peers::EncodedMessage& message);
  void on_downstream_closed(const std::string& name);

  // An operator's command at any node: answered here, or passed to the lease holder.
  void on_admin_command(peers::Link& link, const peers::EncodedMessage& message);
  // The same at the lease holder; the answer goes back by the message's route.
  void on_routed_command(const peers::EncodedMessage& message);

  void on_plan_committed(const placement::Plan& plan);

 private:
  struct RoutedRequest {
    peers::PlacementRequest request;
    peers::Route route;
  };
  struct UncommittedRequest {
    std::uint64_t plan_number = 0;
    RoutedRequest routed;
  };

  void run_placement();
  void send_observation_sum(const placement::Observation& sum);
  void reset_lease_holder_state();
  void log_unknown_zones();
  void send_status();
  void publish_plan();
  void propose_plan();
  void handle_request(const RoutedRequest& routed);
  void change_plan(RoutedRequest routed);
  std::optional<placement::Plan> make_requested_plan(peers::PlacementRequest* request, std::string* reason);
  peers::PlanReport make_report(const peers::PlacementRequest& request) const;
  void answer(const peers::Route& route, const peers::AdminAnswer& answer);
  void reject(const peers::Route& route, const std::string& reason);

  NodeContext& context_;
  PeerConnections& connections_;
  ReplicatedState& state_;
  LeaderForwarding& forwarding_;
  LeaseSession& leases_;
  EndpointListSubscriber& subscriber_;
  PlanSubscriber& plans_;
  LoadReportGossip& gossip_;

  std::optional<PlanBuilder> builder_;
  net::Loop::TimerId round_timer_ = net::Loop::kNoTimer;
  std::optional<placement::Plan> next_plan_;  // of the lease holder, not committed yet
  Micros last_proposed_{0};
  std::set<placement::Zone> logged_unknown_zones_;
  std::vector<RoutedRequest> waiting_requests_;           // until next_plan_ is committed
  std::vector<UncommittedRequest> uncommitted_requests_;  // until their own plan is
};

}  // namespace database_proxy::group
