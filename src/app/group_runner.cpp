#include "app/group_runner.h"

#include <fmt/format.h>
#include <signal.h>
#include <sys/resource.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>

#include "placement/zone_health_observer.h"

namespace database_proxy::app {
namespace {

// Number of file descriptors that the group may use in addition to those that the configuration allows the
// proxy: for links to hundreds of followers, the store and health checks.
constexpr rlim_t kGroupDescriptors = 2048;
// Average interval between the first polls of the discovery service by two proxies when the group becomes
// unavailable to all proxies at once: a hundred polls a second in total.
constexpr group::Micros kPollSpacing{10'000};
// Interval between two health checks of a replica by the lease holder: the default, used if no request class
// bounds the age of reads, and the minimum.
constexpr group::Micros kDefaultHealthCheckInterval{500'000}, kMinHealthCheckInterval{20'000};

// Runs the health checks of a lease holder in the group's thread, over connections that carry no requests.
class PoolHealthChecker : public group::HealthChecker, private proxy::ServerEvents {
 public:
  PoolHealthChecker(net::Loop& loop, proxy::PoolLimits limits, net::Log log,
                    group::HealthCheckCallback on_result)
      : on_result_(std::move(on_result)), pool_(loop, limits, *this, std::move(log)) {}
  void update_endpoints(const discovery::EndpointListUpdate& list) override { pool_.update(list); }
  void check(const std::string& server) override { pool_.probe(server); }
  void end_loop_iteration() override { pool_.free_closed(); }

 private:
  void attempt_ended(proxy::AttemptEnd) override {}
  void probe_ended(routing::ProbeResult result) override {
    on_result_({result.server, result.ok, result.duration, result.load_report});
  }
  proxy::ClientPort* client_of(routing::RequestId) override { return nullptr; }
  void attempt_begins(routing::RequestId, const std::string&) override {}

  group::HealthCheckCallback on_result_;
  proxy::ServerPool pool_;
};

// Average number of proxies in a zone that probe zones to which they send no requests. At least two are
// needed, because the opinion of fewer than placement::Options::min_reporters proxies does not count.
constexpr double kProbersPerZone = 4;

// Returns the part of the placement plan that applies to the clients of one zone.
request_router::Plan plan_for_zone(const placement::Plan& plan, const placement::Zone& zone) {
  request_router::Plan zone_plan;
  for (auto& [key, shares] : plan.shares) {
    if (key.second != zone) continue;
    std::map<std::string, request_router::ZoneShare> by_zone;
    for (auto& [to, share] : shares) by_zone[to] = {to, share, 0};
    if (auto it = plan.surplus_capacity.find(key); it != plan.surplus_capacity.end())
      for (auto& [to, surplus_share] : it->second) {
        by_zone[to].zone = to;
        by_zone[to].surplus_share = surplus_share;
      }
    auto& group = zone_plan.groups.emplace_back(key.first, std::vector<request_router::ZoneShare>{}).second;
    for (auto& [to, share] : by_zone) group.push_back(share);
  }
  return zone_plan;
}

}  // namespace

// Observes the health of zones from the proxy's requests and probes, in the proxy's thread.
class GroupRunner::ZoneObserver : public proxy::RequestObserver {
 public:
  ZoneObserver(net::Loop& loop, const request_router::Settings& settings, placement::Zone own_zone,
               bool probes_unused_zones)
      : loop_(loop), warm_up_(settings.warm_up), observer_(std::move(own_zone), probes_unused_zones) {
    for (auto& c : settings.classes)
      is_read_class_.push_back(c.level != request_router::ReadLevel::kWrite &&
                               c.level != request_router::ReadLevel::kFresh);
  }
  void update_locations(const discovery::EndpointListUpdate& list) {
    std::map<std::string, placement::EndpointLocation> locations;
    auto unix =
        std::chrono::duration_cast<group::Micros>(std::chrono::system_clock::now().time_since_epoch());
    for (auto& m : list.endpoints) {
      if (m.lifecycle != discovery::Lifecycle::kUp) continue;
      group::Micros warm_at{0};
      if (m.started_at_ms > 0)
        warm_at = loop_.now() + group::Micros(m.started_at_ms * 1000) + warm_up_ - unix;
      locations[m.id] = {m.shard_group, m.zone, warm_at};
    }
    observer_.set_locations(std::move(locations));
  }
  placement::ZoneHealthObserver& observer() { return observer_; }

  void submitted(const routing::Request& r) override {
    if (is_read_class_[r.request_class]) observer_.on_read_request(r.shard_group);
  }
  void sent(const routing::Decision& d, bool waited) override {
    observer_.on_attempt_sent(d.request, d.attempt, d.server, loop_.now(), waited);
  }
  void ended(const routing::AttemptResult& r) override {
    using routing::AttemptOutcome;
    auto outcome = placement::ObservedOutcome::kInconclusive;
    if (r.outcome == AttemptOutcome::kServed || r.outcome == AttemptOutcome::kDeclined)
      outcome = placement::ObservedOutcome::kServed;
    if (r.outcome == AttemptOutcome::kNoConnection) outcome = placement::ObservedOutcome::kRefused;
    if (r.outcome == AttemptOutcome::kRejected) outcome = placement::ObservedOutcome::kRejected;
    if (r.outcome == AttemptOutcome::kTimedOut) outcome = placement::ObservedOutcome::kTimedOut;
    if (r.outcome == AttemptOutcome::kError || r.outcome == AttemptOutcome::kReset)
      outcome = placement::ObservedOutcome::kFailed;
    if (r.role == routing::ServerRole::kPrimary) observer_.on_primary_observed(r.server);
    observer_.on_attempt_ended(r.request, r.attempt, r.server, outcome, r.duration);
  }
  void probed(const routing::ProbeResult& r) override { observer_.on_probe_ended(r.server, r.ok); }

 private:
  net::Loop& loop_;
  group::Micros warm_up_;
  std::vector<bool> is_read_class_;  // by request class
  placement::ZoneHealthObserver observer_;
};

GroupRunner::GroupRunner(net::Loop& loop, proxy::Proxy& proxy, routing::Decider& decider,
                         group::Options options, const proxy::ProxyOptions& proxy_options,
                         const request_router::Settings& settings, std::uint64_t seed, net::Log log)
    : loop_(loop),
      proxy_(proxy),
      decider_(decider),
      tasks_(loop),
      own_zone_(settings.zone),
      health_check_limits_(proxy_options.pool),
      log_(log) {
  signal(SIGXFSZ, SIG_IGN);  // exceeding the file size limit is handled like a full disk
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = std::min(limit.rlim_max, limit.rlim_cur + kGroupDescriptors);
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  options.seed = seed;
  options.fallback_jitter = std::max(options.fallback_jitter, kPollSpacing * settings.routers);
  if (options.probe_interval.count() == 0) {
    // Each replica is checked once in two thirds of the bound. Two replicas are checked alternately, so the
    // newest check is at most a third of the bound old, which leaves two thirds for the replica's lag and the
    // network delay. A single replica is checked twice as often.
    options.probe_interval = kDefaultHealthCheckInterval;
    for (auto& c : settings.classes)
      if (c.bound.count() > 0) options.probe_interval = std::min(options.probe_interval, c.bound * 2 / 3);
    options.probe_interval = std::max(options.probe_interval, kMinHealthCheckInterval);
  }
  if (options.placement) {
    options.placement->warm_up = settings.warm_up;
    options.placement->initial_capacity_share = settings.initial_capacity_share;
    std::set<std::string> zones;
    for (auto& [zone, region] : options.placement->regions) zones.insert(zone);
    auto proxies_per_zone =
        std::max(1.0, static_cast<double>(settings.routers) / static_cast<double>(zones.size()));
    auto draw = static_cast<double>(std::hash<std::string>{}(options.name) >> 11) * 0x1p-53;
    zone_observer_ = std::make_unique<ZoneObserver>(loop, settings, settings.zone,
                                                    draw * proxies_per_zone < kProbersPerZone);
    zone_observer_->update_locations(proxy_options.known);
    proxy.dispatcher().set_observer(zone_observer_.get());
  }
  proxy.dispatcher().use_load_reports(
      [this](const std::string& server) { node_->subscribe_to_load(server); });
  proxy.before_iteration_end = [this] { tasks_.run_pending(); };
  group::NodeHost& host = *this;
  node_ = std::make_unique<group::Node>(std::move(options), proxy_options.discovery, proxy_options.schedule,
                                        proxy_options.known, host, std::move(log));
}

void GroupRunner::on_effective_endpoint_list(const discovery::EndpointListUpdate& list, bool is_restart) {
  tasks_.post([this, list, is_restart] {
    if (zone_observer_) zone_observer_->update_locations(list);
    proxy_.dispatcher().expect_load_reports(true);
    proxy_.apply_endpoint_list(list, is_restart);
  });
}

void GroupRunner::on_load_reports(std::vector<group::LoadReport> reports) {
  tasks_.post([this, reports = std::move(reports)] {
    for (auto& report : reports)
      proxy_.dispatcher().on_load_report({report.server, true, report.check_duration, report.load},
                                         report.age);
  });
}

void GroupRunner::on_group_unavailable(group::EndpointListFallback fallback) {
  tasks_.post([this, fallback] {
    proxy_.dispatcher().expect_load_reports(fallback == group::EndpointListFallback::kNone);
    proxy_.watch_discovery(fallback == group::EndpointListFallback::kProcessPolls);
  });
}

void GroupRunner::on_plan_adopted(const std::optional<placement::Plan>& plan) {
  auto own_plan = plan ? plan_for_zone(*plan, own_zone_) : request_router::Plan{};
  tasks_.post([this, own_plan = std::move(own_plan)] { proxy_.dispatcher().plan(own_plan); });
}

std::unique_ptr<group::HealthChecker> GroupRunner::make_health_checker(net::Loop& loop,
                                                                       group::HealthCheckCallback on_result) {
  return std::make_unique<PoolHealthChecker>(loop, health_check_limits_, log_, std::move(on_result));
}

void GroupRunner::start() {
  node_->start();
  if (zone_observer_)
    observation_timer_ = loop_.at(loop_.now() + group::kObservationInterval, [this] { observe_zones(); });
}

void GroupRunner::observe_zones() {
  observation_timer_ = loop_.at(loop_.now() + group::kObservationInterval, [this] { observe_zones(); });
  node_->submit_observation(zone_observer_->observer().take_observation(
      loop_.now(), node_->adopted_plan_number(),
      [this](const std::string& server) { return decider_.spare_capacity(server); }));
  auto draw = static_cast<std::uint64_t>(loop_.now().count()) * 0x9e3779b97f4a7c15;
  for (auto& server : zone_observer_->observer().choose_probe_targets(draw >> 8))
    proxy_.dispatcher().probe_now(server);
}

GroupRunner::~GroupRunner() {
  loop_.cancel(&observation_timer_);
  node_.reset();
  proxy_.dispatcher().set_observer(nullptr);
  proxy_.before_iteration_end = [] {};
}

}  // namespace database_proxy::app
