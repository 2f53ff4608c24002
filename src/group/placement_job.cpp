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

// A plan that is not in the registry after this time is proposed again.
constexpr Micros kProposeAgain = 400ms;
// Operators' requests that wait for a plan to be committed; more are refused.
constexpr std::size_t kMostWaiting = 64;

constexpr const char* kNotOwner = "this node owns the job placement no more";
constexpr const char* kTooManyRequests = "too many ask at once";

peers::AdminAnswer refusal(const std::string& reason) { return {false, reason, {}}; }

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
  auto first = context_.random_time_within(kObserveEvery);
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
  round_timer_ = context_.loop.at(context_.loop.now() + kObserveEvery, [this] { run_placement(); });
  auto now = net::monotonic_now();
  auto sum = builder_->sum(now);
  if (!leases_.holds(kPlacementJob, now)) {
    end_ownership();
    return send_sum(sum);
  }
  builder_->add_sum(context_.name(), std::move(sum), now);
  leases_.record_progress(kPlacementJob);
  publish_plan();
  if (!next_plan_) {
    next_plan_ =
        builder_->next(plans_.committed_plan(), subscriber_.effective_endpoint_list(), now, unix_ms());
    if (next_plan_) publish_plan();
  }
  log_unknown_zones();
  send_status();
}

void PlacementJob::end_ownership() {
  builder_->reset();
  next_plan_.reset();
  for (auto& waiting : std::exchange(waiting_requests_, {})) refuse(waiting.route, kNotOwner);
}

void PlacementJob::send_sum(const placement::Observation& sum) {
  auto* job = state_.job(kPlacementJob);
  if (!job || job->owner.empty() || job->owner == context_.name()) return;
  connections_.send_to_voter(job->owner, peers::encode(peers::ObservationSum{sum}));
}

void PlacementJob::log_unknown_zones() {
  for (auto& zone : builder_->unknown_zones())
    if (logged_unknown_zones_.insert(zone).second)
      context_.log(Level::kWarning,
                   fmt::format("zone '{}' of data servers is in no region: it counts as far from all", zone));
}

void PlacementJob::send_status() {
  peers::PlanStatus status;
  status.header = {kPlacementJob, leases_.token(kPlacementJob)};
  status.plan_number = plans_.committed_plan().number;
  status.sent_at_unix_ms = unix_ms();
  if (!leases_.holds_now(kPlacementJob)) return;  // right before the effect
  gossip_.on_job_report(peers::encode(status), nullptr);
}

void PlacementJob::publish_plan() {
  bool is_settled = next_plan_ && plans_.committed_plan().number >= next_plan_->number;
  if (is_settled) next_plan_.reset();  // committed, or overtaken by another lease holder's
  if (next_plan_) return propose_plan();
  if (waiting_requests_.empty()) return;
  auto request = std::move(waiting_requests_.front());
  waiting_requests_.erase(waiting_requests_.begin());
  handle_request(request);
}

void PlacementJob::propose_plan() {
  auto now = net::monotonic_now();
  if (now - last_proposed_ < kProposeAgain) return;
  last_proposed_ = now;
  auto command =
      ownership::encode(ownership::Publish{kPlacementJob, leases_.token(kPlacementJob), next_plan_->number,
                                           peers::encode_published_plan(*next_plan_)});
  if (!state_.job(kPlacementJob) || !leases_.holds_now(kPlacementJob)) return;  // right before the effect
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
  auto refuse_here = [&](const std::string& reason) { link.send(peers::encode(refusal(reason))); };
  if (!builder_) return refuse_here("there is no section group.placement at this node");
  auto* job = state_.job(kPlacementJob);
  if (!job || job->owner.empty()) {
    auto request = peers::decode_placement_request(message);
    bool has_plan = plans_.committed_plan().number > 0;
    if (request.action != PlacementAction::kShow || !has_plan)
      return refuse_here("nobody owns the job placement now");
    link.send(peers::encode(peers::AdminAnswer{true, std::nullopt, make_report(request)}));
    return;
  }
  auto routed = peers::with_type_and_route(message, peers::MessageType::kPlacementCommand,
                                           forwarding_.route_below(link));
  if (job->owner == context_.name()) return on_routed_command(routed);
  if (connections_.send_to_voter(job->owner, routed)) return;
  refuse_here(fmt::format("{}, which owns the job placement, is out of reach of this node", job->owner));
}

void PlacementJob::on_routed_command(const peers::EncodedMessage& message) {
  handle_request({peers::decode_placement_request(message), peers::decode_route(message)});
}

void PlacementJob::handle_request(const RoutedRequest& routed) {
  auto& [request, route] = routed;
  if (!builder_ || !leases_.holds_now(kPlacementJob)) return refuse(route, kNotOwner);
  if (request.action == PlacementAction::kShow || request.action == PlacementAction::kExplain) {
    auto report = make_report(request);
    report.input = builder_->input();
    return answer(route, {true, std::nullopt, std::move(report)});
  }
  if (!next_plan_) return change_plan(routed);
  if (waiting_requests_.size() >= kMostWaiting) return refuse(route, kTooManyRequests);
  waiting_requests_.push_back(routed);
}

void PlacementJob::change_plan(RoutedRequest routed) {
  std::string reason;
  auto plan = make_requested_plan(&routed.request, &reason);
  if (!plan) return refuse(routed.route, reason);
  if (uncommitted_requests_.size() >= kMostWaiting) return refuse(routed.route, kTooManyRequests);
  context_.log(Level::kInfo, fmt::format("plan {}: {} {}, asked by the operator", plan->number,
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
  if (job) report.lease_holder = job->owner;
  report.shard_group = request.shard_group;
  return report;
}

void PlacementJob::answer(const peers::Route& route, const peers::AdminAnswer& answer) {
  forwarding_.return_response(peers::encode(answer, route));
}

void PlacementJob::refuse(const peers::Route& route, const std::string& reason) {
  answer(route, refusal(reason));
}

}  // namespace database_proxy::group
