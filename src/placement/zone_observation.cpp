#include "placement/zone_observation.h"

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <tuple>
#include <utility>

namespace database_proxy::placement {
namespace {

// Minimum number of attempts for an opinion, because one lost request is no evidence against a zone.
constexpr std::uint64_t kMinAttempts = 3;
// Multiple of the usual latency above which a zone is late. A busy hour at most triples the latency.
constexpr std::uint64_t kLateFactor = 5;

// Weight of the newest interval in the demand.
constexpr double kSmoothing = 0.2;
// A rise is significant if it exceeds this fraction of the demand plus this many standard deviations of a
// count.
constexpr double kSignificantRise = 0.2, kSignificantDeviations = 3;
// Requests per second below which a demand that is no longer observed is removed.
constexpr double kNegligibleRate = 0.01;

// Returns whether the map has the key, or has room for it.
template <typename Map, typename Key>
bool can_store(const Map& map, const Key& key, std::size_t max_size) {
  return map.size() < max_size || map.count(key) > 0;
}

}  // namespace

void ZoneSample::add(const ZoneSample& other) {
  attempts += other.attempts;
  refused += other.refused;
  timed_out += other.timed_out;
  failed += other.failed;
  rejected += other.rejected;
  latency_us += other.latency_us;
  postponed += other.postponed;
  warming_up += other.warming_up;
  spare_capacity += other.spare_capacity;
}

void Observation::record(const Zone& from, ShardGroupId shard_group, const Zone& zone,
                         const ZoneSample& sample) {
  std::tuple key(from, shard_group, zone);
  if (!can_store(samples_, key, kMaxZones * kMaxShardGroups)) key = {"", 0, ""};
  samples_[key].add(sample);
}

void Observation::add_votes(const Zone& from, const Zone& zone, const HealthVotes& votes) {
  std::pair key(from, zone);
  if (can_store(votes_, key, kMaxZones * kMaxZones)) votes_[key].add(votes);
}

void Observation::add_demand(const Zone& from, ShardGroupId shard_group, std::uint64_t requests) {
  std::pair key(from, shard_group);
  if (!can_store(demand_, key, kMaxZones * kMaxShardGroups)) key = {"", 0};
  demand_[key] += requests;
}

void Observation::add_primary(ShardGroupId shard_group, const Zone& zone, std::uint64_t proxies) {
  std::pair key(shard_group, zone);
  if (can_store(primaries_, key, kMaxZones * kMaxShardGroups)) primaries_[key] += proxies;
}

void Observation::add_followers(std::uint64_t plan, std::uint64_t proxies) {
  followers_[plan] += proxies;
  if (followers_.size() <= kMaxFollowedPlans) return;
  auto oldest = followers_.begin();
  std::next(oldest)->second += oldest->second;
  followers_.erase(oldest);
}

Observation Observation::demand_only() const {
  Observation observation;
  observation.demand_ = demand_;
  return observation;
}

void Observation::add(const Observation& other) {
  for (const auto& [key, proxies] : other.primaries_) add_primary(key.first, key.second, proxies);
  for (const auto& [plan, proxies] : other.followers_) add_followers(plan, proxies);
  for (const auto& [key, sample] : other.samples_)
    record(std::get<0>(key), std::get<1>(key), std::get<2>(key), sample);
  for (const auto& [key, votes] : other.votes_) add_votes(key.first, key.second, votes);
  for (const auto& [key, requests] : other.demand_) add_demand(key.first, key.second, requests);
}

void Demand::add_interval(const Observation& observation, double seconds) {
  const auto& demand = observation.demand();
  std::erase_if(rates_, [&](const auto& entry) {
    return entry.second < kNegligibleRate && !demand.contains(entry.first);
  });
  for (auto& [key, rate] : rates_)
    if (!demand.contains(key)) rate -= kSmoothing * rate;
  for (const auto& [key, requests] : demand) {
    double newest = static_cast<double>(requests) / seconds;
    double& rate = rates_.try_emplace(key, newest).first->second;
    // The standard deviation of a count is its square root.
    double noise = kSignificantDeviations * std::sqrt(static_cast<double>(requests)) / seconds;
    bool is_significant_rise = newest - rate > kSignificantRise * rate + noise;
    rate += (is_significant_rise ? 1 : kSmoothing) * (newest - rate);
  }
}

Opinion assess(const ZoneSample& sample, std::uint64_t usual_latency_us) {
  if (sample.attempts < kMinAttempts) return Opinion::kNone;
  if ((sample.refused + sample.failed) * 2 >= sample.attempts) return Opinion::kUnhealthy;
  auto lost = sample.refused + sample.timed_out + sample.failed + sample.rejected;
  if (lost * 2 >= sample.attempts) return Opinion::kLate;
  auto answered = sample.attempts - lost;
  bool is_slow = usual_latency_us > 0 && sample.latency_us > usual_latency_us * kLateFactor * answered;
  return is_slow ? Opinion::kLate : Opinion::kHealthy;
}

}  // namespace database_proxy::placement
