// The job `placement`: forwards observations to the lease holder, proposes the lease holder's plans for the
// log, and answers operators' commands about them. placement/plan.h decides the contents of a plan,
// PlanBuilder decides when the next plan may be made. Only voters with Options::placement run the job; other
// processes with Options::placement send their observations to their voter.
//
// Belongs to the group's thread. A plan is proposed repeatedly until it is committed or superseded. Plan
// changes that operators request are queued in order of arrival while a plan is uncommitted; the queue holds
// at most kMaxWaitingRequests.
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

// One node's part in the job `placement`.
class PlacementJob {
 public:
  PlacementJob(NodeContext& context, PeerConnections& connections, ReplicatedState& state,
               LeaderForwarding& forwarding, LeaseSession& leases, EndpointListSubscriber& subscriber,
               PlanSubscriber& plans, LoadReportGossip& gossip);

  bool is_enabled() const { return builder_.has_value(); }
  // Starts rounds of planning every kObservationInterval, the first at a random time within that interval.
  // Does nothing if the job is not enabled here.
  void start();

  // Takes in an observation of this process, made at `taken_at_unix_ms` by its own wall clock.
  void submit_observation(const placement::Observation& observation, std::int64_t taken_at_unix_ms);
  // Handles an observation from a process connected to this voter.
  void on_observation(const peers::Link& link, const peers::EncodedMessage& message);
  // Handles the sum of another voter's observations, as the lease holder.
  void on_observation_sum(const peers::Link& link, const peers::EncodedMessage& message);
  // Discards the observation of a process whose connection to this voter has closed.
  void on_downstream_closed(const std::string& name);

  // Handles an operator's command at any node: answers it, or forwards it to the lease holder.
  void on_admin_command(peers::Link& link, const peers::EncodedMessage& message);
  // Handles an operator's command at the lease holder. The answer is returned by the message's route.
  void on_routed_command(const peers::EncodedMessage& message);

  // Answers the operators' requests whose plan is committed now.
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
  std::optional<placement::Plan> next_plan_;  // the lease holder's, not committed yet
  Micros last_proposed_{0};
  std::set<placement::Zone> logged_unknown_zones_;
  std::vector<RoutedRequest> waiting_requests_;           // queued until next_plan_ is committed
  std::vector<UncommittedRequest> uncommitted_requests_;  // answered once their plan is committed
};

}  // namespace database_proxy::group
