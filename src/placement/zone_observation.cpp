#include "placement/zone_observation.h"

#include <cmath>

namespace database_proxy::placement {
namespace {

// Fewer attempts in a second say nothing: one lost request is no sign of a zone.
constexpr std::uint64_t kLeastAttempts = 3;
constexpr double kSmooth = 0.2, kRise = 0.2, kChance = 3;  // of what is asked for: weight of the newest
constexpr double kForgotten = 0.01;                        // requests a second: nobody asks any more
constexpr std::uint64_t kSlowTimes = 5;  // of the usual latency; a busy hour triples it at most

// The name itself, or the unknown zone where a map of so many names is full.
template <typename Map, typename Key>
bool fits(const Map& map, const Key& key, std::size_t most) {
  return map.size() < most || map.count(key) > 0;
}

}  // namespace

void ZoneSample::add(const ZoneSample& o) {
  attempts += o.attempts;
  refused += o.refused;
  timed_out += o.timed_out;
  failed += o.failed;
  full += o.full;
  latency_us += o.latency_us;
  postponed += o.postponed;
  cold += o.cold;
  room += o.room;
}

void Observation::record(const Zone& from, SetId set, const Zone& zone, const ZoneSample& seen) {
  std::tuple key(from, set, zone);
  if (!fits(seen_, key, kMostZones * kMostSets)) key = {"", 0, ""};
  seen_[key].add(seen);
}

void Observation::voted(const Zone& from, const Zone& zone, const HealthVotes& votes) {
  std::pair key(from, zone);
  if (fits(votes_, key, kMostZones * kMostZones)) votes_[key].add(votes);
}

void Observation::asked(const Zone& from, SetId set, std::uint64_t requests) {
  std::pair key(from, set);
  if (!fits(demand_, key, kMostZones * kMostSets)) key = {"", 0};
  demand_[key] += requests;
}

void Observation::leads(SetId set, const Zone& zone, std::uint64_t proxies) {
  std::pair key(set, zone);
  if (fits(primaries_, key, kMostZones * kMostSets)) primaries_[key] += proxies;
}

void Observation::follows(std::uint64_t plan, std::uint64_t proxies) {
  followers_[plan] += proxies;
  if (followers_.size() <= kMostPlans) return;
  auto oldest = followers_.begin();  // with those that are older still
  std::next(oldest)->second += oldest->second;
  followers_.erase(oldest);
}

Observation Observation::demand_only() const {
  Observation o;
  o.demand_ = demand_;
  return o;
}

void Observation::add(const Observation& o) {
  for (auto& [key, n] : o.primaries_) leads(key.first, key.second, n);
  for (auto& [plan, n] : o.followers_) follows(plan, n);
  for (auto& [key, seen] : o.seen_) record(std::get<0>(key), std::get<1>(key), std::get<2>(key), seen);
  for (auto& [key, votes] : o.votes_) voted(key.first, key.second, votes);
  for (auto& [key, requests] : o.demand_) asked(key.first, key.second, requests);
}

void Demand::debounce(const Observation& seen, double seconds) {
  std::erase_if(rates_, [&](auto& r) { return r.second < kForgotten && !seen.demand().count(r.first); });
  for (auto& [key, rate] : rates_)
    if (!seen.demand().count(key)) rate -= kSmooth * rate;
  for (auto& [key, requests] : seen.demand()) {
    double now = static_cast<double>(requests) / seconds;
    auto [it, fresh] = rates_.try_emplace(key, now);
    double& rate = it->second;
    // The square root of what was counted is chance.
    bool rise = now - rate > kRise * rate + kChance * std::sqrt(static_cast<double>(requests)) / seconds;
    rate += (rise ? 1 : kSmooth) * (now - rate);
  }
}

Opinion assess(const ZoneSample& s, std::uint64_t usual) {
  if (s.attempts < kLeastAttempts) return Opinion::kNone;
  if ((s.refused + s.failed) * 2 >= s.attempts) return Opinion::kUnhealthy;
  auto lost = s.refused + s.timed_out + s.failed + s.full;
  if (lost * 2 >= s.attempts) return Opinion::kLate;
  auto answered = s.attempts - lost;
  bool slow = usual > 0 && s.latency_us > usual * kSlowTimes * answered;
  return slow ? Opinion::kLate : Opinion::kHealthy;
}

}  // namespace database_proxy::placement
