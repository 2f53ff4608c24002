// What proxies observed of zones of data servers, summed up. Sums are associative and commutative, so they
// can be made on the way to the owner of the placement job; their size is bounded by zones and sets, whatever
// the size of the fleet. Pure: no clock, I/O or thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>

namespace database_proxy::placement {

// Of data servers, clients and proxies. Empty: not known, and far from all others.
using Zone = std::string;
// A set of servers with the same data (a cell of the endpoint list).
using ShardGroupId = std::int64_t;

// Entries beyond these are summed up under the unknown zone and set 0, so that no list can make a sum grow
// without bound.
constexpr std::size_t kMaxZones = 32, kMaxShardGroups = 256;
// The newest plans that are told apart among those that proxies follow.
constexpr std::size_t kMaxFollowedPlans = 8;

// What became of the attempts of one proxy, or of many, in one span of time at one zone of servers.
struct ZoneSample {
  std::uint64_t attempts = 0;
  std::uint64_t refused = 0;  // no connection
  std::uint64_t timed_out = 0;
  std::uint64_t failed = 0;
  std::uint64_t rejected = 0;    // rejected untouched, for the server's load
  std::uint64_t latency_us = 0;  // sum over those that were answered
  std::uint64_t postponed = 0;   // reads that waited for a fresh replica
  std::uint64_t warming_up = 0;  // servers
  double spare_capacity = 0;     // requests a second that proxies would send there beside these

  void add(const ZoneSample& other);
  bool operator==(const ZoneSample&) const = default;
};

// How many proxies of one zone found a zone of servers healthy, unhealthy or late. A zone that answers late,
// or that rejects requests, may be unhealthy or overloaded, which no proxy can tell by itself. A proxy that
// sent nothing there does not vote. One with a fault of its own, to which all zones seem unhealthy, is one
// vote.
struct HealthVotes {
  std::uint64_t healthy = 0, unhealthy = 0, late = 0;

  void add(const HealthVotes& other) {
    healthy += other.healthy;
    unhealthy += other.unhealthy;
    late += other.late;
  }
  std::uint64_t total() const { return healthy + unhealthy + late; }
  bool operator==(const HealthVotes&) const = default;
};

// The sum of what proxies observed in one span of time. Each proxy makes one of its own, voters add them up.
class Observation {
 public:
  // By proxies in `from`, of servers of `set` in `zone`.
  void record(const Zone& from, ShardGroupId shard_group, const Zone& zone, const ZoneSample& sample);
  // By one proxy in `from`.
  void add_vote(const Zone& from, const Zone& zone, bool healthy) {
    add_votes(from, zone, healthy ? HealthVotes{1, 0} : HealthVotes{0, 1});
  }
  // By many proxies in `from`.
  void add_votes(const Zone& from, const Zone& zone, const HealthVotes& votes);
  // Adds requests by clients in `from` to the demand.
  void add_demand(const Zone& from, ShardGroupId shard_group, std::uint64_t requests);
  // So many proxies observed the primary of `set` in `zone`.
  void add_primary(ShardGroupId shard_group, const Zone& zone, std::uint64_t proxies = 1);
  // So many proxies follow the plan of this number; 0: none.
  void add_followers(std::uint64_t plan, std::uint64_t proxies = 1);
  void add(const Observation& other);

  // By proxies' zone, set and servers' zone.
  const std::map<std::tuple<Zone, ShardGroupId, Zone>, ZoneSample>& samples() const { return samples_; }
  // The earlier name of samples(): tests/group/zones_test.cpp still uses it.
  const std::map<std::tuple<Zone, ShardGroupId, Zone>, ZoneSample>& seen() const { return samples_; }
  // By proxies' zone and servers' zone.
  const std::map<std::pair<Zone, Zone>, HealthVotes>& votes() const { return votes_; }
  // By clients' zone and set: requests in this span.
  const std::map<std::pair<Zone, ShardGroupId>, std::uint64_t>& demand() const { return demand_; }
  // By set and zone: proxies that observed the set's primary there.
  const std::map<std::pair<ShardGroupId, Zone>, std::uint64_t>& primaries() const { return primaries_; }
  // By plan: proxies that follow it. The oldest entry also counts all older plans.
  const std::map<std::uint64_t, std::uint64_t>& followers() const { return followers_; }

  // The part of an old observation that is still of use: demand changes slowly, health does not.
  Observation demand_only() const;
  bool operator==(const Observation&) const = default;

 private:
  std::map<std::tuple<Zone, ShardGroupId, Zone>, ZoneSample> samples_;
  std::map<std::pair<Zone, Zone>, HealthVotes> votes_;
  std::map<std::pair<Zone, ShardGroupId>, std::uint64_t> demand_;
  std::map<std::pair<ShardGroupId, Zone>, std::uint64_t> primaries_;
  std::map<std::uint64_t, std::uint64_t> followers_;
};

// The demand without the random swings of short spans; a true rise counts at once. The owner of the placement
// job keeps one.
class Demand {
 public:
  using Rates =
      std::map<std::pair<Zone, ShardGroupId>, double>;  // requests a second, by clients' zone and set

  // Takes in the next span of `seconds`.
  void debounce(const Observation& observation, double seconds);
  const Rates& rates() const { return rates_; }

 private:
  Rates rates_;
};

// One proxy's opinion of a zone, from its own span.
enum class Opinion { kNone, kHealthy, kUnhealthy, kLate };

// kUnhealthy: half of all attempts were refused or failed. kLate: half of them were lost otherwise, or all
// are five times as slow as usual. kNone: too few attempts. `usual_latency_us` 0: not known.
Opinion assess(const ZoneSample& sample, std::uint64_t usual_latency_us);

}  // namespace database_proxy::placement
