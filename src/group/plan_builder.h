// Makes plans from observations: a voter collects and adds up the observations of the proxies connected to
// it; the lease holder of the job `placement` collects the sums of all voters and makes the next plan from
// them.
//
// Pure: no clock, no I/O, no thread. Times are those of the caller's monotonic clock, `unix_ms` that of its
// wall clock.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "discovery/endpoint_list_codec.h"
#include "group/options.h"
#include "placement/plan.h"

namespace database_proxy::group {

// Holds the observations of the last seconds, and makes the next plan from them.
class PlanBuilder {
 public:
  explicit PlanBuilder(const PlacementOptions& options);

  // For every voter: adds an observation that was made `age` ago. Ignores a new proxy beyond
  // kMaxObservedProxies.
  void add_observation(const std::string& proxy, placement::Observation observation, Micros age, Micros now);
  void remove_proxy(const std::string& proxy);
  // Returns the sum over all proxies. Demand is taken from older observations as well, health only from
  // recent ones.
  placement::Observation observation_sum(Micros now);

  // For the lease holder: replaces the sum of this voter.
  void add_sum(const std::string& voter, placement::Observation sum, Micros now);
  // Returns the plan to follow `committed`, which is the newest plan in the log, or nullopt if that one
  // stays.
  std::optional<placement::Plan> make_next_plan(const placement::Plan& committed,
                                                const discovery::EndpointListUpdate& list, Micros now,
                                                placement::Millis unix_ms);
  // Return the plan that carries out an operator's command, or nullopt and the reason why there is none.
  std::optional<placement::Plan> evacuate(const placement::Plan& committed, const placement::Zone& zone,
                                          bool force, std::string* reason);
  std::optional<placement::Plan> restore(const placement::Plan& committed, const placement::Zone& zone,
                                         std::string* reason);
  // Returns how long opening a zone, or else evacuating it, takes if nothing delays it.
  placement::Millis expected_duration(bool is_opening) const {
    return planner_.expected_duration(is_opening);
  }
  // Discards what the lease holder has gathered beyond the committed plan; the next lease holder observes it
  // again. Called without the lease.
  void reset();

  // The input of the last make_next_plan().
  const placement::Input& input() const { return input_; }
  // Returns the zones of data servers that are configured in no region.
  std::vector<placement::Zone> unknown_zones() const { return planner_.unknown_zones(input_); }

 private:
  struct ReceivedObservation {
    placement::Observation observation;
    Micros taken_at{0};
    Micros received_at{0};
  };
  using ObservationsByName = std::map<std::string, ReceivedObservation>;

  static void drop_expired(ObservationsByName* all, Micros now);
  static placement::Observation sum_observations(const ObservationsByName& all, Micros now);
  placement::Input make_input(const discovery::EndpointListUpdate& list, Micros now,
                              placement::Millis unix_ms);
  void set_capacities(placement::Input* input, const discovery::EndpointListUpdate& list) const;
  double capacity_share(const discovery::Endpoint& endpoint, placement::Millis unix_ms) const;

  PlacementOptions options_;
  placement::ZoneTopology topology_;
  placement::Planner planner_;
  ObservationsByName observations_by_proxy_;
  ObservationsByName sums_by_voter_;
  placement::Demand demand_;
  placement::Input input_;
  // The committed plan with the states observed since then, while they do not change what proxies do.
  std::optional<placement::Plan> working_plan_;
  Micros committed_plan_first_seen_{0};
};

}  // namespace database_proxy::group
