#include "group/placement_job.h"

#include <fmt/format.h>

#include <chrono>
#include <utility>

#include "group/jobs.h"
#include "peers/admin_codec.h"
#include "peers/message_codec.h"

namespace database_proxy::group {
namespace {

using namespace std::chrono_literals;
using net::Level;
using peers::PlacementAction;

// A plan that is not in the lease registry this long after its proposal is proposed again.
constexpr Micros kProposalRetryInterval = 400ms;
// Limit of the operators' requests that wait for a plan to be committed, and of those whose own plan is
// uncommitted; further requests are rejected.
constexpr std::size_t kMaxWaitingRequests = 64;

constexpr const char* kNotLeaseHolder = "this node no longer holds the lease of the job placement";
constexpr const char* kTooManyRequests = "too many placement commands are pending";

peers::AdminAnswer rejection(const std::string& reason) { return {false, reason, {}}; }

}  // namespace

PlacementJob::PlacementJob(NodeContext& context, PeerConnections& connections, ReplicatedState& state,
                           LeaderForwarding& forwarding, LeaseSession& leases,
                           EndpointListSubscriber& subscriber, PlanSubscriber& plans,
                           LoadReportGossip& gossip)
    : context_(context),
      connections_(connections),
      state_(state),
      forwarding_(forwarding),
      leases_(leases),
      subscriber_(subscriber),
      plans_(plans),
      gossip_(gossip) {
  auto& options = context.options;
  if (context.is_voter() && options.placement) builder_.emplace(*options.placement);
}

void PlacementJob::start() {
  if (!builder_) return;
  auto first = context_.random_time_within(kObservationInterval);
  round_timer_ = context_.loop.at(first, [this] { run_placement(); });
}

// ---- Observations

void PlacementJob::submit_observation(const placement::Observation& observation,
                                      std::int64_t taken_at_unix_ms) {
  if (!context_.options.placement) return;
  if (!builder_) {
    connections_.send_to_upstream(peers::encode(peers::ObservationReport{taken_at_unix_ms, observation}));
    return;
  }
  builder_->add_observation(context_.name(), observation, age_of_unix_ms(taken_at_unix_ms),
                            net::monotonic_now());
}

void PlacementJob::on_observation(const peers::Link& link, const peers::EncodedMessage& message) {
  if (!builder_) return;
  auto report = peers::decode_observation_report(message);
  builder_->add_observation(link.peer().name, std::move(report.observation),
                            age_of_unix_ms(report.taken_at_unix_ms), net::monotonic_now());
}

void PlacementJob::on_observation_sum(const peers::Link& link, const peers::EncodedMessage& message) {
  if (!builder_) return;
  auto sum = peers::decode_observation_sum(message);
  if (link.peer().role != peers::PeerRole::kVoter) return;
  builder_->add_sum(link.peer().name, std::move(sum.observation), net::monotonic_now());
}

void PlacementJob::on_downstream_closed(const std::string& name) {
  if (builder_) builder_->remove_proxy(name);
}

// ---- Rounds

void PlacementJob::run_placement() {
  round_timer_ = context_.loop.at(context_.loop.now() + kObservationInterval, [this] { run_placement(); });
  auto now = net::monotonic_now();
  auto sum = builder_->observation_sum(now);
  if (!leases_.holds(kPlacementJob, now)) {
    reset_lease_holder_state();
    return send_observation_sum(sum);
  }
  builder_->add_sum(context_.name(), std::move(sum), now);
  leases_.record_progress(kPlacementJob);
  publish_plan();
  if (!next_plan_) {
    next_plan_ = builder_->make_next_plan(plans_.committed_plan(), subscriber_.effective_endpoint_list(), now,
                                          unix_ms());
    if (next_plan_) publish_plan();
  }
  log_unknown_zones();
  send_status();
}

void PlacementJob::reset_lease_holder_state() {
  builder_->reset();
  next_plan_.reset();
  for (auto& waiting : std::exchange(waiting_requests_, {})) reject(waiting.route, kNotLeaseHolder);
}

void PlacementJob::send_observation_sum(const placement::Observation& sum) {
  auto* job = state_.job(kPlacementJob);
  if (!job || job->lease_holder.empty() || job->lease_holder == context_.name()) return;
  connections_.send_to_voter(job->lease_holder, peers::encode(peers::ObservationSum{sum}));
}

void PlacementJob::log_unknown_zones() {
  for (auto& zone : builder_->unknown_zones())
    if (logged_unknown_zones_.insert(zone).second)
      context_.log(
          Level::kWarning,
          fmt::format("zone '{}' has data servers but no region: it counts as far from all other zones",
                      zone));
}

void PlacementJob::send_status() {
  peers::PlanStatus status;
  status.header = {kPlacementJob, leases_.token(kPlacementJob)};
  status.plan_number = plans_.committed_plan().number;
  status.sent_at_unix_ms = unix_ms();
  // The lease is checked right before the effect.
  if (!leases_.holds_now(kPlacementJob)) return;
  gossip_.on_job_report(peers::encode(status), nullptr);
}

// Proposes the uncommitted plan; without one, handles the next queued request.
void PlacementJob::publish_plan() {
  bool is_finished = next_plan_ && plans_.committed_plan().number >= next_plan_->number;
  if (is_finished) next_plan_.reset();  // committed, or superseded by another lease holder's plan
  if (next_plan_) return propose_plan();
  if (waiting_requests_.empty()) return;
  auto request = std::move(waiting_requests_.front());
  waiting_requests_.erase(waiting_requests_.begin());
  handle_request(request);
}

void PlacementJob::propose_plan() {
  auto now = net::monotonic_now();
  if (now - last_proposed_ < kProposalRetryInterval) return;
  last_proposed_ = now;
  auto command =
      ownership::encode(ownership::Publish{kPlacementJob, leases_.token(kPlacementJob), next_plan_->number,
                                           peers::encode_published_plan(*next_plan_)});
  // The lease is checked right before the effect.
  if (!state_.job(kPlacementJob) || !leases_.holds_now(kPlacementJob)) return;
  forwarding_.propose(command);
}

void PlacementJob::on_plan_committed(const placement::Plan& plan) {
  std::erase_if(uncommitted_requests_, [&](auto& uncommitted) {
    if (plan.number < uncommitted.plan_number) return false;
    auto& routed = uncommitted.routed;
    peers::PlanChange change{plan.number, routed.request.expected_duration_ms};
    answer(routed.route, {true, std::nullopt, change});
    return true;
  });
}

// ---- Operators

void PlacementJob::on_admin_command(peers::Link& link, const peers::EncodedMessage& message) {
  auto reject_here = [&](const std::string& reason) { link.send(peers::encode(rejection(reason))); };
  if (!builder_)
    return reject_here("this node does not run placement: it is no voter, or has no section group.placement");
  auto* job = state_.job(kPlacementJob);
  if (!job || job->lease_holder.empty()) {
    auto request = peers::decode_placement_request(message);
    bool has_plan = plans_.committed_plan().number > 0;
    if (request.action != PlacementAction::kShow || !has_plan)
      return reject_here("nobody owns the job placement now");
    link.send(peers::encode(peers::AdminAnswer{true, std::nullopt, make_report(request)}));
    return;
  }
  auto routed = peers::with_type_and_route(message, peers::MessageType::kPlacementCommand,
                                           forwarding_.downstream_route(link));
  if (job->lease_holder == context_.name()) return on_routed_command(routed);
  if (connections_.send_to_voter(job->lease_holder, routed)) return;
  reject_here(fmt::format("{}, which holds the lease of the job placement, is not reachable from this node",
                          job->lease_holder));
}

void PlacementJob::on_routed_command(const peers::EncodedMessage& message) {
  handle_request({peers::decode_placement_request(message), peers::decode_route(message)});
}

void PlacementJob::handle_request(const RoutedRequest& routed) {
  auto& [request, route] = routed;
  if (!builder_ || !leases_.holds_now(kPlacementJob)) return reject(route, kNotLeaseHolder);
  if (request.action == PlacementAction::kShow || request.action == PlacementAction::kExplain) {
    auto report = make_report(request);
    report.input = builder_->input();
    return answer(route, {true, std::nullopt, std::move(report)});
  }
  if (!next_plan_) return change_plan(routed);
  if (waiting_requests_.size() >= kMaxWaitingRequests) return reject(route, kTooManyRequests);
  waiting_requests_.push_back(routed);
}

void PlacementJob::change_plan(RoutedRequest routed) {
  std::string reason;
  auto plan = make_requested_plan(&routed.request, &reason);
  if (!plan) return reject(routed.route, reason);
  if (uncommitted_requests_.size() >= kMaxWaitingRequests) return reject(routed.route, kTooManyRequests);
  context_.log(Level::kInfo, fmt::format("plan {}: {} {}, requested by the operator", plan->number,
                                         routed.request.action_name, routed.request.zone));
  uncommitted_requests_.push_back({plan->number, std::move(routed)});
  next_plan_ = std::move(*plan);
  last_proposed_ = Micros(0);
  publish_plan();
}

std::optional<placement::Plan> PlacementJob::make_requested_plan(peers::PlacementRequest* request,
                                                                 std::string* reason) {
  auto& committed = plans_.committed_plan();
  switch (request->action) {
    case PlacementAction::kEvacuate:
      request->expected_duration_ms = builder_->expected_duration(false);
      return builder_->evacuate(committed, request->zone, request->force, reason);
    case PlacementAction::kRestore:
      request->expected_duration_ms = builder_->expected_duration(true);
      return builder_->restore(committed, request->zone, reason);
    case PlacementAction::kFreeze:
    case PlacementAction::kResume: {
      bool is_freeze = request->action == PlacementAction::kFreeze;
      if (committed.frozen == is_freeze) {
        *reason = committed.frozen ? "it is frozen already" : "it is not frozen";
        return std::nullopt;
      }
      auto plan = committed;
      plan.frozen = is_freeze;
      ++plan.number;
      return plan;
    }
    default:
      *reason = fmt::format("'{}' is not known", request->action_name);
      return std::nullopt;
  }
}

peers::PlanReport PlacementJob::make_report(const peers::PlacementRequest& request) const {
  peers::PlanReport report;
  report.plan = plans_.committed_plan();
  auto* job = state_.job(kPlacementJob);
  if (job) report.lease_holder = job->lease_holder;
  report.shard_group = request.shard_group;
  return report;
}

void PlacementJob::answer(const peers::Route& route, const peers::AdminAnswer& answer) {
  forwarding_.return_response(peers::encode(answer, route));
}

void PlacementJob::reject(const peers::Route& route, const std::string& reason) {
  answer(route, rejection(reason));
}

}  // namespace database_proxy::group
