// Sums of what proxies observed of zones of data servers. Summing is associative and commutative, so voters
// can do it on the way to the lease holder of the placement job. The size of a sum is bounded by the number
// of zones and shard groups, however large the fleet is. Pure: uses no clock, I/O or thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>

namespace database_proxy::placement {

// The zone of data servers, clients or proxies. Empty: unknown, and far from all other zones.
using Zone = std::string;
// A shard group: servers with the same data (`cell` in the endpoint list).
using ShardGroupId = std::int64_t;

// Samples and demand beyond these limits are summed up under the unknown zone and shard group 0, and other
// entries beyond them are dropped, so that no endpoint list can make a sum grow without bound.
constexpr std::size_t kMaxZones = 32, kMaxShardGroups = 256;
// Number of followed plans that are counted separately, the newest ones.
constexpr std::size_t kMaxFollowedPlans = 8;

// The outcomes of the attempts of one or more proxies at one zone of servers in one interval.
struct ZoneSample {
  std::uint64_t attempts = 0;
  std::uint64_t refused = 0;  // no connection
  std::uint64_t timed_out = 0;
  std::uint64_t failed = 0;
  std::uint64_t rejected = 0;    // the overloaded server did not process them
  std::uint64_t latency_us = 0;  // sum over the answered attempts
  std::uint64_t postponed = 0;   // reads that waited until a replica was fresh enough
  std::uint64_t warming_up = 0;  // number of servers that are warming up
  double spare_capacity = 0;     // requests per second that proxies would send in addition

  void add(const ZoneSample& other);
  bool operator==(const ZoneSample&) const = default;
};

// Number of proxies of one zone that found a zone of servers healthy, unhealthy or late. A zone that answers
// late or rejects requests may be unhealthy or overloaded; a single proxy cannot distinguish the two. A proxy
// that sent nothing to the zone does not vote. A faulty proxy, to which all zones seem unhealthy, has one
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

// The sum of what proxies observed in one interval. Each proxy makes its own, and voters add them up.
class Observation {
 public:
  // Adds a sample that proxies in `from` took of the servers of `shard_group` in `zone`.
  void record(const Zone& from, ShardGroupId shard_group, const Zone& zone, const ZoneSample& sample);
  // Adds the vote of one proxy in `from` on `zone`.
  void add_vote(const Zone& from, const Zone& zone, bool healthy) {
    add_votes(from, zone, healthy ? HealthVotes{1, 0} : HealthVotes{0, 1});
  }
  // Adds the votes of one or more proxies in `from` on `zone`.
  void add_votes(const Zone& from, const Zone& zone, const HealthVotes& votes);
  // Adds requests by clients in `from` to the demand.
  void add_demand(const Zone& from, ShardGroupId shard_group, std::uint64_t requests);
  // Adds `proxies` that observed the primary of `shard_group` in `zone`.
  void add_primary(ShardGroupId shard_group, const Zone& zone, std::uint64_t proxies = 1);
  // Adds `proxies` that follow the plan with the number `plan`; 0: no plan.
  void add_followers(std::uint64_t plan, std::uint64_t proxies = 1);
  void add(const Observation& other);

  // Returns the samples, by proxies' zone, shard group and servers' zone.
  const std::map<std::tuple<Zone, ShardGroupId, Zone>, ZoneSample>& samples() const { return samples_; }
  // Returns samples().
  const std::map<std::tuple<Zone, ShardGroupId, Zone>, ZoneSample>& seen() const { return samples_; }
  // Returns the votes, by proxies' zone and servers' zone.
  const std::map<std::pair<Zone, Zone>, HealthVotes>& votes() const { return votes_; }
  // Returns the number of requests in this interval, by clients' zone and shard group.
  const std::map<std::pair<Zone, ShardGroupId>, std::uint64_t>& demand() const { return demand_; }
  // Returns the number of proxies that observed the shard group's primary in a zone, by shard group and zone.
  const std::map<std::pair<ShardGroupId, Zone>, std::uint64_t>& primaries() const { return primaries_; }
  // Returns the number of proxies that follow a plan, by plan number. The oldest entry includes all older
  // plans.
  const std::map<std::uint64_t, std::uint64_t>& followers() const { return followers_; }

  // Returns the part of an old observation that is still valid: demand changes slowly, but health does not.
  Observation demand_only() const;
  bool operator==(const Observation&) const = default;

 private:
  std::map<std::tuple<Zone, ShardGroupId, Zone>, ZoneSample> samples_;
  std::map<std::pair<Zone, Zone>, HealthVotes> votes_;
  std::map<std::pair<Zone, ShardGroupId>, std::uint64_t> demand_;
  std::map<std::pair<ShardGroupId, Zone>, std::uint64_t> primaries_;
  std::map<std::uint64_t, std::uint64_t> followers_;
};

// The demand, smoothed against the random fluctuation of short intervals. A significant rise takes effect at
// once. The lease holder of the placement job keeps one.
class Demand {
 public:
  using Rates = std::map<std::pair<Zone, ShardGroupId>, double>;  // per second, by clients' zone, shard group

  // Updates the rates with the next interval, of length `seconds`.
  void add_interval(const Observation& observation, double seconds);
  const Rates& rates() const { return rates_; }

 private:
  Rates rates_;
};

// One proxy's opinion of a zone, from its own attempts.
enum class Opinion { kNone, kHealthy, kUnhealthy, kLate };

// Returns the opinion that a sample supports. kUnhealthy: half of all attempts were refused or failed. kLate:
// half of them were lost in any way, or the mean latency is more than five times the usual one. kNone: too
// few attempts. `usual_latency_us` 0: unknown.
Opinion assess(const ZoneSample& sample, std::uint64_t usual_latency_us);

}  // namespace database_proxy::placement
