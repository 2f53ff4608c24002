// What one proxy observes of its own requests, summed up by zone of servers, with an opinion on each zone.
// Pure: no clock, I/O or thread.
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

// How an attempt ended, as far as it says something of the server.
enum class ObservedOutcome {
  kServed,
  kRefused,   // no connection
  kRejected,  // rejected untouched, for its load
  kTimedOut,
  kFailed,
  kInconclusive  // it says nothing of the server
};

// Where a server is.
struct EndpointLocation {
  ShardGroupId shard_group = 0;
  Zone zone;
  Micros warmed_up_at{0};  // when it has warmed up, by the caller's clock; 0: it has
};

// One proxy's observer. The proxy's event loop calls it for each request, and takes an observation from it at
// a fixed interval, a span. All times are of one clock of the caller.
class ZoneHealthObserver {
 public:
  // `probes_unused_zones`: this is one of the few proxies that probe zones where their requests do not go.
  ZoneHealthObserver(Zone own_zone, bool probes_unused_zones)
      : own_zone_(std::move(own_zone)), probes_unused_zones_(probes_unused_zones) {}

  // Replaces the servers that are up, by id. Events of other servers are ignored.
  void set_locations(std::map<std::string, EndpointLocation> locations) { locations_ = std::move(locations); }

  // A read of `set` arrived from a client.
  void on_read_request(ShardGroupId shard_group) { ++requests_[shard_group]; }
  // `was_postponed`: it was postponed until a replica was fresh enough.
  void on_attempt_sent(std::uint64_t request, int attempt, const std::string& server, Micros now,
                       bool was_postponed);
  void on_attempt_ended(std::uint64_t request, int attempt, const std::string& server,
                        ObservedOutcome outcome, Micros latency);
  // `server` has proved to be the primary of its set.
  void on_primary_observed(const std::string& server);
  void on_probe_ended(const std::string& server, bool ok);

  // Returns the sum over the span since the last call. `followed_plan`: the number of the plan that this
  // proxy follows, 0 for none. `spare_capacity`: the requests a second that this proxy would send to a server
  // beside those that it has in flight there.
  Observation take_observation(Micros now, std::uint64_t followed_plan,
                               const std::function<double(const std::string&)>& spare_capacity);
  // Returns the servers to probe before the next take_observation(), in zones of which too little was
  // observed. `random_value`, any number, picks among a zone's servers.
  std::vector<std::string> choose_probe_targets(std::uint64_t random_value);

 private:
  struct InFlightAttempt {
    std::string server;
    Micros sent_at{0};
    bool counted = false;  // already as timed out
  };
  struct ZoneHealth {
    ZoneSample sample;                        // of this span
    std::deque<ZoneSample> previous_samples;  // the newest first
    std::uint64_t probes = 0;                 // in `sample`
    std::uint64_t previous_requests = 0;      // attempts in the last span that were no probes
    bool suspected = false;                   // a probe failed, or the last opinion was bad: probe more
    unsigned intervals_since_probe = 0;
    double usual_latency_us = 0;  // of requests while the zone is healthy; 0: not known
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
