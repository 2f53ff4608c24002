// What proxies saw of zones of data servers, summed up. Summing is associative and commutative, so it can be
// done on the way; a sum's size is bounded by zones and sets, whatever the fleet's. No clock, I/O or thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace database_proxy::placement {

using Zone = std::string;  // of data servers, clients and proxies; empty: not known, and far from all
using SetId = std::int64_t;

// More are summed into the unknown zone and set 0, so that nobody's list makes a sum grow without bound.
constexpr std::size_t kMostZones = 32, kMostSets = 256;
constexpr std::size_t kMostPlans = 8;  // told apart among those that are followed; the newest

// One second of one proxy, or of many, for one set and one zone of its servers.
struct ZoneSample {
  // refused: no connection; full: turned away untouched, for its load.
  std::uint64_t attempts = 0, refused = 0, timed_out = 0, failed = 0, full = 0;
  std::uint64_t latency_us = 0;  // of those that were answered, in all
  std::uint64_t postponed = 0;   // reads that waited for a fresh replica
  std::uint64_t cold = 0;        // servers seen warming up
  double room = 0;               // requests a second that more could be sent
  void add(const ZoneSample& other);
  bool operator==(const ZoneSample&) const = default;
};

// How many proxies of one zone found a zone of servers well, ill, or late: a zone that answers late, or that
// turns requests away, may be ill and may have too much to do, which no proxy can tell alone. One that asked
// nothing there says nothing: a network card that sees all as dead is one voice.
struct HealthVotes {
  std::uint64_t healthy = 0, unhealthy = 0, late = 0;
  void add(const HealthVotes& other) {
    healthy += other.healthy, unhealthy += other.unhealthy, late += other.late;
  }
  std::uint64_t all() const { return healthy + unhealthy + late; }
  bool operator==(const HealthVotes&) const = default;
};

class Observation {
 public:
  // By a proxy in `from`, of servers of `set` in `zone`.
  void record(const Zone& from, SetId set, const Zone& zone, const ZoneSample& seen);
  void vote(const Zone& from, const Zone& zone, bool healthy) {
    voted(from, zone, healthy ? HealthVotes{1, 0} : HealthVotes{0, 1});
  }
  void voted(const Zone& from, const Zone& zone, const HealthVotes& votes);  // by many
  void asked(const Zone& from, SetId set, std::uint64_t requests);           // by its clients
  void leads(SetId set, const Zone& zone, std::uint64_t proxies = 1);        // so many saw its primary there
  void follows(std::uint64_t plan, std::uint64_t proxies = 1);  // so many follow this plan; 0: none
  void add(const Observation& other);

  const std::map<std::tuple<Zone, SetId, Zone>, ZoneSample>& seen() const { return seen_; }
  const std::map<std::pair<Zone, Zone>, HealthVotes>& votes() const { return votes_; }
  const std::map<std::pair<Zone, SetId>, std::uint64_t>& demand() const { return demand_; }
  const std::map<std::pair<SetId, Zone>, std::uint64_t>& primaries() const { return primaries_; }
  const std::map<std::uint64_t, std::uint64_t>& followers() const { return followers_; }
  // Of what is old only this is worth anything: what is asked for changes slowly, health does not.
  Observation demand_only() const;
  bool operator==(const Observation&) const = default;

 private:
  std::map<std::tuple<Zone, SetId, Zone>, ZoneSample> seen_;  // from, set, of
  std::map<std::pair<Zone, Zone>, HealthVotes> votes_;        // from, of
  std::map<std::pair<Zone, SetId>, std::uint64_t> demand_;    // from, set: requests of this second
  std::map<std::pair<SetId, Zone>, std::uint64_t> primaries_;
  std::map<std::uint64_t, std::uint64_t> followers_;  // by plan
};

// What is asked for, requests a second, without the swings of single halves of a second; a true rise counts
// at once.
class Demand {
 public:
  using Rates = std::map<std::pair<Zone, SetId>, double>;
  void debounce(const Observation& seen, double seconds);
  const Rates& rates() const { return rates_; }

 private:
  Rates rates_;
};

// What one proxy makes of its own span. Half of all attempts refused or failed is ill; half of them out for
// too long, or all of them five times as slow as usual, is late; a few that failed are neither.
enum class Opinion { kNone, kHealthy, kUnhealthy, kLate };
Opinion assess(const ZoneSample& seen, std::uint64_t usual_latency_us);

}  // namespace database_proxy::placement
