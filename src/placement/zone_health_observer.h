// Sums up the outcomes of one proxy's own requests by zone of servers, and forms an opinion on each zone.
// Pure: uses no clock, I/O or thread.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "placement/zone_observation.h"

namespace database_proxy::placement {

using Micros = std::chrono::microseconds;

// The outcome of an attempt, as evidence of the server's health.
enum class ObservedOutcome {
  kServed,
  kRefused,   // no connection
  kRejected,  // the overloaded server did not process the request
  kTimedOut,
  kFailed,
  kInconclusive  // no evidence of the server's health
};

// The location of a server.
struct EndpointLocation {
  ShardGroupId shard_group = 0;
  Zone zone;
  Micros warmed_up_at{0};  // time at which it has warmed up, by the caller's clock; 0: it is warm
};

// One proxy's observer. The proxy's event loop calls it for each request, and takes an observation from it at
// a fixed interval. All times are of one clock of the caller.
class ZoneHealthObserver {
 public:
  // `probes_unused_zones`: whether this is one of the few proxies that probe zones to which they send no
  // requests.
  ZoneHealthObserver(Zone own_zone, bool probes_unused_zones)
      : own_zone_(std::move(own_zone)), probes_unused_zones_(probes_unused_zones) {}

  // Replaces the locations of the servers that are up, by server ID. Events of other servers are ignored.
  void set_locations(std::map<std::string, EndpointLocation> locations) { locations_ = std::move(locations); }

  // Counts a read of `shard_group` that arrived from a client.
  void on_read_request(ShardGroupId shard_group) { ++requests_[shard_group]; }
  // `was_postponed`: whether the attempt waited until a replica was fresh enough.
  void on_attempt_sent(std::uint64_t request, int attempt, const std::string& server, Micros now,
                       bool was_postponed);
  void on_attempt_ended(std::uint64_t request, int attempt, const std::string& server,
                        ObservedOutcome outcome, Micros latency);
  // Records that an answer proved `server` to be the primary of its shard group.
  void on_primary_observed(const std::string& server);
  void on_probe_ended(const std::string& server, bool ok);

  // Returns the sum over the interval since the last call. `followed_plan`: the number of the plan that this
  // proxy follows, 0 for none. `spare_capacity`: returns the requests per second that this proxy would send
  // to a server in addition to those in flight there.
  Observation take_observation(Micros now, std::uint64_t followed_plan,
                               const std::function<double(const std::string&)>& spare_capacity);
  // Returns the servers to probe before the next take_observation(), in zones that got too few attempts.
  // `random_value`, any number, selects among a zone's servers.
  std::vector<std::string> choose_probe_targets(std::uint64_t random_value);

 private:
  struct InFlightAttempt {
    std::string server;
    Micros sent_at{0};
    bool counted = false;  // it was already counted as timed out
  };
  struct ZoneHealth {
    ZoneSample sample;                        // of this interval
    std::deque<ZoneSample> previous_samples;  // of earlier intervals, newest first
    std::uint64_t probes = 0;                 // number of probes in `sample`
    std::uint64_t previous_requests = 0;      // attempts in the last interval, without probes
    bool suspected = false;  // a probe failed or the last opinion was bad; the zone is probed more
    unsigned intervals_since_probe = 0;
    double usual_latency_us = 0;  // of requests while the zone is healthy; 0: unknown
  };

  const EndpointLocation* location_of(const std::string& server) const;
  void count_overdue_attempts(Micros now);
  void count_server_states(Micros now, const std::function<double(const std::string&)>& spare_capacity);
  void remove_unlisted_zones();
  void end_interval(const Zone& zone, ZoneHealth* health, Observation* observation) const;

  Zone own_zone_;
  bool probes_unused_zones_;
  std::map<std::string, EndpointLocation> locations_;  // by server
  std::map<ShardGroupId, std::uint64_t> requests_;
  std::map<ShardGroupId, Zone> primaries_;
  std::map<Zone, ZoneHealth> zones_;
  std::map<std::pair<std::uint64_t, int>, InFlightAttempt> in_flight_attempts_;  // by request and attempt
};

}  // namespace database_proxy::placement
