#include "placement/zone_health_observer.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "placement/zone_observation.h"

namespace database_proxy::placement {
namespace {

// An attempt that is in flight for more than this multiple of the usual latency, and for more than this
// minimum, is counted as timed out: a server that hangs does not answer at all, and clients wait for seconds
// before they give up.
constexpr double kOverdueFactor = 8;
constexpr Micros kMinOverdue{150'000};
constexpr double kLatencySmoothing = 0.1;       // weight of the newest interval in the usual latency
constexpr std::size_t kAttemptsForOpinion = 3;  // minimum number of attempts for an opinion on a zone
constexpr unsigned kIntervalsPerProbe = 2;      // intervals from one probe of a healthy zone to the next
constexpr std::size_t kMaxIntervalsForOpinion = kAttemptsForOpinion * kIntervalsPerProbe;

void count_attempt(ZoneSample* sample, ObservedOutcome outcome) {
  if (outcome == ObservedOutcome::kInconclusive) return;
  ++sample->attempts;
  sample->refused += outcome == ObservedOutcome::kRefused;
  sample->timed_out += outcome == ObservedOutcome::kTimedOut;
  sample->failed += outcome == ObservedOutcome::kFailed;
  sample->rejected += outcome == ObservedOutcome::kRejected;
}

}  // namespace

const EndpointLocation* ZoneHealthObserver::location_of(const std::string& server) const {
  auto it = locations_.find(server);
  return it == locations_.end() ? nullptr : &it->second;
}

void ZoneHealthObserver::on_attempt_sent(std::uint64_t request, int attempt, const std::string& server,
                                         Micros now, bool was_postponed) {
  in_flight_attempts_[{request, attempt}] = {server, now};
  const auto* location = location_of(server);
  if (location && was_postponed) ++zones_[location->zone].sample.postponed;
}

void ZoneHealthObserver::on_attempt_ended(std::uint64_t request, int attempt, const std::string& server,
                                          ObservedOutcome outcome, Micros latency) {
  auto it = in_flight_attempts_.find({request, attempt});
  bool counted = it != in_flight_attempts_.end() && it->second.counted;
  if (it != in_flight_attempts_.end()) in_flight_attempts_.erase(it);
  const auto* location = location_of(server);
  if (!location || counted) return;
  auto& sample = zones_[location->zone].sample;
  count_attempt(&sample, outcome);
  if (outcome == ObservedOutcome::kServed)
    sample.latency_us += static_cast<std::uint64_t>(std::max<std::int64_t>(0, latency.count()));
}

void ZoneHealthObserver::on_primary_observed(const std::string& server) {
  if (const auto* location = location_of(server)) primaries_[location->shard_group] = location->zone;
}

void ZoneHealthObserver::on_probe_ended(const std::string& server, bool ok) {
  const auto* location = location_of(server);
  if (!location) return;
  auto& health = zones_[location->zone];
  count_attempt(&health.sample, ok ? ObservedOutcome::kServed : ObservedOutcome::kTimedOut);
  ++health.probes;
  if (!ok) health.suspected = true;
  // A probe shows that the server works, but not the latency of requests: it counts with the usual latency.
  if (ok) health.sample.latency_us += static_cast<std::uint64_t>(health.usual_latency_us);
}

Observation ZoneHealthObserver::take_observation(
    Micros now, std::uint64_t followed_plan,
    const std::function<double(const std::string&)>& spare_capacity) {
  count_overdue_attempts(now);
  count_server_states(now, spare_capacity);
  remove_unlisted_zones();
  Observation observation;
  observation.add_followers(followed_plan);
  for (const auto& [shard_group, requests] : requests_)
    observation.add_demand(own_zone_, shard_group, requests);
  for (const auto& [shard_group, zone] : primaries_) observation.add_primary(shard_group, zone);
  for (auto& [zone, health] : zones_) end_interval(zone, &health, &observation);
  requests_.clear();
  return observation;
}

void ZoneHealthObserver::count_overdue_attempts(Micros now) {
  for (auto& [key, attempt] : in_flight_attempts_) {
    const auto* location = location_of(attempt.server);
    if (!location || attempt.counted) continue;
    auto& health = zones_[location->zone];
    Micros overdue_after(static_cast<std::int64_t>(health.usual_latency_us * kOverdueFactor));
    if (now - attempt.sent_at <= std::max(kMinOverdue, overdue_after)) continue;
    attempt.counted = true;
    count_attempt(&health.sample, ObservedOutcome::kTimedOut);
  }
}

void ZoneHealthObserver::count_server_states(
    Micros now, const std::function<double(const std::string&)>& spare_capacity) {
  for (const auto& [server, location] : locations_) {
    auto& sample = zones_[location.zone].sample;
    sample.warming_up += location.warmed_up_at > now;
    sample.spare_capacity += spare_capacity(server);
  }
}

void ZoneHealthObserver::remove_unlisted_zones() {
  std::set<Zone> listed;
  for (const auto& [server, location] : locations_) listed.insert(location.zone);
  std::erase_if(zones_, [&](const auto& zone) { return !listed.contains(zone.first); });
}

// Adds the zone's sample of this interval and the opinion on it to the observation, and begins the next
// interval.
void ZoneHealthObserver::end_interval(const Zone& zone, ZoneHealth* health, Observation* observation) const {
  auto& sample = health->sample;
  // If the zone got few requests, the opinion is formed from several intervals, but no more than necessary.
  auto sum = sample;
  for (const auto& previous : health->previous_samples) {
    if (sum.attempts >= kAttemptsForOpinion) break;
    sum.add(previous);
  }
  auto opinion = assess(sum, static_cast<std::uint64_t>(health->usual_latency_us));
  if (opinion == Opinion::kUnhealthy || opinion == Opinion::kLate) health->suspected = true;
  if (opinion == Opinion::kHealthy && sample.attempts >= kAttemptsForOpinion) health->suspected = false;
  if (opinion != Opinion::kNone)
    observation->add_votes(
        own_zone_, zone,
        {opinion == Opinion::kHealthy, opinion == Opinion::kUnhealthy, opinion == Opinion::kLate});
  observation->record(own_zone_, 0, zone, sample);
  auto answered = sample.attempts - sample.refused - sample.timed_out - sample.failed - sample.rejected;
  if (opinion == Opinion::kHealthy && answered > health->probes) {
    double mean = static_cast<double>(sample.latency_us) / static_cast<double>(answered);
    double& usual = health->usual_latency_us;
    usual = usual > 0 ? usual + kLatencySmoothing * (mean - usual) : mean;
  }
  health->previous_requests = sample.attempts - health->probes;
  health->probes = 0;
  health->previous_samples.push_front(std::exchange(sample, {}));
  if (health->previous_samples.size() >= kMaxIntervalsForOpinion) health->previous_samples.pop_back();
}

std::vector<std::string> ZoneHealthObserver::choose_probe_targets(std::uint64_t random_value) {
  std::vector<std::string> targets;
  if (!probes_unused_zones_) return targets;
  std::map<Zone, std::vector<const std::string*>> servers_in;
  for (const auto& [server, location] : locations_) servers_in[location.zone].push_back(&server);
  for (const auto& [zone, servers] : servers_in) {
    auto& health = zones_[zone];
    // A healthy zone gets one probe per kIntervalsPerProbe intervals; a suspected one gets enough probes for
    // an opinion at once.
    bool is_due = ++health.intervals_since_probe >= kIntervalsPerProbe;
    std::size_t needed = is_due ? 1 : 0;
    if (health.suspected) needed = kAttemptsForOpinion;
    if (needed > 0) health.intervals_since_probe = 0;
    for (std::size_t i = 0; health.previous_requests + i < needed; ++i)
      targets.push_back(*servers[(random_value + i) % servers.size()]);
  }
  return targets;
}

}  // namespace database_proxy::placement
